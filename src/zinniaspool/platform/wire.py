"""Headers of callers and instances, translated to and from the core's types.

The module's functions implement the ``CallCodec`` protocol that the gateway
package defines.
"""

import math
from collections.abc import Iterable

from zinniaspool.core.decoding import parse_count
from zinniaspool.core.dispatch import InstanceLoad, InstanceNotice, RequestTerms
from zinniaspool.core.fleet import CustomerSpec, InstanceId
from zinniaspool.core.ids import ModelName, PromptPartId, RequestId
from zinniaspool.http import Headers, Request

__all__ = [
    "add_fault_headers",
    "has_not_run",
    "list_unknown_headers",
    "make_caller_headers",
    "make_upstream_headers",
    "parse_answered_request",
    "parse_instance",
    "parse_key",
    "parse_load",
    "parse_notice",
    "parse_terms",
]

_PREFIX = "x-zinniaspool-"
_REQUEST_ID = _PREFIX + "request-id"
_DEADLINE = _PREFIX + "deadline-ms"
_EXPECTED = _PREFIX + "expect-instance"
_INSTANCE = _PREFIX + "instance-id"
_CUSTOMER = _PREFIX + "tenant"
_MODEL = _PREFIX + "model"
_TOKEN_COUNTS = _PREFIX + "token-count"
_PROMPT_PARTS = _PREFIX + "prefix-hash"
_LENGTH_HINT = _PREFIX + "length-hint"
_URGENCY = _PREFIX + "request-priority"
_NOT_EXECUTED = _PREFIX + "not-executed"
_LOAD = _PREFIX + "runner-load"
_COLD = _PREFIX + "cold-ms"
_RATE_LIMIT = "server-limit"
_RETRY_AFTER = "retry-after"
_LEAVING = "server-leaving"
_RESUME = "last-event-id"

MAX_TOKENS = 2**20
"""Largest count of tokens that a caller's statement counts for. A body of
4 MiB, the usual limit, holds about as many, and sums of larger ones would be
beyond what a message holds."""

_MISDIRECTED_STATUS = 421
"""HTTP status of an instance that is not the expected one."""

_UNAVAILABLE_STATUS = 503
"""HTTP status of an instance that may ask for a pause."""

# Headers that concern one connection only (RFC 9110, 7.6.1), and the body's
# framing, which is created anew.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Never forwarded from a caller: this module sets them, or no upstream may see
# them.
_NOT_FORWARDED = frozenset(
    name.encode()
    for name in ("authorization", _DEADLINE, _EXPECTED, _CUSTOMER, _URGENCY, _RESUME)
)
_INSTANCE_ONLY = frozenset(
    name.encode() for name in (_LOAD, _COLD, _INSTANCE, "at-server")
)
# The headers of answers that this module reads or passes on knowingly.
_KNOWN_IN_ANSWERS = (
    _HOP_BY_HOP
    | _INSTANCE_ONLY
    | frozenset(
        name.encode()
        for name in (
            _REQUEST_ID,
            _NOT_EXECUTED,
            _RATE_LIMIT,
            _RETRY_AFTER,
            _LEAVING,
            _PREFIX + "server-seal",
            _PREFIX + "weight-versions",
            "cache-control",
            "content-encoding",
            "content-type",
            "date",
            "server",
            "vary",
        )
    )
)


def parse_terms(request: Request) -> RequestTerms:
    """Return the terms in a caller's headers; ignore invalid values.

    Counts of tokens beyond what a request can be count as the largest.
    """
    headers = request.headers
    tokens = [
        min(count, MAX_TOKENS) for count in _parse_integers(headers.get(_TOKEN_COUNTS))
    ]
    expected = _parse_integer(headers.get(_LENGTH_HINT))
    deadline = headers.get(_DEADLINE)
    model = headers.get(_MODEL)
    return RequestTerms(
        RequestId(headers.get(_REQUEST_ID) or ""),
        None
        if _parse_integer(deadline) is None
        else (_parse_integer(deadline) or 0) / 1000,
        ModelName(model) if model else None,
        tokens[0] if tokens else 0,
        tokens[1] if len(tokens) > 1 else 0,
        None if expected is None else min(expected, MAX_TOKENS),
        _parse_integer(headers.get(_RESUME)),
        _parse_parts(headers.get(_PROMPT_PARTS)),
    )


def parse_key(request: Request) -> str | None:
    """Return the API key of a request, or None."""
    value = request.headers.get("authorization")
    if value is None:
        return None
    scheme, _, key = value.strip().partition(" ")
    return key.strip() if scheme.lower() == "token" else None


