"""Detects that the process of a leaving plain service has ended."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import structlog

from zinniaspool.core.ids import Address
from zinniaspool.core.requests import UpstreamPool, UpstreamState
from zinniaspool.entry.services import ServiceIndex

__all__ = ["DepartureDetector"]

_log = structlog.get_logger(__name__)
_CHECK_S = 0.25
"""Seconds that one check of a leaving upstream takes.

The time is short, since a leaving process may wait for its connections to end.
"""
_LOOK_S = 0.025
"""Seconds after which a held connection is looked at again."""
_UNWATCHED_S = 4 * _LOOK_S
"""Seconds since a connection was seen open after which its end counts as not
observed in time. Two looks may lie between without a delay."""


class DepartureDetector:
    """Readmits an upstream once another process may be at its address.

    A leaving upstream is sent no requests, so no response shows that it is
    back: a plain service that is replaced at its own address would stay
    excluded forever. A refused connection shows that the process that
    announced its leaving no longer listens, and that any process that listens
    there later is another one. The detector sends no request to find out.

    A process may be replaced between two checks, so each check holds a
    connection open. The connection ends when the process ends. Its successor
    does not listen yet at that moment, so a second connection that is tried
    at once is refused. The end of a connection shows nothing by itself, since
    servers close idle connections. One that ended while this process stood
    still shows that another process may listen by now. If it is the same one,
    its next response says again that it leaves, which costs one request.

    Args:
        index: Models and plain services.
    """

    def __init__(self, index: ServiceIndex) -> None:
        self._index = index

    async def run(self) -> None:
        """Check the leaving upstreams until cancelled."""
        while True:
            checks = [
                self._check(pool, state)
                for service in self._index.list_services()
                for pool in service.pools.values()
                for state in pool.list_leaving()
            ]
            await asyncio.gather(asyncio.sleep(_CHECK_S), *checks)

    async def _check(self, pool: UpstreamPool, state: UpstreamState) -> None:
        address = state.upstream.address
        if await _has_ended(address):
            pool.mark_ended(state, asyncio.get_running_loop().time())
            _log.info("upstream-ended", address=address)


async def _has_ended(address: Address) -> bool:
    """Check an address for the time of one check.

    Returns:
        Whether another process may listen there now or later.
    """
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + _CHECK_S
    try:
        async with _connect(address) as reader:
            open_at = await _hold_connection(reader, ends_at)
        if open_at is None:
            return False
        if loop.time() - open_at > _UNWATCHED_S:
            return True
        async with _connect(address):
            return False
    except ConnectionRefusedError:
        return True
    except TimeoutError:
        # The connection attempt got no response.
        return False
    except OSError as error:
        _log.debug("upstream-look-failed", address=address, reason=str(error))
    return False


@contextlib.asynccontextmanager
async def _connect(address: Address) -> AsyncIterator[asyncio.StreamReader]:
    """Connect to an address, and close the connection on leaving."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(_CHECK_S):
        reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader
    finally:
        writer.close()


async def _hold_connection(
    reader: asyncio.StreamReader, ends_at: float
) -> float | None:
    """Hold a connection open until a time, or until the peer ends it.

    Returns:
        A time at which the connection had not ended yet, or None if it was
        held until the end of the check.
    """
    loop = asyncio.get_running_loop()
    open_at = look_at = loop.time()
    while True:
        try:
            async with asyncio.timeout_at(look_at + _LOOK_S):
                await reader.read(1)
        except OSError:
            # The look is over, or the connection was reset.
            pass
        else:
            return open_at
        if reader.at_eof() or reader.exception() is not None:
            return open_at
        # It had not ended when this look began. This process may have stood
        # still since then.
        open_at, look_at = look_at, loop.time()
        if look_at >= ends_at and look_at - open_at <= _UNWATCHED_S:
            return None
