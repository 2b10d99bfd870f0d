"""The choice among the targets of one service or model."""

import random
from collections.abc import Collection, Iterable, Iterator, Mapping
from zlib import crc32

from zinniaspool.core.dispatch.outside import OutsideUse, OutsideWindow
from zinniaspool.core.dispatch.pace import FirstEventForecast
from zinniaspool.core.dispatch.rates import AnnouncedRate
from zinniaspool.core.dispatch.shares import Peers, take_part
from zinniaspool.core.dispatch.subsets import Subset
from zinniaspool.core.dispatch.targets import Target, TargetState, is_same
from zinniaspool.core.dispatch.timeouts import AdaptiveTimeout
from zinniaspool.core.fleet import InstanceId, InstanceLife
from zinniaspool.core.ids import FabricDomainId, FailureDomainId

__all__ = ["TargetPool"]

ERROR_WEIGHT = 0.15
"""Weight of one answer in the part of a target's answers that failed: some ten
answers tell, few enough to notice within a second of usual traffic."""

ERROR_COST = 3.0
"""What a target that always fails counts as, in full targets."""

FAR_COST = 0.25
"""What another failure domain costs, in full targets. What is carried between
them is paid for, and a target that is a quarter fuller answers about as soon
as long as it has free slots; a full one never wins by being near."""

OUTSIDE_COST = 0.5
"""What a target costs that other processes share, in full targets. Its load is
not told to this one, and those that share it count on its places; one of them
is used where this process's own targets are this much fuller."""

TYPICAL_WEIGHT = 0.1
"""Weight of one answer in what targets have typically: some ten answers tell,
and a single full target does not."""

LEAST_SPARE = 2.0  # requests
SPARE_PART = 0.15
"""Free slots from which a process takes one beyond its own places: in
requests, and as a part of all. About as many begin between two words of the
others."""

OUTSIDE_SPARE_PART = 0.45
"""The same part outside, where only a typical load is known, and known late:
at 2.2 times the usual load of thirty processes, fewer are on time with
less."""

SHORT_SPARE_PART = 0.25
"""The same where this process's own targets are fewer than its share of all:
after a fabric domain was lost, what its callers need is elsewhere."""

SHORT_PART = 0.85
"""Part of its share of all slots below which a process counts as short."""

DOUBTED_DOMAIN_COST = 1.0
"""What a target costs, in full targets, in whose fabric domain another one
stood still for the same request. Where the whole domain went dark, its other
heads stand still too, and most requests have one move only."""

WITHIN_PASS_S = 0.03
"""Time beyond the predicted end of a pass in which an event may still come, in
seconds: processes hear of each other's prompts late."""

STALLED_COST = 1.0
"""What a target costs, in full targets, whose streams should have had an event
by now. VMs are often lost several at a time, and it takes some passes until a
head is known to be silent; in between, streams would be moved from one head
that stands still to the next."""

FULL_READING_S = 0.2
"""Seconds of prompts to be read that count as a full target: as long as a
first event takes that has not to wait for others' prompts."""

FIRST_GAP_EXCESS_S = 0.06  # seconds, one more pass
MOST_GAP_EXCESS_S = 0.3  # seconds, a pause that callers accept
GAP_FADE = 0.0005
"""How much longer than its pass the gap between two events of a target is
taken to be at first, and at most, in seconds, and how that fades: a process
has some hundred gaps a second of a busy model."""

FIRST_LATE_EXCESS_S = 0.08  # seconds, about one first event
MOST_LATE_EXCESS_S = 0.6  # seconds, a part of callers' patience
LATE_FADE = 0.005
"""The same of first events, of which a process has a few a second."""

EJECT_FAILURES = 3
"""Failures in a row after which a target is left alone for a while."""

EJECT_S = 1.0
"""For how long, in seconds: a restart takes about as long."""


