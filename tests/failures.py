"""What the proofs under failure share: calls on record, and conditions."""

import asyncio
import json
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Container
from dataclasses import replace
from itertools import count
from pathlib import Path
from typing import Any

from tests.processes import CREDENTIALS, Fleet
from zinniaspool.core.ids import CustomerId, IdempotencyKey
from zinniaspool.core.requests.claims import SLOT_COUNT, find_slot
from zinniaspool.core.requests.keys import hash_key
from zinniaspool.http import HttpClient, Request
from zinniaspool_standins.callers import Caller, Mix, send_traffic
from zinniaspool_standins.histories import Ask, Ending, Operation, judge
from zinniaspool_standins.operations import Traffic, WantedCall, make_call
from zinniaspool_standins.runs import RunRecord, RunState
from zinniaspool_standins.watching import SeenGroup, list_groups, read_reports

__all__ = ["Proof", "find_call_slot", "run_scenario", "until", "until_seen"]

_WAIT_S = 20.0
_SCENARIO_S = 60.0
_LOOK_S = 0.02
_TRAFFIC_S = 3.0
_MODEL = "advisory"
_SERVICE = "dispatch/send"
# No number is used twice on one fleet: it would be the same key.
_numbers = count()
_traffic_numbers = count(1_000_000, 1_000_000)
# Slots of claims that calls of a fleet were in: an entry process may own them.
_used_slots: defaultdict[Path, set[int]] = defaultdict(set)


async def until(check: Callable[[], object]) -> None:
    """Wait until a check holds."""

    async def look() -> object:
        return check()

    await until_seen(look)


async def until_seen(look: Callable[[], Awaitable[object]]) -> None:
    """Wait until a look at the fleet shows what it looks for."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + _WAIT_S
    for _ in iter(lambda: loop.time() < ends, False):
        if await look():
            return
        await asyncio.sleep(_LOOK_S)
    raise AssertionError("did not come true in time")


def find_call_slot(call: WantedCall) -> int:
    """Return the slot of claims that a call's key falls into."""
    customer = CustomerId(call.operation.customer)
    return find_slot(hash_key(customer, IdempotencyKey(call.key)))


