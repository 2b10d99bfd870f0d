"""Instances in a process's fleet view, with records of any writer."""

import msgspec
import pytest
from structlog.testing import capture_logs

from zinniaspool.core.fleet import (
    EngineStatus,
    InstanceId,
    MembershipState,
    MirrorChange,
    MirrorEvent,
)
from zinniaspool.core.ids import ModelName, Revision
from zinniaspool.fleet import FleetView
from zinniaspool.platform.spelling import PlatformCodec
from zinniaspool_standins.installation import make_rules

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

    def __init__(self, view: FleetView | None = None) -> None:
        self.view = view or FleetView(PlatformCodec())
        self.revision = 0

    def write(self, instance: InstanceId, value: bytes | None) -> list[MirrorChange]:
        return self.write_key(f"servers/{instance}", value)

    def write_key(self, key: str, value: bytes | None) -> list[MirrorChange]:
        self.revision += 1
        revision = Revision(self.revision)
        event = MirrorEvent(key, value, revision)
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


def test_a_new_process_gets_the_configuration_beside_a_port_of_5000_digits() -> None:
    """Otherwise a process that starts with such a record serves no request."""
    writer = ViewWriter()
    configured: list[bool] = []
    writer.view.on_catalog.append(lambda: configured.append(True))
    record = {**RECORD, "address": "127.0.0.9:" + "8" * 5000}
    revision = Revision(1)
    events = [
        MirrorEvent("op/config", msgspec.json.encode(make_rules(1, ["k"])), revision),
        MirrorEvent("servers/w-77", msgspec.json.encode(record), revision),
        MirrorEvent("servers/i-1", msgspec.json.encode(RECORD), revision),
    ]
    writer.view.apply_changes(writer.view.mirror.apply(events, revision, 0.0))
    assert configured == [True]
    assert list(writer.view.instances) == [FIRST]


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


class RetainingView:
    """A view that keeps instances without records, on a clock of its own."""

    def __init__(self) -> None:
        self.now = 100.0
        self.view = FleetView(
            PlatformCodec(), retains_instances=True, clock=lambda: self.now
        )
        self.writer = ViewWriter(self.view)
        rules = msgspec.json.encode(make_rules(1, ["key"]))
        self.writer.write_key("op/config", rules)
        self.writer.put(FIRST)
        self.wait(0.2)

    def hear(self, *retained: InstanceId) -> None:
        """Receive a heartbeat of the holder."""
        states = dict.fromkeys(retained, MembershipState.READY)
        self.view.update_retained(states, 0.0)

    def wait(self, seconds: float, *retained: InstanceId) -> list[InstanceId]:
        """Pass time with heartbeats; return the instances at its end."""
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            self.hear(*retained)
        return list(self.view.instances)


def test_a_removed_instance_is_kept_until_the_holder_has_decided() -> None:
    """Callers would lose a group that the holder retains a moment later.

    The holder's decision takes half a second. An instance that it has not
    reported by the end of the grace is dropped, and so is one that it no
    longer reports.
    """
    kept = RetainingView()
    kept.writer.write(FIRST, None)
    assert kept.wait(0.5) == [FIRST]
    assert kept.wait(3.0, FIRST) == [FIRST]
    assert kept.wait(0.1) == []
    kept.writer.put(FIRST)
    kept.writer.write(FIRST, None)
    assert kept.wait(0.7) == [FIRST]
    assert kept.wait(0.2) == []
    kept.writer.put(FIRST)
    kept.writer.write(FIRST, None)
    assert kept.wait(0.2, FIRST) == [FIRST]
    assert kept.wait(0.1) == []


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "draining"},
        {"group": None},
        {"group": {"name": "g7", "epoch": 12, "rank": 1, "state": "joining"}},
        {"service": "cards"},
    ],
)
def test_only_loaded_members_that_do_not_leave_are_kept(
    changes: dict[str, object],
) -> None:
    """Others announced their end, or are in no group that serves."""
    kept = RetainingView()
    kept.writer.put(FIRST, **changes)
    kept.writer.write(FIRST, None)
    assert list(kept.view.instances) == []


def test_a_process_that_was_cut_off_keeps_no_removed_instance() -> None:
    """The removal is old when it arrives; the upstream may be about to end.

    The process hears the holder again with the update that has the removal.
    """
    kept = RetainingView()
    kept.now += 1.5
    kept.view.retention.receive_report({}, 0.0)
    kept.writer.write(FIRST, None)
    assert list(kept.view.instances) == []


def test_an_instance_that_the_holder_found_unreachable_is_not_kept() -> None:
    kept = RetainingView()
    kept.view.update_unreachable({FIRST}, 0.0)
    kept.writer.write(FIRST, None)
    assert list(kept.view.instances) == []


def test_a_removal_that_was_deferred_is_not_deferred_again() -> None:
    """An upstream that ended in an outage of the store would get requests.

    The removal is applied 2.4 s after the store's return. With the grace, the
    instance would be used for longer than it may serve.
    """
    kept = RetainingView()
    kept.view.mirror.mark_outage(0.0)
    kept.writer.write(FIRST, None)
    assert list(kept.view.instances) == [FIRST]
    kept.view.apply_changes(kept.view.mirror.apply_due_changes(2.5))
    assert list(kept.view.instances) == []


def test_a_late_record_of_an_earlier_incarnation_ends_no_retention() -> None:
    """Otherwise the rejected record would keep the instance for ever."""
    kept = RetainingView()
    kept.writer.write(FIRST, None)
    kept.writer.put(FIRST, born=999)
    assert kept.wait(0.5) == [FIRST]
    assert kept.wait(0.4) == []


def test_a_dropped_instance_is_used_again_once_the_holder_retains_it() -> None:
    """A process with late heartbeats would lose the group for seconds."""
    kept = RetainingView()
    kept.writer.write(FIRST, None)
    assert kept.wait(1.0) == []
    assert kept.wait(0.1, FIRST) == [FIRST]
    kept.now += 1.6
    kept.view.settle_retained()
    assert list(kept.view.instances) == []
