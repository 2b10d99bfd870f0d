"""Tests random orders of attempts: "not run" is true, and once is once."""

from hypothesis import example, given, strategies as st
from result import Err

from zinniaspool.core.dispatch import RetryPurpose, RetryStop
from zinniaspool.core.dispatch.attempts import MAX_UNCOUNTED
from zinniaspool.core.errors import ERROR_ANSWERS, ErrorKind, Outcome
from zinniaspool.core.requests import (
    AttemptFailure,
    Attempts,
    Progress,
    RetryBudget,
    RetryTerms,
    parse_timeout,
    parse_urgency,
)

_NOT_RUN_FAILURES = (AttemptFailure.NOT_SENT, AttemptFailure.REFUSED)
_steps = st.lists(
    st.tuples(
        st.sampled_from(AttemptFailure),
        st.sampled_from(Progress),
        st.floats(0, 4),
    ),
    max_size=8,
)


@example([(AttemptFailure.LOST, Progress.NOTHING, 0.0)] * 2, True, 1.0)
@example([(AttemptFailure.LOST, Progress.NOTHING, 0.0)], False, 9.0)
@example([(f, Progress.NOTHING, 0.0) for f in AttemptFailure], True, 9.0)
@given(_steps, st.booleans(), st.floats(0, 12))
def test_no_order_of_failures_breaks_a_promise(
    steps: list[tuple[AttemptFailure, Progress, float]],
    idempotent: bool,
    tokens: float,
) -> None:
    """A caller is told "not run" only if no attempt can have run.

    Attempts fail in any order. A refusal that follows a lost attempt must not
    turn the answer into "not run", and a non-idempotent request gets no
    attempt after one that may have run.
    """
    budget = RetryBudget(max_tokens=tokens)
    attempts = Attempts(RetryTerms(idempotent, 10.0), budget)
    now, may_have_run, retries = 0.0, False, 0
    for failure, progress, passed in steps:
        begun = attempts.begin(now)
        if isinstance(begun, Err):
            _check(begun.err_value.kind, may_have_run)
            return
        assert idempotent or not may_have_run
        may_have_run = may_have_run or failure not in _NOT_RUN_FAILURES
        now += passed
        fault = attempts.evaluate_failure(failure, progress, now)
        if fault is not None:
            _check(fault.kind, may_have_run)
            return
        assert progress is not Progress.PARTIAL
        retries += failure not in _NOT_RUN_FAILURES
        assert retries <= tokens
    ended = attempts.make_no_upstream_fault(ErrorKind.OVERLOADED)
    _check(ended.kind, may_have_run)


def _check(kind: ErrorKind, may_have_run: bool) -> None:
    if ERROR_ANSWERS[kind].outcome is Outcome.NOT_RUN:
        assert not may_have_run


def test_the_reason_why_a_request_is_not_sent_again_is_kept() -> None:
    """Guards against ends of which no line says whether a retry was left."""

    def stop_after(failure: AttemptFailure, tokens: float, most: int) -> RetryStop:
        budget = RetryBudget(max_tokens=tokens)
        attempts = Attempts(RetryTerms(True, 10.0, most), budget)
        while True:
            attempts.begin(0.0)
            if attempts.evaluate_failure(failure, Progress.RESUMABLE, 1.0) is not None:
                assert attempts.stop is not None
                return attempts.stop
            assert attempts.stop is None

    assert stop_after(AttemptFailure.STALLED, 0.0, 3) is RetryStop.BUDGET
    assert stop_after(AttemptFailure.STALLED, 9.0, 3) is RetryStop.ATTEMPTS
    assert stop_after(AttemptFailure.FAILED, 9.0, 3) is RetryStop.FAILED


