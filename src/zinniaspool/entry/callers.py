"""The callers' interface: who asks, for what, by when."""

import asyncio
import secrets

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


class CallerInterface:
    """Answers callers.

    Args:
        directory: Names entry VMs.
        runner: Runs calls.
        once: Runs those that may run at most once.
        credentials: Whose request it is.
        default_deadline_s: For requests that bring none.
    """

    def __init__(
        self,
        directory: EntryDirectory,
        runner: CallRunner,
        once: OnceCalls,
        credentials: Credentials,
        default_deadline_s: float,
    ) -> None:
        self.ready = False
        self._directory = directory
        self._runner = runner
        self._once = once
        self._credentials = credentials
        self._default_deadline_s = default_deadline_s

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        result = await self._answer(exchange)
        if isinstance(result, Err):
            fault = result.err_value
            _log.info("request-failed", kind=fault.kind.value)
            await answer_fault(exchange, fault)

    async def _answer(self, exchange: Exchange) -> Result[None, Fault]:
        request = exchange.request
        if not self.ready:
            return Err(Fault(ErrorKind.NOT_READY))
        if (request.method, request.path) == ("GET", "/v1/entries"):
            return await self._directory.answer(exchange)
        customer = self._credentials.find_customer(request.headers.get("authorization"))
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
