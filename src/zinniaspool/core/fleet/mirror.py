"""A process's copy of the store's keys.

The copy only moves forward: an older revision of a key never replaces a newer
one, whether it comes from the store or from a peer.

Ephemeral keys, whose owners keep them alive by heartbeats, need one more
rule. While the store is down they expire although their owners run, and the
owners write them again within seconds of the store's return. If each of these
removals counted as the end of an instance, every outage would empty the
fleet. So for a while after an outage the copy defers such a removal, and
applies it only if the key is still missing at the end of that time. The same
holds after the store came back from an older copy. An ephemeral key that was
removed since then is in the store again, although its owner may have ended. It
counts as absent until its owner writes it, or for some seconds.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from zinniaspool.core.generations import find_generation
from zinniaspool.core.ids import Revision

__all__ = ["MirrorChange", "MirrorEvent", "StoreMirror", "StoredItem"]

REMOVAL_GRACE_S = 2.4
"""Seconds after an outage of the store for which the removal of an ephemeral
key is deferred. Owners need up to two seconds to write their keys again; the
rest covers the delay until the write arrives here."""


RESTORED_KEY_DELAY_S = 5.0
"""Seconds after a restore of the store for which a removed ephemeral key that
is back counts as absent. The store removes it within this time if its owner
has ended."""

MAX_REMEMBERED_REMOVALS = 8192
"""Number of removals that are remembered. A peer's copy can be behind by a few
seconds, in which far fewer keys are removed."""


@dataclass(frozen=True, slots=True)
class StoredItem:
    """The value of one key at one revision."""

    key: str
    value: bytes
    revision: Revision


@dataclass(frozen=True, slots=True)
class MirrorEvent:
    """A change that the store or a peer reports.

    Attributes:
        key: The key that changed.
        value: The new value; None if the key was removed.
        revision: The store's revision of the write or of the removal.
    """

    key: str
    value: bytes | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class MirrorChange:
    """A change of one key of the copy; None stands for an absent key.

    Attributes:
        key: The key.
        before: Its item before the change.
        after: Its item since the change.
        was_deferred: Whether it is a removal that was deferred after an
            outage of the store.
    """

    key: str
    before: StoredItem | None
    after: StoredItem | None
    was_deferred: bool = False


class StoreMirror:
    """A copy of the store's keys that is kept from the store and from peers.

    Args:
        is_ephemeral: Returns whether a key expires unless its owner keeps it
            alive.

    Attributes:
        as_of: The store's revision up to which the copy is complete.
        serial: Increases with each change of this copy.
        history_start: The store's revision from which on the copy knows all
            removals; 0 before the first full read.
    """

    def __init__(self, is_ephemeral: Callable[[str], bool]) -> None:
        self.as_of = Revision(0)
        self.serial = 0
        self.history_start = Revision(0)
        self._amended: set[str] = set()
        self._last_changes: dict[str, tuple[int, Revision]] = {}
        self._is_ephemeral = is_ephemeral
        self._items: dict[str, StoredItem] = {}
        self._removal_revisions: dict[str, Revision] = {}
        self._deferred_until: dict[str, float] = {}
        self._delayed_items: dict[str, tuple[StoredItem, float]] = {}
        self._grace_ends_at = float("-inf")

    @property
    def is_loaded(self) -> bool:
        """Whether the copy holds any state of the store yet."""
        return self.as_of > 0

    @property
    def generation(self) -> int:
        """The store's generation that the copy shows."""
        return find_generation(self.as_of)

    @property
    def confirmed_as_of(self) -> Revision:
        """The store's revision up to which every change has been applied.

        A deferred removal is not passed on to followers yet. If a follower
        regarded this copy as complete beyond that removal, and then followed
        another process that has already applied it, the follower would never
        learn of the removal and would keep the key for good.
        """
        deferred = [
            self._removal_revisions[key]
            for key in self._deferred_until
            if key in self._removal_revisions
        ]
        return Revision(min([self.as_of, *(revision - 1 for revision in deferred)]))

    def get(self, key: str) -> StoredItem | None:
        """Return a key's item, or None."""
        return self._items.get(key)

    def list_by_prefix(self, prefix: str) -> list[StoredItem]:
        """Return the items whose keys start with a prefix."""
        return [item for key, item in self._items.items() if key.startswith(prefix)]

    def items(self) -> list[StoredItem]:
        """Return all items."""
        return list(self._items.values())

    def list_since_serial(
        self, serial: int
    ) -> list[tuple[str, StoredItem | None, Revision]]:
        """Return the keys that changed after a serial number of this copy.

        Each key comes with its item, or None if it was removed, and with the
        revision of its last change.
        """
        return [
            (key, self._items.get(key), changed_at)
            for key, (changed_as, changed_at) in self._last_changes.items()
            if changed_as > serial
        ]

    def list_since_revision(
        self, revision: Revision
    ) -> list[tuple[str, StoredItem | None, Revision]]:
        """Return the keys that changed after a revision of the store.

        Amended keys are always included, since their revision does not show
        the amendment. The result has the form of ``list_since_serial``.
        """
        return [
            (key, self._items.get(key), changed_at)
            for key, (_, changed_at) in self._last_changes.items()
            if changed_at > revision or key in self._amended
        ]

    def bump_serial(self) -> None:
        """Advance the serial, so that followers are sent an update."""
        self.serial += 1

    def _record_change(self, key: str, revision: Revision) -> None:
        self.serial += 1
        self._last_changes[key] = (self.serial, revision)

    def amend(self, key: str, value: bytes) -> list[MirrorChange]:
        """Replace a key's value by what its owner reports directly.

        While the store is down, owners' own reports are the only source. The
        key keeps its revision, so that any later write from the store
        replaces the amended value.
        """
        before = self._items.get(key)
        if before is None or before.value == value:
            return []
        return self._put(StoredItem(key, value, before.revision), amended=True)

    def count_outdated(self, items: Iterable[StoredItem]) -> int:
        """Return how many items are older than what the copy has of them."""
        return sum(
            before is not None and item.revision < before.revision
            for item in items
            for before in (self._items.get(item.key),)
        )

    def mark_outage(self, now: float) -> None:
        """Record that the store is down, and defer removals for a while."""
        self._grace_ends_at = now + REMOVAL_GRACE_S

    def replace(
        self,
        items: Iterable[StoredItem],
        as_of: Revision,
        now: float,
        *,
        amended: bool = False,
    ) -> list[MirrorChange]:
        """Merge a full read of the store, or of a peer's copy.

        Keys that the read lacks are removed, except for those that were
        written after ``as_of``.

        Args:
            items: All keys.
            as_of: The oldest revision of the store that the read shows.
            now: Seconds.
            amended: Whether values may be newer than their revisions, as in
                the copy of a peer that amends values itself.
        """
        changes: list[MirrorChange] = []
        is_restored = self.is_loaded and find_generation(as_of) > self.generation
        if is_restored:
            # Owners write their keys again as after an outage. What was
            # removed between the copy and the restore is not known.
            self.mark_outage(now)
            self.history_start = as_of
        self.history_start = self.history_start or as_of
        seen = set()
        for item in items:
            seen.add(item.key)
            if is_restored and self._was_removed(item.key):
                self._delayed_items[item.key] = (item, now + RESTORED_KEY_DELAY_S)
                continue
            changes += self._put(item, amended=amended)
        for key, item in list(self._items.items()):
            if key not in seen and item.revision <= as_of:
                changes += self._remove(key, as_of, now)
        self.as_of = max(self.as_of, as_of)
        return changes

    def apply(
        self,
        events: Iterable[MirrorEvent],
        as_of: Revision,
        now: float,
        *,
        amended: bool = False,
    ) -> list[MirrorChange]:
        """Apply the changes that a watch reports up to a revision.

        Args:
            events: The changes.
            as_of: The store's revision up to which they are complete.
            now: Seconds.
            amended: As for ``replace``.
        """
        changes: list[MirrorChange] = []
        for event in events:
            if event.value is None:
                changes += self._remove(event.key, event.revision, now)
            else:
                item = StoredItem(event.key, event.value, event.revision)
                changes += self._put(item, amended=amended)
        self.as_of = max(self.as_of, as_of)
        return changes

    def apply_due_changes(self, now: float) -> list[MirrorChange]:
        """Apply the changes that were deferred until now."""
        changes: list[MirrorChange] = []
        for item, due_at in list(self._delayed_items.values()):
            if due_at <= now:
                changes += self._put(item, amended=False)
        return changes + self._apply_due_removals(now)

    def _apply_due_removals(self, now: float) -> list[MirrorChange]:
        if self._grace_ends_at > now:
            return []
        due = [key for key, until in self._deferred_until.items() if until <= now]
        changes: list[MirrorChange] = []
        for key in due:
            del self._deferred_until[key]
            before = self._items.pop(key, None)
            if before is not None:
                self._record_change(
                    key, self._removal_revisions.get(key, before.revision)
                )
                changes.append(MirrorChange(key, before, None, was_deferred=True))
        return changes

    def _was_removed(self, key: str) -> bool:
        """Return whether an ephemeral key was removed that existed before."""
        is_known = key in self._removal_revisions and key not in self._items
        return is_known and self._is_ephemeral(key)

    def _put(self, item: StoredItem, *, amended: bool) -> list[MirrorChange]:
        self._delayed_items.pop(item.key, None)
        before = self._items.get(item.key)
        if before is not None and before.revision > item.revision:
            return []
        if self._removal_revisions.get(item.key, 0) >= item.revision:
            return []
        self._removal_revisions.pop(item.key, None)
        self._deferred_until.pop(item.key, None)
        same = before is not None and before.revision == item.revision
        if before is not None and same and (not amended or before == item):
            return []
        self._items[item.key] = item
        if same:
            self._amended.add(item.key)
        else:
            self._amended.discard(item.key)
        self._record_change(item.key, item.revision)
        return [MirrorChange(item.key, before, item)]

    def _remember_removal(self, key: str, revision: Revision) -> None:
        known = self._removal_revisions.pop(key, Revision(0))
        self._removal_revisions[key] = max(known, revision)
        if len(self._removal_revisions) > MAX_REMEMBERED_REMOVALS:
            del self._removal_revisions[next(iter(self._removal_revisions))]

    def _remove(self, key: str, revision: Revision, now: float) -> list[MirrorChange]:
        before = self._items.get(key)
        if before is not None and before.revision > revision:
            return []
        self._delayed_items.pop(key, None)
        # An absent key's removal is remembered too: an older copy of a peer
        # may still contain the key.
        self._remember_removal(key, revision)
        if before is None:
            return []
        if self._is_ephemeral(key) and now < self._grace_ends_at:
            self._deferred_until.setdefault(key, self._grace_ends_at)
            return []
        self._deferred_until.pop(key, None)
        del self._items[key]
        self._record_change(key, revision)
        return [MirrorChange(key, before, None)]
