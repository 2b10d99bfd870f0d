"""Stand-in of a plain service, some of whose calls may not be repeated.

Run as ``python -m zinniaspool_standins.service --listen ADDRESS``. A call
is answered with its own body's echo. ``GET /report`` tells the load,
``GET /history`` what ran; ``POST /faults`` takes what
:mod:`zinniaspool_standins.faults` names.
"""

import asyncio
import os
from typing import Annotated

import msgspec
import typer

from zinniaspool.core.ids import Address
from zinniaspool.http import Exchange, Headers, HttpServer
from zinniaspool_standins.batching import Batch
from zinniaspool_standins.faults import UpstreamFaults, switch_faults
from zinniaspool_standins.generation import refuse_as_not_run
from zinniaspool_standins.load import LaggedLoad
from zinniaspool_standins.runs import RunLog, RunRecord, RunState
from zinniaspool_standins.serving import answer_json, run_until_stopped

__all__ = ["ServiceStandIn"]

_DIED = 70
_URGENCY = 0


class _Echo(msgspec.Struct):
    request: str
    echo: str


class _LoadReport(msgspec.Struct):
    running: int
    waiting: int


class ServiceStandIn:
    """Runs each call that it takes.

    Args:
        log: Gets every run.
        work_s: Time that a call takes.
        slots: Calls that run at a time; more are refused.
        lag_s: Age of the load that is told.
    """

    def __init__(self, log: RunLog, work_s: float, slots: int, lag_s: float) -> None:
        self.log = log
        self.faults = UpstreamFaults()
        self._work_s = work_s
        self._batch = Batch(slots, queue=0)
        self._load = LaggedLoad(lag_s)
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._last: RunRecord | None = None

    async def serve(self, listen: Address) -> None:
        """Serve until the process is stopped."""
        server = HttpServer(self.handle)
        bound = await server.listen(listen)
        await run_until_stopped("service", bound)
        await server.drain(0.0)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        match exchange.request.method, exchange.request.path:
            case "POST", "/faults":
                await self._switch_faults(exchange)
            case "GET", "/history":
                await answer_json(exchange, 200, self.log.runs)
            case "GET", "/report":
                await self._resumed.wait()
                load = self._load.tell(asyncio.get_running_loop().time())
                await answer_json(
                    exchange, 200, _LoadReport(load.running, load.waiting)
                )
            case _:
                await self._resumed.wait()
                await self._take_call(exchange)

    async def _switch_faults(self, exchange: Exchange) -> None:
        self.faults = switch_faults(self.faults, exchange.request.body)
        if self.faults.die:
            os._exit(_DIED)
        if self.faults.paused:
            self._resumed.clear()
        else:
            self._resumed.set()
        await answer_json(exchange, 200, None)

    async def _take_call(self, exchange: Exchange) -> None:
        faults = self.faults.meet()
        if faults.drop:
            exchange.abort()
            return
        number = None if faults.refuse else self._batch.submit(_URGENCY)
        if number is None:
            await refuse_as_not_run(exchange, faults.leaving)
            return
        try:
            self._note_load()
            await self._run(exchange, faults)
        finally:
            self._batch.end(number)
            self._note_load()

    async def _run(self, exchange: Exchange, faults: UpstreamFaults) -> None:
        request = exchange.request
        record = self.log.begin(
            RunRecord(
                request.headers.get("x-request-id") or "",
                request.headers.get("x-attempt") or "",
                request.body.decode(),
                request.path,
            )
        )
        try:
            await asyncio.sleep(self._work_s * faults.straggle)
            if faults.cut_after == 0:
                self.log.end(record, RunState.FAILED)
                exchange.abort()
                return
            self.log.end(record, RunState.FINISHED)
        finally:
            if record.state is RunState.STARTED:
                self.log.end(record, RunState.CANCELLED)
        await asyncio.sleep(faults.late_s)
        if faults.cut_after > 0:
            exchange.abort()
            return
        await self._answer(exchange, record, faults)

    async def _answer(
        self, exchange: Exchange, record: RunRecord, faults: UpstreamFaults
    ) -> None:
        crossed = self._last or RunRecord("crossed", "1", "op-crossed.")
        self._last = record
        named = crossed if faults.crossed else record
        load = self._load.tell(asyncio.get_running_loop().time())
        headers = Headers.of(
            content_type="application/json",
            x_request_id=named.request,
            x_attempt=named.attempt,
            x_load_running=str(load.running),
            x_load_waiting=str(load.waiting),
        )
        if self.faults.leaving:
            headers.add("x-leaving", "1")
        body = msgspec.json.encode(_Echo(named.request, named.sent))
        await exchange.respond(500 if faults.failing else 200, headers, body)

    def _note_load(self) -> None:
        now = asyncio.get_running_loop().time()
        self._load.record(self._batch.running, self._batch.waiting, now)


def _main(
    listen: Annotated[str, typer.Option()],
    name: Annotated[str, typer.Option()] = "service",
    work_s: Annotated[float, typer.Option()] = 0.005,
    slots: Annotated[int, typer.Option()] = 64,
    lag_s: Annotated[float, typer.Option()] = 0.1,
    history: Annotated[str, typer.Option()] = "",
) -> None:
    service = ServiceStandIn(RunLog(name, history), work_s, slots, lag_s)
    asyncio.run(service.serve(Address(listen)))


if __name__ == "__main__":
    typer.run(_main)
