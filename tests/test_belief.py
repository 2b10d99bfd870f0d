"""What a process believes of instances, whoever wrote their entries."""

import msgspec
import pytest
from structlog.testing import capture_logs

from zinniaspool.core.fleet import EngineStatus, InstanceId, MirrorChange, MirrorEvent
from zinniaspool.core.ids import ModelName, Revision
from zinniaspool.fleet import FleetBelief
from zinniaspool.platform.spelling import PlatformSpelling

ENTRY = {
    "service": "drafting",
    "address": "10.128.0.9:8080",
    "zone": "hall-a",
    "version": "v1",
    "slots": 13,
    "state": "ready",
    "cold-left-ms": 0,
    "seq-no": 4,
    "born": 1000,
    "domain": "d1",
    "models": [{"name": "large"}],
    "staged": [],
    "group": {"name": "g7", "epoch": 12, "rank": 1, "state": "ready"},
}
ONE, TWO = InstanceId("i-1"), InstanceId("i-2")


class Believer:
    """A belief that is told of one key after the other."""

    def __init__(self) -> None:
        self.belief = FleetBelief(PlatformSpelling())
        self.revision = 0

    def write(self, instance: InstanceId, value: bytes | None) -> list[MirrorChange]:
        self.revision += 1
        revision = Revision(self.revision)
        event = MirrorEvent(f"servers/{instance}", value, revision)
        changes = self.belief.mirror.apply([event], revision, 0.0)
        self.belief.take(changes)
        return changes

    def put(self, instance: InstanceId, **changes: object) -> None:
        self.write(instance, msgspec.json.encode({**ENTRY, **changes}))


@pytest.mark.parametrize("value", [b"\xff", b"{}", b'{"service":3}'])
def test_an_entry_of_another_writer_costs_only_itself(value: bytes) -> None:
    """Callers would be sent where the entry before it said.

    Somebody writes over one instance's entry. It names none any more, all
    others hold, and one line tells of it however often it is written.
    """
    told = Believer()
    told.put(ONE)
    told.put(TWO)
    with capture_logs() as lines:
        for _ in range(5):
            told.write(ONE, value)
    assert list(told.belief.instances) == [TWO]
    assert [one["event"] for one in lines].count("entry-unreadable") == 1
    told.put(ONE, born=1000)
    assert sorted(told.belief.instances) == [ONE, TWO]


def test_an_instance_that_starts_again_is_in_no_group_of_before() -> None:
    """Its group's callers would wait for a VM that holds nothing.

    The instance starts again, and the newest that the store has is from
    before: it is cut off from the store. It says so itself when asked.
    """
    told = Believer()
    told.put(ONE)
    status = EngineStatus(None, None, (), 0, 0, 1.0, born=2000)
    told.belief.amend(ONE, status)
    known = told.belief.instances[ONE]
    assert (known.membership, known.model, known.started_at_ms) == (None, None, 2000)


def test_what_an_earlier_life_wrote_is_not_believed_after_a_later_one() -> None:
    """The old life's write comes in late, after the new life's own.

    It names a group that nobody holds; the same after the entry was gone for
    a moment, and where the old life's answer to a question comes in late.
    """
    told = Believer()
    told.put(ONE, born=2000, group=None)
    told.put(ONE, born=1000)
    assert told.belief.instances[ONE].membership is None
    told.write(ONE, None)
    told.put(ONE, born=1000)
    assert ONE not in told.belief.instances
    told.put(ONE, born=2000, group=None)
    old = EngineStatus(None, None, (ModelName("small"),), 0, 0, 1.0, born=1000)
    told.belief.amend(ONE, old)
    assert told.belief.instances[ONE].staged == ()


def test_the_end_of_a_life_is_told_from_its_start() -> None:
    told = Believer()
    told.put(ONE)
    assert not told.belief.is_over(ONE, 1000)
    assert not told.belief.is_over(ONE, None)
    told.put(ONE, born=2000)
    assert told.belief.is_over(ONE, 1000)
    told.write(ONE, None)
    assert told.belief.is_over(ONE, 2000)
