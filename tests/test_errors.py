"""The error table is complete and its promises are consistent."""

from zinniaspool.core.errors import ERROR_ANSWERS, ErrorKind, Outcome


def test_every_kind_has_an_answer() -> None:
    assert set(ERROR_ANSWERS) == set(ErrorKind)


def test_a_temporary_refusal_has_a_retry_delay() -> None:
    for kind, answer in ERROR_ANSWERS.items():
        if answer.outcome is Outcome.NOT_RUN and answer.status in (429, 503):
            assert answer.retry_after is not None, kind
