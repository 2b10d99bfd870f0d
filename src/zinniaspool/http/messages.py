"""The parts of an HTTP message that both sides share."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache
from typing import Self

__all__ = ["Headers", "Request", "TransportError", "TransportFailure"]


class Headers:
    """Header fields in the order of the wire, found by lower-case name."""

    __slots__ = ("_fields", "_found")

    def __init__(self, fields: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self._fields = list(fields)
        self._found: dict[bytes, bytes] | None = None

    @classmethod
    def of(cls, **fields: str) -> Self:
        """Make headers from keywords; ``_`` in a name stands for ``-``."""
        return cls([(_spell_name(k), v.encode("latin-1")) for k, v in fields.items()])

    @classmethod
    def received(cls, fields: Iterable[tuple[bytes, bytes]]) -> Self:
        """Make headers from the raw items of an h11 event."""
        # Iterating over h11's own sequence of them in lower case costs
        # several times as much.
        return cls([(name.lower(), value) for name, value in fields])

    def get(self, name: str) -> str | None:
        """Return the first value of a lower-case name, or None."""
        if self._found is None:
            self._found = dict(reversed(self._fields))
        value = self._found.get(name.encode())
        return None if value is None else value.decode("latin-1")

    def add(self, name: str, value: str) -> Self:
        """Add one field and return these headers."""
        self._fields.append((name.encode(), value.encode("latin-1")))
        self._found = None
        return self

    def raw(self) -> list[tuple[bytes, bytes]]:
        """Return the fields as h11 takes them."""
        return self._fields


@dataclass(frozen=True, slots=True)
class Request:
    """A whole request.

    Attributes:
        method: In upper case.
        target: Path and query as sent.
        headers: With lower-case names.
        body: All of it, already held to the size limit.
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
    """How an exchange with another side failed."""

    NOT_SENT = "not-sent"
    """No byte of the request left: the other side cannot have run it."""

    CUT = "cut"
    """Bytes left, and the connection ended before the answer did."""

    TIMED_OUT = "timed-out"
    """Bytes left, and the answer did not come in time."""

    MALFORMED = "malformed"
    """The other side broke HTTP."""


class TransportError(Exception):
    """An exchange ended without its whole answer.

    Raised inside the HTTP shell only; its users turn it into a result with
    an error kind.
    """

    def __init__(self, failure: TransportFailure, detail: str = "") -> None:
        super().__init__(f"{failure.value}: {detail}" if detail else failure.value)
        self.failure = failure


@lru_cache(maxsize=256)
def _spell_name(keyword: str) -> bytes:
    return keyword.replace("_", "-").encode()
