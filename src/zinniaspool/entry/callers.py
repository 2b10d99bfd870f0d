"""The callers' interface: who asks, for what, by when."""

import asyncio
import secrets
from collections.abc import Callable

import structlog
from result import Err, Ok, Result

from zinniaspool.core.errors import ERROR_ANSWERS, ErrorKind, Fault, Outcome
from zinniaspool.core.ids import CustomerId, RequestId
from zinniaspool.core.requests import parse_timeout, parse_urgency
from zinniaspool.entry.answers import answer_fault
from zinniaspool.entry.calls import CallRunner, WantedCall
from zinniaspool.entry.credentials import Credentials
from zinniaspool.entry.directory import EntryDirectory
from zinniaspool.entry.once import KeyedCallHandler
from zinniaspool.http import Exchange

__all__ = ["CallerInterface"]

_log = structlog.get_logger(__name__)
_ID_BYTES = 12
"""Random bytes of a request's name: no two share one."""
_ANSWERED = "answered"
_LEFT = "caller-left"

_OF_KEYS = {
    ErrorKind.KEY_IN_PROGRESS,
    ErrorKind.KEY_OWNER_GONE,
    ErrorKind.ANSWER_EXPIRED,
}
"""Refused too, though an earlier request with the key may have run."""

RefusalObserver = Callable[[RequestId, CustomerId, ErrorKind], None]
RequestObserver = Callable[[CustomerId | None, str, float], None]


def _observe_nothing(customer: CustomerId | None, end: str, seconds: float) -> None:
    pass


def _note_nothing(request: RequestId, customer: CustomerId, kind: ErrorKind) -> None:
    pass


class CallerInterface:
    """Answers callers.

    Args:
        directory: Names entry VMs.
        runner: Runs calls.
        once: Runs those that may run at most once.
        credentials: Whose request it is.
        default_deadline_s: For requests that bring none.
        observe: Told of each request's customer, end and seconds.
        note_refusal: Told of each customer's request that was refused. Those
            that fail upstream are told of by the relay.
    """

    def __init__(
        self,
        directory: EntryDirectory,
        runner: CallRunner,
        once: KeyedCallHandler,
        credentials: Credentials,
        default_deadline_s: float,
        observe: RequestObserver = _observe_nothing,
        note_refusal: RefusalObserver = _note_nothing,
    ) -> None:
        self._observe = observe
        self._note_refusal = note_refusal
        self.ready = False
        self._directory = directory
        self._runner = runner
        self._once = once
        self._credentials = credentials
        self._default_deadline_s = default_deadline_s

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        customer = self._recognize(exchange)
        request = RequestId(secrets.token_hex(_ID_BYTES))
        end = _LEFT
        try:
            result = await self._answer(exchange, request, customer)
            end = _ANSWERED
            if isinstance(result, Err):
                end = result.err_value.kind.value
                self._note_fault(request, customer, result.err_value.kind)
                await answer_fault(exchange, result.err_value, request)
        finally:
            self._observe(customer, end, loop.time() - began)

    def _note_fault(
        self, request: RequestId, customer: CustomerId | None, kind: ErrorKind
    ) -> None:
        _log.info(
            "request-failed", kind=kind.value, request=request, customer=customer or ""
        )
        refused = kind in _OF_KEYS or ERROR_ANSWERS[kind].outcome is Outcome.NOT_RUN
        if customer is not None and refused:
            self._note_refusal(request, customer, kind)

    def _recognize(self, exchange: Exchange) -> CustomerId | None:
        shown = exchange.request.headers.get("authorization")
        return None if shown is None else self._credentials.find_customer(shown)

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
        wanted = self._read_call(exchange, request_id, customer)
        if isinstance(wanted, Err):
            return wanted
        return await self._run_call(exchange, wanted.ok_value)

    def _read_call(
        self, exchange: Exchange, request_id: RequestId, customer: CustomerId
    ) -> Result[WantedCall, Fault]:
        request = exchange.request
        if request.method != "POST":
            return Err(Fault(ErrorKind.UNKNOWN_SERVICE))
        asked = request.headers.get("request-timeout")
        timeout = parse_timeout(asked, self._default_deadline_s)
        if isinstance(timeout, Err):
            return timeout
        urgency = parse_urgency(request.headers.get("priority"))
        if isinstance(urgency, Err):
            return urgency
        return Ok(
            WantedCall(
                request_id,
                customer,
                request.path,
                request.body,
                asyncio.get_running_loop().time() + timeout.ok_value,
                urgency.ok_value,
            )
        )

    async def _run_call(
        self, exchange: Exchange, wanted: WantedCall
    ) -> Result[None, Fault]:
        resolved = self._runner.resolve(wanted)
        if isinstance(resolved, Err):
            return resolved
        key = exchange.request.headers.get("idempotency-key")
        if key is not None:
            return await self._once.answer(exchange, wanted, key)
        if not resolved.ok_value.idempotent:
            return Err(Fault(ErrorKind.KEY_REQUIRED))
        return await self._runner.run(exchange, resolved.ok_value)
