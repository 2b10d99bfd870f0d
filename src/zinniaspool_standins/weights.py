"""Stand-in of the weight store: reads share one rate.

Run as ``python -m zinniaspool_standins.weights --listen ADDRESS``.
``GET /weights/MODEL/VERSION?gb=N`` answers with a body whose parts come at
the store's rate; one byte stands for a megabyte.
"""

import asyncio
from typing import Annotated
from urllib.parse import parse_qs, urlsplit

import msgspec
import typer

from zinniaspool.core.ids import Address
from zinniaspool.http import Exchange, Headers, HttpServer
from zinniaspool_standins.serving import answer_json, run_until_stopped

__all__ = ["RateSchedule", "WeightStore"]

_BYTES_PER_GB = 1000
_PART_BYTES = 50


class _Faults(msgspec.Struct, forbid_unknown_fields=True):
    gb_per_s: float


class RateSchedule:
    """When each part of a read may leave, so that all keep to one rate.

    Args:
        gb_per_s: The rate of all reads together.
    """

    def __init__(self, gb_per_s: float) -> None:
        self.gb_per_s = gb_per_s
        self._free_at = 0.0

    def reserve(self, gb: float, now: float) -> float:
        """Return when a part of this size has come through."""
        self._free_at = max(self._free_at, now) + gb / self.gb_per_s
        return self._free_at


class WeightStore:
    """Serves weights at a bounded rate and counts what was read."""

    def __init__(self, gb_per_s: float) -> None:
        self.read_gb = 0.0
        self._schedule = RateSchedule(gb_per_s)

    async def serve(self, listen: Address) -> None:
        """Serve until the process is stopped."""
        server = HttpServer(self.handle)
        bound = await server.listen(listen)
        await run_until_stopped("weights", bound)
        await server.drain(0.0)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one call."""
        url = urlsplit(exchange.request.target)
        if url.path == "/faults":
            body = msgspec.json.decode(exchange.request.body, type=_Faults)
            self._schedule.gb_per_s = body.gb_per_s
            await answer_json(exchange, 200, None)
            return
        if url.path == "/read":
            await answer_json(exchange, 200, self.read_gb)
            return
        if not url.path.startswith("/weights/"):
            await answer_json(exchange, 404, None)
            return
        gb = float(parse_qs(url.query).get("gb", ["1"])[0])
        await self._send_weights(exchange, gb)

    async def _send_weights(self, exchange: Exchange, gb: float) -> None:
        loop = asyncio.get_running_loop()
        headers = Headers.of(content_type="application/octet-stream")
        await exchange.start(200, headers)
        left = max(1, round(gb * _BYTES_PER_GB))
        while left:
            size = min(_PART_BYTES, left)
            part_gb = size / _BYTES_PER_GB
            due = self._schedule.reserve(part_gb, loop.time())
            await asyncio.sleep(due - loop.time())
            await exchange.write(b"w" * size)
            self.read_gb += part_gb
            left -= size
        await exchange.finish()


def _main(
    listen: Annotated[str, typer.Option()],
    gb_per_s: Annotated[float, typer.Option()] = 10.0,
) -> None:
    asyncio.run(WeightStore(gb_per_s).serve(Address(listen)))


if __name__ == "__main__":
    typer.run(_main)
