"""The history checker finds each broken promise, and only those."""

import pytest
from hypothesis import given, strategies as st

from zinniaspool_standins.histories import (
    Ask,
    Ending,
    Operation,
    ViolationKind,
    count_endings,
    find_marker,
    judge,
    make_marker,
)
from zinniaspool_standins.runs import RunRecord, RunState

_OTHER = make_marker(2)


def _operation(*asks: Ask, non_idempotent: bool = True) -> Operation:
    marker = make_marker(1)
    return Operation(marker, "care", f"{marker} done", True, non_idempotent, [*asks])


def _run(state: RunState = RunState.FINISHED, request: str = "r1") -> RunRecord:
    return RunRecord(request, "1", f"{make_marker(1)} go", state=state)


_WHOLE = Ask(Ending.WHOLE, f"{make_marker(1)} done")
_CUT = Ask(Ending.CUT)
_NOT_RUN = Ask(Ending.NOT_RUN, request="r9")

_BROKEN = {
    "no last word": (ViolationKind.LOST, _operation(_CUT), [_run()]),
    "never asked": (ViolationKind.LOST, _operation(), []),
    "answered though nothing ran": (ViolationKind.LOST, _operation(_WHOLE), []),
    "answered by a run that was cancelled": (
        ViolationKind.LOST,
        _operation(_WHOLE),
        [_run(RunState.CANCELLED)],
    ),
    "run twice": (ViolationKind.DOUBLED, _operation(_WHOLE), [_run(), _run()]),
    "run again after a run that failed": (
        ViolationKind.DOUBLED,
        _operation(_WHOLE),
        [_run(RunState.FAILED), _run()],
    ),
    "another's answer": (
        ViolationKind.FOREIGN,
        _operation(Ask(Ending.WHOLE, f"{_OTHER} done")),
        [_run()],
    ),
    "part of another's in a cut answer": (
        ViolationKind.FOREIGN,
        _operation(Ask(Ending.CUT, f"{make_marker(1)} {_OTHER}"), _WHOLE),
        [_run()],
    ),
    "cut answer that ended cleanly": (
        ViolationKind.CUT_AS_WHOLE,
        _operation(Ask(Ending.WHOLE, make_marker(1))),
        [_run()],
    ),
    "answer with a part twice": (
        ViolationKind.CUT_AS_WHOLE,
        _operation(Ask(Ending.WHOLE, f"{make_marker(1)} {make_marker(1)} done")),
        [_run()],
    ),
    "refused as not run, and ran": (
        ViolationKind.RAN_AFTER_ALL,
        _operation(_NOT_RUN),
        [_run(RunState.STARTED)],
    ),
    "refused by name, and that name ran": (
        ViolationKind.RAN_AFTER_ALL,
        _operation(_NOT_RUN, _WHOLE),
        [_run(request="r9")],
    ),
}


@pytest.mark.parametrize("case", _BROKEN)
def test_each_broken_promise_is_found(case: str) -> None:
    kind, operation, runs = _BROKEN[case]
    assert {violation.kind for violation in judge([operation], runs)} == {kind}


_SOUND = {
    "answered": (_operation(_WHOLE), [_run()]),
    "answered when asked again": (_operation(_CUT, _WHOLE), [_run()]),
    "refused": (_operation(_NOT_RUN, _NOT_RUN), []),
    "outcome unknown, and ran once": (_operation(Ask(Ending.UNKNOWN)), [_run()]),
    "outcome unknown, and did not run": (_operation(Ask(Ending.UNKNOWN)), []),
    "idempotent, resumed elsewhere": (
        _operation(_WHOLE, non_idempotent=False),
        [_run(RunState.FAILED), _run()],
    ),
    "refused once, then run": (_operation(_NOT_RUN, _WHOLE), [_run()]),
}


@pytest.mark.parametrize("case", _SOUND)
def test_a_kept_promise_is_no_violation(case: str) -> None:
    operation, runs = _SOUND[case]
    assert judge([operation], runs) == []


def test_a_caller_that_left_has_lost_nothing() -> None:
    left = _operation(_CUT, non_idempotent=False)
    left.abandoned = True
    assert judge([left], [_run(RunState.CANCELLED)]) == []


def test_endings_are_counted_by_the_last_word() -> None:
    unknown = _operation(Ask(Ending.UNKNOWN))
    tally = count_endings([_operation(_CUT, _WHOLE), _operation(_NOT_RUN), unknown])
    assert (tally.answered, tally.refused, tally.outcome_unknown) == (1, 2, 1)


@given(
    numbers=st.lists(st.integers(0, 999), min_size=2, max_size=8, unique=True),
    data=st.data(),
)
def test_one_crossed_answer_is_found_among_sound_ones(
    numbers: list[int], data: st.DataObject
) -> None:
    markers = [make_marker(number) for number in numbers]
    operations = [
        Operation(marker, "care", f"{marker} done", asks=[_whole(marker)])
        for marker in markers
    ]
    runs = [
        RunRecord("r", "1", f"{marker} go", state=RunState.FINISHED)
        for marker in markers
    ]
    assert judge(operations, runs) == []
    left, right = data.draw(
        st.lists(st.sampled_from(operations), min_size=2, max_size=2, unique_by=id)
    )
    left.asks, right.asks = right.asks, left.asks
    found = judge(operations, runs)
    assert {violation.marker for violation in found} == {left.marker, right.marker}
    assert {violation.kind for violation in found} == {ViolationKind.FOREIGN}


def _whole(marker: str) -> Ask:
    return Ask(Ending.WHOLE, f"{marker} done")


@given(st.integers(0, 10**6), st.text(alphabet="op-. 0123", max_size=20))
def test_a_marker_is_found_in_what_follows_it(number: int, rest: str) -> None:
    assert find_marker(f"warm {make_marker(number)}{rest}") == make_marker(number)
