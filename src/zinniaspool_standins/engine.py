"""Stand-in of one VM's model engine.

Run as ``python -m zinniaspool_standins.engine --vm VM --listen ADDRESS``.
The first VM of a group answers its requests, together with the group's
other VMs where ``--peers`` names their addresses; every VM reports.

- ``GET /report``: an :class:`~zinniaspool.core.plans.EngineReport`, its load
  a while old. Answers carry ``X-Load-Running`` and ``X-Load-Waiting``.
- ``POST /orders``: an :class:`~zinniaspool.core.plans.Order`; 409 for an old
  fencing number.
- ``POST /generate``: runs with ``X-Request-Id``, ``X-Attempt``, ``X-Group``
  and ``X-Epoch``; ``Priority: u=0`` to ``u=7``; ``X-Cache-Salt`` keeps
  prefixes apart; ``Last-Event-ID`` resumes. ``X-Not-Run`` on a refusal.
- ``GET /events?after=N``: changes of the prefix cache, late and with gaps.
- ``GET /cache``, ``PUT /cache``: export and import of the KV cache.
- ``GET /history``: what ran. ``POST /faults``: see
  :mod:`zinniaspool_standins.faults`.
"""

import asyncio
import os
import uuid
from dataclasses import dataclass, replace
from typing import Annotated
from urllib.parse import parse_qs, quote, urlsplit

import msgspec
import typer

from zinniaspool.core.ids import Address, VmId
from zinniaspool.core.plans import EngineReport, EngineState, Order
from zinniaspool.http import (
    Exchange,
    Headers,
    HttpClient,
    HttpServer,
    Request,
    TransportError,
)
from zinniaspool_standins.batching import Batch
from zinniaspool_standins.collective import BEAT_S, Collective
from zinniaspool_standins.faults import UpstreamFaults, switch_faults
from zinniaspool_standins.generation import Generator, Speed, refuse_as_not_run
from zinniaspool_standins.holding import Followed, Holding
from zinniaspool_standins.load import LaggedLoad
from zinniaspool_standins.prefixes import PrefixCache
from zinniaspool_standins.runs import RunLog
from zinniaspool_standins.serving import answer_json, run_until_stopped

__all__ = ["EngineOptions", "EngineStandIn"]

_RETRY_LOAD_S = 0.2
_LOAD_HEAD_S = 60.0
_OK = 200
_DIED = 70


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """What one engine is like.

    Attributes:
        vm: The VM it runs on.
        peers: Where the engines of other VMs listen.
        load_s: Time of a load without a weight store.
        regroup_s: Time to form a group with weights that are held.
        weight_store: Where weights come from; empty for nowhere.
        weights_gb: Size of this VM's weights.
        speed: Time of a step and of prefill.
        slots: Requests that run at a time.
        queue: Requests that wait at most.
        cache_blocks: Size of the prefix cache.
        lag_s: Age of the load and of the cache events that are told.
        lose_events_every: Which cache events are lost; 0 for none.
        checks_fencing: Whether orders with an old epoch are refused.
        history: File of the runs; empty for none.
    """

    vm: VmId
    peers: dict[VmId, Address]
    load_s: float
    regroup_s: float
    weight_store: Address
    weights_gb: float
    speed: Speed
    slots: int
    queue: int
    cache_blocks: int
    lag_s: float
    lose_events_every: int
    checks_fencing: bool
    history: str


