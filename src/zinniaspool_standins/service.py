"""Stand-in of a plain service, some of whose calls may not be repeated.

Run as ``python -m zinniaspool_standins.service --listen ADDRESS``. Every
call that ran is kept for ``GET /history``.
"""

import asyncio
from typing import Annotated

import msgspec
import typer

from zinniaspool.core.ids import Address
from zinniaspool.http import Exchange, Headers, HttpServer
from zinniaspool_standins.engine import RunRecord
from zinniaspool_standins.serving import run_until_stopped

__all__ = ["ServiceStandIn"]


class ServiceStandIn:
    """Runs each call once and answers with its body's echo."""

    def __init__(self, work_s: float) -> None:
        self.history: list[RunRecord] = []
        self._work_s = work_s

    async def serve(self, listen: Address) -> None:
        """Serve until the process is stopped."""
        server = HttpServer(self.handle)
        bound = await server.listen(listen)
        await run_until_stopped("service", bound)
        await server.drain(0.0)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        request = exchange.request
        headers = Headers.of(content_type="application/json")
        if request.path == "/history":
            await exchange.respond(200, headers, msgspec.json.encode(self.history))
            return
        name = request.headers.get("x-request-id") or ""
        attempt = request.headers.get("x-attempt") or ""
        record = RunRecord(name, attempt, "started")
        self.history.append(record)
        await asyncio.sleep(self._work_s)
        record.state = "finished"
        headers.add("x-request-id", name).add("x-attempt", attempt)
        body = msgspec.json.encode({"request": name, "echo": request.body.decode()})
        await exchange.respond(200, headers, body)


def _main(
    listen: Annotated[str, typer.Option()],
    work_s: Annotated[float, typer.Option()] = 0.005,
) -> None:
    asyncio.run(ServiceStandIn(work_s).serve(Address(listen)))


if __name__ == "__main__":
    typer.run(_main)
