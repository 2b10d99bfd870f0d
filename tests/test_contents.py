"""Requests that are the same although callers name each attempt anew."""

import pytest
from structlog.testing import capture_logs

from tests.installation import Installation, run
from zinniaspool.core.dispatch import identify_content

_ASKED = ("POST", "/drafts/one?page=1", "care", b"{}")


def test_the_same_content_has_the_same_id() -> None:
    assert identify_content(*_ASKED) == identify_content(*_ASKED)


@pytest.mark.parametrize(
    "other",
    [
        ("PUT", "/drafts/one?page=1", "care", b"{}"),
        ("POST", "/drafts/one?page=2", "care", b"{}"),
        ("POST", "/drafts/one?page=1", "rival", b"{}"),
        ("POST", "/drafts/one?page=1", None, b"{}"),
        ("POST", "/drafts/one?page=1", "care", b"{ }"),
    ],
)
def test_another_caller_target_or_body_is_another_content(
    other: tuple[str, str, str | None, bytes],
) -> None:
    assert identify_content(*_ASKED) != identify_content(*other)


def test_log_lines_tell_that_a_request_came_again() -> None:
    """Guards against lines that name a repeat by its new id alone."""

    async def test() -> None:
        async with Installation.running(nodes=1) as made:
            await made.settle()
            with capture_logs() as lines:
                await made.draft("n0", request_id="first")
                await made.draft("n0", request_id="second")
                await made.ask("n0", "/receipts/one", request_id="other")
            ended = {
                one["request"]: one["content"]
                for one in lines
                if one["event"] == "request-ended"
            }
            assert ended["first"] == ended["second"] != ended["other"]

    run(test)
