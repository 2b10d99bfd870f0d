"""Both measures of repair, for each policy and each deployment's weights.

``python -m benchmarks.repair`` replays seeded failure histories of today's
and the coming size; ``--figure FILE.svg`` draws both measures over time, and
``--planner`` measures the planner's work by the number of VMs.
"""

import argparse
from dataclasses import dataclass
from math import log
from pathlib import Path

from benchmarks.groups.histories import (
    Absence,
    Fleet,
    FleetSize,
    make_fleet,
    make_history,
    make_sized_fleet,
)
from benchmarks.groups.policies import FirstFitSpare, KnownReturns, WaitOnly
from benchmarks.groups.replay import Outcome, Replay
from zinniaspool.core.deployment import RepairWeights
from zinniaspool.core.groups import ExpectedCostPolicy, RepairPolicy
from zinniaspool.core.ids import VmId

__all__ = [
    "DOWNTIME_FIRST",
    "STRANDED_FIRST",
    "Comparison",
    "PlannerWork",
    "compare",
    "fit_slope",
    "measure_planner",
]

DOWNTIME_FIRST = RepairWeights(group_downtime=1.0, stranded_accelerators=0.005)
"""A deployment that weighs group downtime more."""

STRANDED_FIRST = RepairWeights(group_downtime=0.1, stranded_accelerators=0.02)
"""A deployment that weighs stranded accelerators more."""

_SIZES = (65, 150, 300, 600)
_DAYS = {FleetSize.TODAY: 60.0, FleetSize.COMING: 3.0}


@dataclass(frozen=True, slots=True)
class Comparison:
    """One history replayed under each policy.

    Attributes:
        wait: Waiting only.
        spare: First-fit spare.
        downtime_first: The product's policy under the first weights.
        stranded_first: The product's policy under the second weights.
        known: The product's policy with every return known.
    """

    wait: Outcome
    spare: Outcome
    downtime_first: Outcome
    stranded_first: Outcome
    known: Outcome


def compare(fleet: Fleet, history: list[Absence], days: float) -> Comparison:
    """Replay one history under each policy."""
    return Comparison(
        _run(fleet, WaitOnly(), history, days),
        _run(fleet, FirstFitSpare(), history, days),
        _run(fleet, ExpectedCostPolicy(DOWNTIME_FIRST), history, days),
        _run(fleet, ExpectedCostPolicy(STRANDED_FIRST), history, days),
        _run_known(fleet, history, days),
    )


def _run(
    fleet: Fleet, policy: RepairPolicy, history: list[Absence], days: float
) -> Outcome:
    return Replay(fleet.configuration, policy).run(history, days)


def _run_known(fleet: Fleet, history: list[Absence], days: float) -> Outcome:
    replay = Replay(fleet.configuration, WaitOnly())
    returns = KnownReturns(clock=lambda: replay.now, returns=replay.returns)
    replay.use(ExpectedCostPolicy(DOWNTIME_FIRST, returns))
    return replay.run(history, days)


@dataclass(frozen=True, slots=True)
class PlannerWork:
    """What losses of single VMs cost the planner.

    Attributes:
        vms: The fleet's size.
        steps: Candidates looked at in one planning run.
        cpu_ms: Processor time of one planning run.
        runs: Planning runs for one loss and return.
    """

    vms: int
    steps: float
    cpu_ms: float
    runs: float


def measure_planner(vms: int, losses: int = 20) -> PlannerWork:
    """Return the planner's work for losses one after the other."""
    configuration = make_sized_fleet(vms, DOWNTIME_FIRST)
    replay = Replay(configuration, ExpectedCostPolicy(DOWNTIME_FIRST))
    names = [vm.id for vm in configuration.inventory.vms]
    history = [
        Absence(7200.0 + 600.0 * k, VmId(names[k * 7 % len(names)]), 120.0, False)
        for k in range(losses)
    ]
    idle = Replay(configuration, ExpectedCostPolicy(DOWNTIME_FIRST)).run([], 1.0)
    outcome = replay.run(history, 1.0)
    runs = outcome.plans - idle.plans
    return PlannerWork(
        vms,
        (outcome.steps - idle.steps) / runs,
        1000 * (outcome.cpu_s - idle.cpu_s) / runs,
        runs / losses,
    )


