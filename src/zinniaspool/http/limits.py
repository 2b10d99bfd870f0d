"""What a server lets one connection do, and what it says otherwise."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from zinniaspool.http.messages import Headers

__all__ = [
    "Refusal",
    "RefusalKind",
    "RefuseRequest",
    "ServerLimits",
    "refuse_plainly",
]


class RefusalKind(Enum):
    """Why the server itself answers a request."""

    MALFORMED = "malformed"
    HEADERS_TOO_LARGE = "headers-too-large"
    BODY_TOO_LARGE = "body-too-large"
    SLOW = "slow"
    BUSY = "busy"
    """The bodies that are being received fill the memory kept for them."""

    FAILED = "failed"
    """The handler failed: alone of these, the request may have run."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """The server's own answer."""

    status: int
    headers: Headers
    body: bytes


class RefuseRequest(Protocol):
    """Makes the server's own answers."""

    def __call__(self, kind: RefusalKind, detail: str) -> Refusal:
        """Return the answer."""
        ...


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """What callers may ask of the server.

    Attributes:
        header_bytes: Largest request line and headers together; also how
            much of further requests is read while one is being answered.
        body_bytes: Largest body.
        buffered_bytes: All bodies together.
        receive_s: Longest time from a request's first byte to its last.
        send_s: Longest time that a caller leaves a full buffer unread.
        idle_s: Longest time between requests.
        linger_s: How long the rest of a refused request is read and thrown
            away, so that the answer reaches its sender.
        connections: Most connections open at a time.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 1024 * 1024
    buffered_bytes: int = 64 * 1024 * 1024
    receive_s: float = 10.0
    send_s: float = 30.0
    idle_s: float = 60.0
    linger_s: float = 1.0
    connections: int = 4096


_STATUS = {
    RefusalKind.MALFORMED: 400,
    RefusalKind.HEADERS_TOO_LARGE: 431,
    RefusalKind.BODY_TOO_LARGE: 413,
    RefusalKind.SLOW: 408,
    RefusalKind.BUSY: 503,
    RefusalKind.FAILED: 500,
}


def refuse_plainly(kind: RefusalKind, detail: str) -> Refusal:
    """Return an answer that names the kind alone."""
    headers = Headers.of(content_type="text/plain")
    return Refusal(_STATUS[kind], headers, kind.value.encode())
