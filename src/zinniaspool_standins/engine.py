"""Stand-in of one VM's model engine.

Run as ``python -m zinniaspool_standins.engine --vm VM --listen ADDRESS``.
The first VM of a group answers its requests; every VM reports. What ran is
kept for ``GET /history``.
"""

import asyncio
import uuid
from typing import Annotated, Any

import msgspec
import typer

from zinniaspool.core.ids import Address, Epoch, VmId
from zinniaspool.core.plans import EngineReport, EngineState, Order, OrderKind
from zinniaspool.http import Exchange, Headers, HttpServer
from zinniaspool_standins.serving import run_until_stopped

__all__ = ["EngineStandIn"]

_JSON = Headers.of(content_type="application/json")


class _Call(msgspec.Struct):
    prompt: str
    max_tokens: int = 8
    stream: bool = False


class RunRecord(msgspec.Struct):
    """One run of a request, for the history checker."""

    request: str
    attempt: str
    state: str
    first_token: int = 0


class EngineStandIn:
    """One engine: follows orders, reports, generates tokens.

    Args:
        vm: The VM it runs on.
        load_s: How long a load takes.
        token_s: Time between tokens.
        checks_fencing: Whether orders with an old epoch are refused.
    """

    def __init__(
        self, vm: VmId, load_s: float, token_s: float, checks_fencing: bool
    ) -> None:
        self.report = EngineReport(vm, uuid.uuid4().hex, EngineState.EMPTY)
        self.history: list[RunRecord] = []
        self._load_s = load_s
        self._token_s = token_s
        self._checks_fencing = checks_fencing
        self._loading: asyncio.TimerHandle | None = None
        self._running = 0

    async def serve(self, listen: Address) -> None:
        """Serve until the process is stopped."""
        server = HttpServer(self.handle)
        bound = await server.listen(listen)
        await run_until_stopped("engine", bound)
        await server.drain(0.0)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        match exchange.request.method, exchange.request.path:
            case "GET", "/report":
                await _answer(exchange, 200, self._current_report())
            case "GET", "/history":
                await _answer(exchange, 200, self.history)
            case "POST", "/orders":
                await self._follow_order(exchange)
            case "POST", "/generate":
                await self._generate(exchange)
            case _:
                await _answer(exchange, 404, None)

    def _current_report(self) -> EngineReport:
        now = self.report
        return EngineReport(
            now.vm,
            now.boot,
            now.state,
            now.group,
            now.epoch,
            now.model,
            now.version,
            running=self._running,
        )

    async def _follow_order(self, exchange: Exchange) -> None:
        order = msgspec.json.decode(exchange.request.body, type=Order)
        if self._checks_fencing and order.epoch < self.report.epoch:
            await _answer(exchange, 409, None)
            return
        match order.kind:
            case OrderKind.LOAD:
                self._load(order)
            case OrderKind.UNLOAD:
                self._unload(order.epoch)
            case OrderKind.DRAIN:
                self._set_state(EngineState.DRAINING)
        await _answer(exchange, 200, None)

    def _load(self, order: Order) -> None:
        now = self.report
        same = (now.group, now.model, now.version) == (
            order.group,
            order.model,
            order.version,
        )
        held = same and now.state in (EngineState.READY, EngineState.LOADING)
        self.report = EngineReport(
            now.vm,
            now.boot,
            now.state if held else EngineState.LOADING,
            order.group,
            order.epoch,
            order.model,
            order.version,
        )
        if held:
            return
        self._cancel_loading()
        loop = asyncio.get_running_loop()
        self._loading = loop.call_later(
            self._load_s, self._set_state, EngineState.READY
        )

    def _unload(self, epoch: Epoch) -> None:
        self._cancel_loading()
        now = self.report
        self.report = EngineReport(now.vm, now.boot, EngineState.EMPTY, epoch=epoch)

    def _set_state(self, state: EngineState) -> None:
        now = self.report
        self.report = EngineReport(
            now.vm, now.boot, state, now.group, now.epoch, now.model, now.version
        )

    def _cancel_loading(self) -> None:
        if self._loading is not None:
            self._loading.cancel()
            self._loading = None

    async def _generate(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        ours = (str(self.report.group), str(self.report.epoch))
        asked = (headers.get("x-group"), headers.get("x-epoch"))
        if self.report.state is not EngineState.READY or asked != ours:
            refusal = Headers.of(content_type="application/json", x_not_run="1")
            await exchange.respond(409, refusal, b"null")
            return
        call = msgspec.json.decode(exchange.request.body, type=_Call)
        request = headers.get("x-request-id") or ""
        attempt = headers.get("x-attempt") or ""
        start = int(headers.get("last-event-id") or 0)
        record = RunRecord(request, attempt, "started", start)
        self.history.append(record)
        echo = Headers.of(x_request_id=request, x_attempt=attempt)
        self._running += 1
        try:
            if call.stream:
                await self._stream_tokens(exchange, echo, call, start)
            else:
                await asyncio.sleep(self._token_s * call.max_tokens)
                text = " ".join(_token(call, k) for k in range(call.max_tokens))
                body = msgspec.json.encode({"text": text, "request": request})
                echo.add("content-type", "application/json")
                await exchange.respond(200, echo, body)
            record.state = "finished"
        except asyncio.CancelledError:
            record.state = "cancelled"
            raise
        finally:
            self._running -= 1

    async def _stream_tokens(
        self, exchange: Exchange, echo: Headers, call: _Call, start: int
    ) -> None:
        await exchange.start(200, echo.add("content-type", "text/event-stream"))
        for k in range(start, call.max_tokens):
            await asyncio.sleep(self._token_s)
            event = f"id: {k + 1}\ndata: {_token(call, k)}\n\n"
            await exchange.write(event.encode())
        await exchange.write(b"event: done\ndata: {}\n\n")
        await exchange.finish()


def _token(call: _Call, k: int) -> str:
    words = call.prompt.split() or ["-"]
    return f"{words[k % len(words)]}{k}"


async def _answer(exchange: Exchange, status: int, body: Any) -> None:
    await exchange.respond(status, _JSON, msgspec.json.encode(body))


def _main(
    vm: Annotated[str, typer.Option()],
    listen: Annotated[str, typer.Option()],
    load_s: Annotated[float, typer.Option()] = 0.3,
    token_s: Annotated[float, typer.Option()] = 0.005,
    checks_fencing: Annotated[bool, typer.Option()] = True,
) -> None:
    engine = EngineStandIn(VmId(vm), load_s, token_s, checks_fencing)
    asyncio.run(engine.serve(Address(listen)))


if __name__ == "__main__":
    typer.run(_main)
