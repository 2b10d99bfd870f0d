"""Connections to upstreams through other VMs.

A VM that can't connect to an upstream has the entry process of another VM do
so. Both then pass on bytes: those for the upstream as they are, those from it
as frames, so that an upstream that closes its connection in order differs from
one whose connection broke.
"""

import asyncio
from asyncio.trsock import TransportSocket
from collections.abc import Awaitable, Callable
from typing import TypeVar, cast

import structlog

from zinniaspool.core.fleet import ProbeOutcome
from zinniaspool.core.ids import Address, split_address
from zinniaspool.core.messages import Accepted, Hello
from zinniaspool.core.messages.fleet import (
    TunnelData,
    TunnelEnd,
    TunnelOutcome,
    TunnelRequest,
)
from zinniaspool.http import has_other_side_ended
from zinniaspool.peers import FrameDecoder, FrameError, encode_frame, write_frame

__all__ = ["MAX_LAG_S", "TunnelServer", "UnreachedError", "open_tunnel"]

_log = structlog.get_logger(__name__)

MAX_TUNNELS = 1000
"""Tunnels that an entry process serves at a time. Each takes two of its file
descriptors."""

MAX_LAG_S = 0.06
"""How late a connection's timeout may fire before its failure shows nothing,
in seconds. If it fires later, this process was delayed itself."""

READ_BYTES = 64 * 1024
"""Largest part of an upstream's bytes that is passed on at once."""

ProtocolT = TypeVar("ProtocolT", bound=asyncio.Protocol)


class UnreachedError(OSError):
    """Another VM could not connect to an upstream either.

    Args:
        outcome: What the other VM found.
        is_conclusive: Whether that VM reached other upstreams meanwhile.
    """

    def __init__(self, outcome: ProbeOutcome, *, is_conclusive: bool) -> None:
        super().__init__(f"not reached by another VM: {outcome.value}")
        self.outcome = outcome
        self.is_conclusive = is_conclusive


async def open_tunnel(
    make_protocol: Callable[[], ProtocolT],
    relay: Address,
    hello: Hello,
    upstream: Address,
) -> tuple[asyncio.Transport, ProtocolT]:
    """Connect to an upstream through another VM.

    Args:
        make_protocol: Returns the protocol of the connection.
        relay: Where the entry process of the other VM listens for peers.
        hello: First message of the connection to it.
        upstream: Address of the upstream.

    Raises:
        UnreachedError: The other VM could not connect to it.
        OSError: The other VM can't be reached, or doesn't serve tunnels.
    """
    loop = asyncio.get_running_loop()
    host, port = split_address(relay)
    transport, tunnel = await loop.create_connection(
        lambda: _Tunnel(make_protocol), host, port
    )
    try:
        transport.write(encode_frame(hello) + encode_frame(TunnelRequest(upstream)))
        outcome = await tunnel.opened
    except BaseException:
        transport.abort()
        raise
    if tunnel.inner is None:
        transport.abort()
        raise UnreachedError(
            outcome.outcome, is_conclusive=outcome.is_conclusive
        ) from None
    return transport, cast(ProtocolT, tunnel.inner)


