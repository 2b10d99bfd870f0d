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

from zinniaspool.core.fleet import InstanceIncarnation, ProbeOutcome
from zinniaspool.core.ids import Address, split_address
from zinniaspool.core.messages import Accepted, Hello
from zinniaspool.core.messages.fleet import (
    TunnelData,
    TunnelEnd,
    TunnelOutcome,
    TunnelRequest,
)
from zinniaspool.http import (
    NotForwardedError,
    count_undelivered,
    has_other_side_ended,
)
from zinniaspool.peers import FrameDecoder, FrameError, encode_frame, write_frame

__all__ = [
    "LEAVING_SPREAD_S",
    "MAX_LAG_S",
    "TunnelServer",
    "UnreachedError",
    "open_tunnel",
]

_log = structlog.get_logger(__name__)

MAX_TUNNELS = 1000
"""Tunnels that an entry process serves at a time. Each takes two of its file
descriptors."""

MAX_LAG_S = 0.06
"""How late a connection's timeout may fire before its failure shows nothing,
in seconds. If it fires later, this process was delayed itself."""

LEAVING_SPREAD_S = 1.0
"""Time within which all processes learn that an upstream leaves, in
seconds."""

READ_BYTES = 64 * 1024
"""Largest part of an upstream's bytes that is passed on at once."""