def test_a_request_that_cannot_end_elsewhere_uses_no_retry() -> None:
    """Guards against a retry that is paid for and never made."""
    budget = RetryBudget(max_tokens=1.0)

    def fail(*failures: AttemptFailure) -> ErrorKind | None:
        attempts = Attempts(RetryTerms(True, 10.0), budget)
        fault = None
        for failure in failures:
            attempts.begin(0.0)
            fault = attempts.evaluate_failure(
                failure, Progress.NOTHING, 1.0, can_end=failure is not failures[-1]
            )
        return None if fault is None else fault.kind

    # Another upstream may refuse it for the same reason: nothing has run.
    assert fail(AttemptFailure.REFUSED) is None
    assert fail(AttemptFailure.LOST) is ErrorKind.DEADLINE_PASSED
    assert budget.withdraw(RetryPurpose.AFTER_FAILURE)


def test_retries_stay_below_a_tenth_of_the_requests() -> None:
    budget = RetryBudget()
    granted = 0
    for _ in range(10_000):
        budget.deposit()
        granted += budget.withdraw(RetryPurpose.AFTER_FAILURE)
    assert granted <= 10_000 * 0.1 + 10


@example("1\x1f")
@example("٣")
@example("1\n")
@given(st.text(max_size=12))
def test_headers_are_parsed_or_refused(text: str) -> None:
    for parsed in (parse_timeout(text, 5.0), parse_urgency(text)):
        if isinstance(parsed, Err):
            assert parsed.err_value.kind is ErrorKind.MALFORMED_REQUEST


def test_timeout_and_urgency_headers_are_parsed() -> None:
    assert parse_timeout("2.5", 5.0).unwrap() == 2.5
    assert parse_timeout(None, 5.0).unwrap() == 5.0
    for invalid in ("soon", "nan", "-1", "0", "1e9", ""):
        assert parse_timeout(invalid, 5.0).is_err(), invalid
    assert parse_urgency("u=1, i").unwrap() == 1
    assert parse_urgency("i").unwrap() == 3
    assert parse_urgency("u=9").is_err()


def _make_two_attempts() -> Attempts:
    return Attempts(RetryTerms(True, 10.0, 2), RetryBudget(max_tokens=9.0))


def test_a_repeat_counts_as_no_further_upstream() -> None:
    """Guards against more upstreams than a request may be sent to."""
    attempts = _make_two_attempts()
    attempts.begin(0.0)
    assert attempts.begin_alternative(0.0)
    attempts.record_failure(AttemptFailure.SUPERSEDED)
    assert not attempts.may_begin_alternative
    assert attempts.begin_alternative(0.0, is_repeat=True)
    # Nothing of the repeat was sent: no upstream is free for that.
    attempts.record_failure(AttemptFailure.NOT_SENT, is_uncounted=True)
    assert not attempts.may_begin_alternative and attempts.uncounted == 0


def test_a_lost_request_is_repeated_as_often_as_allowed() -> None:
    """Guards against a request that goes on between two upstreams for ever."""
    attempts = _make_two_attempts()
    attempts.begin(0.0)
    attempts.begin(0.0)
    lost = (AttemptFailure.LOST, Progress.RESUMABLE, 0.0)
    for _ in range(MAX_UNCOUNTED):
        assert attempts.evaluate_failure(*lost, can_repeat=True) is None
        attempts.begin(0.0, is_repeat=True)
    fault = attempts.evaluate_failure(*lost, can_repeat=True)
    assert fault is not None and attempts.stop is RetryStop.ATTEMPTS


def test_attempts_at_ended_upstreams_are_limited() -> None:
    """Guards against a request that all upstreams have in turn."""
    attempts = _make_two_attempts()
    attempts.begin(0.0)
    for _ in range(MAX_UNCOUNTED):
        assert attempts.begin_alternative(0.0)
        attempts.record_failure(AttemptFailure.SUPERSEDED)
        assert not attempts.may_begin_alternative
        assert attempts.uncount()
    assert attempts.begin_alternative(0.0)
    attempts.record_failure(AttemptFailure.SUPERSEDED)
    assert not attempts.uncount()
    assert not attempts.may_begin_alternative and not attempts.may_repeat
    assert attempts.may_have_run
