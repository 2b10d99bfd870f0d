"""Reads and replaces the operators' configuration in the store.

A configuration is stored as parts, each under the hash of its content, and
one root that names them. A change writes its parts first and then replaces
the root by a compare-and-swap, so a change of many parts is accepted as a
whole or not at all. Past roots stay in a history for rollbacks.
"""

import asyncio
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

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
from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.ids import Revision
from zinniaspool.store.client import Store, StoreFault, StoreValue

__all__ = [
    "AcceptFault",
    "AcceptedRoot",
    "ConfigurationStore",
    "Proposal",
]

_MAX_PAST_ROOTS = 64
"""Past roots that stay in the history for a rollback."""
_CHANGES_PER_COLLECTION = 16
"""Accepted changes between collections of keys that are not needed."""
_MAX_ATTEMPTS = 4
"""Attempts of a write that fails or whose outcome is unknown."""
_RETRY_DELAY_S = 0.2
"""Seconds between attempts."""


@dataclass(frozen=True, slots=True)
class AcceptedRoot:
    """An accepted configuration.

    Attributes:
        revision: Revision at which the root was accepted.
        root: Names the parts.
        contents: Content of each part; empty in a listing of the history.
    """

    revision: Revision
    root: Root
    contents: Mapping[PartName, str]


@dataclass(frozen=True, slots=True)
class Proposal:
    """A change of the configuration.

    Attributes:
        tag: Unique to this change.
        author: Operator who makes the change.
        contents: Content of every part of the new configuration, including
            the parts that the change leaves as they are.
        reason: Description of the change for operators.
    """

    tag: str
    author: str
    contents: Mapping[PartName, str]
    reason: str = ""


@dataclass(frozen=True, slots=True)
class AcceptFault:
    """Why a change was not accepted.

    Attributes:
        fault: The store's fault: ``CONFLICT`` if another change was accepted
            first, ``UNKNOWN`` if this change may have been accepted.
        current: The accepted configuration, where it could be read.
    """

    fault: StoreFault
    current: AcceptedRoot | None = None


