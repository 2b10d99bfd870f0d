"""Tests of upstreams that ask for a pause or announce that they leave."""

import pytest
from structlog.testing import capture_logs

from tests.installation import Installation, run
from zinniaspool.core.dispatch import InstanceNotice
from zinniaspool.http import Headers
from zinniaspool.platform.wire import list_unknown_headers, parse_notice
from zinniaspool_standins.runners import Runner


@pytest.mark.parametrize(
    ("status", "header", "parsed"),
    [
        (503, "3", 3.0),
        (503, "0.4", 0.4),
        (503, "-1", None),
        (503, "soon", None),
        (503, "inf", None),
        (500, "3", None),
        (421, "3", None),
    ],
)
def test_a_pause_is_parsed_if_it_is_valid(
    status: int, header: str, parsed: float | None
) -> None:
    assert parse_notice(status, Headers.of(retry_after=header)).pause_s == parsed


def test_an_answer_of_another_instance_asks_nothing_for_this_one() -> None:
    """Guards against an instance avoided because its address was reused."""
    headers = Headers.of(server_leaving="1", server_limit="1")
    assert parse_notice(421, headers) == InstanceNotice()
    assert parse_notice(200, headers) == InstanceNotice(1.0, None, True)


def test_headers_without_a_known_meaning_are_listed() -> None:
    """Guards against a new header of upstreams that no log line shows."""
    headers = Headers.of(server_leaving="1", server_mood="low", content_type="x")
    assert list_unknown_headers(headers) == ["server-mood"]


async def _list_plain(made: Installation) -> list[Runner]:
    await made.settle()
    return [runner for runner in made.runners.values() if runner.service == "cards"]


def test_log_lines_show_what_an_upstream_asked() -> None:
    """Guards against a pause or a leaving upstream that no log line shows."""

    async def test() -> None:
        async with Installation.running(nodes=1, plain=2) as made:
            paused, leaving = await _list_plain(made)
            paused.faults.pause_s, leaving.faults.says_leaving = 1.0, True
            with capture_logs() as lines:
                for _ in range(6):
                    await made.ask("n0", "/receipts/one")
            asked = {(line["event"], line.get("instance")) for line in lines}
            assert ("pause-requested", paused.id) in asked
            assert ("leaving-announced", leaving.id) in asked

    run(test)
