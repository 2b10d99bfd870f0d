"""Sessions: idempotency keys that name the only process which may run them.

A session is given out with the address answer and names a process, which of
its starts, and when it was given out. A caller makes keys of it by adding a
dot and any text. A request with such a key needs no store: only that start of
that process may run it, and what it has run it remembers itself.
"""

import base64
import binascii
import re
from dataclasses import dataclass
from enum import Enum

import msgspec

from zinniaspool.core.ids import IdempotencyKey, Incarnation, NodeId

__all__ = ["Session", "SessionAge", "judge_age", "make_session", "parse_key"]

_PREFIX = "zs1-"
_QUOTED = re.compile(r'"(.*)"')
_OWN_KEY = re.compile(r"[\x21\x23-\x7e]{1,255}")
"""Without quotes inside: a key that is parsed again stays what it was."""


class Session(msgspec.Struct, frozen=True, array_like=True):
    """Who may run the requests of one session's keys.

    Attributes:
        node: The process.
        incarnation: Which of its starts.
        issued: Whole seconds on that process's clock.
    """

    node: NodeId
    incarnation: Incarnation
    issued: int


class SessionAge(Enum):
    """Whether a session's keys may still be new."""

    FRESH = "fresh"
    OVER = "over"
    """A key that is not remembered may have run and been forgotten."""

    FORGED = "forged"
    """It was issued in the future."""


@dataclass(frozen=True, slots=True)
class ParsedKey:
    """An idempotency key and the session that it was made of, if any."""

    key: IdempotencyKey
    session: Session | None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Session)


def make_session(session: Session) -> str:
    """Return a session as callers get it."""
    encoded = base64.urlsafe_b64encode(_encoder.encode(session)).decode()
    return _PREFIX + encoded.rstrip("=")


def parse_key(value: str) -> ParsedKey | None:
    """Return what an ``Idempotency-Key`` header says; None if unusable.

    The key may stand in quotes, as structured fields spell it, or without.
    Both name the same key: were the quotes part of it, a repeat by a client
    that spells it otherwise would run again, and a quoted key made of a
    session would not be known as one.
    """
    quoted = _QUOTED.fullmatch(value)
    value = quoted[1] if quoted else value
    if _OWN_KEY.fullmatch(value) is None:
        return None
    key = IdempotencyKey(value)
    if not value.startswith(_PREFIX):
        return ParsedKey(key, None)
    encoded, dot, own = value.removeprefix(_PREFIX).partition(".")
    if not dot or not own:
        return None
    try:
        padded = encoded + "=" * (-len(encoded) % 4)
        session = _decoder.decode(base64.urlsafe_b64decode(padded))
    except (binascii.Error, ValueError, msgspec.MsgspecError):
        return None
    return ParsedKey(key, session)


def judge_age(session: Session, now: float, lifetime_s: float) -> SessionAge:
    """Return whether a session's keys may be new, on its own process."""
    if session.issued > now:
        return SessionAge.FORGED
    if session.issued + lifetime_s < now:
        return SessionAge.OVER
    return SessionAge.FRESH
