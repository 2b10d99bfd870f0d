"""Drives the slots of claims against the platform's store."""

import asyncio
from dataclasses import dataclass

import msgspec
import structlog
from result import Err

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

__all__ = ["ClaimKeeper"]

_log = structlog.get_logger(__name__)

_ENDS = {
    StoreFault.CONFLICT: OperationOutcome.CONFLICT,
    StoreFault.UNKNOWN: OperationOutcome.UNKNOWN,
}


@dataclass(slots=True)
class _Slot:
    machine: SlotStateMachine
    driving: asyncio.Task[None] | None = None


class ClaimKeeper:
    """Writes claims before their requests begin.

    Args:
        store: The platform's store.
        own: This process.
        writes_per_s: Most swaps a second of all slots together.
        remembered: The keys that this process remembers.
    """

    def __init__(
        self,
        store: Store,
        own: SlotOwner,
        writes_per_s: float,
        remembered: RememberedKeys,
    ) -> None:
        self._store = store
        self._own = own
        self._remembered = remembered
        interval_s = SLOT_COUNT / writes_per_s
        self._slots = [
            _Slot(SlotStateMachine(own, interval_s)) for _ in range(SLOT_COUNT)
        ]
        self._left = False
        self._waiting: dict[KeyHash, asyncio.Future[ClaimResult]] = {}

    def is_own(self, slot: int) -> bool:
        """Whether this process drives a slot, as far as it knows."""
        return not self.is_others(slot)

    def is_others(self, slot: int) -> bool:
        """Whether this process may claim nothing in a slot."""
        return self._left or self._slots[slot].machine.state is SlotState.OTHERS

    async def find_owner(self, slot: int) -> SlotOwner | None | StoreFault:
        """Return a slot's owner as last known, asking the store if need be."""
        machine = self._slots[slot].machine
        if machine.owner is not None:
            return machine.owner
        found = await self._store.get(_head_key(slot))
        if isinstance(found, Err):
            return found.err_value
        head = None if found.ok_value is None else _decode_head(found.ok_value.value)
        if machine.owner is None and head is not None:
            machine.owner = head.owner
        return machine.owner

    def leave(self) -> None:
        """Begin nothing more; other processes may take the slots over."""
        self._left = True

    def forget_owner(self, slot: int) -> None:
        """Note that a slot's owner is not who it was taken for."""
        machine = self._slots[slot].machine
        if machine.state is SlotState.OTHERS or self._left:
            machine.owner = None

    def take(self, slot: int, gone: SlotOwner | None) -> None:
        """Take a slot from an owner when a claim is next wanted of it."""
        self._slots[slot].machine.acquire(gone)

    async def claim(self, slot: int, claim: Claim, deadline: float) -> ClaimResult:
        """Return what became of a claim, at the latest at a deadline.

        A claim that is given up counts as refused: its request must not run.
        """
        loop = asyncio.get_running_loop()
        settled: asyncio.Future[ClaimResult] = loop.create_future()
        self._waiting[claim.key] = settled
        self._slots[slot].machine.submit(claim)
        self._drive(slot)
        try:
            async with asyncio.timeout_at(deadline):
                return await settled
        except TimeoutError:
            return ClaimResult(claim.key, ClaimOutcome.REFUSED)
        finally:
            del self._waiting[claim.key]
            self._slots[slot].machine.cancel(claim.key)

    def forget(self, slot: int, key: KeyHash) -> None:
        """Drop a claim that need not be remembered."""
        self._slots[slot].machine.discard(key)

    def drop_archives(self) -> None:
        """Drop the archives whose keys are all forgotten."""
        for slot in self._slots:
            slot.machine.drop_archives(self._remembered)

    def close(self) -> None:
        """Stop driving the slots."""
        for slot in self._slots:
            if slot.driving is not None:
                slot.driving.cancel()

    def _drive(self, number: int) -> None:
        slot = self._slots[number]
        if slot.driving is None:
            loop = asyncio.get_running_loop()
            slot.driving = loop.create_task(self._drive_slot(number))

    async def _drive_slot(self, number: int) -> None:
        slot = self._slots[number]
        try:
            while slot.machine.has_pending:
                await self._wait_for_turn(slot.machine)
                await self._take_steps(number)
        finally:
            slot.driving = None

    async def _wait_for_turn(self, machine: SlotStateMachine) -> None:
        wait_s = machine.next_write_time() - asyncio.get_running_loop().time()
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    async def _take_steps(self, number: int) -> None:
        machine = self._slots[number].machine
        loop = asyncio.get_running_loop()
        while (operation := machine.next_operation(loop.time())) is not None:
            answer = await self._ask_store(number, operation)
            machine.handle_response(operation, answer, loop.time())
            for claim in machine.pop_recalled_claims():
                self._remembered.record_remote(
                    claim.key, claim.fingerprint, loop.time()
                )
            for settled in machine.pop_results():
                waiting = self._waiting.get(settled.key)
                if waiting is not None and not waiting.done():
                    waiting.set_result(settled)

    async def _ask_store(self, slot: int, operation: SlotOperation) -> StoreResponse:
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
        except msgspec.MsgspecError:
            _log.error("claims-unreadable", slot=slot, archive=number)
            return StoreResponse(OperationOutcome.FAILED)
        return StoreResponse(OperationOutcome.DONE, claims=claims)

    async def _write(self, key: str, value: str, expected: Revision) -> StoreResponse:
        written = await self._store.swap(key, value, expected)
        if isinstance(written, Err):
            end = _ENDS.get(written.err_value, OperationOutcome.FAILED)
            return StoreResponse(end)
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
    except msgspec.MsgspecError:
        return None
