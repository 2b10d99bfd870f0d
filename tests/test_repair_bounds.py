"""Bounds on both measures of repair and on the cost of planning."""

import pytest
from benchmarks.beats import measure_evidence
from benchmarks.groups.histories import FleetSize, make_fleet, make_history
from benchmarks.repair import (
    DOWNTIME_FIRST,
    STRANDED_FIRST,
    compare,
    fit_slope,
    measure_planner,
)

pytestmark = pytest.mark.bounds

_DAYS = 8.0


def test_the_policy_costs_less_than_both_baselines_under_both_weights() -> None:
    fleet = make_fleet(FleetSize.TODAY, DOWNTIME_FIRST)
    found = compare(fleet, make_history(fleet, _DAYS, 1), _DAYS)
    for weights, policy in (
        (DOWNTIME_FIRST, found.downtime_first),
        (STRANDED_FIRST, found.stranded_first),
    ):
        assert policy.cost(weights) < 0.5 * found.spare.cost(weights)
        assert policy.cost(weights) < 0.5 * found.wait.cost(weights)
        assert policy.downtime_s < 3.0 * policy.bound_s


def test_evidence_of_the_coming_fleet_fits_the_nodes_budget() -> None:
    """Sent to three peers every two seconds, it uses under half of 4 KB/s."""
    cost = measure_evidence(FleetSize.COMING)
    assert cost.beat_bytes * 3 / 2 < 2000
    assert cost.beat_bytes * 20 < cost.report_bytes


def test_the_planner_s_work_grows_no_faster_than_the_fleet() -> None:
    found = [measure_planner(vms, losses=6) for vms in (65, 300, 600)]
    assert fit_slope([(work.vms, work.steps) for work in found]) < 1.15
    assert found[-1].steps < 1000
