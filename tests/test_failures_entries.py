"""Entry processes that die, freeze, are restarted, or have slow callers."""

import asyncio
import json
import socket
from collections.abc import Iterator
from functools import partial

import pytest

from tests.failures import Proof, find_call_slot, run_scenario, until
from tests.processes import Fleet, start_fleet
from zinniaspool_standins.histories import Ending
from zinniaspool_standins.operations import Traffic, WantedCall
from zinniaspool_standins.runs import RunState

pytestmark = pytest.mark.processes

_ENTRIES = ("entry0", "entry1", "entry2")
_LIFETIME_S = 0.5
_KEYS = 12
_SLOW_CALLERS = 3
_BIG_TOKENS = 250
_BIG_WORD = "w" * 100_000


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    folder = tmp_path_factory.mktemp("entries")
    settings = {"address_lifetime_s": _LIFETIME_S}
    with start_fleet(folder, entries=len(_ENTRIES), settings=settings) as started:
        yield started


@pytest.fixture(autouse=True)
def _mend_fleet(fleet: Fleet) -> Iterator[None]:
    """Have every entry process run again: the next test starts with all."""
    yield
    for entry in _ENTRIES:
        fleet.thaw(entry)
        if fleet.has_ended(entry):
            fleet.restart(entry)


async def _settle(proof: Proof) -> None:
    for entry in _ENTRIES:
        await proof.until_served(entry)


async def _revive(proof: Proof, entry: str) -> None:
    proof.fleet.restart(entry)
    await proof.until_served(entry)


async def _ask_until_settled(proof: Proof, entry: str, call: WantedCall) -> Ending:
    """Repeat a call while the answer is that its key is in use."""
    while True:
        ask = await proof.ask(entry, call)
        if ask.detail != "key-in-progress":
            return ask.ending


def test_an_entry_killed_before_it_claims_the_key(fleet: Fleet) -> None:
    """The caller's repeat at another entry VM is answered; one run.

    The entry process is frozen when the call reaches its VM, so it reads
    nothing of it, and is killed. The caller asks another one with its key.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        call = proof.make_call(Traffic.NON_IDEMPOTENT)
        fleet.freeze("entry0")
        asking = asyncio.create_task(proof.ask("entry0", call))
        fleet.kill("entry0")
        assert (await asking).ending is Ending.CUT
        assert await _ask_until_settled(proof, "entry1", call) is Ending.WHOLE
        assert len(proof.list_runs(call)) == 1
        await _revive(proof, "entry0")

    run_scenario(fleet, scenario)


def test_an_entry_killed_after_the_first_byte_upstream(fleet: Fleet) -> None:
    """The caller's repeat is told that the outcome is unknown; one run.

    The service works on the call when the entry process that sent it is
    killed. The claim in the store tells the next entry process that the call
    was begun, and nobody can tell it how it ended.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        await proof.switch_services(straggle=200.0)
        slots = proof.list_free_slots()
        call = proof.make_call(Traffic.NON_IDEMPOTENT, slots=slots)
        asking = await proof.begin("entry0", call)
        fleet.kill("entry0")
        assert (await asking).ending is Ending.CUT
        await proof.switch_services(straggle=1.0)
        assert await _ask_until_settled(proof, "entry1", call) is Ending.UNKNOWN
        assert await _ask_until_settled(proof, "entry2", call) is Ending.UNKNOWN
        assert len(proof.list_runs(call)) == 1
        await _revive(proof, "entry0")

    run_scenario(fleet, scenario)


def test_an_entry_killed_while_another_one_runs_its_call(fleet: Fleet) -> None:
    """The caller's repeat gets the whole answer anywhere; one run.

    The key's slot is the other entry process's, so that the killed one had
    only passed the call on. The run goes on and its answer is kept.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        first = proof.make_call(Traffic.NON_IDEMPOTENT, slots=proof.list_free_slots())
        assert (await proof.ask("entry1", first)).ending is Ending.WHOLE
        await proof.switch_services(straggle=200.0)
        call = proof.make_call(Traffic.NON_IDEMPOTENT, slots={find_call_slot(first)})
        asking = await proof.begin("entry0", call)
        fleet.kill("entry0")
        assert (await asking).ending is Ending.CUT
        await proof.switch_services(straggle=1.0)
        for entry in ("entry1", "entry2"):
            assert await _ask_until_settled(proof, entry, call) is Ending.WHOLE
        assert len(proof.list_runs(call)) == 1
        await _revive(proof, "entry0")

    run_scenario(fleet, scenario)


def test_an_entry_frozen_while_it_has_the_call(fleet: Fleet) -> None:
    """The caller asks elsewhere meanwhile; the call runs once.

    The entry process stops after it has claimed the key and sent the call.
    Another one takes the key's slot over and learns of the claim. The first
    wakes up and still believes that the slot is its own: its next write is
    refused, so it runs nothing on the strength of that belief.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        await proof.switch_services(straggle=200.0)
        slots = proof.list_free_slots()
        call = proof.make_call(Traffic.NON_IDEMPOTENT, timeout_s=2.0, slots=slots)
        asking = await proof.begin("entry0", call)
        fleet.freeze("entry0")
        await proof.switch_services(straggle=1.0)
        await proof.ask("entry1", call)
        fleet.thaw("entry0")
        await asking
        for entry in _ENTRIES:
            await proof.ask(entry, call)
        assert len(proof.list_runs(call)) == 1

    run_scenario(fleet, scenario)


