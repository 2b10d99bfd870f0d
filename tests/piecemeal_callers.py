"""Callers that send their requests' bodies in chunks, and may leave early."""

import asyncio
import contextlib
import math
from collections.abc import Sequence
from dataclasses import dataclass, field

import h11

from tests.installation import KEY, Answer
from zinniaspool.core.ids import Address, split_address
from zinniaspool.http import Headers

__all__ = ["PiecemealAnswer", "PiecemealCaller", "PiecemealRequest"]

CONNECT_S = 0.5
READ_BYTES = 64 * 1024


@dataclass(frozen=True, slots=True)
class PiecemealRequest:
    """A request and how it is sent.

    Attributes:
        name: Its id.
        path: What it is for.
        timeout_s: Time that it may take from its end on, in seconds. Its
            caller waits for a second more.
        headers: Further headers.
        pieces: Its body.
        pause_s: Pause before each piece and before the end, in seconds.
        leaves_after_s: Time after its end after which the caller resets the
            connection, in seconds.
    """

    name: str
    path: str
    timeout_s: float
    headers: Headers
    pieces: Sequence[bytes]
    pause_s: float
    leaves_after_s: float = math.inf


@dataclass(frozen=True, slots=True)
class PiecemealAnswer:
    """What a caller got.

    Times are in seconds of the loop's clock.

    Attributes:
        answer: The answer; not ``sent`` if the request wasn't sent to its end.
        sent_at: When the end of the request was sent.
        left_at: When the caller left; infinite if it didn't.
    """

    answer: Answer
    sent_at: float
    left_at: float


@dataclass(eq=False)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    http: h11.Connection


@dataclass(eq=False)
class _Received:
    status: int = 0
    headers: Headers = field(default_factory=Headers)
    body: bytes = b""
    whole: bool = False
    first_at: float | None = None


class PiecemealCaller:
    """Sends requests to one entry VM over connections that it keeps.

    Args:
        front: Address of the VM for callers.
    """

    def __init__(self, front: Address) -> None:
        self._front = front
        self._idle: list[_Connection] = []

    async def ask(self, request: PiecemealRequest) -> PiecemealAnswer:
        """Send a request and read its whole answer."""
        loop = asyncio.get_running_loop()
        try:
            connection = await self._connect()
        except (OSError, TimeoutError):
            unsent = Answer(0, whole=False, sent=False)
            return PiecemealAnswer(unsent, loop.time(), math.inf)
        received, is_sent = _Received(), False
        sent_at, has_left = loop.time(), False
        try:
            async with asyncio.timeout(request.timeout_s + 1.0) as limit:
                await _send(connection, request)
                is_sent, sent_at = True, loop.time()
                limit.reschedule(sent_at + request.timeout_s + 1.0)
                has_left = not await self._read(
                    connection, received, request.leaves_after_s
                )
        except (OSError, TimeoutError, h11.ProtocolError):
            pass
        finally:
            if received.whole and _may_keep(connection.http):
                connection.http.start_next_cycle()
                self._idle.append(connection)
            else:
                connection.writer.transport.abort()
        answer = Answer(
            received.status,
            received.headers,
            received.body,
            received.whole,
            is_sent,
            received.first_at,
        )
        left_at = loop.time() if has_left else math.inf
        return PiecemealAnswer(answer, sent_at, left_at)

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.writer.close()

    async def _connect(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.reader.at_eof():
                return connection
            connection.writer.close()
        host, port = split_address(self._front)
        async with asyncio.timeout(CONNECT_S):
            reader, writer = await asyncio.open_connection(host, port)
        return _Connection(reader, writer, h11.Connection(h11.CLIENT))

    async def _read(
        self, connection: _Connection, received: _Received, leaves_after_s: float
    ) -> bool:
        """Read an answer; return False if the caller leaves before its end."""
        within_s = None if math.isinf(leaves_after_s) else leaves_after_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while not received.whole:
                    await _receive(connection, received)
        return received.whole


async def _send(connection: _Connection, request: PiecemealRequest) -> None:
    fields = [
        (b"host", b"care.example"),
        (b"authorization", f"Token {KEY}".encode()),
        (b"x-zinniaspool-request-id", request.name.encode()),
        (b"x-zinniaspool-deadline-ms", b"%d" % (request.timeout_s * 1000)),
        (b"transfer-encoding", b"chunked"),
        *request.headers.raw(),
    ]
    head = h11.Request(method="POST", target=request.path, headers=fields)
    _write(connection, head)
    for piece in request.pieces:
        await asyncio.sleep(request.pause_s)
        _write(connection, h11.Data(data=piece))
    await asyncio.sleep(request.pause_s)
    _write(connection, h11.EndOfMessage())


def _write(connection: _Connection, event: h11.Event) -> None:
    if connection.writer.is_closing():
        raise ConnectionResetError
    data = connection.http.send(event)
    assert data is not None
    connection.writer.write(data)


async def _receive(connection: _Connection, received: _Received) -> None:
    """Receive the next part of an answer."""
    event = connection.http.next_event()
    if event is h11.NEED_DATA:
        data = await connection.reader.read(READ_BYTES)
        connection.http.receive_data(data)
    elif isinstance(event, h11.Response):
        received.status = event.status_code
        received.headers = Headers.from_raw(event.headers.raw_items())
    elif isinstance(event, h11.Data):
        if received.first_at is None:
            received.first_at = asyncio.get_running_loop().time()
        received.body += bytes(event.data)
    elif isinstance(event, h11.EndOfMessage):
        received.whole = True
    elif isinstance(event, h11.ConnectionClosed):
        raise ConnectionResetError


def _may_keep(http: h11.Connection) -> bool:
    return (http.our_state, http.their_state) == (h11.DONE, h11.DONE)
