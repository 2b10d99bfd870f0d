"""Tests the rule for lost heads in the model of passes."""

from dataclasses import replace

import pytest

from tests.pass_rules import RULES, LearnedPass, find_quantile_ms
from tests.pass_world import Scene, simulate

MEASURED = {"small": Scene(5, 0.6, 714), "large": Scene(5, 1.0, 400)}
"""Scenes whose gaps are distributed as those measured of each model."""


@pytest.mark.parametrize(
    ("scene", "max_median_ms"),
    [
        (MEASURED["small"], 115),
        (replace(MEASURED["small"], lag_s=0.5), 115),
        (Scene(20, 0.6, 714), 130),
        (MEASURED["large"], 180),
        (replace(MEASURED["large"], lag_s=0.5), 180),
        (Scene(5), 180),
        (Scene(1), 180),
    ],
)
def test_lost_heads_are_detected_soon_and_healthy_ones_keep_their_streams(
    scene: Scene, max_median_ms: int
) -> None:
    """A stream that is rerouted without need has no attempt left.

    One that is rerouted late pauses for longer than its caller accepts. The
    times are those of the model of passes, which include up to 20 ms until the
    next check. Gaps of healthy heads end at about 100 and 160 ms.
    """
    rules = [RULES["longest excess (before)"], RULES["relative quantile (0.99)"]]
    before, quantile, built = simulate(scene, [*rules, LearnedPass], 480.0, 5)
    assert built.rerouted <= built.streams / 500
    assert built.rerouted <= quantile.rerouted / 5
    median_ms = find_quantile_ms(built.waits, 0.5)
    assert median_ms <= max_median_ms
    assert median_ms < find_quantile_ms(before.waits, 0.5)


@pytest.mark.parametrize(
    ("model", "shares"),
    [
        ("small", {60: 0.071, 80: 0.050, 100: 0.0}),
        (
            "large",
            {60: 0.52, 80: 0.33, 100: 0.25, 120: 0.11, 150: 0.015, 200: 0.0},
        ),
    ],
)
def test_the_model_of_passes_has_the_measured_gaps(
    model: str, shares: dict[int, float]
) -> None:
    """A rule would look better in the model than in a deployment.

    The shares are those of streams whose longest gap is above so many
    milliseconds, in a day of 618 streams of the small model and 195 of the
    large one at healthy heads. Gaps that include a lost head are left out of
    both.
    """
    (outcome,) = simulate(MEASURED[model], [LearnedPass], 2700.0, 7)
    gaps = outcome.longest_gaps
    assert len(gaps) > 3000
    for gap_ms, share in shares.items():
        longer = sum(gap_s > gap_ms / 1000 for gap_s in gaps) / len(gaps)
        assert abs(longer - share) <= max(0.006, 0.2 * share)


def test_a_late_process_would_reroute_streams_of_healthy_heads() -> None:
    """It takes its own delay for the head's if it doesn't read first."""
    scene = replace(MEASURED["small"], lag_s=0.1)
    rules = [LearnedPass, lambda: LearnedPass(reads_first=False)]
    reading, hasty = simulate(scene, rules, 960.0, 5)
    assert hasty.rerouted > 2 * reading.rerouted