def test_an_entry_killed_before_the_last_byte_of_a_stream(fleet: Fleet) -> None:
    """The caller sees that its stream was cut, and gets it whole elsewhere."""

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        call = proof.make_call(Traffic.STREAMED, max_tokens=200)
        asking = await proof.begin("entry0", call)
        fleet.kill("entry0")
        assert (await asking).ending is Ending.CUT
        assert (await proof.ask("entry1", call)).ending is Ending.WHOLE
        await _revive(proof, "entry0")

    run_scenario(fleet, scenario)


def test_one_key_at_every_entry_at_once(fleet: Fleet) -> None:
    """Each key's call runs once, and everyone who asked gets its answer.

    A caller that lost patience asks at all entry VMs in the same moment,
    with the same key. They find out between them which one runs it.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        for _ in range(_KEYS):
            call = proof.make_call(Traffic.NON_IDEMPOTENT)
            await asyncio.gather(*(proof.ask(entry, call) for entry in _ENTRIES))
            await _ask_until_settled(proof, "entry0", call)
            assert call.operation.asks[-1].ending is Ending.WHOLE, call.operation
            assert len(proof.list_runs(call)) == 1

    run_scenario(fleet, scenario)


def test_a_key_used_again_for_another_request_is_refused(fleet: Fleet) -> None:
    """The caller is told "not run" and does not get the first one's answer."""

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        first = proof.make_call(Traffic.NON_IDEMPOTENT)
        other = proof.make_call(Traffic.NON_IDEMPOTENT)
        other = WantedCall(other.operation, other.path, other.body, first.key)
        assert (await proof.ask("entry0", first)).ending is Ending.WHOLE
        for entry in _ENTRIES:
            assert (await proof.ask(entry, other)).ending is Ending.NOT_RUN

    run_scenario(fleet, scenario)


def test_every_entry_restarted_in_turn_under_load(fleet: Fleet) -> None:
    """Callers notice nothing: no call is cut, lost or run twice.

    Each entry process is asked to stop, serves for as long as callers may
    keep an address answer that names it, ends its last calls and is started
    anew, while callers go on. Their answers name the others meanwhile.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        stopped = asyncio.Event()
        traffic = proof.start_traffic(_ENTRIES, stopped)
        for entry in _ENTRIES:
            fleet.ask_to_stop(entry)
            await until(partial(fleet.has_ended, entry))
            await _revive(proof, entry)
        stopped.set()
        operations = await traffic
        asks = [ask for operation in operations for ask in operation.asks]
        assert [ask for ask in asks if ask.ending is Ending.CUT] == []
        assert [one for one in operations if not one.answered] == []

    run_scenario(fleet, scenario)


def _ask_and_read_nothing(fleet: Fleet, entry: str, body: bytes) -> socket.socket:
    host, _, port = fleet.addresses[entry].rpartition(":")
    slow = socket.socket()
    slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow.connect((host, int(port)))
    head = (
        "POST /v1/models/advisory/generate HTTP/1.1\r\nhost: entry\r\n"
        "authorization: Bearer care-key\r\ncontent-type: application/json\r\n"
        f"request-timeout: 60\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    slow.sendall(head.encode() + body)
    return slow


def test_callers_that_stop_reading(fleet: Fleet) -> None:
    """Others are served as before, and the slow callers' memory is bounded.

    Callers ask for streams of many megabytes and read nothing. Each stream
    stands still once the buffers on its way are full, so the engine has not
    come to its end when another caller has read a stream as long. Once the
    slow callers are gone, their runs are cancelled.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        bodies = []
        for k in range(_SLOW_CALLERS):
            prompt = f"op-slow-{k}. {_BIG_WORD}"
            call = {"prompt": prompt, "max_tokens": 4 * _BIG_TOKENS, "stream": True}
            bodies.append(json.dumps(call).encode())
        slow = [_ask_and_read_nothing(fleet, "entry0", body) for body in bodies]

        def list_states() -> list[RunState]:
            runs = fleet.read_runs()
            return [run.state for run in runs if "op-slow-" in run.sent]

        await until(lambda: len(list_states()) == _SLOW_CALLERS)
        whole = proof.make_call(Traffic.STREAMED, max_tokens=4 * _BIG_TOKENS)
        assert (await proof.ask("entry0", whole)).ending is Ending.WHOLE
        assert list_states() == [RunState.STARTED] * _SLOW_CALLERS
        for connection in slow:
            connection.close()
        await until(lambda: list_states() == [RunState.CANCELLED] * _SLOW_CALLERS)

    run_scenario(fleet, scenario)
