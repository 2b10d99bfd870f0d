"""Stand-in of the platform: key-value service, VM list, over HTTP and JSON.

Run as ``python -m zinniaspool_standins.platform --listen ADDRESS``, with
``--listen`` as often as there are addresses: a process that is given one of
its own can be cut off alone. Faults are switched on by ``POST /faults`` and
VMs are listed by ``PUT /vms/ID`` (``live``, ``leaving``) and ``DELETE
/vms/ID``. ``GET /calls`` counts the calls by kind.
"""

import asyncio
from collections import Counter
from collections.abc import Sequence
from functools import partial
from typing import Annotated, Any
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec
import typer

from zinniaspool.core.ids import Address, Revision, VmId
from zinniaspool.core.plans import VmListing, VmListState
from zinniaspool.http import Exchange, HttpServer, ServerLimits
from zinniaspool.store.client import LeaseId, StoreFault
from zinniaspool_standins.kvstore import (
    MOST_VALUE_BYTES,
    CallBudget,
    KeyValueState,
    StoreFaults,
)
from zinniaspool_standins.serving import answer_json, run_until_stopped

__all__ = ["PlatformStandIn"]

_LAPSE_EVERY_S = 0.02
_STORE_FAULTS = (
    "out",
    "delay_s",
    "lose_answers",
    "hang",
    "calls_per_s",
    "writes_per_s",
)


class _Swap(msgspec.Struct):
    value: str
    expected: int
    lease: str | None = None


class _Grant(msgspec.Struct):
    ttl_s: float


class _Faults(msgspec.Struct, forbid_unknown_fields=True):
    out: bool | None = None
    delay_s: float | None = None
    lose_answers: int | None = None
    hang: bool | None = None
    calls_per_s: float | None = None
    writes_per_s: float | None = None
    vm_list_lag_s: float | None = None
    cut_off: list[Address] | None = None


