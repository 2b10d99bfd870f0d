"""The callers' interface: who asks, for what, by when."""

import asyncio
import secrets
from collections.abc import Callable

import structlog
from result import Err, Ok, Result

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId, RequestId
from zinniaspool.core.requests import parse_timeout, parse_urgency
from zinniaspool.entry.answers import answer_fault
from zinniaspool.entry.calls import CallRunner, WantedCall
from zinniaspool.entry.credentials import Credentials
from zinniaspool.entry.directory import EntryDirectory
from zinniaspool.entry.once import OnceCalls
from zinniaspool.http import Exchange

__all__ = ["CallerInterface"]

_log = structlog.get_logger(__name__)
_ID_BYTES = 12
_ANSWERED = "answered"
_LEFT = "caller-left"

RequestObserver = Callable[[CustomerId | None, str, float], None]


def _observe_nothing(customer: CustomerId | None, end: str, seconds: float) -> None:
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
    """

    def __init__(
        self,
        directory: EntryDirectory,
        runner: CallRunner,
        once: OnceCalls,
        credentials: Credentials,
        default_deadline_s: float,
        observe: RequestObserver = _observe_nothing,
    ) -> None:
        self._observe = observe
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
        end = _LEFT
        try:
            result = await self._answer(exchange, customer)
            end = _ANSWERED
            if isinstance(result, Err):
                end = result.err_value.kind.value
                _log.info("request-failed", kind=end)
                await answer_fault(exchange, result.err_value)
        finally:
            self._observe(customer, end, loop.time() - began)

    def _recognize(self, exchange: Exchange) -> CustomerId | None:
        shown = exchange.request.headers.get("authorization")
        return None if shown is None else self._credentials.find_customer(shown)

    async def _answer(
        self, exchange: Exchange, customer: CustomerId | None
    ) -> Result[None, Fault]:
        request = exchange.request
        if not self.ready:
            return Err(Fault(ErrorKind.NOT_READY))
        if (request.method, request.path) == ("GET", "/v1/entries"):
            return await self._directory.answer(exchange)
        if customer is None:
            return Err(Fault(ErrorKind.BAD_CREDENTIAL))
        wanted = self._read_call(exchange, customer)
        if isinstance(wanted, Err):
            return wanted
        return await self._run_call(exchange, wanted.ok_value)

    def _read_call(
        self, exchange: Exchange, customer: CustomerId
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
                RequestId(secrets.token_hex(_ID_BYTES)),
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
