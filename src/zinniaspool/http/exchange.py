"""One request and the means to answer it."""

from typing import Protocol

import h11

from zinniaspool.http.messages import Headers, Request

__all__ = ["Channel", "Exchange"]

_CHUNKED = (b"transfer-encoding", b"chunked")
_CLOSE = (b"connection", b"close")


class Channel(Protocol):
    """The connection of an exchange, as the exchange uses it."""

    answering: bool
    peer: str

    @property
    def leaving(self) -> bool:
        """Whether the connection closes after this answer."""
        ...

    def send_all(self, *events: h11.Event | None) -> None:
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
    """One request and the means to answer it.

    A handler answers either with :meth:`respond`, or with :meth:`start`,
    any number of :meth:`write` and :meth:`finish`. A handler that returns
    without finishing has its connection cut, so that the other side can
    tell a cut answer from a whole one.
    """

    def __init__(self, request: Request, channel: Channel) -> None:
        self.request = request
        self._channel = channel
        self._bodiless = request.method == "HEAD"

    @property
    def started(self) -> bool:
        """Whether any part of the answer has left."""
        return self._channel.answering

    @property
    def peer(self) -> str:
        """The other side's address."""
        return self._channel.peer

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer.

        Raises:
            TransportError: The connection ended.
        """
        length = (b"content-length", str(len(body)).encode())
        self._channel.send_all(
            self._make_head(status, headers, length),
            h11.Data(data=body) if body and not self._bodiless else None,
            h11.EndOfMessage(),
        )

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a chunked answer.

        Raises:
            TransportError: The connection ended.
        """
        self._channel.send_all(self._make_head(status, headers, _CHUNKED))

    async def write(self, data: bytes) -> None:
        """Send part of the body, waiting while the caller reads slowly.

        Raises:
            TransportError: The connection ended.
        """
        if not data or self._bodiless:
            return
        self._channel.send_all(h11.Data(data=data))
        await self._channel.wait_writable()

    async def finish(self) -> None:
        """End a chunked answer.

        Raises:
            TransportError: The connection ended.
        """
        self._channel.send_all(h11.EndOfMessage())

    def abort(self) -> None:
        """Cut the connection at once."""
        self._channel.abort()

    def _make_head(
        self, status: int, headers: Headers, framing: tuple[bytes, bytes]
    ) -> h11.Response:
        fields = [*headers.raw(), framing]
        if self._channel.leaving:
            fields.append(_CLOSE)
        return h11.Response(status_code=status, headers=fields)
