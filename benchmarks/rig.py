"""An entry process and a bare relay before one upstream, as processes."""

import contextlib
import os
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from zinniaspool.core.ids import Address
from zinniaspool_standins.fleet import Fleet
from zinniaspool_standins.layouts import NodeLayout, start_nodes

__all__ = ["Rig", "Side", "start_rig"]

_SLOTS = 1024
_READY_S = 30.0


@dataclass(frozen=True, slots=True)
class Side:
    """One process under load.

    Attributes:
        name: For the tables.
        address: Where callers connect.
        prefix: What stands before the upstream's path.
        pid: Its process, or 0 for the upstream itself.
    """

    name: str
    address: Address
    prefix: str
    pid: int

    def read_cpu(self) -> float:
        """Return the processor time it has used, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Rig:
    """What is compared."""

    entry: Side
    bare: Side
    direct: Side


class _ProfiledFleet(Fleet):
    """Runs its entry process under a profiler."""

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start one process."""
        profiled = module.replace("zinniaspool.entry.main", "benchmarks.profiled_entry")
        Fleet.start(self, name, profiled, *arguments)


@contextlib.contextmanager
def start_rig(*, profiled: bool = False) -> Iterator[Rig]:
    """Run the processes and end them.

    Args:
        profiled: Whether the entry process runs under a profiler.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = (_ProfiledFleet if profiled else Fleet)(Path(folder))
        try:
            yield _start(fleet)
        finally:
            fleet.stop()


def _start(fleet: Fleet) -> Rig:
    upstream, bare = fleet.make_address(), fleet.make_address()
    fleet.start_platform()
    fleet.start("upstream", "benchmarks.raw_upstream", "--listen", upstream)
    fleet.start(
        "bare", "benchmarks.bare_relay", "--listen", bare, "--upstream", upstream
    )
    start_nodes(fleet, NodeLayout(("domain0",), 0, {"care-key": "care"}))
    vm = {
        "id": "vm0",
        "address": fleet.make_address(),
        "failure_domain": "domain0",
        "fabric_domain": "fabric0",
        "accelerators": 8,
        "owner": "care",
    }
    rules = {
        "customers": [{"id": "care", "may_use": ["care"]}],
        "models": [],
        "services": [
            {
                "name": "up",
                "upstreams": [{"address": upstream, "failure_domain": "domain0"}],
                "slots_per_upstream": _SLOTS,
                "shares": [{"customer": "care", "guaranteed": _SLOTS}],
            }
        ],
        "repair": {"group_downtime": 1.0, "stranded_accelerators": 0.1},
    }
    files = (
        fleet.write("inventory.json", {"vms": [vm]}),
        fleet.write("rules.json", rules),
    )
    applied = _retry_apply(fleet, files)
    if applied:
        raise RuntimeError(applied)
    entry = fleet.addresses["entry0"]
    return Rig(
        Side("entry", entry, "/v1/services/up", fleet.read_pid("entry0")),
        Side("bare", bare, "", fleet.read_pid("bare")),
        Side("direct", upstream, "", 0),
    )


def _retry_apply(fleet: Fleet, files: tuple[str, str]) -> str:
    """Apply the configuration once the platform listens."""
    ends = time.monotonic() + _READY_S
    while True:
        done = fleet.run_tool("apply", *files, "--store", fleet.store)
        if done.returncode == 0 or time.monotonic() > ends:
            return done.stderr if done.returncode else ""
