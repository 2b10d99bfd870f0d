"""Upstreams that announce how many requests a second they take."""

import pytest
from structlog.testing import capture_logs

from tests.installation import Installation, run
from zinniaspool.http import Headers
from zinniaspool.platform.wire import read_limit


@pytest.mark.parametrize(
    ("said", "read"),
    [
        ("1.5", 1.5),
        ("0", 0.0),
        ("-1", None),
        ("many", None),
        ("inf", None),
        ("nan", None),
        ("", None),
    ],
)
def test_a_limit_is_read_where_it_is_a_number(said: str, read: float | None) -> None:
    assert read_limit(Headers.of(server_limit=said)) == read


def test_log_lines_tell_what_limit_an_upstream_announced() -> None:
    """Guards against a limit that no line shows to have been seen."""

    async def test() -> None:
        async with Installation.running(nodes=1) as made:
            await made.settle()
            with capture_logs() as lines:
                for per_s in (1.5, -1.0):
                    for one in made.runners.values():
                        one.faults.limit_per_s = per_s
                    for _ in range(4):
                        await made.ask("n0", "/receipts/one")
            told = [one["per_s"] for one in lines if one["event"] == "limit-announced"]
            assert {1.5, None} <= set(told)

    run(test)
