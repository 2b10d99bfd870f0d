"""Planned stops under traffic: leaving VMs, leaving services, new versions."""

import asyncio
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.failures import Proof, run_scenario, until, until_seen
from tests.processes import (
    Fleet,
    call,
    make_inventory,
    make_rules,
    start_fleet,
    switch_faults,
    wait_until,
)
from zinniaspool.http import Request
from zinniaspool_standins.histories import Ending, Operation
from zinniaspool_standins.operations import Traffic, WantedCall
from zinniaspool_standins.runs import RunRecord, RunState
from zinniaspool_standins.watching import read_reports

pytestmark = pytest.mark.processes

_ENTRIES = ("entry0", "entry1")
_VMS = tuple(f"vm{k}" for k in range(5))
_SERVICES = ("service0", "service1")
_GROUPS = 2
_LONG_TOKENS = 400
# Ten times what such a call takes: a call without a stream is tried anew after
# half of its deadline, which must not come while the machine is busy.
_LONG_S = 40.0
_LONG_PAIRS = 2
_SLOTS = 32
_SHARES = [
    {"customer": customer, "guaranteed": _SLOTS // 2}
    for customer in ("care", "vendors")
]
_LONG_STRAGGLE = 400.0
_CALLS_AFTER = 40
_CALL_S = 5.0


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    folder: Path = tmp_path_factory.mktemp("planned")
    options = ("--token-s", "0.01")
    with start_fleet(
        folder,
        vms=len(_VMS),
        entries=len(_ENTRIES),
        engine_options=options,
        services=len(_SERVICES),
    ) as started:
        _apply_version(started, "1")
        yield started


async def _settle(proof: Proof) -> None:
    await proof.until_whole(_GROUPS)
    for entry in _ENTRIES:
        await proof.until_served(entry, _GROUPS)


async def _begin_long(proof: Proof) -> dict[str, "asyncio.Task[Any]"]:
    """Begin long calls until each group runs a plain and a streamed one."""
    asking = {}
    for _ in range(_LONG_PAIRS):
        for traffic in (Traffic.PLAIN, Traffic.STREAMED):
            wanted = proof.make_call(
                traffic, max_tokens=_LONG_TOKENS, timeout_s=_LONG_S
            )
            task = await proof.begin("entry0", wanted)
            asking[wanted.operation.marker] = task
    return asking


async def _check_traffic(
    traffic: "asyncio.Task[list[Operation]]", stopped: asyncio.Event
) -> None:
    """End the traffic; each of its calls was answered at its first ask."""
    stopped.set()
    operations = await traffic
    assert operations
    asks = [ask for operation in operations for ask in operation.asks]
    refused = [ask for ask in asks if ask.ending is not Ending.WHOLE]
    assert not refused, refused


async def _send_calls(proof: Proof, traffic: Traffic) -> None:
    """Send calls in a row through each entry process; all are answered."""
    for n in range(_CALLS_AFTER):
        wanted = proof.make_call(traffic, max_tokens=1)
        answer = await proof.ask(_ENTRIES[n % len(_ENTRIES)], wanted)
        assert answer.ending is Ending.WHOLE


def _list_runs_at(proof: Proof, upstream: str) -> list[RunRecord]:
    return [run for run in proof.fleet.read_runs() if run.upstream == upstream]


def _list_cut(proof: Proof) -> list[RunRecord]:
    """Return the runs that upstreams began and did not end whole."""
    finished = (RunState.FINISHED, RunState.STARTED)
    return [run for run in proof.fleet.read_runs() if run.state not in finished]


async def _list_vm(proof: Proof, vm: str, state: str) -> None:
    address = proof.fleet.store
    request = Request("PUT", f"/vms/{vm}", body=state.encode())
    status, _ = await proof.http.fetch(address, request, _CALL_S)
    assert status == 200


async def _is_in_no_group(proof: Proof, vm: str) -> bool:
    addresses = {vm: proof.fleet.addresses[vm]}
    reports = await read_reports(proof.http, addresses)
    return vm in reports and reports[vm].group is None


def test_a_vm_that_the_platform_takes_back(fleet: Fleet) -> None:
    """Callers notice nothing, and the VM is idle when it goes.

    The platform lists the VM that takes a group's requests as leaving, under
    mixed traffic and with long answers on their way. The group is drained:
    what it runs ends there, so no run is cut or gone on with elsewhere. Then
    the VM is in no group and gets nothing more, and a spare is in its place.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        stopped = asyncio.Event()
        traffic = proof.start_traffic(_ENTRIES, stopped)
        asking = await _begin_long(proof)
        leaving = proof.list_runs(proof.calls[-1])[0].upstream
        await _list_vm(proof, leaving, "leaving")
        await until_seen(partial(_is_in_no_group, proof, leaving))
        before = _list_runs_at(proof, leaving)
        assert _list_cut(proof) == []
        for answer in await asyncio.gather(*asking.values()):
            assert answer.ending is Ending.WHOLE
        await _send_calls(proof, Traffic.PLAIN)
        await _settle(proof)
        assert _list_runs_at(proof, leaving) == before
        assert await _is_in_no_group(proof, leaving)
        await _check_traffic(traffic, stopped)
        assert _list_cut(proof) == []
        assert all(len(proof.list_runs(one)) == 1 for one in proof.calls)
        await _list_vm(proof, leaving, "live")

    run_scenario(fleet, scenario)


def _knows_as_leaving(fleet: Fleet, entry: str, service: str) -> bool:
    """Whether an entry process's dump says that a service leaves."""
    state = call(fleet.operators[entry], "/dump").json()["state"]
    return _find_upstream(state, fleet.addresses[service])["leaving"] is True


def _find_upstream(found: Any, name: str) -> Any:
    """Return what a dump says of an upstream, wherever it stands."""
    if isinstance(found, dict) and found.get("id") == name and "leaving" in found:
        return found
    inner = found.values() if isinstance(found, dict) else found
    if not isinstance(found, dict | list):
        return None
    answers = (_find_upstream(one, name) for one in inner)
    return next((answer for answer in answers if answer is not None), None)


async def _begin_at(proof: Proof, service: str) -> tuple[WantedCall, Any]:
    """Begin a call that may not be repeated at one process of the service."""
    while True:
        wanted = proof.make_call(Traffic.NON_IDEMPOTENT)
        asking = await proof.begin("entry0", wanted)
        if proof.list_runs(wanted)[0].upstream == service:
            return wanted, asking
        assert (await asking).ending is Ending.WHOLE


def test_a_service_that_says_that_it_leaves(fleet: Fleet) -> None:
    """Callers notice nothing, and it gets no more calls once it has said so.

    One of two processes of a plain service says with its answers that it
    leaves, while it works on a call that may not be repeated. That call is
    answered. Once each entry process has had an answer from it, all calls go
    to the other one.
    """

    async def scenario(proof: Proof) -> None:
        leaving = _SERVICES[0]
        await _settle(proof)
        await proof.switch(leaving, straggle=_LONG_STRAGGLE)
        wanted, asking = await _begin_at(proof, leaving)
        await proof.switch(leaving, straggle=1.0, leaving=True)
        stopped = asyncio.Event()
        traffic = proof.start_traffic(_ENTRIES, stopped)
        for entry in _ENTRIES:
            look = partial(_knows_as_leaving, fleet, entry, leaving)
            await until(look)
        await _check_traffic(traffic, stopped)
        before = len(_list_runs_at(proof, leaving))
        await _send_calls(proof, Traffic.NON_IDEMPOTENT)
        assert len(_list_runs_at(proof, leaving)) == before
        assert (await asking).ending is Ending.WHOLE
        assert len(proof.list_runs(wanted)) == 1
        assert _list_cut(proof) == []
        await proof.switch(leaving, leaving=False)

    run_scenario(fleet, scenario)


def _apply_version(fleet: Fleet, version: str) -> None:
    engines = {vm: fleet.addresses[vm] for vm in _VMS}
    services = [fleet.addresses[name] for name in _SERVICES]
    rules = make_rules(
        services, version=version, slots_per_group=_SLOTS, shares=_SHARES
    )
    files = (
        fleet.write("next-inventory.json", make_inventory(engines, ("domain0",))),
        fleet.write("next-rules.json", rules),
    )
    applied = fleet.run_tool("apply", *files, "--store", fleet.store)
    assert applied.returncode == 0, applied.stdout + applied.stderr


async def _runs_version(proof: Proof, version: str) -> bool:
    addresses = {vm: proof.fleet.addresses[vm] for vm in _VMS}
    reports = (await read_reports(proof.http, addresses)).values()
    grouped = [report for report in reports if report.group is not None]
    return all(report.version == version for report in grouped)


def test_a_new_version_of_a_model(fleet: Fleet) -> None:
    """Callers within their guarantee notice nothing of a rollout.

    Operators apply rules with the model's next version, under mixed traffic
    of two customers and with long answers on their way. One group after the
    other is drained and loads the new version. What runs ends where it was
    begun, and every call is answered at its first ask: one group, which is
    what the model is guaranteed, serves all the time.
    """

    async def scenario(proof: Proof) -> None:
        await _settle(proof)
        stopped = asyncio.Event()
        traffic = proof.start_traffic(_ENTRIES, stopped)
        asking = await _begin_long(proof)
        await asyncio.to_thread(_apply_version, fleet, "2")
        await until_seen(partial(_runs_version, proof, "2"))
        for answer in await asyncio.gather(*asking.values()):
            assert answer.ending is Ending.WHOLE
        await _settle(proof)
        await _check_traffic(traffic, stopped)
        assert _list_cut(proof) == []
        assert all(len(proof.list_runs(one)) == 1 for one in proof.calls)

    run_scenario(fleet, scenario)


def test_a_service_replaced_in_place_is_used_again(tmp_path: Path) -> None:
    """Callers are answered once a service that left is back at its address.

    The only process of a plain service says that it leaves, ends, and is
    started anew. Nothing tells an entry process so: it sends nothing to what
    leaves, and so hears nothing from it either.
    """
    path = "/v1/services/dispatch/read"
    with start_fleet(tmp_path, vms=2, entries=1, controls=1) as fleet:
        entry = fleet.addresses["entry0"]

        def is_answered() -> bool:
            return call(entry, path, {}, "care-key").status == 200

        wait_until(is_answered)
        switch_faults(fleet, "service0", leaving=True)
        wait_until(lambda: not is_answered())
        fleet.kill("service0")
        fleet.restart("service0")
        wait_until(is_answered, timeout_s=8.0)
