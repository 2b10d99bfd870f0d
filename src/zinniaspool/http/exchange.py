"""One request, as its handler receives and answers it."""

from typing import Protocol

import h11

from zinniaspool.http.messages import Headers, Request

__all__ = ["Channel", "Exchange"]

_CHUNKED = (b"transfer-encoding", b"chunked")
_CLOSE = (b"connection", b"close")


class Channel(Protocol):
    """The connection of an exchange, as the exchange uses it.

    Attributes:
        response_started: Whether any part of the response has been sent.
        received_at: When the request was received, in seconds on the event
            loop's clock.
        unread_s: How long its last bytes lay unread, in seconds.
        peer: The caller's address.
    """

    response_started: bool
    received_at: float
    unread_s: float
    peer: str

    @property
    def closes_after_response(self) -> bool:
        """Whether the connection closes after this response."""
        ...

    @property
    def has_caller_left(self) -> bool:
        """Whether the caller has closed its connection or its side of it."""
        ...

    def send_events(self, *events: h11.Event | None) -> None:
        """Send events as one write.

        Raises:
            TransportError: The connection ended.
        """
        ...

    async def wait_writable(self) -> None:
        """Wait while the caller reads slowly.

        Raises:
            TransportError: The connection ended.
        """
        ...

    def abort(self) -> None:
        """Cut the connection at once."""
        ...


class Exchange:
    """One request, as its handler receives and answers it.

    A handler answers either with :meth:`respond`, or with :meth:`start`,
    any number of calls of :meth:`write`, and :meth:`finish`. If a handler
    returns without the end of its response, the connection is aborted, so
    that the caller can tell a cut response from a whole one.

    Attributes:
        request: The request.
    """

    def __init__(self, request: Request, channel: Channel) -> None:
        self.request = request
        self._channel = channel
        self._bodiless = request.method == "HEAD"

    @property
    def started(self) -> bool:
        """Whether any part of the response has been sent."""
        return self._channel.response_started

    @property
    def received_at(self) -> float:
        """When the request was received, in seconds on the event loop's clock.

        A request that the program could not read at once is dated back.
        """
        return self._channel.received_at

    @property
    def unread_s(self) -> float:
        """How long the request's last bytes lay unread, in seconds."""
        return self._channel.unread_s

    @property
    def has_caller_left(self) -> bool:
        """Whether the caller has closed its connection or its side of it.

        The handler is cancelled then, but not before the next turns of the
        event loop.
        """
        return self._channel.has_caller_left

    @property
    def peer(self) -> str:
        """The caller's address."""
        return self._channel.peer

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response.

        Raises:
            TransportError: The connection ended.
        """
        length = (b"content-length", str(len(body)).encode())
        self._channel.send_events(
            self._make_head(status, headers, length),
            h11.Data(data=body) if body and not self._bodiless else None,
            h11.EndOfMessage(),
        )

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a chunked response.

        Raises:
            TransportError: The connection ended.
        """
        self._channel.send_events(self._make_head(status, headers, _CHUNKED))

    async def write(self, data: bytes) -> None:
        """Send part of the body, waiting while the caller reads slowly.

        Raises:
            TransportError: The connection ended.
        """
        if not data or self._bodiless:
            return
        self._channel.send_events(h11.Data(data=data))
        await self._channel.wait_writable()

    async def finish(self) -> None:
        """End a chunked response.

        Raises:
            TransportError: The connection ended.
        """
        self._channel.send_events(h11.EndOfMessage())

    def abort(self) -> None:
        """Cut the connection at once."""
        self._channel.abort()

    def _make_head(
        self, status: int, headers: Headers, framing: tuple[bytes, bytes]
    ) -> h11.Response:
        fields = [*headers.raw(), framing]
        if self._channel.closes_after_response:
            fields.append(_CLOSE)
        return h11.Response(status_code=status, headers=fields)
