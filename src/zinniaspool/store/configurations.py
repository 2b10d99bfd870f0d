"""The operators' configuration in the store: read, accept, history."""

import asyncio
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from zinniaspool.core.configuration import (
    HISTORY_PREFIX,
    PART_PREFIX,
    ROOT_KEY,
    PartHash,
    PartName,
    Root,
    decode_root,
    encode_root,
    hash_content,
    hash_parts,
    make_history_key,
)
from zinniaspool.core.ids import Revision
from zinniaspool.store.client import Store, StoreFault, StoreValue

__all__ = [
    "AcceptFault",
    "AcceptedRoot",
    "ConfigurationStore",
    "Proposal",
]

_KEPT_HISTORY = 64
"""Accepted changes kept for a rollback."""
_COLLECT_EVERY = 16
"""Changes between sweeps of parts that nothing names."""
_TRIES = 4
"""Tries of a call whose outcome is unknown."""
_RETRY_S = 0.2
"""Seconds between them."""


@dataclass(frozen=True, slots=True)
class AcceptedRoot:
    """An accepted configuration: its revision, root and parts."""

    revision: Revision
    root: Root
    contents: Mapping[PartName, str]


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change to accept.

    Attributes:
        tag: Unique to this change.
        author: Who makes it.
        contents: All parts of the configuration that is to be in force.
        reason: For a person.
    """

    tag: str
    author: str
    contents: Mapping[PartName, str]
    reason: str = ""


@dataclass(frozen=True, slots=True)
class AcceptFault:
    """Why a change was not accepted.

    Attributes:
        fault: What the store said; ``CONFLICT`` when another change came
            first, ``UNKNOWN`` when it may have been accepted.
        current: The accepted configuration, where it could be read.
    """

    fault: StoreFault
    current: AcceptedRoot | None = None


class ConfigurationStore:
    """Accepts changes of the configuration, one swap each.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(self) -> Result[AcceptedRoot | None, StoreFault]:
        """Return the accepted configuration; None before the first."""
        return await self._read_at(ROOT_KEY)

    async def read_past(
        self, revision: Revision
    ) -> Result[AcceptedRoot | None, StoreFault]:
        """Return the configuration of a revision; None when not kept."""
        current = await self._get_root(ROOT_KEY)
        if isinstance(current, Err):
            return current
        found = current.ok_value
        if found is not None and found.revision == revision:
            return await self._read_at(ROOT_KEY)
        past = await self._read_at(make_history_key(revision))
        if isinstance(past, Err) or past.ok_value is None:
            return past
        kept = past.ok_value
        return Ok(AcceptedRoot(revision, kept.root, kept.contents))

    async def list_history(
        self,
    ) -> Result[tuple[AcceptedRoot, ...], StoreFault]:
        """Return the kept revisions, oldest first, without their parts."""
        current = await self._get_root(ROOT_KEY)
        if isinstance(current, Err):
            return current
        if current.ok_value is None:
            return Ok(())
        listing = await self._store.list(HISTORY_PREFIX)
        if isinstance(listing, Err):
            return listing
        newest = current.ok_value
        past = [
            AcceptedRoot(_read_revision(value.key), decode_root(value.value), {})
            for value in listing.ok_value.values
        ]
        kept = [root for root in past if root.revision < newest.revision]
        return Ok((*kept, AcceptedRoot(newest.revision, _decode(newest), {})))

    async def accept(
        self, proposal: Proposal, base: AcceptedRoot | None
    ) -> Result[Revision, AcceptFault]:
        """Make a proposal the accepted configuration if ``base`` still is.

        The parts and the base's place in the history are written first, so
        that a reader of the new root finds all that it names; what a failure
        leaves behind is named by no root and is collected later.

        Args:
            proposal: The change, checked whole.
            base: What it was based on; None for the first.
        """
        written = await self._write_parts(proposal.contents, base)
        if written is None and base is not None:
            written = await self._keep_history(base)
        if written is not None:
            return Err(AcceptFault(written))
        root = Root(
            proposal.tag,
            proposal.author,
            hash_parts(proposal.contents),
            base.revision if base else Revision(0),
            base.root.number + 1 if base else 1,
            proposal.reason,
            time.time(),
        )
        accepted = await self._swap_root(root)
        if isinstance(accepted, Err):
            return await self._explain(accepted.err_value)
        if root.number % _COLLECT_EVERY == 0:
            await self.collect()
        return Ok(accepted.ok_value)

    async def collect(self) -> int:
        """Delete history beyond what is kept, and parts that no root names.

        A part may be unnamed because a change that needs it is just being
        made. That change wrote the part after it read its base. So a part
        written before the current root was accepted can only belong to a
        change with an older base, whose swap is bound to fail; all later
        ones are left alone. Deleting at the listed revision covers a part
        that is written again meanwhile.

        Returns:
            How many keys were deleted.
        """
        current = await self._get_root(ROOT_KEY)
        history = await self._store.list(HISTORY_PREFIX)
        parts = await self._store.list(PART_PREFIX)
        if (
            isinstance(current, Err)
            or isinstance(history, Err)
            or isinstance(parts, Err)
        ):
            return 0
        newest = current.ok_value
        if newest is None:
            return 0
        past = [v for v in history.ok_value.values if v.revision < newest.revision]
        dropped, kept = past[:-_KEPT_HISTORY], past[-_KEPT_HISTORY:]
        roots = [_decode(newest), *map(_decode, kept)]
        named = {PART_PREFIX + part for root in roots for part in root.parts.values()}
        unnamed = [
            value
            for value in parts.ok_value.values
            if value.key not in named and value.revision < newest.revision
        ]
        return await self._delete([*dropped, *unnamed])

    async def _delete(self, values: Iterable[StoreValue]) -> int:
        deleted = 0
        for value in values:
            answer = await self._store.delete(value.key, value.revision)
            deleted += isinstance(answer, Ok)
        return deleted

    async def _write_parts(
        self, contents: Mapping[PartName, str], base: AcceptedRoot | None
    ) -> StoreFault | None:
        named = set(base.root.parts.values()) if base else set()
        for content in contents.values():
            part = hash_content(content)
            if part in named:
                continue
            fault = await self._write_part(part, content)
            if fault is not None:
                return fault
        return None

    async def _write_part(self, part: PartHash, content: str) -> StoreFault | None:
        """Write a part anew, also when it is there already.

        One that stands there from an earlier change may be about to be
        collected; its new revision keeps it.
        """
        key = PART_PREFIX + part
        expected = Revision(0)
        fault = StoreFault.UNKNOWN
        for _ in range(_TRIES):
            written = await self._store.swap(key, content, expected)
            if isinstance(written, Ok):
                return None
            fault = written.err_value
            if fault in (StoreFault.LIMITED, StoreFault.UNAVAILABLE):
                await asyncio.sleep(_RETRY_S)
            found = await self._store.get(key)
            if isinstance(found, Ok):
                expected = found.ok_value.revision if found.ok_value else Revision(0)
        return fault

    async def _keep_history(self, base: AcceptedRoot) -> StoreFault | None:
        key = make_history_key(base.revision)
        fault = StoreFault.UNKNOWN
        for _ in range(_TRIES):
            written = await self._store.swap(key, encode_root(base.root), Revision(0))
            if isinstance(written, Ok) or written.err_value is StoreFault.CONFLICT:
                return None
            fault = written.err_value
            await asyncio.sleep(_RETRY_S)
        return fault

    async def _swap_root(self, root: Root) -> Result[Revision, StoreFault]:
        """Swap the root, and know whether it took effect.

        The answer may be lost after the write took effect, and by the time
        the root is read back another change may stand in its place: then
        this one is in the history, under its tag. Where it is neither there
        nor in the way of the swap, the swap can be tried again, since it
        can take effect only once.
        """
        doubtful = False
        fault = StoreFault.UNKNOWN
        for _ in range(_TRIES):
            written = await self._store.swap(ROOT_KEY, encode_root(root), root.base)
            if isinstance(written, Ok):
                return written
            fault = written.err_value
            if fault is StoreFault.CONFLICT and not doubtful:
                return written
            doubtful = doubtful or fault is StoreFault.UNKNOWN
            found = await self._find_accepted(root)
            if isinstance(found, Ok):
                if found.ok_value is not None:
                    return Ok(found.ok_value)
                if fault is StoreFault.CONFLICT:
                    return Err(fault)
            await asyncio.sleep(_RETRY_S)
        return Err(StoreFault.UNKNOWN if doubtful else fault)

    async def _find_accepted(self, root: Root) -> Result[Revision | None, StoreFault]:
        """Return at which revision a root was accepted; None if it wasn't."""
        found = await self._get_root(ROOT_KEY)
        while isinstance(found, Ok) and found.ok_value is not None:
            value = found.ok_value
            held = _decode(value)
            if held.tag == root.tag:
                return Ok(value.revision)
            if held.number <= root.number or held.base == Revision(0):
                return Ok(None)
            earlier = await self._get_root(make_history_key(held.base))
            if isinstance(earlier, Ok) and earlier.ok_value is None:
                return Err(StoreFault.UNKNOWN)
            if isinstance(earlier, Ok) and earlier.ok_value is not None:
                value = earlier.ok_value
                found = Ok(StoreValue(value.key, value.value, held.base))
            else:
                found = earlier
        return found.map(lambda _: None)

    async def _explain(self, fault: StoreFault) -> Result[Revision, AcceptFault]:
        current = await self.read()
        return Err(AcceptFault(fault, current.unwrap_or(None)))

    async def _read_at(self, key: str) -> Result[AcceptedRoot | None, StoreFault]:
        found = await self._get_root(key)
        if isinstance(found, Err):
            return found
        value = found.ok_value
        if value is None:
            return Ok(None)
        root = _decode(value)
        contents = {}
        for name, part in root.parts.items():
            content = await self._store.get(PART_PREFIX + part)
            if isinstance(content, Err):
                return content
            if content.ok_value is None:
                return Err(StoreFault.UNKNOWN)
            contents[name] = content.ok_value.value
        return Ok(AcceptedRoot(value.revision, root, contents))

    async def _get_root(self, key: str) -> Result[StoreValue | None, StoreFault]:
        found = await self._store.get(key)
        if isinstance(found, Ok) and found.ok_value is not None:
            try:
                decode_root(found.ok_value.value)
            except msgspec.MsgspecError:
                return Err(StoreFault.UNKNOWN)
        return found


def _decode(value: StoreValue) -> Root:
    return decode_root(value.value)


def _read_revision(key: str) -> Revision:
    return Revision(int(key.removeprefix(HISTORY_PREFIX)))
