"""Finds out when the process of a leaving plain service has ended."""

import asyncio

import structlog

from zinniaspool.core.ids import Address
from zinniaspool.entry.services import ServiceIndex

__all__ = ["DepartureWatch"]

_log = structlog.get_logger(__name__)
_LOOK_EVERY_S = 0.25
"""Seconds between looks at a leaving upstream; chosen."""
_CONNECT_S = 0.5
"""Seconds that a look waits for a connection."""


class DepartureWatch:
    """Takes an upstream back once another process may be at its address.

    What leaves is sent nothing, so nothing is heard from it either: a plain
    service that is replaced at its own address would stay out for ever. A
    refused connection shows that the process which said so listens no more,
    and whatever listens there later is another one. No request is sent to
    find out.

    Args:
        index: The models and services.
    """

    def __init__(self, index: ServiceIndex) -> None:
        self._index = index

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_EVERY_S)
            for line in list(self._index.lines()):
                for pool in list(line.pools.values()):
                    for state in pool.list_leaving():
                        address = state.upstream.address
                        if not await _refuses_connections(address):
                            continue
                        pool.note_ended(state, asyncio.get_running_loop().time())
                        _log.info("upstream-ended", address=address)


async def _refuses_connections(address: Address) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(_CONNECT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
