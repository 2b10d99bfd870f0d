"""Limits of an HTTP server, and its responses to requests beyond them."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from zinniaspool.http.messages import Headers

__all__ = [
    "Refusal",
    "RefusalKind",
    "RefusalMaker",
    "ServerLimits",
    "make_plain_refusal",
]


class RefusalKind(Enum):
    """Why the server refuses a request without its handler's response."""

    MALFORMED = "malformed"
    HEADERS_TOO_LARGE = "headers-too-large"
    BODY_TOO_LARGE = "body-too-large"
    SLOW = "slow"
    BUSY = "busy"
    """The bodies being received fill the memory reserved for them."""

    LEAVING = "leaving"
    """The server ends before the whole request has arrived."""

    FAILED = "failed"
    """The handler failed. Only with this kind, the request may have run."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """The response to a refused request.

    Attributes:
        status: HTTP status.
        headers: Header fields, without the length.
        body: The whole body.
    """

    status: int
    headers: Headers
    body: bytes


class RefusalMaker(Protocol):
    """Makes the responses to refused requests."""

    def __call__(self, kind: RefusalKind, detail: str) -> Refusal:
        """Return the response for a kind of refusal and its detail."""
        ...


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on connections and requests, and the server's timeouts.

    Attributes:
        header_bytes: Largest size of the request line and headers together.
            About as much of further requests is read while a request is
            being answered.
        body_bytes: Largest size of a body.
        buffered_bytes: Largest size of all buffered bodies together.
        receive_s: Longest time from a request's first byte to its last.
        send_s: Longest time that a response waits for a caller that does not
            read.
        idle_s: Longest time that a connection is open without a request.
        linger_s: How long the rest of a refused request is read and
            discarded, so that the response reaches its sender.
        connections: Largest number of connections open at a time.
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


def make_plain_refusal(kind: RefusalKind, detail: str) -> Refusal:
    """Return a response whose body is only the kind's name."""
    headers = Headers.of(content_type="text/plain")
    return Refusal(_STATUS[kind], headers, kind.value.encode())
