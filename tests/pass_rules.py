"""Rules for how long a head may send nothing, compared in the model of passes.

`python -m tests.pass_rules` prints the table of docs/design/lost-heads.md.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import replace
from heapq import nlargest

from tests.pass_world import Rule, Scene, Timeouts, View, simulate
from zinniaspool.core.dispatch.timeouts import AdaptiveTimeout, PassTimeout

__all__ = ["RULES", "find_quantile_ms", "list_scenes"]


class LongestExcess(Rule):
    """The rule of before: the longest excess of the last thousand events."""

    reads_first = False

    def __init__(self) -> None:
        self._timeout = AdaptiveTimeout(0.06, 0.3, 0.0005)

    def find_timeouts(self, view: View, now: float) -> Timeouts:
        predicted_s = view.pool.predict_gap(view.state, now)
        timeout_s = min(0.25, self._timeout.compute_timeout(predicted_s))
        return Timeouts(timeout_s, timeout_s)

    def record(self, view: View, gap_s: float, now: float) -> None:
        self._timeout.record(view.pool.predict_gap(view.state, now), gap_s)

    def record_false_alarm(self, view: View) -> None:
        self._timeout.record_false_alarm()


class QuantileByPrefill(Rule):
    """A quantile of the excess in seconds, by the head's prefill load."""

    def __init__(self) -> None:
        self._excess_s: defaultdict[int, float] = defaultdict(lambda: 0.03)

    def find_timeouts(self, view: View, now: float) -> Timeouts:
        predicted_s = view.pool.predict_gap(view.state, now)
        timeout_s = predicted_s + 1.5 * self._excess_s[self._find_class(view)] + 0.02
        return Timeouts(timeout_s, timeout_s)

    def record(self, view: View, gap_s: float, now: float) -> None:
        excess_s = gap_s - view.pool.predict_gap(view.state, now)
        if gap_s < 0.01:
            return
        load = self._find_class(view)
        is_longer = excess_s > self._excess_s[load]
        changed_s = self._excess_s[load] + (0.001 if is_longer else -0.00001)
        self._excess_s[load] = max(0.0, changed_s)

    def record_false_alarm(self, view: View) -> None:
        for load in self._excess_s:
            self._excess_s[load] += 0.005

    def _find_class(self, view: View) -> int:
        return min(5, -(-view.state.peak_unread_tokens // 1500))


class QuantilePass(Rule):
    """The 0.99 quantile of actual over predicted passes."""

    def __init__(self) -> None:
        self._factor, self._widening_s, self._measured = 1.0, 0.0, 0
        self._largest: list[float] = []

    def find_timeouts(self, view: View, now: float) -> Timeouts:
        predicted_s = view.pool.predict_gap(view.state, now)
        expected_s = predicted_s * self._factor
        if self._measured < 200:
            expected_s = predicted_s + max(predicted_s, 0.12)
        timeout_s = min(0.4, expected_s + 0.01 + self._widening_s)
        return Timeouts(timeout_s, timeout_s)

    def record(self, view: View, gap_s: float, now: float) -> None:
        predicted_s = view.pool.predict_gap(view.state, now)
        if gap_s < min(0.01, 0.5 * predicted_s):
            return
        factor = (gap_s - 0.004) / predicted_s
        self._widening_s *= 0.9998
        self._measured += 1
        if self._measured <= 200:
            self._largest = nlargest(3, [*self._largest, factor])
            learned = self._largest[-1]
        else:
            changed = 0.003 if factor > self._factor else -0.003 / 99
            learned = self._factor * (1.0 + changed)
        self._factor = max(1.0, learned)

    def record_false_alarm(self, view: View) -> None:
        self._widening_s = min(0.1, 1.5 * self._widening_s + 0.01)


class LongestRatio(Rule):
    """The longest recent ratio of actual to predicted passes; at least 2.5."""

    def __init__(self) -> None:
        self._ratio, self._widening_s = 1.0, 0.0

    def find_timeouts(self, view: View, now: float) -> Timeouts:
        predicted_s = view.pool.predict_gap(view.state, now)
        expected_s = predicted_s * max(2.5, self._ratio)
        timeout_s = min(0.4, expected_s + 0.025 + self._widening_s)
        return Timeouts(timeout_s, timeout_s)

    def record(self, view: View, gap_s: float, now: float) -> None:
        predicted_s = view.pool.predict_gap(view.state, now)
        if gap_s < min(0.01, 0.5 * predicted_s):
            return
        self._widening_s *= 0.9998
        self._ratio = max(self._ratio * 0.99995, (gap_s - 0.004) / predicted_s)

    def record_false_alarm(self, view: View) -> None:
        self._widening_s = min(0.1, 1.5 * self._widening_s + 0.025)


class LearnedPass(Rule):
    """The rule that was built, and variants of it.

    Args:
        reads_first: Whether a late process reads before it decides.
        alone_s: Change of the margin without reports of peers, in seconds.
        confirmed_s: Change of the margin with them, in seconds.
        several_s: Change of the margin with several streams, in seconds.
        reports_late: See ``Rule``.
        entry_s: Time that a prompt is assumed to need to the engine, in
            seconds; younger ones aren't counted. None to count all.
    """

    def __init__(
        self,
        *,
        reads_first: bool = True,
        alone_s: float = 0.0,
        confirmed_s: float = 0.0,
        several_s: float = 0.0,
        reports_late: bool = False,
        entry_s: float | None = None,
    ) -> None:
        self.reads_first = reads_first
        self.reports_late = reports_late
        self._margins = Timeouts(alone_s, confirmed_s)
        self._several_s = several_s
        self._entry_s = entry_s
        self._timeout = PassTimeout()

    def find_timeouts(self, view: View, now: float) -> Timeouts:
        timeout_s = self._timeout.compute_timeout(self._predict(view, now))
        timeout_s = min(0.4, timeout_s)
        if view.state.streaming > 1:
            timeout_s += self._several_s
        margins = self._margins
        return Timeouts(timeout_s + margins.alone_s, timeout_s + margins.confirmed_s)

    def record(self, view: View, gap_s: float, now: float) -> None:
        pace = view.pool.model_pace.value
        self._timeout.record(self._predict(view, now), gap_s, pace)

    def record_false_alarm(self, view: View) -> None:
        self._timeout.record_false_alarm(view.pool.model_pace.value)

    def _predict(self, view: View, now: float) -> float:
        state = view.state
        if self._entry_s is None:
            return view.pool.predict_longest_gap(state, now)
        young = sum(n for at, n in view.arrivals if at > now - self._entry_s)
        unread = max(0, state.known_unread_tokens - young)
        load = min(state.estimate_load(now), state.target.slots)
        return view.pool.forecast.timing.predict_longest_pass(load, unread)


RULES: dict[str, Callable[[], Rule]] = {
    "longest excess (before)": LongestExcess,
    "relative quantile (0.99)": QuantilePass,
    "quantile by prefill load": QuantileByPrefill,
    "longest ratio": LongestRatio,
    "longest pass (built)": LearnedPass,
    "built, without reading first": lambda: LearnedPass(reads_first=False),
    "built, 6 ms less with several streams": lambda: LearnedPass(several_s=-0.006),
    "built, 5 ms more, 3 ms less when a peer found it": lambda: LearnedPass(
        alone_s=0.005, confirmed_s=-0.003
    ),
    "the same, when a peer is late": lambda: LearnedPass(
        alone_s=0.005, confirmed_s=-0.003, reports_late=True
    ),
    "built, without prompts younger than 56 ms": lambda: LearnedPass(entry_s=0.056),
}


def list_scenes() -> dict[str, Scene]:
    """Return the scenes of the table by name."""
    scenes = {}
    for model, factor, prompt in (("small", 0.6, 714), ("large", 1.0, 1500)):
        for streams in (1, 5, 20):
            scenes[f"{model}, {streams} streams"] = Scene(streams, factor, prompt)
        base = Scene(5, factor, prompt)
        if factor < 1.0:
            base = Scene(20, factor, prompt)
        name = f"{model}, {base.streams}"
        scenes[f"{name}, bursts of long prompts"] = replace(base, burst_s=2.0)
        scenes[f"{name}, pace 1.5"] = replace(base, pace=1.5)
        scenes[f"{name}, pace 1.5 for 8 of 16 s"] = replace(base, pace=1.5, slow_s=8)
        scenes[f"{name}, processes late"] = replace(base, lag_s=0.5)
        scenes[f"{name}, prompts read at once"] = replace(base, arrives_at_once=True)
    scenes["large, 5, short prompts"] = Scene(5, 1.0, 400)
    return scenes


def find_quantile_ms(waits: Sequence[float], part: float) -> int:
    """Return a quantile of times in seconds, in milliseconds."""
    ordered = sorted(waits)
    return round(1000 * ordered[min(len(ordered) - 1, int(part * len(ordered)))])


def main() -> None:
    """Print the table of docs/design/lost-heads.md."""
    for name, scene in list_scenes().items():
        seconds = 1800.0 if scene.streams > 1 else 5400.0
        outcomes = simulate(scene, list(RULES.values()), seconds, 1)
        print(f"{name} ({outcomes[0].streams} streams)")
        for rule, outcome in zip(RULES, outcomes, strict=True):
            median_ms = find_quantile_ms(outcome.waits, 0.5)
            late_ms = find_quantile_ms(outcome.waits, 0.99)
            false = 1000 * outcome.rerouted / outcome.streams
            print(f"| {rule} | {median_ms}, {late_ms} | {false:.2f} |", flush=True)


if __name__ == "__main__":
    main()
