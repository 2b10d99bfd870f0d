"""Tests that an entry process stops without cutting any request."""

import threading
import time
from functools import partial
from pathlib import Path

import pytest

from tests.processes import Reply, call, start_fleet, wait_until

_MODEL = "/v1/models/advisory/generate"
_PROMPT = {"prompt": "warm ward", "max_tokens": 4}

REFUSED_WITHIN_S = 1.0

pytestmark = pytest.mark.processes


def test_a_stopping_entry_finishes_its_requests_and_serves_callers_until_then(
    tmp_path: Path,
) -> None:
    """Guards against a refused connection or a cut stream at a stop.

    A stream is in progress when its entry process is told to stop. The other
    entry process leaves the address out of its answers, while callers that
    still have the address are served. The stream ends complete, and then the
    process ends by itself.
    """
    with start_fleet(tmp_path, settings={"address_lifetime_s": 5.0}) as fleet:
        stopping, other = fleet.addresses["entry0"], fleet.addresses["entry1"]
        for entry in (stopping, other):
            wait_until(partial(_serves, entry))
        wait_until(lambda: stopping in _list_entries(other))
        streams: list[Reply] = []
        long = {"prompt": "long", "max_tokens": 500, "stream": True}
        caller = threading.Thread(
            target=lambda: streams.append(call(stopping, _MODEL, long, "care-key"))
        )
        caller.start()
        wait_until(lambda: any("long" in run.sent for run in fleet.read_runs()))
        fleet.ask_to_stop("entry0")
        wait_until(lambda: stopping not in _list_entries(other))
        assert _serves(stopping)
        caller.join(30)
        assert streams[0].body.endswith(b"event: done\ndata: {}\n\n")
        assert streams[0].body.count(b"data: long") == 500
        wait_until(lambda: fleet.has_ended("entry0"))


def test_a_stopping_entry_refuses_requests_that_may_outlast_it(tmp_path: Path) -> None:
    """Guards against requests accepted after the stop signal and then cut."""
    settings = {"address_lifetime_s": 4.0, "drain_s": 3.0}
    with start_fleet(tmp_path, settings=settings) as fleet:
        stopping, other = fleet.addresses["entry0"], fleet.addresses["entry1"]
        for entry in (stopping, other):
            wait_until(partial(_serves, entry))
        fleet.ask_to_stop("entry0")
        wait_until(lambda: stopping not in _list_entries(other))
        began = time.monotonic()
        refused = _call_within(stopping, 20)
        assert time.monotonic() - began < REFUSED_WITHIN_S
        assert refused.status == 503, refused
        assert b"leaving" in refused.body
        assert _call_within(stopping, 2).status == 200
        assert _call_within(other, 20).status == 200


def _call_within(entry: str, timeout_s: int) -> Reply:
    headers = {"request_timeout": str(timeout_s)}
    return call(entry, _MODEL, _PROMPT, "care-key", **headers)


def _serves(entry: str) -> bool:
    return call(entry, _MODEL, _PROMPT, "care-key").status == 200


def _list_entries(entry: str) -> list[str]:
    answer = call(entry, "/v1/entries").json()
    return [item["address"] for item in answer.get("entries", [])]