def fit_slope(points: list[tuple[float, float]]) -> float:
    """Return the power with which the second number grows with the first."""
    logs = [(log(x), log(y)) for x, y in points]
    mean_x = sum(x for x, _ in logs) / len(logs)
    mean_y = sum(y for _, y in logs) / len(logs)
    above = sum((x - mean_x) * (y - mean_y) for x, y in logs)
    return above / sum((x - mean_x) ** 2 for x, _ in logs)


def _print_policies(sizes: list[FleetSize], days: float | None, seeds: int) -> None:
    print(
        "| size | policy | group downtime (h) | by the bound | stranded"
        " (accelerator h) | moves | weights loaded (TB) | cost, downtime first"
        " | cost, stranded first |"
    )
    print("|" + " --- |" * 9)
    for size in sizes:
        fleet = make_fleet(size, DOWNTIME_FIRST)
        lasts = days or _DAYS[size]
        found = [
            compare(fleet, make_history(fleet, lasts, seed), lasts)
            for seed in range(seeds)
        ]
        rows = {
            "wait only": [c.wait for c in found],
            "first-fit spare": [c.spare for c in found],
            "expected cost, downtime first": [c.downtime_first for c in found],
            "expected cost, stranded first": [c.stranded_first for c in found],
            "returns known": [c.known for c in found],
        }
        for policy, outcomes in rows.items():
            _print_outcomes(size, policy, outcomes)


def _print_outcomes(size: FleetSize, policy: str, outcomes: list[Outcome]) -> None:
    down = sum(o.downtime_s for o in outcomes)
    bound = sum(o.bound_s for o in outcomes)
    costs = [
        sum(o.cost(w) for o in outcomes) / 1000
        for w in (DOWNTIME_FIRST, STRANDED_FIRST)
    ]
    print(
        f"| {size.value} | {policy} | {down / 3600:.2f} | {down / bound:.2f}"
        f" | {sum(o.stranded_s for o in outcomes) / 3600:.0f}"
        f" | {sum(o.moves for o in outcomes)}"
        f" | {sum(o.loaded_gb for o in outcomes) / 1000:.1f}"
        f" | {costs[0]:.1f} | {costs[1]:.1f} |",
        flush=True,
    )


def _print_planner() -> None:
    print("| VMs | steps a plan | ms a plan | plans a loss |\n|" + " --- |" * 4)
    found = [measure_planner(vms) for vms in _SIZES]
    for work in found:
        print(
            f"| {work.vms} | {work.steps:.0f} | {work.cpu_ms:.2f} | {work.runs:.1f} |"
        )
    steps = fit_slope([(work.vms, work.steps) for work in found])
    cpu = fit_slope([(work.vms, work.cpu_ms) for work in found])
    print(f"steps grow with VMs to the power {steps:.2f}, time {cpu:.2f}")


def _draw(path: Path, days: float) -> None:
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    fleet = make_fleet(FleetSize.COMING, DOWNTIME_FIRST)
    history = make_history(fleet, days, 0)
    found = compare(fleet, history, days)
    figure, axes = pyplot.subplots(2, 1, sharex=True, figsize=(9, 5))
    for name, outcome in (
        ("wait only", found.wait),
        ("first-fit spare", found.spare),
        ("expected cost", found.downtime_first),
    ):
        hours = [sample.at / 3600 for sample in outcome.samples]
        down = [sample.groups_down for sample in outcome.samples]
        idle = [sample.accelerators_stranded for sample in outcome.samples]
        axes[0].step(hours, down, where="post", label=name, linewidth=0.8)
        axes[1].step(hours, idle, where="post", label=name, linewidth=0.8)
    axes[0].set_ylabel("groups down")
    axes[1].set_ylabel("accelerators stranded")
    axes[1].set_xlabel("hours")
    axes[0].legend()
    figure.savefig(path)
    print(f"wrote {path}")


def main() -> None:
    """Run what the command line asks for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--days", type=float, help="days of each history")
    parser.add_argument("--size", choices=[size.value for size in FleetSize])
    parser.add_argument("--seeds", type=int, default=3, help="histories of each size")
    parser.add_argument("--figure", type=Path, help="draw both measures over time")
    parser.add_argument("--planner", action="store_true", help="only the planner")
    chosen = parser.parse_args()
    if chosen.figure:
        _draw(chosen.figure, chosen.days or 2.0)
        return
    if not chosen.planner:
        sizes = [FleetSize(chosen.size)] if chosen.size else list(FleetSize)
        _print_policies(sizes, chosen.days, chosen.seeds)
    _print_planner()


if __name__ == "__main__":
    main()