class _Tunnel(asyncio.Protocol):
    """This VM's end of a tunnel.

    Attributes:
        opened: The other VM's answer.
        inner: The protocol that uses the tunnel, once it is open.
    """

    def __init__(self, make_protocol: Callable[[], asyncio.Protocol]) -> None:
        self.opened: asyncio.Future[TunnelOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.inner: asyncio.Protocol | None = None
        self._make_protocol = make_protocol
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        try:
            for message in self._decoder.feed(data):
                self._handle(message)
        except FrameError as error:
            _log.warning("peer-dropped", error=str(error))
            self._abort()

    def _handle(self, message: object) -> None:
        if isinstance(message, TunnelData) and self.inner is not None:
            self.inner.data_received(message.data)
        elif isinstance(message, TunnelEnd) and self.inner is not None:
            self._ended = True
            self.inner.eof_received()
            self._abort()
        elif isinstance(message, TunnelOutcome):
            self._handle_outcome(message)
        elif not isinstance(message, Accepted):
            raise FrameError(f"unexpected in a tunnel: {message}")

    def _handle_outcome(self, outcome: TunnelOutcome) -> None:
        if self.opened.done():
            return
        if outcome.outcome is ProbeOutcome.REACHED:
            assert self._transport is not None
            self.inner = self._make_protocol()
            self.inner.connection_made(self._transport)
        self.opened.set_result(outcome)

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._ended and exc is None:
            # Only a frame shows that the upstream itself closed in order.
            exc = ConnectionResetError("tunnel cut")
        if not self.opened.done():
            self.opened.set_exception(exc or ConnectionResetError("tunnel cut"))
            # An attempt that was given up does not wait for it any more.
            self.opened.exception()
        if self.inner is not None:
            self.inner.connection_lost(exc)

    def pause_writing(self) -> None:
        if self.inner is not None:
            self.inner.pause_writing()

    def resume_writing(self) -> None:
        if self.inner is not None:
            self.inner.resume_writing()


class TunnelServer:
    """Connects to upstreams for other VMs.

    Args:
        is_upstream: Returns whether an upstream listens at an address.
        connect_s: Longest wait for a connection, in seconds.
        confirm_path: Finds out whether this VM has reached an upstream
            directly since a time; called with that time and an address that
            it did not reach.
        is_leaving: Returns whether this process is about to end, and opens no
            more tunnels.

    Attributes:
        open_count: Tunnels that are open now.
        idle: Set while no tunnel is open.
    """

    def __init__(
        self,
        is_upstream: Callable[[Address], bool],
        connect_s: float,
        confirm_path: Callable[[float, Address], Awaitable[bool]],
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self.open_count = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self._is_upstream = is_upstream
        self._connect_s = connect_s
        self._confirm_path = confirm_path
        self._is_leaving = is_leaving

    async def serve(
        self,
        request: TunnelRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one tunnel until either side closes it."""
        if self._refuses(request.address):
            _log.warning(
                "tunnel-refused", address=request.address, leaving=self._is_leaving()
            )
            write_frame(
                writer, TunnelOutcome(ProbeOutcome.NO_ANSWER, is_conclusive=False)
            )
            return
        self.open_count += 1
        self.idle.clear()
        try:
            await self._serve(request.address, reader, writer)
        finally:
            self.open_count -= 1
            if not self.open_count:
                self.idle.set()

    def _refuses(self, address: Address) -> bool:
        if self._is_leaving() or self.open_count >= MAX_TUNNELS:
            return True
        return not self._is_upstream(address)

    async def _serve(
        self,
        upstream: Address,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        since = asyncio.get_running_loop().time()
        try:
            far_reader, far_writer = await self._connect(upstream)
        except (OSError, TimeoutError) as error:
            write_frame(writer, await self._judge(upstream, error, since))
            return
        try:
            reached = TunnelOutcome(ProbeOutcome.REACHED, is_conclusive=True)
            write_frame(writer, reached)
            await _pass_on(reader, writer, far_reader, far_writer)
        finally:
            far_writer.transport.abort()

    async def _connect(
        self, upstream: Address
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        async with asyncio.timeout(self._connect_s):
            return await asyncio.open_connection(*split_address(upstream))

    async def _judge(
        self, upstream: Address, error: Exception, since: float
    ) -> TunnelOutcome:
        """Return what a failed connection shows.

        An upstream without an answer is tried again beside the others, since
        this process may have been too slow to see it.
        """
        took_s = asyncio.get_running_loop().time() - since
        was_late = took_s > self._connect_s + MAX_LAG_S
        if isinstance(error, ConnectionRefusedError):
            confirmed = await self._confirm_path(since, upstream)
            return TunnelOutcome(ProbeOutcome.REFUSED, confirmed)
        confirmed, is_reached = await asyncio.gather(
            self._confirm_path(since, upstream), self._can_connect(upstream)
        )
        is_conclusive = confirmed and not is_reached and not was_late
        return TunnelOutcome(ProbeOutcome.NO_ANSWER, is_conclusive)

    async def _can_connect(self, upstream: Address) -> bool:
        try:
            _, far_writer = await self._connect(upstream)
        except (OSError, TimeoutError):
            return False
        far_writer.transport.abort()
        return True


async def _pass_on(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    far_reader: asyncio.StreamReader,
    far_writer: asyncio.StreamWriter,
) -> None:
    """Pass on bytes both ways until either side closes."""
    connection = writer.get_extra_info("socket")
    sending = asyncio.create_task(_pass_requests(reader, far_writer, connection))
    receiving = asyncio.create_task(_pass_answers(far_reader, writer))
    try:
        await asyncio.wait([sending, receiving], return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in (sending, receiving):
            task.cancel()
        await asyncio.gather(sending, receiving, return_exceptions=True)


async def _pass_requests(
    reader: asyncio.StreamReader,
    far_writer: asyncio.StreamWriter,
    connection: TransportSocket,
) -> None:
    while data := await reader.read(READ_BYTES):
        if has_other_side_ended(connection):
            # The other VM has given up what it sent.
            return
        far_writer.write(data)
        await far_writer.drain()


async def _pass_answers(
    far_reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await far_reader.read(READ_BYTES):
        write_frame(writer, TunnelData(data))
        await writer.drain()
    write_frame(writer, TunnelEnd())
