"""The claims of idempotency keys, in the platform's store.

This module executes the store operations of the slots' state machines, which
:mod:`zinniaspool.core.requests.claims` describes.
"""

import asyncio
from dataclasses import dataclass

import msgspec
import structlog
from result import Err

from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.ids import Revision
from zinniaspool.core.requests.claims import (
    SLOT_COUNT,
    Claim,
    ClaimOutcome,
    ClaimResult,
    DeleteArchive,
    OperationOutcome,
    ReadArchive,
    ReadHead,
    SlotHead,
    SlotOperation,
    SlotOwner,
    SlotState,
    SlotStateMachine,
    StoreResponse,
    WriteArchive,
    WriteHead,
)
from zinniaspool.core.requests.keys import KeyHash, RememberedKeys
from zinniaspool.store import Store, StoreFault

__all__ = ["ClaimStore"]

_log = structlog.get_logger(__name__)

_OUTCOMES_BY_FAULT = {
    StoreFault.CONFLICT: OperationOutcome.CONFLICT,
    StoreFault.UNKNOWN: OperationOutcome.UNKNOWN,
}


@dataclass(slots=True)
class _Slot:
    state_machine: SlotStateMachine
    task: asyncio.Task[None] | None = None


class ClaimStore:
    """Writes claims to the store before their requests begin.

    Args:
        store: The platform's store.
        local_owner: This process, as an owner of slots.
        max_writes_per_s: Maximum swaps of heads per second, over all slots.
        remembered_keys: The keys that this process remembers.
    """

    def __init__(
        self,
        store: Store,
        local_owner: SlotOwner,
        max_writes_per_s: float,
        remembered_keys: RememberedKeys,
    ) -> None:
        self._store = store
        self._local_owner = local_owner
        self._remembered_keys = remembered_keys
        interval_s = SLOT_COUNT / max_writes_per_s
        self._slots = [
            _Slot(SlotStateMachine(local_owner, interval_s)) for _ in range(SLOT_COUNT)
        ]
        self._stopped = False
        self._awaited_results: dict[KeyHash, asyncio.Future[ClaimResult]] = {}

    def is_local(self, slot: int) -> bool:
        """Whether this process owns or acquires a slot, as far as it knows."""
        return not self.is_remote(slot)

    def is_remote(self, slot: int) -> bool:
        """Whether this process may not claim keys of a slot."""
        return (
            self._stopped or self._slots[slot].state_machine.state is SlotState.OTHERS
        )

    async def find_owner(self, slot: int) -> SlotOwner | None | StoreFault:
        """Return a slot's owner as last known.

        If no owner is known, the slot's head is read from the store.
        """
        state_machine = self._slots[slot].state_machine
        if state_machine.owner is not None:
            return state_machine.owner
        found = await self._store.get(_head_key(slot))
        if isinstance(found, Err):
            return found.err_value
        head = None if found.ok_value is None else _decode_head(found.ok_value.value)
        if state_machine.owner is None and head is not None:
            state_machine.owner = head.owner
        return state_machine.owner

    def stop_claiming(self) -> None:
        """Claim no more keys, so that other processes can take over."""
        self._stopped = True

    def forget_owner(self, slot: int) -> None:
        """Forget a slot's last known owner, because it proved to be wrong."""
        state_machine = self._slots[slot].state_machine
        if state_machine.state is SlotState.OTHERS or self._stopped:
            state_machine.owner = None

    def acquire(self, slot: int, previous_owner: SlotOwner | None) -> None:
        """Acquire a slot as soon as a claim of it is submitted.

        From now on the slot counts as local.

        Args:
            slot: The slot.
            previous_owner: The owner to acquire the slot from; None if the
                slot had none.
        """
        self._slots[slot].state_machine.acquire(previous_owner)

    async def submit(self, slot: int, claim: Claim, deadline: float) -> ClaimResult:
        """Submit a claim and return its result.

        A claim without a result at the deadline is cancelled and counts as
        refused: its request must not run.

        Args:
            slot: The slot of the claim's key.
            claim: The claim.
            deadline: Time on the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        result: asyncio.Future[ClaimResult] = loop.create_future()
        self._awaited_results[claim.key] = result
        self._slots[slot].state_machine.submit(claim)
        self._start_task(slot)
        try:
            async with asyncio.timeout_at(deadline):
                return await result
        except TimeoutError:
            return ClaimResult(claim.key, ClaimOutcome.REFUSED)
        finally:
            del self._awaited_results[claim.key]
            self._slots[slot].state_machine.cancel(claim.key)

    def discard(self, slot: int, key: KeyHash) -> None:
        """Discard a claim that has expired or whose request never ran."""
        self._slots[slot].state_machine.discard(key)

    def drop_archives(self) -> None:
        """Drop the archives that contain no remembered key."""
        for slot in self._slots:
            slot.state_machine.drop_archives(self._remembered_keys)

    def close(self) -> None:
        """Cancel the tasks that execute the slots' operations."""
        for slot in self._slots:
            if slot.task is not None:
                slot.task.cancel()

    def _start_task(self, number: int) -> None:
        slot = self._slots[number]
        if slot.task is None:
            loop = asyncio.get_running_loop()
            slot.task = loop.create_task(self._run_slot(number))

    async def _run_slot(self, number: int) -> None:
        slot = self._slots[number]
        try:
            while slot.state_machine.has_pending:
                await self._wait_until_writable(slot.state_machine)
                await self._execute_operations(number)
        finally:
            slot.task = None

    async def _wait_until_writable(self, state_machine: SlotStateMachine) -> None:
        wait_s = state_machine.next_write_time() - asyncio.get_running_loop().time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    async def _execute_operations(self, number: int) -> None:
        state_machine = self._slots[number].state_machine
        loop = asyncio.get_running_loop()
        while (operation := state_machine.next_operation(loop.time())) is not None:
            response = await self._execute(number, operation)
            state_machine.handle_response(operation, response, loop.time())
            for claim in state_machine.pop_recalled_claims():
                self._remembered_keys.record_remote(
                    claim.key, claim.fingerprint, loop.time()
                )
            for result in state_machine.pop_results():
                awaited = self._awaited_results.get(result.key)
                if awaited is not None and not awaited.done():
                    awaited.set_result(result)

    async def _execute(self, slot: int, operation: SlotOperation) -> StoreResponse:
        match operation:
            case ReadHead():
                return await self._read_head(slot)
            case ReadArchive(number):
                return await self._read_archive(slot, number)
            case WriteHead(head, expected):
                value = msgspec.json.encode(head).decode()
                return await self._write(_head_key(slot), value, expected)
            case WriteArchive(number, claims):
                value = msgspec.json.encode(claims).decode()
                return await self._write(_archive_key(slot, number), value, Revision(0))
            case DeleteArchive(number):
                return await self._delete(_archive_key(slot, number))

    async def _read_head(self, slot: int) -> StoreResponse:
        found = await self._store.get(_head_key(slot))
        if isinstance(found, Err):
            return StoreResponse(OperationOutcome.FAILED)
        value = found.ok_value
        if value is None:
            return StoreResponse(OperationOutcome.DONE)
        head = _decode_head(value.value)
        if head is None:
            _log.error("claims-unreadable", slot=slot)
            return StoreResponse(OperationOutcome.FAILED)
        return StoreResponse(OperationOutcome.DONE, value.revision, head)

    async def _read_archive(self, slot: int, number: int) -> StoreResponse:
        found = await self._store.get(_archive_key(slot, number))
        if isinstance(found, Err) or found.ok_value is None:
            return StoreResponse(OperationOutcome.FAILED)
        try:
            claims = msgspec.json.decode(found.ok_value.value, type=tuple[Claim, ...])
        except DECODE_ERRORS:
            _log.error("claims-unreadable", slot=slot, archive=number)
            return StoreResponse(OperationOutcome.FAILED)
        return StoreResponse(OperationOutcome.DONE, claims=claims)

    async def _write(self, key: str, value: str, expected: Revision) -> StoreResponse:
        written = await self._store.swap(key, value, expected)
        if isinstance(written, Err):
            outcome = _OUTCOMES_BY_FAULT.get(written.err_value, OperationOutcome.FAILED)
            return StoreResponse(outcome)
        return StoreResponse(OperationOutcome.DONE, written.ok_value)

    async def _delete(self, key: str) -> StoreResponse:
        found = await self._store.get(key)
        if not isinstance(found, Err) and found.ok_value is not None:
            await self._store.delete(key, found.ok_value.revision)
        return StoreResponse(OperationOutcome.DONE)


def _head_key(slot: int) -> str:
    return f"claims/heads/{slot}"


def _archive_key(slot: int, number: int) -> str:
    return f"claims/archives/{slot}/{number}"


def _decode_head(value: str) -> SlotHead | None:
    try:
        return msgspec.json.decode(value, type=SlotHead)
    except DECODE_ERRORS:
        return None
