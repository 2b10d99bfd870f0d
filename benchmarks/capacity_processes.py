"""Processor time and memory of real processes, by size of the fleet.

Run as ``python -m benchmarks.capacity_processes [--write]``. Entry and
control processes on loopback hold a configuration and gossip; no requests
are sent. Processor time and memory are the kernel's, over a quiet interval.
"""

import os
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import mean

import msgspec
from tests.processes import call, start_fleet, wait_until

from benchmarks.measurements import keep_rows
from zinniaspool_standins.fleet import Fleet

__all__ = ["ProcessRow", "measure_processes"]

_SIZES = (2, 8, 16)
_QUIET_S = 12.0
_SETTLE_S = 4.0
_CONTROLS = 2
_VMS = 4
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_TICKS = os.sysconf("SC_CLK_TCK")


class ProcessRow(msgspec.Struct):
    """One size of fleet.

    Attributes:
        processes: Entry and control processes together.
        role: Of which the figures are the mean.
        core_percent: Share of one core.
        memory_mb: Resident memory.
        sent_bytes: Bytes sent to peers a second, without TCP and IP.
        vms: Upstream VMs in the configuration.
    """

    processes: int
    role: str
    core_percent: float
    memory_mb: float
    sent_bytes: int
    vms: int


def measure_processes(entries: int) -> list[ProcessRow]:
    """Start one fleet and watch it stand still."""
    with (
        tempfile.TemporaryDirectory() as folder,
        start_fleet(
            Path(folder), vms=_VMS, entries=entries, controls=_CONTROLS
        ) as fleet,
    ):
        names = list(fleet.operators)
        wait_until(lambda: all(_is_settled(fleet, name, len(names)) for name in names))
        time.sleep(_SETTLE_S)
        before = {name: _read(fleet, name) for name in names}
        time.sleep(_QUIET_S)
        after = {name: _read(fleet, name) for name in names}
        return [
            _sum_up(role, [n for n in names if n.startswith(role)], before, after)
            for role in ("entry", "control")
        ]


@dataclass(frozen=True, slots=True)
class _Reading:
    at: float
    cpu_s: float
    memory_bytes: int
    sent_bytes: float


def _read(fleet: Fleet, name: str) -> _Reading:
    pid = fleet.read_pid(name)
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / _TICKS
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    metrics = call(fleet.operators[name], "/metrics").body.decode()
    sent = next(
        float(line.rpartition(" ")[2])
        for line in metrics.splitlines()
        if line.startswith("zinniaspool_peer_sent_bytes")
    )
    return _Reading(time.monotonic(), cpu_s, pages * _PAGE_BYTES, sent)


def _is_settled(fleet: Fleet, name: str, members: int) -> bool:
    state = call(fleet.operators[name], "/dump").json()["state"]
    known = [member for member in state["members"] if member["state"] == "ready"]
    return bool(state["configuration"]["revision"]) and len(known) == members


def _sum_up(
    role: str,
    names: list[str],
    before: dict[str, _Reading],
    after: dict[str, _Reading],
) -> ProcessRow:
    pairs = [(before[name], after[name]) for name in names]
    return ProcessRow(
        len(before),
        role,
        round(mean(100 * (b.cpu_s - a.cpu_s) / (b.at - a.at) for a, b in pairs), 2),
        round(mean(b.memory_bytes for _, b in pairs) / 2**20, 1),
        round(mean((b.sent_bytes - a.sent_bytes) / (b.at - a.at) for a, b in pairs)),
        _VMS,
    )


def main() -> None:
    """Measure each size."""
    rows = [row for entries in _SIZES for row in measure_processes(entries)]
    keep_rows("processes", rows)


if __name__ == "__main__":
    main()
