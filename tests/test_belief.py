"""Instances in a process's fleet view, with records of any writer."""

import msgspec
import pytest
from structlog.testing import capture_logs

from zinniaspool.core.fleet import EngineStatus, InstanceId, MirrorChange, MirrorEvent
from zinniaspool.core.ids import ModelName, Revision
from zinniaspool.fleet import FleetView
from zinniaspool.platform.spelling import PlatformCodec

RECORD = {
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
FIRST, SECOND = InstanceId("i-1"), InstanceId("i-2")


class ViewWriter:
    """A fleet view that receives the records of instances one by one."""

    def __init__(self) -> None:
        self.view = FleetView(PlatformCodec())
        self.revision = 0

    def write(self, instance: InstanceId, value: bytes | None) -> list[MirrorChange]:
        self.revision += 1
        revision = Revision(self.revision)
        event = MirrorEvent(f"servers/{instance}", value, revision)
        changes = self.view.mirror.apply([event], revision, 0.0)
        self.view.apply_changes(changes)
        return changes

    def put(self, instance: InstanceId, **changes: object) -> None:
        self.write(instance, msgspec.json.encode({**RECORD, **changes}))


@pytest.mark.parametrize("value", [b"\xff", b"{}", b'{"service":3}'])
def test_an_invalid_record_removes_only_its_own_instance(value: bytes) -> None:
    """Without it callers would be sent to the address of the earlier record.

    Another client of the store overwrites an instance's record. The instance
    is removed, all others stay, and the fault is logged once however often the
    record is written.
    """
    writer = ViewWriter()
    writer.put(FIRST)
    writer.put(SECOND)
    with capture_logs() as lines:
        for _ in range(5):
            writer.write(FIRST, value)
    assert list(writer.view.instances) == [SECOND]
    assert [line["event"] for line in lines].count("entry-unreadable") == 1
    writer.put(FIRST, born=1000)
    assert sorted(writer.view.instances) == [FIRST, SECOND]


def test_a_restarted_instance_is_no_longer_in_its_group() -> None:
    """Otherwise callers of its group wait for a VM without a loaded model.

    The instance restarts while it is cut off from the store, so its record is
    from before the restart. Its own status report shows the restart.
    """
    writer = ViewWriter()
    writer.put(FIRST)
    status = EngineStatus(None, None, (), 0, 0, 1.0, born=2000)
    writer.view.apply_status(FIRST, status)
    known = writer.view.instances[FIRST]
    assert (known.membership, known.model, known.started_at_ms) == (None, None, 2000)


def test_a_late_write_of_an_earlier_incarnation_is_ignored() -> None:
    """A write from before a restart arrives after the first one since.

    It names a group that the instance is no longer in. The same holds after
    the record was removed for a moment, and for a late status report of the
    earlier incarnation.
    """
    writer = ViewWriter()
    writer.put(FIRST, born=2000, group=None)
    writer.put(FIRST, born=1000)
    assert writer.view.instances[FIRST].membership is None
    writer.write(FIRST, None)
    writer.put(FIRST, born=1000)
    assert FIRST not in writer.view.instances
    writer.put(FIRST, born=2000, group=None)
    late = EngineStatus(None, None, (ModelName("small"),), 0, 0, 1.0, born=1000)
    writer.view.apply_status(FIRST, late)
    assert writer.view.instances[FIRST].staged == ()


def test_the_end_of_an_incarnation_is_detected_by_its_start() -> None:
    writer = ViewWriter()
    writer.put(FIRST)
    assert not writer.view.has_ended(FIRST, 1000)
    assert not writer.view.has_ended(FIRST, None)
    writer.put(FIRST, born=2000)
    assert writer.view.has_ended(FIRST, 1000)
    writer.write(FIRST, None)
    assert writer.view.has_ended(FIRST, 2000)
