"""What a process knows of the runs of instances that leave."""

import msgspec

from tests.test_belief import FIRST, RECORD, ViewWriter
from zinniaspool.core.fleet import (
    EngineStatus,
    InstanceId,
    InstanceIncarnation,
    InstanceState,
    LeavingRun,
    LeavingRuns,
    LeavingSource,
)
from zinniaspool.core.ids import Address, FailureDomainId, NodeId
from zinniaspool.core.messages.fleet import InstanceAnswer, LeavingInstance
from zinniaspool.fleet import FleetView, UpstreamConnector
from zinniaspool.http import HttpClient
from zinniaspool.platform.orders import EngineClient
from zinniaspool.platform.spelling import PlatformCodec

RUN = InstanceIncarnation(FIRST, 5)


def test_a_status_that_says_so_closes_its_instance() -> None:
    """Guards against requests to an upstream that told only the holder."""
    writer = ViewWriter()
    writer.put(FIRST, born=5)
    writer.view.apply_status(
        FIRST, EngineStatus(None, None, (), 0, 0, 1.0, 5, is_leaving=True)
    )
    assert writer.view.instances[FIRST].state is InstanceState.LEAVING


def test_a_status_says_so_in_its_header_too() -> None:
    """Guards against a status whose body lacks what its header says."""
    engines = EngineClient(HttpClient())
    answer = InstanceAnswer(200, [("server-leaving", "1")], b"{}")
    assert engines.decode_status(answer).unwrap().is_leaving


def test_what_an_earlier_run_said_does_not_close_the_next_one() -> None:
    """Guards against a report that arrives after the restart."""
    writer = ViewWriter()
    writer.put(FIRST, born=6)
    report = LeavingInstance(FIRST, 5, NodeId("n"))
    writer.view.apply_leaving_report(report, LeavingSource.PEER)
    assert writer.view.instances[FIRST].state is InstanceState.READY


def write_without_start(writer: ViewWriter, **changes: object) -> None:
    """Write a record that lacks the start of its instance."""
    record = {**RECORD, **changes}
    del record["born"]
    writer.write(FIRST, msgspec.json.encode(record))


def test_a_record_without_a_start_closes_the_run_that_is_known() -> None:
    """Guards against requests to one whose last record lacks its start."""
    writer = ViewWriter()
    writer.put(FIRST, born=5)
    write_without_start(writer, state="draining", group=None)
    known = writer.view.instances[FIRST]
    assert known.state is InstanceState.LEAVING
    assert known.started_at_ms == 5
    assert known.membership is not None
    writer.put(FIRST, born=5)
    assert writer.view.instances[FIRST].state is InstanceState.READY


def test_a_record_without_a_start_at_another_address_closes_nothing() -> None:
    """Guards against an earlier process under the same id that leaves late."""
    writer = ViewWriter()
    writer.put(FIRST, born=5)
    write_without_start(writer, state="draining", address="10.128.0.10:8080")
    assert writer.view.instances[FIRST].state is InstanceState.READY


def test_an_answer_counts_more_than_the_next_record() -> None:
    """Guards against a late record that takes back what was answered."""
    writer = ViewWriter()
    writer.put(FIRST, born=5, state="draining")
    assert writer.view.record_leaving(RUN, LeavingSource.ANSWER)
    writer.put(FIRST, born=5, state="ready")
    assert writer.view.instances[FIRST].state is InstanceState.LEAVING


def test_followers_are_told_once_of_what_records_do_not_show() -> None:
    """Guards against updates that grow with each run that ever left."""
    now = 0.0
    view = FleetView(PlatformCodec(), clock=lambda: now)
    writer = ViewWriter(view)
    writer.put(FIRST, born=5)
    writer.put(InstanceId("i-2"), state="draining")
    before = view.mirror.serial
    view.record_leaving(RUN, LeavingSource.ANSWER)
    told = [run.incarnation for run in view.list_leaving_since(before)]
    assert told == [RUN]
    assert view.list_leaving_since(view.mirror.serial) == []
    writer.write(FIRST, None)
    assert len(view.list_leaving_since(0)) == 1
    now = 3600.0
    assert view.list_leaving_since(0) == []


def test_the_runs_that_are_remembered_are_limited() -> None:
    """Guards against memory that grows with each run that ever left."""
    runs = LeavingRuns()
    for number in range(5000):
        incarnation = InstanceIncarnation(InstanceId(f"i-{number}"), None)
        assert runs.record(LeavingRun(incarnation, LeavingSource.ANSWER, 0.0))
    assert len(list(runs)) == 4096
    assert runs.find(incarnation) is not None


def test_a_reused_address_leads_to_the_instance_that_serves() -> None:
    """Guards against a tunnel that is refused for the instance of before."""
    writer = ViewWriter()
    paths = UpstreamConnector(NodeId("n"), FailureDomainId("a"), writer.view)
    writer.write(FIRST, msgspec.json.encode({**RECORD, "state": "draining"}))
    writer.put(InstanceId("i-2"))
    found = paths._find_instance(Address(str(RECORD["address"])))
    assert found is not None
    assert found.id == "i-2"
