"""How errors are told to callers: the table as HTTP answers."""

import msgspec

from zinniaspool.core.errors import ERROR_ANSWERS, ErrorKind, Fault
from zinniaspool.core.ids import RequestId
from zinniaspool.http import Exchange, Headers, Refusal, RefusalKind

__all__ = ["answer_fault", "refuse_request"]

_KIND_OF_REFUSAL = {
    RefusalKind.MALFORMED: ErrorKind.MALFORMED_REQUEST,
    RefusalKind.HEADERS_TOO_LARGE: ErrorKind.HEADERS_TOO_LARGE,
    RefusalKind.BODY_TOO_LARGE: ErrorKind.BODY_TOO_LARGE,
    RefusalKind.SLOW: ErrorKind.SLOW_REQUEST,
    RefusalKind.BUSY: ErrorKind.OVERLOADED,
    RefusalKind.FAILED: ErrorKind.INTERNAL,
}


class _ErrorBody(msgspec.Struct):
    error: str
    outcome: str
    message: str
    detail: str
    retry_after_s: float | None


def make_answer(fault: Fault) -> Refusal:
    """Return the whole answer for one fault."""
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
    """Send the answer for a fault, or cut an answer that has begun.

    An answer whose head has left cannot turn into an error any more; ending
    it cleanly would make a part look like the whole.
    """
    if exchange.started:
        exchange.abort()
        return
    answer = make_answer(fault)
    if request is not None:
        answer.headers.add("x-request-id", request)
    await exchange.respond(answer.status, answer.headers, answer.body)


def refuse_request(kind: RefusalKind, detail: str) -> Refusal:
    """Return the answer to a request that broke the server's limits."""
    return make_answer(Fault(_KIND_OF_REFUSAL[kind], detail))