class Proof:
    """Calls of one test and the judgement over them.

    Args:
        fleet: Where they go.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.http = HttpClient()
        self.calls: list[WantedCall] = []
        self.operations: list[Operation] = []

    def make_call(
        self,
        traffic: Traffic,
        customer: str = "care",
        max_tokens: int = 40,
        timeout_s: float = 10.0,
        session: str = "",
        slots: Container[int] = range(SLOT_COUNT),
    ) -> WantedCall:
        """Return a new call, on record from now on.

        Args:
            traffic: Which kind.
            customer: Whose.
            max_tokens: Length of a model's answer.
            timeout_s: Deadline of each ask.
            session: Puts its key into a session.
            slots: Slots of claims that its key may fall into.
        """
        target = _SERVICE if traffic is Traffic.NON_IDEMPOTENT else _MODEL
        made = (
            make_call(traffic, number, customer, target, max_tokens, timeout_s)
            for number in _numbers
        )
        call = next(one for one in made if find_call_slot(one) in slots)
        if call.key:
            _used_slots[self.fleet.folder].add(find_call_slot(call))
        if session:
            call = replace(call, key=f"{session}.{call.key}")
        self.calls.append(call)
        self.operations.append(call.operation)
        return call

    def list_free_slots(self) -> set[int]:
        """Return the slots of claims that no entry process can own yet."""
        return set(range(SLOT_COUNT)) - _used_slots[self.fleet.folder]

    def make_caller(
        self, customer: str = "care", entries: tuple[str, ...] = ("entry0",)
    ) -> Caller:
        """Return a caller that finds entry VMs and asks again by itself."""
        credential = next(key for key, name in CREDENTIALS.items() if name == customer)
        known = [self.fleet.addresses[entry] for entry in entries]
        return Caller(self.http, credential, known, random.Random(1))

    def start_traffic(
        self, entries: tuple[str, ...], stopped: asyncio.Event
    ) -> "asyncio.Task[list[Operation]]":
        """Send mixed calls of two customers until told to stop."""
        mixes = [
            Mix(
                customer,
                self.make_caller(customer, entries),
                _MODEL,
                _SERVICE,
                at_once=2,
                first_number=next(_traffic_numbers),
                timeout_s=_TRAFFIC_S,
            )
            for customer in CREDENTIALS.values()
        ]
        return asyncio.create_task(self._send_traffic(mixes, stopped))

    async def _send_traffic(
        self, mixes: list[Mix], stopped: asyncio.Event
    ) -> list[Operation]:
        sent = await send_traffic(mixes, random.Random(2), stopped.is_set)
        self.operations += sent
        return sent

    async def ask(self, entry: str, call: WantedCall) -> Ask:
        """Ask one entry VM once."""
        caller = self.make_caller(call.operation.customer)
        asked = await caller.ask_at(self.fleet.addresses[entry], call)
        call.operation.asks.append(asked.ask)
        return asked.ask

    async def ask_until_run(self, entry: str, call: WantedCall) -> Ask:
        """Ask again, as callers may, while the answer is "not run"."""
        asks: list[Ask] = []

        async def look() -> bool:
            asks.append(await self.ask(entry, call))
            return asks[-1].ending is not Ending.NOT_RUN

        await until_seen(look)
        return asks[-1]

    async def begin(self, entry: str, call: WantedCall) -> "asyncio.Task[Ask]":
        """Ask, and wait until an upstream runs the call."""
        task = asyncio.create_task(self.ask(entry, call))
        await until(lambda: self.list_runs(call))
        return task

    def list_runs(self, call: WantedCall) -> list[RunRecord]:
        """Return what upstreams have run of a call."""
        marker = call.operation.marker
        return [run for run in self.fleet.read_runs() if marker in run.sent]

    async def until_finished(self, call: WantedCall) -> None:
        """Wait until an upstream has run the call to its end."""
        await until(
            lambda: any(run.state is RunState.FINISHED for run in self.list_runs(call))
        )

    async def until_whole(self, groups: int) -> None:
        """Wait until that many groups of two have both their VMs."""

        async def look() -> bool:
            return await self.count_whole() >= groups

        await until_seen(look)

    async def count_whole(self) -> int:
        """Return how many groups have both their VMs."""
        found = await self._list_groups()
        return sum(group.whole and len(group.vms) == 2 for group in found)

    async def until_served(self, entry: str, upstreams: int = 1) -> None:
        """Wait until an entry VM sends the model's calls to so many groups."""
        seen: set[str] = set()

        async def look() -> bool:
            call = make_call(Traffic.PLAIN, next(_numbers), "care", _MODEL, 1)
            caller = self.make_caller()
            asked = await caller.ask_at(self.fleet.addresses[entry], call)
            if asked.ask.ending is Ending.WHOLE:
                seen.update(run.upstream for run in self.list_runs(call))
            return len(seen) >= upstreams

        await until_seen(look)

    async def switch_services(self, **faults: object) -> None:
        """Tell every process of the plain service how to fail."""
        for name in self.fleet.addresses:
            if name.startswith("service"):
                await self.switch(name, **faults)

    async def switch(self, name: str, **faults: object) -> None:
        """Tell a stand-in how to fail."""
        request = Request("POST", "/faults", body=json.dumps(faults).encode())
        address = self.fleet.addresses[name]
        status, _ = await self.http.fetch(address, request, _WAIT_S)
        assert status == 200

    async def fetch_session(self, entry: str) -> str:
        """Return a session that an entry process gives out."""
        return str((await self._fetch_entries(entry))["session"])

    async def until_listed(self, entry: str, by: str, *, listed: bool) -> None:
        """Wait until an entry process names another one to callers, or not."""

        async def look() -> bool:
            found = await self._fetch_entries(by)
            named = [one["address"] for one in found["entries"]]
            return (self.fleet.addresses[entry] in named) is listed

        await until_seen(look)

    async def _fetch_entries(self, entry: str) -> Any:
        address = self.fleet.addresses[entry]
        request = Request("GET", "/v1/entries")
        _, body = await self.http.fetch(address, request, _WAIT_S)
        return json.loads(body)

    async def find_group(self, vm: str) -> tuple[str, ...]:
        """Return the VMs of a VM's group."""
        return next(group.vms for group in await self._list_groups() if vm in group.vms)

    def check(self) -> None:
        """Assert that no promise was broken."""
        violations = judge(self.operations, self.fleet.read_runs())
        assert not violations, violations

    async def _list_groups(self) -> list[SeenGroup]:
        vms = [name for name in self.fleet.addresses if name.startswith("vm")]
        addresses = {vm: self.fleet.addresses[vm] for vm in vms}
        return list_groups(await read_reports(self.http, addresses))


def run_scenario(fleet: Fleet, scenario: Callable[[Proof], Awaitable[None]]) -> None:
    """Run one test's calls and failures, and judge all that was recorded."""

    async def run() -> None:
        proof = Proof(fleet)
        try:
            async with asyncio.timeout(_SCENARIO_S):
                await scenario(proof)
        finally:
            proof.http.close()
        proof.check()

    asyncio.run(run())
