"""HTTP interface for callers.

It authenticates a request, parses its headers and runs it.
"""

import asyncio
import math
import secrets
from collections.abc import Callable

import structlog
from result import Err, Ok, Result

from zinniaspool.core.errors import ERROR_ANSWERS, ErrorKind, Fault, Outcome
from zinniaspool.core.ids import CustomerId, RequestId
from zinniaspool.core.requests import parse_timeout, parse_urgency
from zinniaspool.entry.answers import answer_fault
from zinniaspool.entry.calls import CallerRequest, CallRunner
from zinniaspool.entry.credentials import Credentials
from zinniaspool.entry.directory import EntryDirectory
from zinniaspool.entry.once import KeyedCallHandler
from zinniaspool.http import Exchange

__all__ = ["CallerInterface"]

_log = structlog.get_logger(__name__)
_REQUEST_ID_BYTES = 12
"""Random bytes of a request identifier, enough to make it unique."""
_ANSWERED = "answered"
_CALLER_LEFT = "caller-left"

_KEY_ERRORS = {
    ErrorKind.KEY_IN_PROGRESS,
    ErrorKind.KEY_OWNER_GONE,
    ErrorKind.ANSWER_EXPIRED,
}
"""Errors that count as refusals of a request.

The request itself is not run, though an earlier request with its idempotency
key may have run.
"""

RefusalObserver = Callable[[RequestId, CustomerId, ErrorKind], None]
RequestObserver = Callable[[CustomerId | None, str, float], None]


def _ignore_request_end(customer: CustomerId | None, end: str, seconds: float) -> None:
    pass


def _ignore_refusal(request: RequestId, customer: CustomerId, kind: ErrorKind) -> None:
    pass


class CallerInterface:
    """Responds to the requests of callers.

    Args:
        directory: Responds with the addresses of entry VMs.
        runner: Runs calls.
        once: Runs calls that may run at most once.
        credentials: Customers by credential.
        default_deadline_s: Seconds until the deadline of a request that
            states none.
        on_request_end: Called with the customer of each request, how the
            request ended and its duration in seconds.
        on_refusal: Called with each refused request of a customer. Requests
            that fail at an upstream are reported by the relay instead.

    Attributes:
        ready: Whether a configuration is in effect, so that requests can be
            accepted.
        ends_at: Time at which this process cuts requests, in seconds on the
            event loop's clock; infinite until it is stopped.
    """

    def __init__(
        self,
        directory: EntryDirectory,
        runner: CallRunner,
        once: KeyedCallHandler,
        credentials: Credentials,
        default_deadline_s: float,
        on_request_end: RequestObserver = _ignore_request_end,
        on_refusal: RefusalObserver = _ignore_refusal,
    ) -> None:
        self._on_request_end = on_request_end
        self._on_refusal = on_refusal
        self.ready = False
        self.ends_at = math.inf
        self._directory = directory
        self._runner = runner
        self._once = once
        self._credentials = credentials
        self._default_deadline_s = default_deadline_s

    async def handle(self, exchange: Exchange) -> None:
        """Respond to a request."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        customer = self._authenticate(exchange)
        request = RequestId(secrets.token_hex(_REQUEST_ID_BYTES))
        end = _CALLER_LEFT
        try:
            result = await self._answer(exchange, request, customer)
            end = _ANSWERED
            if isinstance(result, Err):
                end = result.err_value.kind.value
                self._report_fault(request, customer, result.err_value.kind)
                await answer_fault(exchange, result.err_value, request)
        finally:
            self._on_request_end(customer, end, loop.time() - began)

    def _report_fault(
        self, request: RequestId, customer: CustomerId | None, kind: ErrorKind
    ) -> None:
        _log.info(
            "request-failed", kind=kind.value, request=request, customer=customer or ""
        )
        refused = kind in _KEY_ERRORS or ERROR_ANSWERS[kind].outcome is Outcome.NOT_RUN
        if customer is not None and refused:
            self._on_refusal(request, customer, kind)

    def _authenticate(self, exchange: Exchange) -> CustomerId | None:
        authorization = exchange.request.headers.get("authorization")
        return (
            None
            if authorization is None
            else self._credentials.find_customer(authorization)
        )

    async def _answer(
        self, exchange: Exchange, request_id: RequestId, customer: CustomerId | None
    ) -> Result[None, Fault]:
        request = exchange.request
        if not self.ready:
            return Err(Fault(ErrorKind.NOT_READY))
        if (request.method, request.path) == ("GET", "/v1/entries"):
            return await self._directory.answer(exchange)
        if customer is None:
            return Err(Fault(ErrorKind.BAD_CREDENTIAL))
        caller_request = self._parse_request(exchange, request_id, customer)
        if isinstance(caller_request, Err):
            return caller_request
        return await self._run_request(exchange, caller_request.ok_value)

    def _parse_request(
        self, exchange: Exchange, request_id: RequestId, customer: CustomerId
    ) -> Result[CallerRequest, Fault]:
        request = exchange.request
        if request.method != "POST":
            return Err(Fault(ErrorKind.UNKNOWN_SERVICE))
        timeout_header = request.headers.get("request-timeout")
        timeout = parse_timeout(timeout_header, self._default_deadline_s)
        if isinstance(timeout, Err):
            return timeout
        urgency = parse_urgency(request.headers.get("priority"))
        if isinstance(urgency, Err):
            return urgency
        return Ok(
            CallerRequest(
                request_id,
                customer,
                request.path,
                request.body,
                asyncio.get_running_loop().time() + timeout.ok_value,
                urgency.ok_value,
            )
        )

    async def _run_request(
        self, exchange: Exchange, caller_request: CallerRequest
    ) -> Result[None, Fault]:
        resolved = self._runner.resolve(caller_request)
        if isinstance(resolved, Err):
            return resolved
        key = exchange.request.headers.get("idempotency-key")
        if key is not None:
            return await self._once.answer(exchange, caller_request, key)
        if not resolved.ok_value.idempotent:
            return Err(Fault(ErrorKind.KEY_REQUIRED))
        if caller_request.deadline > self.ends_at:
            return Err(Fault(ErrorKind.LEAVING))
        return await self._runner.run(exchange, resolved.ok_value)
