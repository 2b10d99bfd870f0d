"""Records of entry processes that late writes would replace."""

import asyncio
from base64 import b64decode

import msgspec

from tests.installation import Installation, eventually, run
from zinniaspool.core.fleet import NODES_PREFIX, NodeRecord, NodeState

LATE_WRITE_S = 2.6
"""Time in seconds within which the store has applied a late write."""


class StoppingInstallation(Installation):
    """VMs whose stop outlasts a late write."""

    grace_s = 5.0


def find_record(made: Installation, name: str) -> NodeRecord | None:
    value = made.store.get(NODES_PREFIX + name)
    return (
        None
        if value is None
        else msgspec.json.decode(b64decode(value), type=NodeRecord)
    )


async def list_records(made: Installation, name: str) -> list[NodeRecord | None]:
    """Return a VM's different records while a late write is applied."""
    found = [find_record(made, name)]
    ends_at = asyncio.get_running_loop().time() + LATE_WRITE_S
    while asyncio.get_running_loop().time() < ends_at:
        await asyncio.sleep(0.02)
        record = find_record(made, name)
        if record != found[-1]:
            found.append(record)
    return found


def test_a_late_write_of_an_earlier_start_replaces_no_record() -> None:
    """Callers would not find a VM that serves.

    A process ends while its write is unanswered, and its next start has
    written its record when the store applies that write.
    """

    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            made.store.faults.late_writes = 1
            await made.add_node("n9")
            await eventually(lambda: not made.store.faults.late_writes)
            await made.kill("n9")
            started = await made.add_node("n9")
            await eventually(lambda: find_record(made, "n9"))
            (record,) = await list_records(made, "n9")
            assert record is not None
            assert record.caller_address == started.file.caller_address

    run(test)


def test_a_late_write_makes_no_stopping_vm_ready() -> None:
    """Callers would be sent to a VM that is about to end."""

    async def test() -> None:
        async with StoppingInstallation.running() as made:
            await made.settle()
            made.store.faults.late_writes = 1
            await made.add_node("n9")
            await eventually(lambda: not made.store.faults.late_writes)
            stopping = asyncio.create_task(made.stop("n9"))
            await eventually(lambda: find_record(made, "n9"))
            records = await list_records(made, "n9")
            states = [record.state for record in records if record is not None]
            assert states == [NodeState.LEAVING]
            await stopping

    run(test)


def test_a_record_that_was_replaced_and_has_expired_is_written_again() -> None:
    """Callers would never find a VM again that serves.

    The record came under the lease of another process, which has ended.
    """

    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            key = NODES_PREFIX + "n1"
            value = made.store.get(key)
            assert value is not None
            made.store.put(key, value)
            made.store.remove(key)
            await eventually(lambda: made.store.get(key) == value)

    run(test)