class EngineStandIn:
    """One engine: follows orders, reports, generates tokens."""

    def __init__(self, options: EngineOptions) -> None:
        self.holding = Holding(options.vm, uuid.uuid4().hex, options.checks_fencing)
        self.log = RunLog(options.vm, options.history)
        self.faults = UpstreamFaults()
        self._options = options
        self._http = HttpClient()
        self._batch = Batch(options.slots, options.queue)
        self._load = LaggedLoad(options.lag_s)
        self._cache = PrefixCache(
            options.cache_blocks, options.lag_s, options.lose_events_every
        )
        self._collective = Collective(self._http, options.peers)
        self._generator = Generator(
            self.log,
            self._batch,
            self._load,
            self._cache,
            self._collective,
            options.speed,
        )
        self._loading: asyncio.Task[None] | None = None
        self._resumed = asyncio.Event()
        self._resumed.set()

    @property
    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def serve(self, listen: Address) -> None:
        """Serve until the process is stopped."""
        server = HttpServer(self.handle)
        bound = await server.listen(listen)
        await run_until_stopped("engine", bound)
        self._collective.dissolve()
        self._cancel_loading()
        await server.drain(0.0)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        url = urlsplit(exchange.request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        method = exchange.request.method
        if (method, url.path) == ("POST", "/faults"):
            await self._switch_faults(exchange)
            return
        if (method, url.path) == ("GET", "/history"):
            await answer_json(exchange, 200, self.log.runs)
            return
        await self._resumed.wait()
        match method, url.path:
            case "GET", "/report":
                await answer_json(exchange, 200, self.report())
            case "POST", "/orders":
                await self._follow_order(exchange)
            case "POST", "/generate":
                await self._generate(exchange)
            case "GET", "/collective":
                await self._send_beats(exchange, query.get("group", ""))
            case "GET", "/events":
                after = int(query.get("after", 0))
                events = self._cache.list_events(after, self._now)
                await answer_json(exchange, 200, events)
            case "GET", "/cache":
                await answer_json(exchange, 200, self._cache.export())
            case "PUT", "/cache":
                blocks = msgspec.json.decode(exchange.request.body, type=list[str])
                self._cache.load(blocks, self._now)
                await answer_json(exchange, 200, None)
            case _:
                await answer_json(exchange, 404, None)

    def report(self) -> EngineReport:
        """Return what the engine says of itself."""
        held = self.holding.report
        load = self._load.tell(self._now)
        state = held.state
        if state is EngineState.READY and not self._collective.linked:
            # Without its other VMs the group answers nothing.
            state = EngineState.LOADING
        return replace(
            held,
            state=state,
            running=load.running,
            waiting=load.waiting,
            tokens_per_s=1 / (self._options.speed.token_s * self.faults.straggle),
        )

    async def _switch_faults(self, exchange: Exchange) -> None:
        self.faults = switch_faults(self.faults, exchange.request.body)
        if self.faults.die:
            os._exit(_DIED)
        self._generator.straggle = self.faults.straggle
        if self.faults.paused:
            self._resumed.clear()
        else:
            self._resumed.set()
        await answer_json(exchange, 200, None)

    async def _follow_order(self, exchange: Exchange) -> None:
        order = msgspec.json.decode(exchange.request.body, type=Order)
        followed = self.holding.follow(order)
        match followed:
            case Followed.REFUSED:
                await answer_json(exchange, 409, None)
                return
            case Followed.LOADING | Followed.REGROUPED:
                self._start_loading(followed)
            case Followed.EMPTIED:
                self._cancel_loading()
                self._collective.dissolve()
                self._cache.clear(self._now)
        await answer_json(exchange, 200, None)

    def _start_loading(self, followed: Followed) -> None:
        self._cancel_loading()
        self._collective.dissolve()
        self._loading = asyncio.create_task(self._load_and_join(followed))

    async def _load_and_join(self, followed: Followed) -> None:
        if followed is Followed.REGROUPED:
            await asyncio.sleep(self._options.regroup_s)
        elif self._options.weight_store:
            await self._fetch_weights()
        else:
            await asyncio.sleep(self._options.load_s)
        held, members = self.holding.report, self.holding.members
        if held.group is not None and members[:1] == (held.vm,):
            self._collective.form(held.group, members[1:])
        self.holding.end_loading()

    async def _fetch_weights(self) -> None:
        held = self.holding.report
        model, version = quote(held.model or "-"), quote(held.version or "-")
        target = f"/weights/{model}/{version}?gb={self._options.weights_gb}"
        request = Request("GET", target)
        while True:
            try:
                response = await self._http.send(
                    self._options.weight_store, request, _LOAD_HEAD_S, fresh=True
                )
                try:
                    await response.read()
                finally:
                    response.abort()
                if response.status == _OK:
                    return
            except TransportError:
                pass
            await asyncio.sleep(_RETRY_LOAD_S)

    def _cancel_loading(self) -> None:
        if self._loading is not None:
            self._loading.cancel()
            self._loading = None

    async def _generate(self, exchange: Exchange) -> None:
        held = self.report()
        headers = exchange.request.headers
        asked = (headers.get("x-group"), headers.get("x-epoch"))
        ours = (str(held.group), str(held.epoch))
        if held.state is not EngineState.READY or asked != ours:
            await refuse_as_not_run(exchange)
            return
        faults = self.faults.meet()
        if faults.drop:
            exchange.abort()
        elif faults.refuse:
            await refuse_as_not_run(exchange)
        else:
            await self._generator.generate(exchange, faults)

    async def _send_beats(self, exchange: Exchange, group: str) -> None:
        if not self._takes_part(group):
            await answer_json(exchange, 409, None)
            return
        await exchange.start(200, Headers.of(content_type="text/plain"))
        while self._takes_part(group):
            await self._resumed.wait()
            await exchange.write(f"{self.faults.straggle}\n".encode())
            await asyncio.sleep(BEAT_S)
        exchange.abort()

    def _takes_part(self, group: str) -> bool:
        held = self.holding.report
        taking_part = (EngineState.READY, EngineState.DRAINING)
        return held.group == group and held.state in taking_part


def _read_peers(text: str) -> dict[VmId, Address]:
    pairs = [item.partition("=") for item in text.split(",") if item]
    return {VmId(vm): Address(address) for vm, _, address in pairs}


def _main(
    vm: Annotated[str, typer.Option()],
    listen: Annotated[str, typer.Option()],
    peers: Annotated[str, typer.Option(help="VM=ADDRESS, by commas")] = "",
    load_s: Annotated[float, typer.Option()] = 0.3,
    regroup_s: Annotated[float, typer.Option()] = 0.1,
    weight_store: Annotated[str, typer.Option()] = "",
    weights_gb: Annotated[float, typer.Option()] = 1.0,
    token_s: Annotated[float, typer.Option()] = 0.005,
    prefill_s: Annotated[float, typer.Option()] = 0.0,
    slots: Annotated[int, typer.Option()] = 64,
    queue: Annotated[int, typer.Option()] = 64,
    cache_blocks: Annotated[int, typer.Option()] = 512,
    lag_s: Annotated[float, typer.Option()] = 0.1,
    lose_events_every: Annotated[int, typer.Option()] = 0,
    checks_fencing: Annotated[bool, typer.Option()] = True,
    history: Annotated[str, typer.Option()] = "",
) -> None:
    options = EngineOptions(
        VmId(vm),
        _read_peers(peers),
        load_s,
        regroup_s,
        Address(weight_store),
        weights_gb,
        Speed(token_s, prefill_s),
        slots,
        queue,
        cache_blocks,
        lag_s,
        lose_events_every,
        checks_fencing,
        history,
    )
    asyncio.run(EngineStandIn(options).serve(Address(listen)))


if __name__ == "__main__":
    typer.run(_main)