_LEAVING_OUTCOME = TunnelOutcome(
    ProbeOutcome.NO_ANSWER, is_conclusive=False, is_leaving=True
)
_PAUSED_OUTCOME = TunnelOutcome(
    ProbeOutcome.NO_ANSWER, is_conclusive=False, is_paused=True
)

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
    request: TunnelRequest,
    on_leaving: Callable[[], None] = lambda: None,
) -> tuple[asyncio.Transport, ProtocolT]:
    """Connect to an upstream through another VM.

    Args:
        make_protocol: Returns the protocol of the connection.
        relay: Where the entry process of the other VM listens for peers.
        hello: First message of the connection to it.
        request: Names the upstream.
        on_leaving: Called if the other VM carries no request there, since the
            upstream leaves.

    Raises:
        UnreachedError: The other VM could not connect to it.
        OSError: The other VM can't be reached, or doesn't serve tunnels.
    """
    loop = asyncio.get_running_loop()
    host, port = split_address(relay)
    transport, tunnel = await loop.create_connection(
        lambda: _Tunnel(make_protocol, on_leaving), host, port
    )
    try:
        transport.write(encode_frame(hello) + encode_frame(request))
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

    def __init__(
        self,
        make_protocol: Callable[[], asyncio.Protocol],
        on_leaving: Callable[[], None],
    ) -> None:
        self.opened: asyncio.Future[TunnelOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        self.inner: asyncio.Protocol | None = None
        self._make_protocol = make_protocol
        self._on_leaving = on_leaving
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
        if outcome.is_leaving:
            self._on_leaving()
        if self.opened.done():
            self._end_unforwarded()
            return
        if outcome.outcome is ProbeOutcome.REACHED:
            assert self._transport is not None
            self.inner = self._make_protocol()
            self.inner.connection_made(self._transport)
        self.opened.set_result(outcome)

    def _end_unforwarded(self) -> None:
        """End the tunnel in place of a request that it did not carry."""
        inner, self.inner = self.inner, None
        if inner is not None:
            inner.connection_lost(NotForwardedError("not carried by the other VM"))
        self._abort()

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
        measure_leaving: Returns for how long a run of an upstream is known to
            leave, in seconds; None if it isn't. It gets no requests of callers
            through this VM.
        is_paused: Returns whether a run of an upstream has asked this VM for a
            pause. It gets none until the pause is over.

    Attributes:
        open_count: Tunnels that are open now.
        leaving_count: Requests that were not carried, since their upstreams
            leave.
        paused_count: Requests that were not carried in a pause.
        idle: Set while no tunnel is open.
    """

    def __init__(
        self,
        is_upstream: Callable[[Address], bool],
        connect_s: float,
        confirm_path: Callable[[float, Address], Awaitable[bool]],
        is_leaving: Callable[[], bool] = lambda: False,
        measure_leaving: Callable[[InstanceIncarnation], float | None] = (
            lambda _: None
        ),
        is_paused: Callable[[InstanceIncarnation], bool] = lambda _: False,
    ) -> None:
        self.open_count = 0
        self.leaving_count = self.paused_count = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self._is_upstream = is_upstream
        self._connect_s = connect_s
        self._confirm_path = confirm_path
        self._is_leaving = is_leaving
        self._measure_leaving = measure_leaving
        self._is_paused = is_paused
        self._relays: dict[_Relay, TunnelRequest] = {}

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
        if (withheld := self._find_withheld(request)) is not None:
            write_frame(writer, withheld)
            return
        self.open_count += 1
        self.idle.clear()
        try:
            await self._serve(request, reader, writer)
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
        request: TunnelRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        upstream = request.address
        since = asyncio.get_running_loop().time()
        try:
            far_reader, far_writer = await self._connect(upstream)
        except (OSError, TimeoutError) as error:
            write_frame(writer, await self._judge(upstream, error, since))
            return
        try:
            reached = TunnelOutcome(ProbeOutcome.REACHED, is_conclusive=True)
            write_frame(writer, reached)
            relay = _Relay(reader, writer, far_reader, far_writer)
            self._relays[relay] = request
            try:
                await relay.run(lambda: self._find_withheld(request))
            finally:
                del self._relays[relay]
        finally:
            far_writer.transport.abort()

    def abort_undelivered(self, incarnation: InstanceIncarnation) -> int:
        """End the tunnels whose last request has not reached an upstream.

        Returns:
            The number of these tunnels.
        """
        undelivered = [
            relay
            for relay, request in self._relays.items()
            if (request.instance, request.born) == incarnation and relay.is_undelivered
        ]
        for relay in undelivered:
            relay.abort()
        return len(undelivered)

    def _find_withheld(self, request: TunnelRequest) -> TunnelOutcome | None:
        """Return why an upstream gets no requests through this VM, if so."""
        if request.instance is None:
            return None
        incarnation = InstanceIncarnation(request.instance, request.born)
        if self._is_paused(incarnation):
            self.paused_count += 1
            _log.info(
                "tunnel-to-paused",
                instance=request.instance,
                born=request.born or 0,
                asked_by=request.node,
            )
            return _PAUSED_OUTCOME
        since_s = self._measure_leaving(incarnation)
        if since_s is None:
            return None
        self.leaving_count += 1
        # The other VM should have learned it by then.
        log = _log.info if since_s <= LEAVING_SPREAD_S else _log.warning
        log(
            "tunnel-to-leaving",
            instance=request.instance,
            born=request.born or 0,
            asked_by=request.node,
            since_ms=int(since_s * 1000),
            address=request.address,
        )
        return _LEAVING_OUTCOME

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


class _Relay:
    """Passes on the bytes of one tunnel, both ways.

    A connection has one request at a time, so that bytes for the upstream that
    come after some of it begin the next request.

    Args:
        reader: Bytes from the other VM.
        writer: Frames to it.
        far_reader: Bytes from the upstream.
        far_writer: Bytes to it.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        far_reader: asyncio.StreamReader,
        far_writer: asyncio.StreamWriter,
    ) -> None:
        self._reader, self._writer = reader, writer
        self._far_reader, self._far_writer = far_reader, far_writer
        self._connection: TransportSocket = writer.get_extra_info("socket")
        self._in_request = False

    @property
    def is_undelivered(self) -> bool:
        """Whether bytes of a request have not reached the upstream yet."""
        return self._in_request and count_undelivered(self._far_writer.transport) > 0

    def abort(self) -> None:
        """Close both connections at once."""
        self._far_writer.transport.abort()
        self._writer.transport.abort()

    async def run(self, find_withheld: Callable[[], TunnelOutcome | None]) -> None:
        """Pass on bytes until either side closes.

        Args:
            find_withheld: Returns why the request that begins must not be
                carried, if so. The tunnel then ends with that.
        """
        sending = asyncio.create_task(self._pass_requests(find_withheld))
        receiving = asyncio.create_task(self._pass_answers())
        try:
            await asyncio.wait(
                [sending, receiving], return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for task in (sending, receiving):
                task.cancel()
            await asyncio.gather(sending, receiving, return_exceptions=True)

    async def _pass_requests(
        self, find_withheld: Callable[[], TunnelOutcome | None]
    ) -> None:
        while data := await self._reader.read(READ_BYTES):
            if has_other_side_ended(self._connection):
                # The other VM has given up what it sent.
                return
            withheld = None if self._in_request else find_withheld()
            if withheld is not None:
                write_frame(self._writer, withheld)
                return
            self._in_request = True
            self._far_writer.write(data)
            await self._far_writer.drain()

    async def _pass_answers(self) -> None:
        while data := await self._far_reader.read(READ_BYTES):
            self._in_request = False
            write_frame(self._writer, TunnelData(data))
            await self._writer.drain()
        write_frame(self._writer, TunnelEnd())