class ConfigurationStore:
    """Reads the configuration and its history, and accepts changes.

    Each change takes effect by one compare-and-swap of the root.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(self) -> Result[AcceptedRoot | None, StoreFault]:
        """Return the accepted configuration; None if there is none yet."""
        return await self._read_configuration(ROOT_KEY)

    async def read_revision(
        self, revision: Revision
    ) -> Result[AcceptedRoot | None, StoreFault]:
        """Return the configuration of a revision; None if it is not stored."""
        current = await self._get_root(ROOT_KEY)
        if isinstance(current, Err):
            return current
        newest = current.ok_value
        if newest is not None and newest.revision == revision:
            return await self._read_configuration(ROOT_KEY)
        past = await self._read_configuration(make_history_key(revision))
        if isinstance(past, Err) or past.ok_value is None:
            return past
        # The revision of the history key is that of the write which copied
        # the root there, not the one at which the root was accepted.
        stored = past.ok_value
        return Ok(AcceptedRoot(revision, stored.root, stored.contents))

    async def list_history(
        self,
    ) -> Result[tuple[AcceptedRoot, ...], StoreFault]:
        """Return the stored revisions, oldest first, without their parts."""
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
            AcceptedRoot(_parse_revision(value.key), decode_root(value.value), {})
            for value in listing.ok_value.values
        ]
        older = [root for root in past if root.revision < newest.revision]
        return Ok((*older, AcceptedRoot(newest.revision, _decode(newest), {})))

    async def accept(
        self, proposal: Proposal, base: AcceptedRoot | None
    ) -> Result[Revision, AcceptFault]:
        """Replace the accepted configuration if it is still ``base``.

        The parts and the base's entry in the history are written first, so
        that a reader of the new root finds everything that the root names.
        Parts that a failed change leaves behind are named by no root and
        are collected later.

        Args:
            proposal: The change, already validated as a whole.
            base: Configuration that the change is based on; None for the
                first one.

        Returns:
            The revision at which the change was accepted, or why it was
            not.
        """
        fault = await self._write_parts(proposal.contents, base)
        if fault is None and base is not None:
            fault = await self._write_history(base)
        if fault is not None:
            return Err(AcceptFault(fault))
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
            return await self._make_fault(accepted.err_value)
        if root.number % _CHANGES_PER_COLLECTION == 0:
            await self.collect_garbage()
        return Ok(accepted.ok_value)

    async def collect_garbage(self) -> int:
        """Delete the oldest past roots and the parts that no root names.

        No root may name a part yet because the change that needs the part is
        being made. That change wrote the part after it had read its base. So
        a part written before the current root was accepted can only belong
        to a change with an older base, whose swap fails; parts written later
        are not deleted. A part that is written again in the meantime stays,
        because each key is deleted only at the revision that was listed.

        Returns:
            Number of deleted keys.
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
        expired, retained = past[:-_MAX_PAST_ROOTS], past[-_MAX_PAST_ROOTS:]
        roots = [_decode(newest), *map(_decode, retained)]
        named = {PART_PREFIX + part for root in roots for part in root.parts.values()}
        unnamed = [
            value
            for value in parts.ok_value.values
            if value.key not in named and value.revision < newest.revision
        ]
        return await self._delete_values([*expired, *unnamed])

    async def _delete_values(self, values: Iterable[StoreValue]) -> int:
        deleted = 0
        for value in values:
            result = await self._store.delete(value.key, value.revision)
            deleted += isinstance(result, Ok)
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
        """Write a part, also if the store has it already.

        A part left by an earlier change may be about to be collected; the
        revision of the new write prevents that.
        """
        key = PART_PREFIX + part
        expected = Revision(0)
        fault = StoreFault.UNKNOWN
        for _ in range(_MAX_ATTEMPTS):
            written = await self._store.swap(key, content, expected)
            if isinstance(written, Ok):
                return None
            fault = written.err_value
            if fault in (StoreFault.LIMITED, StoreFault.UNAVAILABLE):
                await asyncio.sleep(_RETRY_DELAY_S)
            found = await self._store.get(key)
            if isinstance(found, Ok):
                expected = found.ok_value.revision if found.ok_value else Revision(0)
        return fault

    async def _write_history(self, base: AcceptedRoot) -> StoreFault | None:
        key = make_history_key(base.revision)
        fault = StoreFault.UNKNOWN
        for _ in range(_MAX_ATTEMPTS):
            written = await self._store.swap(key, encode_root(base.root), Revision(0))
            if isinstance(written, Ok) or written.err_value is StoreFault.CONFLICT:
                return None
            fault = written.err_value
            await asyncio.sleep(_RETRY_DELAY_S)
        return fault

    async def _swap_root(self, root: Root) -> Result[Revision, StoreFault]:
        """Swap the root and find out whether the swap took effect.

        The store's response may be lost after the write took effect. By the
        time the root is read back, another change may have replaced it; then
        the history has this root, recognizable by its tag. If this root is
        found in neither place and the swap met no conflict, the swap is
        tried again, which is safe because it can take effect only once.
        """
        outcome_unknown = False
        fault = StoreFault.UNKNOWN
        for _ in range(_MAX_ATTEMPTS):
            written = await self._store.swap(ROOT_KEY, encode_root(root), root.base)
            if isinstance(written, Ok):
                return written
            fault = written.err_value
            if fault is StoreFault.CONFLICT and not outcome_unknown:
                return written
            outcome_unknown = outcome_unknown or fault is StoreFault.UNKNOWN
            found = await self._find_accepted(root)
            if isinstance(found, Ok):
                if found.ok_value is not None:
                    return Ok(found.ok_value)
                if fault is StoreFault.CONFLICT:
                    return Err(fault)
            await asyncio.sleep(_RETRY_DELAY_S)
        return Err(StoreFault.UNKNOWN if outcome_unknown else fault)

    async def _find_accepted(self, root: Root) -> Result[Revision | None, StoreFault]:
        """Return the revision at which a root was accepted.

        Follows the chain of bases from the current root back through the
        history. The result is None if the root was not accepted, and
        ``UNKNOWN`` if a root of the chain is missing in the history.
        """
        found = await self._get_root(ROOT_KEY)
        while isinstance(found, Ok) and found.ok_value is not None:
            value = found.ok_value
            stored = _decode(value)
            if stored.tag == root.tag:
                return Ok(value.revision)
            if stored.number <= root.number or stored.base == Revision(0):
                return Ok(None)
            earlier = await self._get_root(make_history_key(stored.base))
            if isinstance(earlier, Ok) and earlier.ok_value is None:
                return Err(StoreFault.UNKNOWN)
            if isinstance(earlier, Ok) and earlier.ok_value is not None:
                value = earlier.ok_value
                found = Ok(StoreValue(value.key, value.value, stored.base))
            else:
                found = earlier
        return found.map(lambda _: None)

    async def _make_fault(self, fault: StoreFault) -> Result[Revision, AcceptFault]:
        current = await self.read()
        return Err(AcceptFault(fault, current.unwrap_or(None)))

    async def _read_configuration(
        self, key: str
    ) -> Result[AcceptedRoot | None, StoreFault]:
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
            except DECODE_ERRORS:
                return Err(StoreFault.UNKNOWN)
        return found


def _decode(value: StoreValue) -> Root:
    return decode_root(value.value)


def _parse_revision(key: str) -> Revision:
    return Revision(int(key.removeprefix(HISTORY_PREFIX)))
