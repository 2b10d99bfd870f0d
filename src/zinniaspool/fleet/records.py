"""The record of a process in the store, which this process alone writes.

A write that stays without an answer may be applied seconds later, also after
its process has been started anew. So each write requires the revision that the
record was last seen at, and such a late write changes nothing.
"""

from collections.abc import Callable

from result import Err

from zinniaspool.core.fleet import StoreMirror
from zinniaspool.core.ids import Revision
from zinniaspool.core.storage import KeyWrite, LeaseNumber, StoreFault
from zinniaspool.fleet.store import FleetStore

__all__ = ["OwnRecord"]

MAX_WRITES = 3
"""Writes that are made in a row while the record is at another revision than
expected."""


class OwnRecord:
    """Writes one record under this process's lease, and finds it replaced.

    Args:
        key: The record's key.
        store: The store.
        mirror: This process's copy of the store.
    """

    def __init__(self, key: str, store: FleetStore, mirror: StoreMirror) -> None:
        self._key = key
        self._store = store
        self._mirror = mirror
        self._revision: Revision | None = None
        self._written: tuple[bytes, LeaseNumber] | None = None

    def is_current(self, value: bytes, lease: LeaseNumber) -> bool:
        """Return whether the store has this value under this lease."""
        return self._written == (value, lease) and not self._is_replaced

    @property
    def _is_replaced(self) -> bool:
        """Whether the copy shows another write, or the record's removal."""
        if self._revision is None or self._mirror.as_of < self._revision:
            return False
        item = self._mirror.get(self._key)
        return item is None or item.revision > self._revision

    async def write(self, make_value: Callable[[], bytes], lease: LeaseNumber) -> bool:
        """Write the record; return whether it is certainly in the store.

        Args:
            make_value: Returns the value to write. It is called for each
                attempt, since the value may change meanwhile.
            lease: The lease with which the record expires.
        """
        if self._revision is None or self._is_replaced:
            item = self._mirror.get(self._key)
            self._revision = Revision(0) if item is None else item.revision
        for _ in range(MAX_WRITES):
            value = make_value()
            committed = await self._store.commit(
                [(self._key, self._revision)], [KeyWrite(self._key, value, lease)]
            )
            if not isinstance(committed, Err):
                self._revision = committed.ok_value
                self._written = (value, lease)
                return True
            if committed.err_value not in (StoreFault.CONFLICT, StoreFault.UNKNOWN):
                return False
            # A value like this one may be of an earlier start, and expire with
            # its lease, so only the revision counts.
            stored = await self._store.get(self._key)
            if isinstance(stored, Err):
                return False
            item = stored.ok_value
            self._revision = Revision(0) if item is None else item.revision
        return False
