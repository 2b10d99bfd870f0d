"""Bytes that evidence of groups costs every process, by the fleet's size.

``python -m benchmarks.beats`` encodes the plans and beats of fleets whose
groups all serve, and compares them with the reports of every VM.
"""

from dataclasses import dataclass

import msgspec

from benchmarks.groups.histories import FleetSize, make_fleet
from benchmarks.groups.replay import Replay
from benchmarks.repair import DOWNTIME_FIRST
from zinniaspool.core.groups import ExpectedCostPolicy, TimedReport
from zinniaspool.core.groups.beats import encode_heartbeat, encode_plan, make_heartbeat

__all__ = ["EvidenceCost", "measure_evidence"]

_NOTICE_BYTES = 24 + len("beat/d0/control-00")
"""What a notice adds to its payload on the wire."""


@dataclass(frozen=True, slots=True)
class EvidenceCost:
    """What evidence of a whole fleet costs.

    Attributes:
        size: Which fleet.
        domains: Its fabric domains.
        groups: Its groups.
        beat_bytes: One beat of every domain.
        plan_bytes: The plans of every domain.
        report_bytes: The reports of every VM, for comparison.
    """

    size: FleetSize
    domains: int
    groups: int
    beat_bytes: int
    plan_bytes: int
    report_bytes: int


def measure_evidence(size: FleetSize) -> EvidenceCost:
    """Return what evidence costs when all groups serve."""
    fleet = make_fleet(size, DOWNTIME_FIRST)
    replay = Replay(fleet.configuration, ExpectedCostPolicy(DOWNTIME_FIRST))
    replay.run([], 0.1)
    seen = {vm: TimedReport(report, 0.0) for vm, report in replay.reports.items()}
    beats = [
        make_heartbeat(p, seen, "control-00@1796500000000", 9.9) for p in replay.plans
    ]
    reports = [msgspec.msgpack.encode(report) for report in replay.reports.values()]
    return EvidenceCost(
        size,
        len(replay.plans),
        sum(len(plan.groups) for plan in replay.plans),
        sum(len(encode_heartbeat(beat)) + _NOTICE_BYTES for beat in beats),
        sum(len(encode_plan(plan)) + _NOTICE_BYTES for plan in replay.plans),
        sum(map(len, reports)),
    )


def main() -> None:
    """Print the table."""
    print(
        "| size | domains | groups | a beat of all (B) | all plans (B)"
        " | reports of all VMs (B) |\n|" + " --- |" * 6
    )
    for size in FleetSize:
        cost = measure_evidence(size)
        print(
            f"| {size.value} | {cost.domains} | {cost.groups} | {cost.beat_bytes}"
            f" | {cost.plan_bytes} | {cost.report_bytes} |"
        )


if __name__ == "__main__":
    main()
