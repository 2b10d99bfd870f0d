"""An entry process that is told to stop cuts nothing."""

import threading
from functools import partial
from pathlib import Path

import pytest

from tests.processes import Reply, call, start_fleet, wait_until

_MODEL = "/v1/models/advisory/generate"
_PROMPT = {"prompt": "warm ward", "max_tokens": 4}

pytestmark = pytest.mark.processes


def test_a_leaving_entry_ends_its_requests_and_takes_callers_until_then(
    tmp_path: Path,
) -> None:
    """No caller sees a refused connection or a cut stream.

    A stream is on its way when its entry process is told to stop. The
    other entry process leaves it out of its answers, while callers who
    still hold its address are served; the stream ends whole, then the
    process ends by itself.
    """
    with start_fleet(tmp_path, settings={"address_lifetime_s": 5.0}) as fleet:
        leaving, other = fleet.addresses["entry0"], fleet.addresses["entry1"]
        for entry in (leaving, other):
            wait_until(partial(_serves, entry))
        wait_until(lambda: leaving in _list_entries(other))
        streams: list[Reply] = []
        long = {"prompt": "long", "max_tokens": 500, "stream": True}
        asking = threading.Thread(
            target=lambda: streams.append(call(leaving, _MODEL, long, "care-key"))
        )
        asking.start()
        wait_until(lambda: any("long" in run.sent for run in fleet.read_runs()))
        fleet.ask_to_stop("entry0")
        wait_until(lambda: leaving not in _list_entries(other))
        assert _serves(leaving)
        asking.join(30)
        assert streams[0].body.endswith(b"event: done\ndata: {}\n\n")
        assert streams[0].body.count(b"data: long") == 500
        wait_until(lambda: fleet.has_ended("entry0"))


def _serves(entry: str) -> bool:
    return call(entry, _MODEL, _PROMPT, "care-key").status == 200


def _list_entries(entry: str) -> list[str]:
    answer = call(entry, "/v1/entries").json()
    return [found["address"] for found in answer.get("entries", [])]