class TargetPool:
    """The targets of one service or of one of its models.

    Args:
        own_domain: This process's failure domain.
        source: Breaks ties, so that processes do not all choose the same.
        rates: What instances have announced to take.
    """

    def __init__(
        self,
        own_domain: FailureDomainId,
        source: random.Random,
        rates: Mapping[InstanceLife, AnnouncedRate] | None = None,
    ) -> None:
        self._rates: Mapping[InstanceLife, AnnouncedRate] = (
            {} if rates is None else rates
        )
        self._own_domain = own_domain
        self._source = source
        self._states: dict[InstanceId, TargetState] = {}
        self._busy: set[TargetState] = set()
        self._subset: Subset | None = None
        self._typical = 0.0
        self._outside_uses: dict[FailureDomainId, OutsideUse] = {}
        self.forecast = FirstEventForecast()
        self.gap_timeout = AdaptiveTimeout(
            FIRST_GAP_EXCESS_S, MOST_GAP_EXCESS_S, GAP_FADE
        )
        self.first_timeout = AdaptiveTimeout(
            FIRST_LATE_EXCESS_S, MOST_LATE_EXCESS_S, LATE_FADE
        )
        self.processes = Peers(1, 1, 0)
        self._everybody = 1
        self._outside = OutsideWindow()
        self._short = False

    def __iter__(self) -> Iterator[TargetState]:
        return iter(list(self._states.values()))

    def get(self, instance: InstanceId) -> TargetState | None:
        """Return the target at an instance, or None."""
        return self._states.get(instance)

    def __len__(self) -> int:
        return len(self._states)

    def update(self, targets: Iterable[Target], now: float) -> list[TargetState]:
        """Take the targets that there are; return those that are no more."""
        wanted = {one.instance: one for one in targets}
        gone = []
        for name, state in list(self._states.items()):
            new = wanted.get(name)
            if new is None or not is_same(state.target, new):
                state.gone = True
                gone.append(self._states.pop(name))
            else:
                state.target = new
        for name, target in wanted.items():
            if name not in self._states:
                rate = self._rates.get(InstanceLife(name, target.born))
                self._states[name] = TargetState(target, progress_at=now, rate=rate)
        self._divide()
        return gone

    def set_subset(self, subset: Subset, everybody: int) -> None:
        """Take which processes share which targets.

        Args:
            subset: Those that share some with this one.
            everybody: How many processes there are.
        """
        self._subset, self._everybody = subset, everybody
        self.processes = subset.peers
        self._divide()

    def _divide(self) -> None:
        if self._subset is None:
            return
        parts = self._subset.divide(
            (name, state.target.failure_domain) for name, state in self._states.items()
        )
        for name, state in self._states.items():
            state.part = parts.get(name, 0.0)
            self._set_others(state)
        self._short = self._is_short()

    def _is_short(self) -> bool:
        """Tell whether this process's targets are fewer than its share."""
        everywhere = sum(one.target.slots for one in self._states.values())
        own = sum(one.slots for one in self._states.values())
        fair = everywhere * self.processes.count / max(1, self._everybody)
        return own < SHORT_PART * fair

    def _set_others(self, state: TargetState) -> None:
        domain = state.target.failure_domain
        state.others = self._typical * state.target.slots * (1.0 - state.part)
        state.outside = None
        if not state.shared:
            state.outside = self._outside_uses.setdefault(domain, OutsideUse())

    def list_divided(self, now: float) -> tuple[list[TargetState], int]:
        """Return usable targets whose room is divided, and between how many.

        Those that this process shares; where none of them is left, all there
        are, as everybody's.
        """
        usable = self.list_usable(now)
        shared = [state for state in usable if state.shared]
        if shared or not usable:
            return shared, self.processes.count
        return usable, self._everybody

    # This process's requests.

    @property
    def busy(self) -> Collection[TargetState]:
        """The targets at which this process has requests, also gone ones."""
        return self._busy

    def begin(self, state: TargetState, prompt: int) -> bool:
        """Count a request that is sent to a target.

        Returns:
            Whether the target is outside those that this process shares.
        """
        state.own += 1
        state.unread += prompt
        state.note_unread()
        self._busy.add(state)
        if not state.shared:
            self._outside.begin()
        return not state.shared

    def note_first_outside(self, late_s: float, now: float) -> None:
        """Take a first event from outside.

        Args:
            late_s: How much later than predicted it came, in seconds.
            now: Seconds.
        """
        self._outside.note_first(late_s, now)

    def end(
        self,
        state: TargetState,
        now: float,
        *,
        unheard: bool = False,
        moved: bool = False,
    ) -> None:
        """Count a request that has ended there.

        Args:
            state: The target.
            now: Seconds.
            unheard: Whether it was sent outside and nothing came back.
            moved: Whether it was moved away from a target that stands still.
        """
        state.own -= 1
        if not state.own:
            self._busy.discard(state)
        if not unheard:
            return
        if moved:
            self._outside.withdraw()
        else:
            self._outside.note_none(now)

    def list_open(self, now: float) -> list[TargetState]:
        """Return the targets that a request may be sent to now."""
        usable = self.list_usable(now)
        if self._outside.allows(now):
            return usable
        return [state for state in usable if state.shared]

    def choose(
        self,
        now: float,
        tried: Collection[InstanceId] = (),
        prompt: int = 0,
        within_s: float | None = None,
        doubted: Collection[FabricDomainId | None] = (),
    ) -> TargetState | None:
        """Return the target that will answer soonest, or None.

        Args:
            now: Seconds.
            tried: Targets that the request has been at.
            prompt: Tokens of its prompt.
            within_s: In how many seconds a first event is wanted; targets
                that will take longer come last.
            doubted: Fabric domains where a target stood still for it.
        """
        usable = [
            state for state in self.list_open(now) if state.target.instance not in tried
        ]
        if not usable:
            usable = self._last_resort(now, tried)
        if not usable:
            return None
        if within_s is not None:
            usable = self._list_soon(usable, prompt, within_s, now) or usable

        def rank(one: TargetState) -> tuple[float, float]:
            cost = self._cost(one, prompt, now)
            if one.target.fabric_domain in doubted:
                cost += DOUBTED_DOMAIN_COST
            if one.writing and self.is_beyond_pass(one, now - one.progress_at, now):
                cost += STALLED_COST
            return cost, self._draw()

        return min(usable, key=rank)

    def _list_soon(
        self, states: list[TargetState], prompt: int, within_s: float, now: float
    ) -> list[TargetState]:
        """Return the targets whose first event comes in time.

        Only those with a place, where there are any.
        """
        soon = [x for x in states if self.predict_first(x, prompt, now) <= within_s]
        return [x for x in soon if self.has_place(x, now)] or soon

    def list_usable(self, now: float) -> list[TargetState]:
        """Return the targets that requests may be sent to."""
        return [state for state in self._states.values() if state.usable(now)]

    def predict_first(self, state: TargetState, prompt: int, now: float) -> float:
        """Return how long a request's first event would take at a target.

        Args:
            state: The target.
            prompt: Tokens of the request's prompt.
            now: Seconds.
        """
        slots, unread = state.target.slots, state.all_unread
        return self.forecast.predict(state.load(now), slots, unread, prompt)

    def predict_gap(self, state: TargetState, now: float) -> float:
        """Return how long a target needs until its next event, in seconds."""
        load = min(state.load(now), state.target.slots)
        return self.forecast.pace.predict_pass(load, state.unread_since)

    def is_beyond_pass(self, state: TargetState, quiet_s: float, now: float) -> bool:
        """Tell whether the pass under way should have brought an event by now.

        Args:
            state: The target.
            quiet_s: Since when a stream there has had none, in seconds.
            now: Seconds.
        """
        return quiet_s >= self.predict_gap(state, now) + WITHIN_PASS_S

    def note_progress(self, state: TargetState, now: float) -> None:
        """Take that an event came from a target."""
        if state.silences:
            self.gap_timeout.note_false()
        elif state.writing:
            gap_s = now - state.progress_at
            self.gap_timeout.note(self.predict_gap(state, now), gap_s)
        state.progress_at, state.silent_until, state.silences = now, 0.0, 0
        state.unread_since = state.all_unread

    def note_first(self, predicted_s: float, took_s: float) -> None:
        """Take how long a first event took and was predicted to take."""
        self.forecast.note_first(predicted_s, took_s)
        self.first_timeout.note(predicted_s, took_s)

    def has_place(self, state: TargetState, now: float) -> bool:
        """Tell whether a request could begin at a target without a wait.

        Each process has places of its own at each target, which together are
        all of its slots. Others' requests are known a moment late, so that
        several processes would take the last free slot at once; beyond its
        own places, a process takes one only where some are free. Played with
        eight processes at 2.2 and 3.5 times the usual traffic, 63 requests a
        second began and were on time, 51 to 57 without such places.
        """
        slots = state.target.slots
        number = crc32(state.target.instance.encode())
        places = take_part(int(state.slots), self.processes, number)
        if state.own < places:
            return True
        spare = SPARE_PART
        if not state.shared:
            spare = SHORT_SPARE_PART if self._short else OUTSIDE_SPARE_PART
        return slots - state.load(now) >= max(LEAST_SPARE, spare * slots)

    def room(self, now: float) -> float:
        """Return how many requests can begin at once, over all targets."""
        return sum(
            max(0.0, state.target.slots - state.load(now))
            for state in self._states.values()
            if state.usable(now)
        )

    def note_load(self, state: TargetState, total: int, now: float) -> None:
        """Take what an answer tells of all requests there."""
        state.unnamed = max(0.0, total - state.own - state.peers.requests)
        state.unnamed_at = now
        use = total / state.target.slots
        if state.shared:
            self._typical += TYPICAL_WEIGHT * (use - self._typical)
        else:
            assert state.outside is not None
            state.outside.note(use, now)
        for one in self._states.values():
            if one.part < 1.0:
                self._set_others(one)

    def note_end(self, state: TargetState, failed: bool, now: float) -> None:
        """Take whether a request there was answered."""
        state.error_part += ERROR_WEIGHT * (float(failed) - state.error_part)
        if not failed:
            state.failures = 0
            return
        state.failures += 1
        if state.failures >= EJECT_FAILURES:
            state.failures = 0
            state.ejected_until = now + EJECT_S

    def is_limited(self, now: float) -> bool:
        """Tell whether a target has had all that it announced to take."""
        return any(not state.is_within_rate(now) for state in self._states.values())

    def _last_resort(
        self, now: float, tried: Collection[InstanceId]
    ) -> list[TargetState]:
        # Were all left alone that have failed, a fault of the network would
        # leave no target. One that is silent is no better than none.
        return [
            state
            for name, state in self._states.items()
            if name not in tried
            and now >= state.silent_until
            and not state.target.ending
            and state.is_within_rate(now)
        ]

    def _cost(self, state: TargetState, prompt: int, now: float) -> float:
        target = state.target
        cost = (state.load(now) + 1) / target.slots
        cost += self.forecast.pace.read_s * (state.all_unread + prompt) / FULL_READING_S
        cost += ERROR_COST * state.error_part
        if target.failure_domain != self._own_domain:
            cost += FAR_COST
        if not state.shared:
            cost += OUTSIDE_COST
        return cost

    def _draw(self) -> float:
        return self._source.random()