class PlatformStandIn:
    """The platform's services in one process."""

    def __init__(self) -> None:
        self.state = KeyValueState()
        self.faults = StoreFaults()
        self.vm_list_lag_s = 0.5
        self.calls: Counter[str] = Counter()
        self._vms: dict[VmId, VmListing] = {}
        self._changed = asyncio.Event()
        self._call_budget = CallBudget(self.faults.calls_per_s)
        self._write_budget = CallBudget(self.faults.writes_per_s)
        self._cut_off: frozenset[Address] = frozenset()

    async def serve(self, listen: Sequence[Address]) -> None:
        """Serve at every address until the process is stopped."""
        limits = ServerLimits(body_bytes=2 * MOST_VALUE_BYTES)
        servers = []
        for address in listen:
            handler = partial(self._handle_at, address)
            servers.append(HttpServer(handler, limits))
            await servers[-1].listen(address)
        async with asyncio.TaskGroup() as tasks:
            lapsing = tasks.create_task(self._lapse_leases())
            await run_until_stopped("platform", listen[0])
            lapsing.cancel()
        for server in servers:
            await server.drain(0.0)

    async def _handle_at(self, address: Address, exchange: Exchange) -> None:
        if address not in self._cut_off:
            await self.handle(exchange)
        if address in self._cut_off:
            exchange.abort()

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        url = urlsplit(exchange.request.target)
        if url.path == "/faults":
            await self._switch_faults(exchange)
            return
        if url.path.startswith("/vms"):
            await self._handle_vms(exchange, url.path)
            return
        if url.path == "/calls":
            await answer_json(exchange, 200, dict(self.calls))
            return
        await self._handle_store(exchange, url.path, parse_qs(url.query))

    async def _handle_store(
        self, exchange: Exchange, path: str, query: dict[str, list[str]]
    ) -> None:
        method = exchange.request.method
        self.calls[f"{method} {path.split('/')[1]}"] += 1
        if self.faults.out:
            await answer_json(exchange, 503, None)
            return
        if not self._admit_call(method):
            await answer_json(exchange, 429, None)
            return
        while self.faults.hang:
            await self._changed.wait()
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        parts = path.split("/", 2)
        match parts[1], method:
            case "kv", "GET":
                await self._read(exchange, parts, query)
            case "kv", "PUT":
                await self._write(exchange, unquote(parts[2]))
            case "kv", "DELETE":
                expected = Revision(int(query["expected"][0]))
                fault = self.state.delete(unquote(parts[2]), expected)
                self._notify()
                await self._answer_write(exchange, 412 if fault else 200, None)
            case "leases", _:
                await self._handle_lease(exchange, parts)
            case "watch", "GET":
                await self._watch(exchange, query)
            case _:
                await answer_json(exchange, 400, None)

    async def _read(
        self, exchange: Exchange, parts: list[str], query: dict[str, list[str]]
    ) -> None:
        if parts[-1] == parts[1]:
            await answer_json(exchange, 200, self.state.list(query["prefix"][0]))
            return
        value = self.state.get(unquote(parts[2]))
        await answer_json(exchange, 200 if value else 404, value)

    async def _write(self, exchange: Exchange, key: str) -> None:
        body = msgspec.json.decode(exchange.request.body, type=_Swap)
        if len(body.value.encode()) > MOST_VALUE_BYTES:
            await answer_json(exchange, 413, None)
            return
        lease = LeaseId(body.lease) if body.lease else None
        written = self.state.swap(key, body.value, Revision(body.expected), lease)
        if written is StoreFault.CONFLICT:
            await self._answer_write(exchange, 412, None)
            return
        if isinstance(written, StoreFault):
            await self._answer_write(exchange, 404, None)
            return
        self._notify()
        await self._answer_write(exchange, 200, {"revision": written})

    async def _handle_lease(self, exchange: Exchange, parts: list[str]) -> None:
        now = asyncio.get_running_loop().time()
        if parts[-1] == parts[1]:
            body = msgspec.json.decode(exchange.request.body, type=_Grant)
            lease = self.state.grant(body.ttl_s, now)
            await self._answer_write(exchange, 200, {"lease": lease})
            return
        name = LeaseId(parts[2].partition("/")[0])
        if exchange.request.method == "DELETE":
            found = self.state.revoke(name)
            self._notify()
        else:
            found = self.state.renew(name, now)
        await self._answer_write(exchange, 200 if found else 404, None)

    async def _watch(self, exchange: Exchange, query: dict[str, list[str]]) -> None:
        prefix, after = query["prefix"][0], Revision(int(query["after"][0]))
        loop = asyncio.get_running_loop()
        ends = loop.time() + float(query["timeout_s"][0])
        batch = self.state.changes(prefix, after)
        while not batch.changes and loop.time() < ends and not self.faults.out:
            changed = self._changed
            try:
                async with asyncio.timeout_at(ends):
                    await changed.wait()
            except TimeoutError:
                break
            batch = self.state.changes(prefix, after)
        await answer_json(exchange, 503 if self.faults.out else 200, batch)

    async def _handle_vms(self, exchange: Exchange, path: str) -> None:
        if exchange.request.method == "GET":
            await answer_json(exchange, 200, list(self._vms.values()))
            return
        vm = VmId(path.removeprefix("/vms/"))
        state = exchange.request.body.decode()
        listing = VmListing(vm, VmListState(state)) if state else None
        loop = asyncio.get_running_loop()
        loop.call_later(self.vm_list_lag_s, self._list_vm, vm, listing)
        await answer_json(exchange, 200, None)

    def _list_vm(self, vm: VmId, listing: VmListing | None) -> None:
        if listing is None:
            self._vms.pop(vm, None)
        else:
            self._vms[vm] = listing

    async def _switch_faults(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.request.body, type=_Faults)
        for name in _STORE_FAULTS:
            value = getattr(body, name)
            if value is not None:
                setattr(self.faults, name, value)
        if body.cut_off is not None:
            self._cut_off = frozenset(body.cut_off)
        if body.vm_list_lag_s is not None:
            self.vm_list_lag_s = body.vm_list_lag_s
        self._notify()
        await answer_json(exchange, 200, None)

    async def _answer_write(self, exchange: Exchange, status: int, body: Any) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            exchange.abort()
            return
        await answer_json(exchange, status, body)

    def _admit_call(self, method: str) -> bool:
        now = asyncio.get_running_loop().time()
        if method != "GET" and not self._write_budget.take(
            self.faults.writes_per_s, now
        ):
            return False
        return self._call_budget.take(self.faults.calls_per_s, now)

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _lapse_leases(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_LAPSE_EVERY_S)
            before = self.state.revision
            self.state.lapse(loop.time())
            if self.state.revision != before:
                self._notify()


def _main(listen: Annotated[list[str], typer.Option()]) -> None:
    asyncio.run(PlatformStandIn().serve([Address(one) for one in listen]))


if __name__ == "__main__":
    typer.run(_main)
