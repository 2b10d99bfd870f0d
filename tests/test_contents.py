"""Tests of equal requests whose callers give each attempt another id."""

import pytest
from structlog.testing import capture_logs

from tests.installation import Installation, run
from zinniaspool.core.dispatch import identify_content

_REQUEST = ("POST", "/drafts/one?page=1", "care", b"{}")


def test_the_same_content_has_the_same_id() -> None:
    assert identify_content(*_REQUEST) == identify_content(*_REQUEST)


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
    assert identify_content(*_REQUEST) != identify_content(*other)


def test_log_lines_show_the_parts_of_a_prompt() -> None:
    """Guards against crashes whose requests can't be compared by parts."""

    async def test() -> None:
        async with Installation.running(nodes=1) as made:
            await made.settle()
            for runner in made.runners.values():
                runner.faults.cut_after = 1
            with capture_logs() as lines:
                await made.draft("n0", request_id="one", parts=("5c1e", "91bd"))
            events = {"attempt-failed", "request-ended"}
            shown = {line["parts"] for line in lines if line["event"] in events}
            assert shown == {"5c1e,91bd"}
            assert events <= {line["event"] for line in lines}

    run(test)


def test_log_lines_show_that_a_request_came_again() -> None:
    """Guards against log lines that show only the new id of a request."""

    async def test() -> None:
        async with Installation.running(nodes=1) as made:
            await made.settle()
            with capture_logs() as lines:
                await made.draft("n0", request_id="first")
                await made.draft("n0", request_id="second")
                await made.ask("n0", "/receipts/one", request_id="other")
            ended = {
                line["request"]: line["content"]
                for line in lines
                if line["event"] == "request-ended"
            }
            assert ended["first"] == ended["second"] != ended["other"]

    run(test)
