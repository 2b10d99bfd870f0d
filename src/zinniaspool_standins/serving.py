"""What every stand-in's process shares."""

import asyncio
import signal
from typing import Any

import msgspec

from zinniaspool.core.ids import Address
from zinniaspool.http import Exchange, Headers

__all__ = ["answer_json", "run_until_stopped"]

_JSON = Headers.of(content_type="application/json")


async def answer_json(
    exchange: Exchange, status: int, body: Any, headers: Headers | None = None
) -> None:
    """Answer with what msgspec makes of a value, and with further headers."""
    extra = () if headers is None else headers.raw()
    fields = Headers([*_JSON.raw(), *extra])
    await exchange.respond(status, fields, msgspec.json.encode(body))


async def run_until_stopped(name: str, address: Address) -> None:
    """Print the address that is listened on and wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    print(f"event=listening program={name} address={address}", flush=True)
    await stopped.wait()
