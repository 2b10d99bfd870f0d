"""The copy of the store never goes back, and survives outages of the store."""

from hypothesis import given, strategies as st

from zinniaspool.core.fleet import MirrorEvent, StoredItem, StoreMirror
from zinniaspool.core.ids import Revision


def make_mirror() -> StoreMirror:
    return StoreMirror(lambda key: key.startswith("servers/"))


def put(key: str, revision: int, value: bytes = b"v") -> MirrorEvent:
    return MirrorEvent(key, value, Revision(revision))


def removal(key: str, revision: int) -> MirrorEvent:
    return MirrorEvent(key, None, Revision(revision))


def test_an_older_revision_changes_nothing() -> None:
    mirror = make_mirror()
    mirror.apply([put("a", 5, b"new")], Revision(5), 0.0)
    assert mirror.apply([put("a", 4, b"old")], Revision(4), 0.0) == []
    assert mirror.apply([removal("a", 3)], Revision(3), 0.0) == []
    item = mirror.get("a")
    assert item is not None and item.value == b"new"
    assert mirror.as_of == 5


def test_an_old_copy_does_not_restore_a_removed_key() -> None:
    """A drained upstream would receive requests again by a peer's old copy."""
    mirror = make_mirror()
    mirror.apply([put("a", 2), removal("a", 6)], Revision(6), 0.0)
    mirror.replace([StoredItem("a", b"v", Revision(2))], Revision(4), 0.0)
    assert mirror.get("a") is None


def test_a_removal_without_an_outage_is_applied_at_once() -> None:
    mirror = make_mirror()
    mirror.apply([put("servers/i", 2)], Revision(2), 0.0)
    assert len(mirror.apply([removal("servers/i", 3)], Revision(3), 9.0)) == 1


def test_removals_around_an_outage_are_deferred() -> None:
    """All upstreams would seem to have ended although they are running.

    Ephemeral keys expire while the store is down. Their owners write them
    again within two seconds of its return; a key that is not written again
    is removed.
    """
    mirror = make_mirror()
    mirror.apply([put("servers/i", 2), put("servers/j", 3)], Revision(3), 0.0)
    mirror.mark_outage(10.0)
    expired = [removal("servers/i", 4), removal("servers/j", 5)]
    assert mirror.apply(expired, Revision(5), 10.1) == []
    mirror.apply([put("servers/i", 6)], Revision(6), 11.0)
    assert [change.key for change in mirror.apply_due_changes(13.0)] == ["servers/j"]
    assert mirror.get("servers/i") is not None


def test_changes_are_listed_since_a_serial_or_a_revision() -> None:
    mirror = make_mirror()
    mirror.replace([StoredItem("a", b"v", Revision(2))], Revision(3), 0.0)
    serial = mirror.serial
    mirror.apply([put("b", 4), removal("a", 5)], Revision(5), 0.0)
    changed = {key: item for key, item, _ in mirror.list_since_serial(serial)}
    assert changed["a"] is None and changed["b"] is not None
    assert {key for key, _, _ in mirror.list_since_revision(Revision(4))} == {"a"}


def test_an_amended_value_stays_until_the_store_has_a_newer_one() -> None:
    mirror = make_mirror()
    mirror.apply([put("servers/i", 2, b"old")], Revision(2), 0.0)
    mirror.amend("servers/i", b"by itself")
    mirror.replace([StoredItem("servers/i", b"old", Revision(2))], Revision(3), 0.0)
    item = mirror.get("servers/i")
    assert item is not None and item.value == b"by itself"
    mirror.apply([put("servers/i", 4, b"newest")], Revision(4), 0.0)
    item = mirror.get("servers/i")
    assert item is not None and item.value == b"newest"


_EVENTS = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(1, 30), st.booleans()), max_size=30
)


@given(_EVENTS, st.randoms(use_true_random=False))
def test_any_order_of_events_ends_in_the_newest_state(
    events: list[tuple[str, int, bool]], source: object
) -> None:
    """Peers and the store report the same changes in any order and twice."""
    unique = {revision: (key, present) for key, revision, present in events}
    wanted: dict[str, tuple[int, bool]] = {}
    for revision in sorted(unique):
        key, present = unique[revision]
        wanted[key] = (revision, present)
    reported = [
        put(key, revision) if present else removal(key, revision)
        for revision, (key, present) in unique.items()
    ] * 2
    source.shuffle(reported)  # type: ignore[attr-defined]
    mirror = make_mirror()
    for event in reported:
        mirror.apply([event], event.revision, 0.0)
    for key, (revision, present) in wanted.items():
        item = mirror.get(key)
        assert (item is not None) == present
        assert item is None or item.revision == revision


def test_a_deferred_removal_is_not_reported_as_applied() -> None:
    """Callers would be sent to an entry VM that left long ago.

    A process defers a removal, and a follower reads its copy meanwhile. Then
    the follower changes to another process, which has applied the removal
    and reports the changes that are newer than the follower's copy. The
    removal must be among them.
    """
    deferring, follower, applied = make_mirror(), make_mirror(), make_mirror()
    for mirror in (deferring, applied):
        mirror.replace([StoredItem("servers/i", b"v", Revision(2))], Revision(2), 0.0)
    deferring.mark_outage(10.0)
    for mirror in (deferring, applied):
        mirror.apply([removal("servers/i", 5), put("a", 7)], Revision(7), 10.5)
    follower.replace(deferring.items(), deferring.confirmed_as_of, 10.6)
    for key, item, revision in applied.list_since_revision(follower.as_of):
        value = None if item is None else item.value
        follower.apply([MirrorEvent(key, value, revision)], Revision(7), 10.7)
    assert follower.get("servers/i") is None
    assert follower.get("a") is not None
