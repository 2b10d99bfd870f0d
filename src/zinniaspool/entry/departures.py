"""Finds out when the process of a leaving plain service has ended."""

import asyncio

import structlog

from zinniaspool.core.ids import Address
from zinniaspool.core.requests import UpstreamPool, UpstreamState
from zinniaspool.entry.services import ServiceIndex

__all__ = ["DepartureWatch"]

_log = structlog.get_logger(__name__)
_LOOK_S = 0.25
"""Seconds of one look at a leaving upstream; chosen, short: what leaves may
wait for its connections to end."""


class DepartureWatch:
    """Takes an upstream back once another process may be at its address.

    What leaves is sent nothing, so nothing is heard from it either: a plain
    service that is replaced at its own address would stay out for ever. A
    refused connection shows that the process which said so listens no more,
    and whatever listens there later is another one. No request is sent to
    find out.

    A process may be replaced between two moments of looking, so a connection
    is held meanwhile: it ends when nobody listens yet, and the one that is
    tried at once is refused. That it ends shows nothing by itself: servers
    end idle connections.

    Args:
        index: The models and services.
    """

    def __init__(self, index: ServiceIndex) -> None:
        self._index = index

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            looks = [
                self._look(pool, state)
                for line in self._index.lines()
                for pool in line.pools.values()
                for state in pool.list_leaving()
            ]
            await asyncio.gather(asyncio.sleep(_LOOK_S), *looks)

    async def _look(self, pool: UpstreamPool, state: UpstreamState) -> None:
        address = state.upstream.address
        ends = asyncio.get_running_loop().time() + _LOOK_S
        refused = await _hold_connection(address, ends)
        if refused or await _hold_connection(address, ends):
            pool.mark_ended(state, asyncio.get_running_loop().time())
            _log.info("upstream-ended", address=address)


async def _hold_connection(address: Address, ends: float) -> bool:
    """Hold a connection until a time, or until its other side ends it.

    Returns:
        Whether the connection was refused.
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout_at(ends):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                await reader.read(1)
            finally:
                writer.close()
    except ConnectionRefusedError:
        return True
    except TimeoutError:
        # It was held for the whole look, or nobody answered.
        return False
    except OSError as error:
        _log.debug("upstream-look-failed", address=address, reason=str(error))
    return False
