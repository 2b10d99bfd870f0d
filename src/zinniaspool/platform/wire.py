"""Headers of callers and instances, translated at this boundary."""

import math
from collections.abc import Iterable

from zinniaspool.core.dispatch import InstanceLoad, RequestTerms
from zinniaspool.core.fleet import CustomerSpec, InstanceId
from zinniaspool.core.ids import ModelName, RequestId
from zinniaspool.http import Headers, Request

__all__ = [
    "parse_answered_request",
    "has_not_run",
    "make_upstream_headers",
    "add_fault_headers",
    "make_caller_headers",
    "parse_key",
    "parse_limit",
    "parse_load",
    "parse_terms",
]

_PREFIX = "x-zinniaspool-"
_REQUEST_ID = _PREFIX + "request-id"
_DEADLINE = _PREFIX + "deadline-ms"
_EXPECTED = _PREFIX + "expect-instance"
_TENANT = _PREFIX + "tenant"
_MODEL = _PREFIX + "model"
_TOKENS = _PREFIX + "token-count"
_HINT = _PREFIX + "length-hint"
_URGENCY = _PREFIX + "request-priority"
_UNRUN = _PREFIX + "not-executed"
_LOAD = _PREFIX + "runner-load"
_LIMIT = "server-limit"
_RESUME = "last-event-id"

_MISDIRECTED = 421
"""HTTP status of an instance that is not the expected one."""

# What concerns one connection only (RFC 9110, 7.6.1), and the body's framing,
# which is made anew.
_HOP = frozenset(
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
# Never believed of a caller: set here, or for nobody upstream to see.
_OWN = frozenset(
    name.encode()
    for name in ("authorization", _DEADLINE, _EXPECTED, _TENANT, _URGENCY, _RESUME)
)
_INTERNAL = frozenset(
    name.encode() for name in (_LOAD, _PREFIX + "instance-id", "at-server")
)


def parse_terms(request: Request) -> RequestTerms:
    """Return what a caller says; what cannot be read counts as unsaid."""
    headers = request.headers
    tokens = _numbers(headers.get(_TOKENS))
    deadline = headers.get(_DEADLINE)
    model = headers.get(_MODEL)
    return RequestTerms(
        RequestId(headers.get(_REQUEST_ID) or ""),
        None if _number(deadline) is None else (_number(deadline) or 0) / 1000,
        ModelName(model) if model else None,
        tokens[0] if tokens else 0,
        tokens[1] if len(tokens) > 1 else 0,
        _number(headers.get(_HINT)),
        _number(headers.get(_RESUME)),
    )


def parse_key(request: Request) -> str | None:
    """Return the key that a request carries, or None."""
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
        request: The caller's.
        instance: Which instance must answer: its address may have become
            another's.
        left_s: How long the caller still waits.
        customer: Whose request it is, if anybody's.
        urgency: 0 to 9, 0 first; None for the usual.
        resume_after: The last event passed on, or None for all.
    """
    named = _named_by_connection(request.headers)
    fields = [
        (name, value)
        for name, value in request.headers.raw()
        if name not in _HOP and name not in _OWN and name not in named
    ]
    headers = Headers(fields)
    headers.add(_DEADLINE, str(max(1, int(left_s * 1000))))
    headers.add(_EXPECTED, instance)
    if customer is not None:
        headers.add(_TENANT, customer.name)
    if urgency is not None:
        headers.add(_URGENCY, str(urgency))
    if resume_after is not None:
        headers.add(_RESUME, str(resume_after))
    return headers


def make_caller_headers(headers: Headers) -> Headers:
    """Return an instance's headers as its answer's reader gets them."""
    named = _named_by_connection(headers)
    return Headers(
        (name, value)
        for name, value in headers.raw()
        if name not in _HOP and name not in _INTERNAL and name not in named
    )


def has_not_run(status: int, headers: Headers) -> bool:
    """Tell whether an instance promises that it has not run the request."""
    return status == _MISDIRECTED or headers.get(_UNRUN) is not None


def parse_answered_request(headers: Headers) -> RequestId | None:
    """Return the request that an answer belongs to, or None if unsaid."""
    value = headers.get(_REQUEST_ID)
    return None if value is None else RequestId(value)


def parse_load(headers: Headers) -> InstanceLoad | None:
    """Return an instance's load as an answer tells it, or None."""
    match _numbers(headers.get(_LOAD)):
        case [running, waiting, slots]:
            return InstanceLoad(running, waiting, slots)
    return None


def parse_limit(headers: Headers) -> float | None:
    """Return the requests a second that an instance takes, or None if unsaid.

    What is no number of requests counts as unsaid.
    """
    try:
        per_s = float(headers.get(_LIMIT) or "nan")
    except ValueError:
        return None
    return per_s if 0.0 <= per_s < math.inf else None


def add_fault_headers(headers: Headers, request: RequestId, code: str) -> None:
    """Mark an answer of our own with its request and the error's kind."""
    if request:
        headers.add(_REQUEST_ID, request)
    headers.add("x-error-kind", code)


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    value = headers.get("connection")
    if value is None:
        return frozenset()
    return frozenset(part.strip().lower().encode() for part in value.split(","))


def _number(text: str | None) -> int | None:
    return int(text) if text is not None and text.strip().isdecimal() else None


def _numbers(text: str | None) -> list[int]:
    parts: Iterable[str] = () if text is None else text.split(",")
    found = [_number(part) for part in parts]
    return [one for one in found if one is not None]