def make_upstream_headers(
    request: Request,
    instance: InstanceId,
    left_s: float,
    customer: CustomerSpec | None,
    urgency: int | None,
    resume_after: int | None,
) -> Headers:
    """Return the headers with which a request goes to an instance.

    Args:
        request: The caller's request.
        instance: The instance that must answer; another instance may have
            its address by now.
        left_s: How long the caller still waits, in seconds.
        customer: The customer whose request it is, or None.
        urgency: 0 to 9, where 0 goes first; None for the default.
        resume_after: The last event that was forwarded; None to get all.
    """
    connection_headers = _list_connection_headers(request.headers)
    fields = [
        (name, value)
        for name, value in request.headers.raw()
        if name not in _HOP_BY_HOP
        and name not in _NOT_FORWARDED
        and name not in connection_headers
    ]
    headers = Headers(fields)
    headers.add(_DEADLINE, str(max(1, int(left_s * 1000))))
    headers.add(_EXPECTED, instance)
    if customer is not None:
        headers.add(_CUSTOMER, customer.name)
    if urgency is not None:
        headers.add(_URGENCY, str(urgency))
    if resume_after is not None:
        headers.add(_RESUME, str(resume_after))
    return headers


def make_caller_headers(headers: Headers) -> Headers:
    """Return the headers of an instance's answer that the caller gets."""
    connection_headers = _list_connection_headers(headers)
    return Headers(
        (name, value)
        for name, value in headers.raw()
        if name not in _HOP_BY_HOP
        and name not in _INSTANCE_ONLY
        and name not in connection_headers
    )


def has_not_run(status: int, headers: Headers) -> bool:
    """Return whether an answer guarantees that the request was not run."""
    return status == _MISDIRECTED_STATUS or headers.get(_NOT_EXECUTED) is not None


def parse_answered_request(headers: Headers) -> RequestId | None:
    """Return the request that an answer names, or None if it names none."""
    value = headers.get(_REQUEST_ID)
    return None if value is None else RequestId(value)


def parse_instance(headers: Headers) -> InstanceId | None:
    """Return the instance that an answer names, or None if it names none."""
    value = headers.get(_INSTANCE)
    return None if value is None else InstanceId(value)


def parse_load(headers: Headers) -> InstanceLoad | None:
    """Return the load report in an instance's answer, or None."""
    match _parse_integers(headers.get(_LOAD)):
        case [running, waiting, slots]:
            return InstanceLoad(running, waiting, slots)
    return None


def parse_notice(status: int, headers: Headers) -> InstanceNotice:
    """Return what an answer asks of this process; ignore invalid values.

    A misdirected request was answered by another instance than the one that
    it was sent to, so that its answer asks nothing for that one.
    """
    if status == _MISDIRECTED_STATUS:
        return InstanceNotice()
    pause_s = None
    if status == _UNAVAILABLE_STATUS:
        pause_s = _parse_decimal(headers.get(_RETRY_AFTER))
    return InstanceNotice(
        _parse_decimal(headers.get(_RATE_LIMIT)),
        pause_s,
        headers.get(_LEAVING) == "1",
    )


def list_unknown_headers(headers: Headers) -> list[str]:
    """Return the names of an answer's headers without a known meaning."""
    return [
        name.decode("latin-1")
        for name, _ in headers.raw()
        if name not in _KNOWN_IN_ANSWERS
    ]


def add_fault_headers(headers: Headers, request: RequestId, code: str) -> None:
    """Add the request and the error's kind to this process's own answer."""
    if request:
        headers.add(_REQUEST_ID, request)
    headers.add("x-error-kind", code)


def _list_connection_headers(headers: Headers) -> frozenset[bytes]:
    value = headers.get("connection")
    if value is None:
        return frozenset()
    return frozenset(part.strip().lower().encode() for part in value.split(","))


def _parse_parts(text: str | None) -> tuple[PromptPartId, ...]:
    """Return the parts that entries of the form ``id:tokens`` name."""
    entries = () if text is None else text.split(",")
    names = (entry.partition(":")[0].strip() for entry in entries)
    return tuple(PromptPartId(name) for name in names if name)


def _parse_decimal(text: str | None) -> float | None:
    """Return a finite number that is not negative, or None."""
    try:
        number = float(text or "nan")
    except ValueError:
        return None
    return number if 0.0 <= number < math.inf else None


def _parse_integer(text: str | None) -> int | None:
    return None if text is None else parse_count(text)


def _parse_integers(text: str | None) -> list[int]:
    parts: Iterable[str] = () if text is None else text.split(",")
    numbers = [_parse_integer(part) for part in parts]
    return [number for number in numbers if number is not None]
