"""Sessions, whose idempotency keys name the only process that may run them.

A caller receives a session together with the addresses of entry VMs. The
session names a process, its incarnation, and the time of issue. The caller
forms keys by appending a dot and any text to the session. A request with such
a key needs no access to the store: only that incarnation of the process may
run the request, and it remembers in memory the keys that it has run.
"""

import base64
import binascii
import re
from dataclasses import dataclass
from enum import Enum

import msgspec

from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.ids import IdempotencyKey, Incarnation, NodeId

__all__ = ["Session", "SessionAge", "classify_age", "encode_session", "parse_key"]

_PREFIX = "zs1-"
_QUOTED = re.compile(r'"(.*)"')
_KEY_TEXT = re.compile(r"[\x21\x23-\x7e]{1,255}")
"""Text of a key. It contains no quotes, so that parsing a key again yields the
same key."""


class Session(msgspec.Struct, frozen=True, array_like=True):
    """The process that may run the requests of a session's keys.

    Attributes:
        node: The process.
        incarnation: The incarnation of the process.
        issued: Time of issue in whole seconds on that process's clock.
    """

    node: NodeId
    incarnation: Incarnation
    issued: int


class SessionAge(Enum):
    """Whether a key of a session that is not remembered is new."""

    FRESH = "fresh"
    """A key that is not remembered is new."""

    OVER = "over"
    """The session has expired. The request of a key that is not remembered
    may have run, and the key may have been removed since."""

    FORGED = "forged"
    """The session's time of issue is in the future."""


@dataclass(frozen=True, slots=True)
class ParsedKey:
    """An idempotency key and the session from which it was formed, if any."""

    key: IdempotencyKey
    session: Session | None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Session)


def encode_session(session: Session) -> str:
    """Return a session in the text form that callers receive."""
    encoded = base64.urlsafe_b64encode(_encoder.encode(session)).decode()
    return _PREFIX + encoded.rstrip("=")


def parse_key(value: str) -> ParsedKey | None:
    """Return the key of an ``Idempotency-Key`` header; None if malformed.

    The key may be in quotes, as in structured fields, or without quotes. Both
    forms name the same key. If the quotes were part of the key, a repeat by a
    client that uses the other form would run again, and a quoted key of a
    session would not be recognized as such.
    """
    quoted = _QUOTED.fullmatch(value)
    value = quoted[1] if quoted else value
    if _KEY_TEXT.fullmatch(value) is None:
        return None
    key = IdempotencyKey(value)
    if not value.startswith(_PREFIX):
        return ParsedKey(key, None)
    encoded, dot, text = value.removeprefix(_PREFIX).partition(".")
    if not dot or not text:
        return None
    try:
        padded = encoded + "=" * (-len(encoded) % 4)
        session = _decoder.decode(base64.urlsafe_b64decode(padded))
    except (binascii.Error, ValueError, *DECODE_ERRORS):
        return None
    return ParsedKey(key, session)


def classify_age(session: Session, now: float, lifetime_s: float) -> SessionAge:
    """Return a session's age, on the clock of the process that issued it."""
    if session.issued > now:
        return SessionAge.FORGED
    if session.issued + lifetime_s < now:
        return SessionAge.OVER
    return SessionAge.FRESH
