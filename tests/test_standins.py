"""The stand-ins keep their own rules, on which the proofs rely."""

from pathlib import Path

import pytest
from hypothesis import given, strategies as st

from zinniaspool.core.ids import Epoch, GroupId, ModelName, ModelVersion, VmId
from zinniaspool.core.plans import EngineState, Order, OrderKind
from zinniaspool_standins.batching import Batch, read_urgency
from zinniaspool_standins.faults import UpstreamFaults, switch_faults
from zinniaspool_standins.holding import Followed, Holding
from zinniaspool_standins.kvstore import CallBudget
from zinniaspool_standins.load import LaggedLoad
from zinniaspool_standins.prefixes import CacheChange, PrefixCache
from zinniaspool_standins.runs import RunLog, RunRecord, read_runs
from zinniaspool_standins.weights import RateSchedule


def test_the_most_urgent_request_gets_the_next_slot() -> None:
    batch = Batch(slots=1, queue=2)
    first, late, urgent = batch.submit(3), batch.submit(5), batch.submit(0)
    assert batch.submit(0) is None
    assert first is not None and late is not None and urgent is not None
    batch.end(first)
    assert batch.runs(urgent) and not batch.runs(late)
    batch.end(late)
    batch.end(urgent)
    assert (batch.running, batch.waiting) == (0, 0)


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 7)), max_size=40))
def test_slots_are_never_exceeded_nor_left_idle(steps: list[tuple[bool, int]]) -> None:
    batch = Batch(slots=3, queue=5)
    held: list[int] = []
    for submits, urgency in steps:
        if submits:
            number = batch.submit(urgency)
            held += [] if number is None else [number]
        elif held:
            batch.end(held.pop(urgency % len(held)))
        assert batch.running == min(3, len(held))
        assert batch.running + batch.waiting == len(held)


@pytest.mark.parametrize(
    ("header", "urgency"), [(None, 3), ("u=0", 0), ("i, u=9", 7), ("u=x", 3)]
)
def test_urgency_is_read_from_the_priority_header(
    header: str | None, urgency: int
) -> None:
    assert read_urgency(header) == urgency


def test_load_is_told_with_its_lag() -> None:
    load = LaggedLoad(lag_s=1.0)
    load.record(1, 0, now=10.0)
    load.record(2, 5, now=10.5)
    assert load.tell(10.9).running == 0
    assert load.tell(11.0).running == 1
    assert load.tell(12.0).waiting == 5


def test_cache_events_come_late_and_with_gaps() -> None:
    cache = PrefixCache(capacity=2, lag_s=1.0, lose_every=2)
    assert cache.admit("a b c d e f g h", "", now=0.0) == 2
    assert cache.admit("a b c d", "", now=0.1) == 0
    assert cache.admit("a b c d", "other", now=0.2) == 1
    assert cache.list_events(0, now=0.9) == []
    told = cache.list_events(0, now=2.0)
    assert [event.number for event in told] == [1, 3]
    assert told[0].change is CacheChange.STORED
    moved = PrefixCache(capacity=2, lag_s=0.0, lose_every=0)
    moved.load(cache.export(), now=0.0)
    assert moved.admit("a b c d", "other", now=0.0) == 0


def test_weights_leave_at_one_rate_for_all() -> None:
    schedule = RateSchedule(gb_per_s=2.0)
    assert [schedule.reserve(1.0, now=5.0) for _ in range(3)] == [5.5, 6.0, 6.5]
    assert schedule.reserve(1.0, now=9.0) == 9.5


def test_calls_beyond_the_rate_are_refused() -> None:
    budget = CallBudget(per_s=3.0)
    assert [budget.take(3.0, now=0.0) for _ in range(4)] == [True] * 3 + [False]
    assert budget.take(3.0, now=0.4)
    assert not budget.take(3.0, now=0.4)


def _order(epoch: int, group: str, kind: OrderKind = OrderKind.LOAD) -> Order:
    return Order(
        kind,
        VmId("vm0"),
        Epoch(epoch),
        GroupId(group),
        ModelName("m"),
        ModelVersion("1"),
        (VmId("vm0"),),
    )


@pytest.mark.parametrize(
    ("checks", "followed"), [(True, Followed.REFUSED), (False, Followed.REGROUPED)]
)
def test_an_old_fencing_number_is_refused_or_ignored(
    checks: bool, followed: Followed
) -> None:
    holding = Holding(VmId("vm0"), "boot", checks)
    assert holding.follow(_order(5, "g1")) is Followed.LOADING
    holding.end_loading()
    assert holding.follow(_order(6, "g1")) is Followed.KEPT
    assert holding.follow(_order(4, "g0")) is followed


def test_an_emptied_engine_holds_nothing() -> None:
    holding = Holding(VmId("vm0"), "boot", True)
    holding.follow(_order(1, "g1"))
    holding.follow(_order(2, "g1", OrderKind.UNLOAD))
    holding.end_loading()
    assert holding.report.state is EngineState.EMPTY
    assert (holding.report.group, holding.report.model) == (None, None)


def test_faults_are_met_by_as_many_requests_as_told() -> None:
    faults = switch_faults(UpstreamFaults(), b'{"refuse": true, "requests": 1}')
    assert faults.meet().refuse
    assert not faults.meet().refuse
    with pytest.raises(ValueError, match="unknown field"):
        switch_faults(faults, b'{"explode": true}')


def test_a_run_that_is_still_being_written_is_left_for_the_next_look(
    tmp_path: Path,
) -> None:
    """A test that looks while an upstream writes reads whole runs only."""
    path = tmp_path / "service.runs"
    log = RunLog("service", str(path))
    first = log.begin(RunRecord("r1", "1", "op-1."))
    whole = path.read_text()
    log.begin(RunRecord("r2", "1", "op-2."))
    path.write_text(path.read_text()[: len(whole) + 20])
    assert read_runs(path) == [first]
