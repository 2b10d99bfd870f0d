"""Memory of the state that grows with the fleet, by its number of items.

Run as ``python -m benchmarks.capacity_state [--write]``. The interpreter's
own count of allocated bytes, in one process, before and after the state is
made.
"""

import gc
import random
import tracemalloc
from collections.abc import Callable
from typing import Any

import msgspec
from tests.configuration_net import make_configuration

from benchmarks.measurements import keep_rows
from zinniaspool.core.configuration import PartHash, hash_parts, split_parts
from zinniaspool.core.configuration.holding import LocalConfiguration, Manifest
from zinniaspool.core.ids import Address, FailureDomainId, Incarnation, NodeId, Revision
from zinniaspool.core.membership import (
    GossipStateMachine,
    MemberRecord,
    MemberState,
    Role,
)
from zinniaspool.core.membership.members import Liveness, encode_record, make_version
from zinniaspool.core.membership.notices import Topic
from zinniaspool.core.messages.configuration import PartContent
from zinniaspool.core.messages.membership import WireNotice

__all__ = ["StateRow", "measure_states"]

_SIZES = (100, 200, 400, 800)


class StateRow(msgspec.Struct):
    """One kind of state at one size.

    Attributes:
        state: What is held.
        items: How many.
        bytes_each: Memory for each.
    """

    state: str
    items: int
    bytes_each: int


def measure_states() -> list[StateRow]:
    """Measure each kind at each size."""
    return [
        StateRow(name, items, round(_measure(make, items) / items))
        for name, make in (("member", _make_members), ("vm", _make_holding))
        for items in _SIZES
    ]


def _measure(make: Callable[[int], Any], items: int) -> int:
    gc.collect()
    tracemalloc.start()
    kept = make(items)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return held


def _make_members(items: int) -> GossipStateMachine:
    source = random.Random(1)
    machine = GossipStateMachine(_make_record(0), [], source, 0.0)
    notices = [
        WireNotice(
            Topic.MEMBERS.value,
            f"entry{k}",
            make_version(1_790_000_000_000 + k, Liveness.RESPONSIVE),
            encode_record(_make_record(k)),
            0.0,
            1e9,
        )
        for k in range(1, items)
    ]
    machine.roster.apply_notices(notices, 0.0)
    machine.drain_new_notices()
    machine.roster.list_peers()
    return machine


def _make_record(k: int) -> MemberRecord:
    return MemberRecord(
        NodeId(f"entry{k}"),
        Incarnation(1_790_000_000_000 + k),
        Role.ENTRY,
        MemberState.READY,
        FailureDomainId(f"failure-domain{k % 5}"),
        Address(f"10.1.{k // 250}.{k % 250}:7000"),
        Address(f"10.1.{k // 250}.{k % 250}:8000"),
        Address(f"10.1.{k // 250}.{k % 250}:9000"),
        1,
    )


def _make_holding(items: int) -> Any:
    contents = split_parts(
        make_configuration(0, customers=30, vms=items, domains=max(1, items // 32))
    )
    names = hash_parts(contents)
    holding = LocalConfiguration()
    holding.set_pending(Manifest(Revision(1), names))
    holding.add_parts(
        PartContent(PartHash(names[name]), content)
        for name, content in contents.items()
    )
    return holding, holding.activate_pending()


def main() -> None:
    """Measure and print."""
    keep_rows("state", measure_states())


if __name__ == "__main__":
    main()
