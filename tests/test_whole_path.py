"""A request goes from a caller through separate processes to an engine."""

from functools import partial
from pathlib import Path

import pytest

from tests.processes import Fleet, Reply, call, start_fleet, wait_until
from zinniaspool.core.ids import Incarnation, NodeId
from zinniaspool.core.requests.sessions import Session, encode_session

_MODEL = "/v1/models/advisory/generate"
_PROMPT = {"prompt": "warm ward", "max_tokens": 4}
_POLL_PAUSE_S = 0.5
"""An entry process records two refusals of a customer a second. Polled faster
while it starts, it records no later refusal, and none can be explained."""
_GONE = Session(NodeId("entry0"), Incarnation(1), 1)

pytestmark = pytest.mark.processes


def _serves(fleet: Fleet, entry: str) -> bool:
    return call(fleet.addresses[entry], _MODEL, _PROMPT, "care-key").status == 200


def test_requests_are_answered_through_every_entry(tmp_path: Path) -> None:
    with start_fleet(tmp_path) as fleet:
        for entry in ("entry0", "entry1"):
            wait_until(partial(_serves, fleet, entry), pause_s=_POLL_PAUSE_S)
            address = fleet.addresses[entry]
            plain = call(address, _MODEL, _PROMPT, "care-key")
            assert plain.json()["text"] == "warm0 ward1 warm2 ward3"
            streamed = call(address, _MODEL, _PROMPT | {"stream": True}, "care-key")
            assert streamed.body.endswith(b"event: done\ndata: {}\n\n")
            path = "/v1/services/dispatch/send"
            refused = call(address, path, {"to": 1}, "care-key")
            assert refused.status == 400
            _check_explained(fleet, entry, refused, "key-required")
            gone = {"Idempotency_Key": encode_session(_GONE) + ".1"}
            refused = call(address, path, {"to": 1}, "care-key", **gone)
            _check_explained(fleet, entry, refused, "key-owner-gone")
            key = {"Idempotency_Key": "first-alert"}
            sent = call(address, path, {"to": 1}, "care-key", **key)
            assert sent.json()["echo"] == '{"to": 1}'
            assert call(address, _MODEL, _PROMPT, "wrong").status == 401
            assert call(address, "/v1/models/other/x", {}, "care-key").status == 404


def _check_explained(fleet: Fleet, entry: str, refused: Reply, error: str) -> None:
    assert refused.json()["error"] == error
    request = refused.headers["x-request-id"]
    words = ("explain", "request", request, "--node", fleet.operators[entry])
    for more in ((), ("--customer", "care")):
        told = fleet.run_tool(*words, *more).stdout
        assert "request-refused" in told
        assert f"error={error}" in told
    told = fleet.run_tool(*words, "--customer", "vendors").stdout
    assert told.startswith("nothing is kept")


def test_a_killed_vm_stops_its_group_and_the_rest_serve(tmp_path: Path) -> None:
    """The caller sees answers again within seconds of a VM's death.

    One of two VMs of each group is killed in turn of need: its group must
    stop, and the VMs left form a whole group that answers.
    """
    with start_fleet(tmp_path) as fleet:
        wait_until(lambda: _serves(fleet, "entry0"))
        fleet.kill("vm1")
        wait_until(lambda: call(fleet.addresses["vm3"], "/report").status == 200)
        wait_until(lambda: _serves(fleet, "entry0"))
