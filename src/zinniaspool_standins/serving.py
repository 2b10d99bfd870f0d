"""What every stand-in's process shares: say the address, wait for a signal."""

import asyncio
import signal

from zinniaspool.core.ids import Address

__all__ = ["run_until_stopped"]


async def run_until_stopped(name: str, address: Address) -> None:
    """Print the address that is listened on and wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    print(f"event=listening program={name} address={address}", flush=True)
    await stopped.wait()
