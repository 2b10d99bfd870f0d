"""The platform's store is out, slow, loses answers, or is cut off."""

import asyncio
from collections.abc import Iterator

import pytest

from tests.failures import Proof, find_call_slot, run_scenario
from tests.processes import Fleet, start_fleet, switch_faults
from zinniaspool_standins.histories import Ending
from zinniaspool_standins.operations import Traffic

pytestmark = pytest.mark.processes

_ENTRIES = ("entry0", "entry1")
_CALLS = 6


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    folder = tmp_path_factory.mktemp("store")
    with start_fleet(folder, entries=len(_ENTRIES), own_stores=True) as started:
        yield started


@pytest.fixture(autouse=True)
def _mend_store(fleet: Fleet) -> Iterator[None]:
    """Have the store answer everybody again: the next test starts with it."""
    yield
    switch_faults(
        fleet,
        "platform",
        out=False,
        hang=False,
        delay_s=0.0,
        lose_answers=0,
        cut_off=[],
    )


async def _settle(proof: Proof) -> None:
    for entry in _ENTRIES:
        await proof.until_served(entry)


async def _expect_whole_again(proof: Proof) -> None:
    """Every call that was refused as not run runs when asked again."""
    for call in proof.calls:
        while not call.operation.answered:
            ask = await proof.ask("entry1", call)
            assert ask.ending in (Ending.WHOLE, Ending.NOT_RUN), ask


def test_calls_while_the_store_is_out(fleet: Fleet) -> None:
    """Idempotent calls go on; the others are refused at once as not run.

    A claim cannot be written, so the call that needs it is not sent. The
    same keys are accepted once the store is back.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        await proof.switch("platform", out=True)
        for k in range(_CALLS):
            entry = _ENTRIES[k % len(_ENTRIES)]
            plain = proof.make_call(Traffic.PLAIN, max_tokens=2)
            assert (await proof.ask(entry, plain)).ending is Ending.WHOLE
            keyed = proof.make_call(Traffic.NON_IDEMPOTENT)
            assert (await proof.ask(entry, keyed)).ending is Ending.NOT_RUN
            assert proof.list_runs(keyed) == []
        await proof.switch("platform", out=False)
        await _expect_whole_again(proof)

    run_scenario(fleet, scenario)


def test_keys_of_a_session_while_the_store_is_out(fleet: Fleet) -> None:
    """Calls that may not be repeated run, once, without the store.

    Their keys are made from the session that came with the address answer.
    Only the process that gave it out may run them, so it need not ask.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        session = await proof.fetch_session("entry0")
        await proof.switch("platform", out=True)
        for _ in range(_CALLS):
            call = proof.make_call(Traffic.NON_IDEMPOTENT, session=session)
            asks = [proof.ask(entry, call) for entry in _ENTRIES]
            endings = {ask.ending for ask in await asyncio.gather(*asks)}
            assert endings == {Ending.WHOLE}
            assert len(proof.list_runs(call)) == 1
        await proof.switch("platform", out=False)

    run_scenario(fleet, scenario)


def test_calls_while_the_store_is_slow(fleet: Fleet) -> None:
    """Calls that need a claim take longer and run once; others do not wait."""

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        await proof.switch("platform", delay_s=0.3)
        for k in range(_CALLS):
            call = proof.make_call(Traffic.NON_IDEMPOTENT)
            asks = [proof.ask(entry, call) for entry in _ENTRIES]
            plain = proof.make_call(Traffic.PLAIN, max_tokens=2)
            await asyncio.gather(proof.ask(_ENTRIES[k % 2], plain), *asks)
            assert plain.operation.answered
        await proof.switch("platform", delay_s=0.0)
        await _expect_whole_again(proof)

    run_scenario(fleet, scenario)


def test_the_store_hangs_while_a_claim_is_written(fleet: Fleet) -> None:
    """The caller is told "not run" by its deadline, and that stays true.

    The claim's write is on its way when its answer is given up. Whether it
    takes effect later does not matter: the call was not sent, and the same
    key may still be used.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        await proof.switch("platform", hang=True)
        slots = proof.list_free_slots()
        call = proof.make_call(Traffic.NON_IDEMPOTENT, timeout_s=1.0, slots=slots)
        assert (await proof.ask("entry0", call)).ending is Ending.NOT_RUN
        await proof.switch("platform", hang=False)
        await _expect_whole_again(proof)

    run_scenario(fleet, scenario)


def test_the_store_hangs_while_another_entry_writes_the_claim(fleet: Fleet) -> None:
    """The caller is told "not run" too when its call was only passed on.

    The key's slot is the other entry process's, which gives its claim up.
    What it says of that must reach the caller before the deadline: after it,
    the process that was asked can only say that the outcome is unknown.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        first = proof.make_call(Traffic.NON_IDEMPOTENT, slots=proof.list_free_slots())
        for entry in ("entry1", "entry0"):
            assert (await proof.ask(entry, first)).ending is Ending.WHOLE
        await proof.switch("platform", hang=True)
        call = proof.make_call(
            Traffic.NON_IDEMPOTENT, timeout_s=1.0, slots={find_call_slot(first)}
        )
        assert (await proof.ask("entry0", call)).ending is Ending.NOT_RUN
        assert proof.list_runs(call) == []
        await proof.switch("platform", hang=False)
        await _expect_whole_again(proof)

    run_scenario(fleet, scenario)


def test_answers_of_the_store_lost_after_the_write(fleet: Fleet) -> None:
    """Every call is answered or refused as not run, and none runs twice.

    The write of a claim takes effect and its answer is lost. The process
    reads back whose claim stands, and begins the call only if it is its own.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        for k in range(_CALLS):
            await proof.switch("platform", lose_answers=1 + k % 3)
            call = proof.make_call(Traffic.NON_IDEMPOTENT)
            asks = [proof.ask(entry, call) for entry in _ENTRIES]
            await asyncio.gather(*asks)
        await proof.switch("platform", lose_answers=0)
        await _expect_whole_again(proof)

    run_scenario(fleet, scenario)


def test_an_entry_cut_off_from_the_store(fleet: Fleet) -> None:
    """Its callers are refused as not run, or served through the other one.

    Only one entry process cannot reach the store. What it had claimed stays
    its own until another one takes it over in the store; it learns of that
    at its next write, before it begins anything.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        before = [proof.make_call(Traffic.NON_IDEMPOTENT) for _ in range(_CALLS)]
        for call in before:
            assert (await proof.ask("entry0", call)).ending is Ending.WHOLE
        await proof.switch("platform", cut_off=[fleet.addresses["platform0"]])
        during = [proof.make_call(Traffic.NON_IDEMPOTENT) for _ in range(_CALLS)]
        for call in during:
            asks = [proof.ask(entry, call) for entry in _ENTRIES]
            await asyncio.gather(*asks)
        await proof.switch("platform", cut_off=[])
        for call in (*before, *during):
            for entry in _ENTRIES:
                await proof.ask(entry, call)
            assert len(proof.list_runs(call)) <= 1
        assert all(call.operation.answered for call in before)

    run_scenario(fleet, scenario)
