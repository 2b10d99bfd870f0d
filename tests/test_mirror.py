"""A process's copy of the store never goes back and doubts outages."""

from hypothesis import given, strategies as st

from zinniaspool.core.fleet import MirrorEvent, StoredItem, StoreMirror
from zinniaspool.core.ids import Revision


def make_mirror() -> StoreMirror:
    return StoreMirror(lambda key: key.startswith("servers/"))


def put(key: str, revision: int, value: bytes = b"v") -> MirrorEvent:
    return MirrorEvent(key, value, Revision(revision))


def gone(key: str, revision: int) -> MirrorEvent:
    return MirrorEvent(key, None, Revision(revision))


def test_an_older_revision_changes_nothing() -> None:
    mirror = make_mirror()
    mirror.apply([put("a", 5, b"new")], Revision(5), 0.0)
    assert mirror.apply([put("a", 4, b"old")], Revision(4), 0.0) == []
    assert mirror.apply([gone("a", 3)], Revision(3), 0.0) == []
    item = mirror.get("a")
    assert item is not None and item.value == b"new"
    assert mirror.as_of == 5


def test_a_removed_key_does_not_come_back_by_an_old_copy() -> None:
    """A drained upstream would get requests again from a peer's old copy."""
    mirror = make_mirror()
    mirror.apply([put("a", 2), gone("a", 6)], Revision(6), 0.0)
    mirror.replace([StoredItem("a", b"v", Revision(2))], Revision(4), 0.0)
    assert mirror.get("a") is None


def test_a_removal_in_a_calm_store_counts_at_once() -> None:
    mirror = make_mirror()
    mirror.apply([put("servers/i", 2)], Revision(2), 0.0)
    assert len(mirror.apply([gone("servers/i", 3)], Revision(3), 9.0)) == 1


def test_entries_that_lapse_around_an_outage_are_doubted_for_a_while() -> None:
    """Every upstream would be taken for gone, though all of them live.

    Entries lapse while the store is away. Their owners write them again within
    two seconds of its return; one that does not is believed to be gone.
    """
    mirror = make_mirror()
    mirror.apply([put("servers/i", 2), put("servers/j", 3)], Revision(3), 0.0)
    mirror.disturb(10.0)
    lapsed = [gone("servers/i", 4), gone("servers/j", 5)]
    assert mirror.apply(lapsed, Revision(5), 10.1) == []
    mirror.apply([put("servers/i", 6)], Revision(6), 11.0)
    assert [change.key for change in mirror.expire(13.0)] == ["servers/j"]
    assert mirror.get("servers/i") is not None


def test_what_a_peer_tells_is_what_changed_since() -> None:
    mirror = make_mirror()
    mirror.replace([StoredItem("a", b"v", Revision(2))], Revision(3), 0.0)
    serial = mirror.serial
    mirror.apply([put("b", 4), gone("a", 5)], Revision(5), 0.0)
    told = {key: item for key, item, _ in mirror.list_since(serial)}
    assert told["a"] is None and told["b"] is not None
    assert {key for key, _, _ in mirror.list_newer(Revision(4))} == {"a"}


def test_an_amended_value_stays_until_the_store_tells_a_newer_one() -> None:
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
def test_any_order_of_tellings_ends_in_the_newest(
    events: list[tuple[str, int, bool]], source: object
) -> None:
    """Peers and the store tell the same changes in any order and twice."""
    unique = {revision: (key, there) for key, revision, there in events}
    wanted: dict[str, tuple[int, bool]] = {}
    for revision in sorted(unique):
        key, there = unique[revision]
        wanted[key] = (revision, there)
    told = [
        put(key, revision) if there else gone(key, revision)
        for revision, (key, there) in unique.items()
    ] * 2
    source.shuffle(told)  # type: ignore[attr-defined]
    mirror = make_mirror()
    for event in told:
        mirror.apply([event], event.revision, 0.0)
    for key, (revision, there) in wanted.items():
        item = mirror.get(key)
        assert (item is not None) == there
        assert item is None or item.revision == revision


def test_a_doubted_removal_is_not_told_as_known() -> None:
    """Callers would be sent to an entry VM that went long ago.

    A process doubts a removal, and a second one follows it meanwhile. Then
    the second follows a third, which believes the removal and tells what is
    newer than the second's copy. The removal must be among that.
    """
    doubter, follower, believer = make_mirror(), make_mirror(), make_mirror()
    for one in (doubter, believer):
        one.replace([StoredItem("servers/i", b"v", Revision(2))], Revision(2), 0.0)
    doubter.disturb(10.0)
    for one in (doubter, believer):
        one.apply([gone("servers/i", 5), put("a", 7)], Revision(7), 10.5)
    follower.replace(doubter.items(), doubter.believed_as_of, 10.6)
    for key, item, revision in believer.list_newer(follower.as_of):
        value = None if item is None else item.value
        follower.apply([MirrorEvent(key, value, revision)], Revision(7), 10.7)
    assert follower.get("servers/i") is None
    assert follower.get("a") is not None
