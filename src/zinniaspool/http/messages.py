"""Headers, requests and errors that the client and the server share."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache
from typing import Self

__all__ = ["Headers", "Request", "TransportError", "TransportFailure"]


class Headers:
    """Header fields in the order of the message, with lower-case names."""

    __slots__ = ("_fields", "_by_name")

    def __init__(self, fields: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self._fields = list(fields)
        self._by_name: dict[bytes, bytes] | None = None

    @classmethod
    def of(cls, **fields: str) -> Self:
        """Make headers from keywords; ``_`` in a name stands for ``-``."""
        return cls([(_encode_name(k), v.encode("latin-1")) for k, v in fields.items()])

    @classmethod
    def from_raw(cls, fields: Iterable[tuple[bytes, bytes]]) -> Self:
        """Make headers from the raw items of an h11 event."""
        # To iterate over h11's own sequence with lower-case names costs
        # several times as much.
        return cls([(name.lower(), value) for name, value in fields])

    def get(self, name: str) -> str | None:
        """Return the first value of a lower-case name, or None."""
        if self._by_name is None:
            self._by_name = dict(reversed(self._fields))
        value = self._by_name.get(name.encode())
        return None if value is None else value.decode("latin-1")

    def add(self, name: str, value: str) -> Self:
        """Add one field and return these headers."""
        self._fields.append((name.encode(), value.encode("latin-1")))
        self._by_name = None
        return self

    def raw(self) -> list[tuple[bytes, bytes]]:
        """Return the fields in the form that h11 accepts."""
        return self._fields


@dataclass(frozen=True, slots=True)
class Request:
    """A whole request.

    Attributes:
        method: In upper case.
        target: Path and query as sent.
        headers: With lower-case names.
        body: The whole body; the server has checked its size.
    """

    method: str
    target: str
    headers: Headers = field(default_factory=Headers)
    body: bytes = b""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


class TransportFailure(Enum):
    """How an exchange of a request and its response failed."""

    NOT_SENT = "not-sent"
    """No byte of the request was sent, so the other side can't have run it."""

    CUT = "cut"
    """Bytes were sent, and the connection ended before the response did."""

    TIMED_OUT = "timed-out"
    """Bytes were sent, and the response did not arrive in time."""

    MALFORMED = "malformed"
    """The other side violated HTTP, or the client rejects its response."""


class TransportError(Exception):
    """An exchange ended without its whole response.

    This package raises it; the packages that use it turn it into a result
    with an error kind.

    Attributes:
        failure: How the exchange failed.
    """

    def __init__(self, failure: TransportFailure, detail: str = "") -> None:
        super().__init__(f"{failure.value}: {detail}" if detail else failure.value)
        self.failure = failure


@lru_cache(maxsize=256)
def _encode_name(keyword: str) -> bytes:
    return keyword.replace("_", "-").encode()
