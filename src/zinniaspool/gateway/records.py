"""Records quarantined contents in the store.

A quarantine thereby outlasts the entry processes that counted the crashes.
"""

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
from zinniaspool.fleet import FleetStore, FleetView

__all__ = ["QuarantineRecordStore"]

_log = structlog.get_logger(__name__)

CHECK_INTERVAL_S = 0.2
"""Pause between checks for contents that are to be recorded, in seconds."""

MIN_WRITE_DELAY_S = 0.6  # seconds, a change is known to all by then
MAX_WRITE_DELAY_S = 2.0
"""Delay before a process records a quarantine that another process found, in
seconds. That process may have ended before it wrote the record. The delay is
random, since not all other processes need to write it."""


class QuarantineRecordStore:
    """Writes and removes the records of quarantined contents.

    Args:
        node: This process's VM.
        fleet_view: Has the contents that are recorded.
        store: The store that has the records.
        list_crashed_instances: Returns the instances that crashed while they
            had a content.
    """

    def __init__(
        self,
        node: NodeId,
        fleet_view: FleetView,
        store: FleetStore,
        list_crashed_instances: Callable[[ContentId], list[InstanceId]],
    ) -> None:
        self._node = node
        self._fleet_view = fleet_view
        self._store = store
        self._list_crashed_instances = list_crashed_instances
        self._write_due_at: dict[ContentId, float] = {}
        self._removals: set[asyncio.Task[None]] = set()

    def add(self, content: ContentId, *, found_here: bool) -> None:
        """Have a content recorded, by this process if no other one does it.

        Args:
            content: The quarantined content.
            found_here: Whether this process found the last crash. If so, it
                writes the record at once.
        """
        now = asyncio.get_running_loop().time()
        delay_s = (
            0.0 if found_here else random.uniform(MIN_WRITE_DELAY_S, MAX_WRITE_DELAY_S)
        )
        self._write_due_at[content] = now + delay_s

    def cancel_writes(self, contents: Collection[ContentId]) -> None:
        """Cancel the pending writes of contents that are released."""
        for content in contents:
            self._write_due_at.pop(content, None)

    def remove(self, contents: Collection[ContentId]) -> None:
        """Remove the records of contents that crash no upstream."""
        self.cancel_writes(contents)
        keys = [
            HELD_PREFIX + content
            for content in contents
            if content in self._fleet_view.quarantined
        ]
        if not keys:
            return
        removal = asyncio.create_task(self._remove(keys))
        self._removals.add(removal)
        removal.add_done_callback(self._removals.discard)

    async def run(self) -> None:
        """Write records until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for content, due_at in list(self._write_due_at.items()):
                if content in self._fleet_view.quarantined:
                    self._write_due_at.pop(content, None)
                elif due_at <= loop.time():
                    await self._write(content)

    async def _write(self, content: ContentId) -> None:
        granted = await self._store.grant(HOLD_S)
        if isinstance(granted, Err):
            return
        key = HELD_PREFIX + content
        record = QuarantineRecord(self._node, self._list_crashed_instances(content))
        write = KeyWrite(key, msgspec.json.encode(record), granted.ok_value)
        written = await self._store.commit([(key, Revision(0))], [write])
        if not isinstance(written, Err) or written.err_value is StoreFault.CONFLICT:
            self._write_due_at.pop(content, None)

    async def _remove(self, keys: list[str]) -> None:
        removed = await self._store.commit([], [], keys)
        if isinstance(removed, Err):
            # The record expires with its lease. Until then, each process that
            # answers the content clears it again.
            _log.warning("record-not-removed", fault=removed.err_value.value)
