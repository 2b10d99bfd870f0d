"""The table of errors as HTTP answers to callers."""

import msgspec

from zinniaspool.core.errors import ERROR_ANSWERS, ErrorKind, Fault
from zinniaspool.core.ids import RequestId
from zinniaspool.http import Exchange, Headers, Refusal, RefusalKind

__all__ = ["answer_fault", "refuse_request"]

_ERROR_KINDS = {
    RefusalKind.MALFORMED: ErrorKind.MALFORMED_REQUEST,
    RefusalKind.HEADERS_TOO_LARGE: ErrorKind.HEADERS_TOO_LARGE,
    RefusalKind.BODY_TOO_LARGE: ErrorKind.BODY_TOO_LARGE,
    RefusalKind.SLOW: ErrorKind.SLOW_REQUEST,
    RefusalKind.BUSY: ErrorKind.OVERLOADED,
    RefusalKind.LEAVING: ErrorKind.LEAVING,
    RefusalKind.FAILED: ErrorKind.INTERNAL,
}


class _ErrorBody(msgspec.Struct):
    error: str
    outcome: str
    message: str
    detail: str
    retry_after_s: float | None


def make_answer(fault: Fault) -> Refusal:
    """Return the whole answer for a fault."""
    answer = ERROR_ANSWERS[fault.kind]
    retry_after = fault.retry_after or answer.retry_after
    headers = Headers.of(
        content_type="application/json", x_outcome=answer.outcome.value
    )
    if retry_after is not None:
        headers.add("retry-after", f"{retry_after:g}")
    body = _ErrorBody(
        fault.kind.value,
        answer.outcome.value,
        answer.message,
        fault.detail,
        retry_after,
    )
    return Refusal(answer.status, headers, msgspec.json.encode(body))


async def answer_fault(
    exchange: Exchange, fault: Fault, request: RequestId | None = None
) -> None:
    """Send the answer for a fault, or abort an answer that has begun.

    An answer whose head has been sent can no longer become an error. If it
    were ended regularly, the caller would take a part for the whole.

    Args:
        exchange: The exchange with the caller.
        fault: The fault.
        request: The request's id, for a header of the answer; None to omit
            the header.
    """
    if exchange.started:
        exchange.abort()
        return
    answer = make_answer(fault)
    if request is not None:
        answer.headers.add("x-request-id", request)
    await exchange.respond(answer.status, answer.headers, answer.body)


def refuse_request(kind: RefusalKind, detail: str) -> Refusal:
    """Return the answer to a request that the HTTP server answers itself."""
    return make_answer(Fault(_ERROR_KINDS[kind], detail))
