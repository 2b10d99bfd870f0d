"""Records in the store of what is held back, so that it lasts."""

import asyncio
import random
from collections.abc import Callable, Collection

import msgspec
import structlog
from result import Err

from zinniaspool.core.dispatch import HOLD_S
from zinniaspool.core.fleet import HELD_PREFIX, InstanceId, QuarantineRecord
from zinniaspool.core.ids import ContentId, NodeId, Revision
from zinniaspool.core.storage import KeyWrite, StoreFault
from zinniaspool.fleet import FleetBelief, FleetStore

__all__ = ["HeldRecords"]

_log = structlog.get_logger(__name__)

CHECK_S = 0.2
"""Pause between looks for contents that are to be recorded, in seconds."""

LEAST_WAIT_S = 0.6  # seconds, a change has come round by then
MOST_WAIT_S = 2.0
"""Wait before a process records what another one found out, in seconds: that
one may be gone, and not all need write it."""


class HeldRecords:
    """Writes and removes this fleet's records of contents held back.

    Args:
        node: This process's VM.
        belief: What is recorded.
        store: Where.
        list_crashed: Returns the instances that crashed under a content.
    """

    def __init__(
        self,
        node: NodeId,
        belief: FleetBelief,
        store: FleetStore,
        list_crashed: Callable[[ContentId], list[InstanceId]],
    ) -> None:
        self._node = node
        self._belief = belief
        self._store = store
        self._list_crashed = list_crashed
        self._due: dict[ContentId, float] = {}
        self._removals: set[asyncio.Task[None]] = set()

    def add(self, content: ContentId, *, found_here: bool) -> None:
        """Have a content recorded, by this process if no other one does.

        Args:
            content: Which.
            found_here: Whether this process found it out.
        """
        now = asyncio.get_running_loop().time()
        wait_s = 0.0 if found_here else random.uniform(LEAST_WAIT_S, MOST_WAIT_S)
        self._due[content] = now + wait_s

    def drop(self, contents: Collection[ContentId]) -> None:
        """Record contents no more that are held back no longer."""
        for content in contents:
            self._due.pop(content, None)

    def remove(self, contents: Collection[ContentId]) -> None:
        """Remove the records of contents that crash no upstream."""
        self.drop(contents)
        keys = [HELD_PREFIX + one for one in contents if one in self._belief.held]
        if not keys:
            return
        removal = asyncio.create_task(self._remove(keys))
        self._removals.add(removal)
        removal.add_done_callback(self._removals.discard)

    async def run(self) -> None:
        """Write records until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_S)
            for content, due in list(self._due.items()):
                if content in self._belief.held:
                    self._due.pop(content, None)
                elif due <= loop.time():
                    await self._write(content)

    async def _write(self, content: ContentId) -> None:
        granted = await self._store.grant(HOLD_S)
        if isinstance(granted, Err):
            return
        key = HELD_PREFIX + content
        record = QuarantineRecord(self._node, self._list_crashed(content))
        write = KeyWrite(key, msgspec.json.encode(record), granted.ok_value)
        written = await self._store.commit([(key, Revision(0))], [write])
        if not isinstance(written, Err) or written.err_value is StoreFault.CONFLICT:
            self._due.pop(content, None)

    async def _remove(self, keys: list[str]) -> None:
        removed = await self._store.commit([], [], keys)
        if isinstance(removed, Err):
            # The record ends with its lease; until then whoever answers the
            # content clears it anew.
            _log.warning("record-not-removed", fault=removed.err_value.value)
