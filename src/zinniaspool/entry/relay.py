"""Sends a request upstream and its answer back."""

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

import structlog
from result import Err, Ok, Result

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import RequestId
from zinniaspool.core.requests import Router, Upstream
from zinniaspool.http import (
    ClientResponse,
    Exchange,
    Headers,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)

__all__ = ["Relay", "RelayedCall"]

_log = structlog.get_logger(__name__)
_PASSED_ON = ("content-type",)
_NOT_RUN = "x-not-run"
_SERVER_ERRORS = 500


@dataclass(frozen=True, slots=True)
class RelayedCall:
    """One request on its way upstream.

    Attributes:
        id: Checked on the answer, with the attempt's number.
        target: Path at the upstream.
        body: As the caller sent it.
        deadline: Seconds on the loop's clock.
        idempotent: Whether it may run more than once.
    """

    id: RequestId
    target: str
    body: bytes
    deadline: float
    idempotent: bool


class Relay:
    """Chooses upstreams and carries requests and answers.

    Args:
        http: Connections to upstreams.
        source: The random source of the routing.
    """

    def __init__(self, http: HttpClient, source: random.Random) -> None:
        self._http = http
        self._router = Router(source)

    async def run(
        self, exchange: Exchange, call: RelayedCall, upstreams: Sequence[Upstream]
    ) -> Result[None, Fault]:
        """Run a call and answer it, or return why it has no answer.

        An attempt is repeated elsewhere only while it is certain that it did
        not run.
        """
        left = list(upstreams)
        if not left:
            return Err(Fault(ErrorKind.NO_UPSTREAM))
        attempt = 0
        while (upstream := self._router.choose(left)) is not None:
            attempt += 1
            left.remove(upstream)
            self._router.begin(upstream.id)
            try:
                tried = await self._try_upstream(exchange, call, upstream, attempt)
            finally:
                self._router.end(upstream.id)
            if isinstance(tried, Ok):
                return tried
            fault = tried.err_value
            _log.info(
                "attempt-failed",
                request=call.id,
                attempt=attempt,
                kind=fault.kind.value,
            )
            if fault.kind is not ErrorKind.UPSTREAM_REFUSED:
                return tried
        if attempt:
            return Err(Fault(ErrorKind.UPSTREAM_REFUSED))
        return Err(Fault(ErrorKind.OVERLOADED))

    async def _try_upstream(
        self, exchange: Exchange, call: RelayedCall, upstream: Upstream, attempt: int
    ) -> Result[None, Fault]:
        left_s = call.deadline - asyncio.get_running_loop().time()
        if left_s <= 0:
            return Err(Fault(ErrorKind.DEADLINE_TOO_SHORT))
        request = Request(
            "POST", call.target, _make_headers(call, upstream, attempt), call.body
        )
        try:
            async with asyncio.timeout(left_s):
                response = await self._http.send(
                    upstream.address, request, left_s, fresh=not call.idempotent
                )
                try:
                    return await self._pass_on(exchange, call, response, attempt)
                except BaseException:
                    response.abort()
                    raise
        except TimeoutError:
            return Err(Fault(ErrorKind.DEADLINE_PASSED))
        except TransportError as error:
            return Err(_judge_transport(error))

    async def _pass_on(
        self,
        exchange: Exchange,
        call: RelayedCall,
        response: ClientResponse,
        attempt: int,
    ) -> Result[None, Fault]:
        if response.headers.get(_NOT_RUN) is not None:
            await response.read()
            return Err(Fault(ErrorKind.UPSTREAM_REFUSED))
        echoed = (
            response.headers.get("x-request-id"),
            response.headers.get("x-attempt"),
        )
        if echoed != (call.id, str(attempt)):
            # An answer to another request must reach nobody.
            response.abort()
            _log.error("answer-foreign", request=call.id, echoed=echoed[0])
            return Err(Fault(ErrorKind.UPSTREAM_LOST))
        if response.status >= _SERVER_ERRORS:
            await response.read()
            return Err(Fault(ErrorKind.UPSTREAM_FAILED))
        headers = Headers.of(x_request_id=call.id)
        for name in _PASSED_ON:
            value = response.headers.get(name)
            if value is not None:
                headers.add(name, value)
        if response.headers.get("content-length") is not None:
            body = await response.read()
            await exchange.respond(response.status, headers, body)
            return Ok(None)
        await exchange.start(response.status, headers)
        async for data in response.stream():
            await exchange.write(data)
        await exchange.finish()
        return Ok(None)


def _make_headers(call: RelayedCall, upstream: Upstream, attempt: int) -> Headers:
    headers = Headers.of(
        content_type="application/json", x_request_id=call.id, x_attempt=str(attempt)
    )
    if upstream.group is not None:
        headers.add("x-group", upstream.group).add("x-epoch", str(upstream.epoch))
    return headers


def _judge_transport(error: TransportError) -> Fault:
    if error.failure is TransportFailure.NOT_SENT:
        return Fault(ErrorKind.UPSTREAM_REFUSED)
    if error.failure is TransportFailure.TIMED_OUT:
        return Fault(ErrorKind.DEADLINE_PASSED)
    return Fault(ErrorKind.UPSTREAM_LOST)
