"""Parses the timeout and the urgency in callers' headers.

A header that cannot be parsed is an error whose detail the caller is shown.
"""

import re

from result import Err, Ok, Result

from zinniaspool.core.errors import ErrorKind, Fault

__all__ = ["NORMAL_URGENCY", "parse_timeout", "parse_urgency"]

MAX_TIMEOUT_S = 3600.0
"""Maximum timeout that a caller can request, in seconds."""
NORMAL_URGENCY = 3
"""Urgency of a request without one, as RFC 9218 defines it."""
_NUMBER = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?")
_URGENCY = re.compile(r"(?:^|[,\s])u=([^,;\s]*)")
_URGENCIES = frozenset("01234567")


def parse_timeout(value: str | None, default_s: float) -> Result[float, Fault]:
    """Return the seconds of a ``Request-Timeout`` header."""
    if value is None:
        return Ok(default_s)
    if _NUMBER.fullmatch(value) is None or not float(value):
        detail = "Request-Timeout: a number of seconds above 0 is expected"
        return Err(Fault(ErrorKind.MALFORMED_REQUEST, detail))
    return Ok(min(float(value), MAX_TIMEOUT_S))


def parse_urgency(value: str | None) -> Result[int, Fault]:
    """Return the urgency of a ``Priority`` header (RFC 9218), 0 to 7."""
    if value is None:
        return Ok(NORMAL_URGENCY)
    found = _URGENCY.search(value)
    if found is None:
        return Ok(NORMAL_URGENCY)
    if found[1] not in _URGENCIES:
        detail = "Priority: u=0 to u=7 is expected"
        return Err(Fault(ErrorKind.MALFORMED_REQUEST, detail))
    return Ok(int(found[1]))
