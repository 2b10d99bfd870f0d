"""Decodes what other programs wrote: values of the store, answers, headers.

Such a text may be of any type and length. A decoder returns why it can't use
one, and raises nothing.
"""

import re
from ipaddress import ip_address
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

__all__ = [
    "DECODE_ERRORS",
    "MAX_COUNT",
    "decode_json",
    "is_address",
    "parse_count",
    "shorten",
]

DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, UnicodeError)
"""What msgspec raises. A deeply nested value exceeds its recursion limit."""

MAX_COUNT = 2**53
"""Largest integer that every JSON codec preserves. Epochs and counts are far
below it, and a larger number could not be passed on to other processes."""

MAX_SHOWN_CHARS = 200
"""Longest text of another writer in a log line or an error, in characters."""

_COUNT = re.compile(r"\s*0*(\d{1,18})\s*", re.ASCII)
"""``int`` raises on a text of thousands of digits."""

_PORT = re.compile(r"[0-9]{1,5}")

_MAX_PORT = 65535
"""Largest TCP port; ports have sixteen bits."""

_T = TypeVar("_T")


def decode_json(value: bytes, kind: type[_T]) -> Result[_T, str]:
    """Return a JSON text's content, or why it isn't of the expected type."""
    try:
        return Ok(msgspec.json.decode(value, type=kind))
    except DECODE_ERRORS as error:
        return Err(shorten(str(error)))


def parse_count(text: str) -> int | None:
    """Return a decimal number of at most 18 digits, or None."""
    found = _COUNT.fullmatch(text)
    return None if found is None else int(found[1])


def is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port."""
    host, _, port = text.rpartition(":")
    if "%" in host:
        # ``ip_address`` accepts any text as the scope of an IPv6 address.
        return False
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        return False
    return bool(_PORT.fullmatch(port)) and 0 < int(port) <= _MAX_PORT


def shorten(text: str) -> str:
    """Return the beginning of a text that another program wrote."""
    if len(text) <= MAX_SHOWN_CHARS:
        return text
    return text[:MAX_SHOWN_CHARS] + "..."
