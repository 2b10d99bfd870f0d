"""Bounds on both measures of repair and on the planner's work."""

import pytest
from benchmarks.groups.histories import FleetSize, make_fleet, make_history
from benchmarks.repair import (
    ASSOCIATION,
    LANTERN,
    compare,
    fit_slope,
    measure_planner,
)

pytestmark = pytest.mark.bounds


def test_the_policy_costs_less_than_both_baselines_under_both_weights() -> None:
    fleet = make_fleet(FleetSize.TODAY, LANTERN)
    found = compare(fleet, make_history(fleet, 20.0, 1), 20.0)
    for weights, policy in (
        (LANTERN, found.lantern),
        (ASSOCIATION, found.association),
    ):
        assert policy.cost(weights) < 0.95 * found.spare.cost(weights)
        assert policy.cost(weights) < 0.40 * found.wait.cost(weights)
    assert found.lantern.loaded_gb < 1.2 * found.spare.loaded_gb


def test_the_planner_s_work_grows_no_faster_than_the_fleet() -> None:
    found = [measure_planner(vms, losses=6) for vms in (65, 300, 600)]
    assert fit_slope([(work.vms, work.steps) for work in found]) < 1.15
    assert found[-1].steps < 1000
