"""Callers' requests: which route, whose, until when; and the final answer."""

import asyncio
import contextlib
import random
from collections.abc import Callable

import structlog
from result import Err, Ok, Result

from zinniaspool.core.dispatch import (
    Attempts,
    RequestTerms,
    RetryLimits,
    RetryTerms,
    RetryWindow,
    identify_content,
)
from zinniaspool.core.errors import ERROR_ANSWERS, ErrorKind, Fault
from zinniaspool.core.fleet import Catalog, CustomerSpec, RouteSpec
from zinniaspool.core.ids import ContentId, ServiceName
from zinniaspool.fleet import FleetBelief
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.gateway.carrier import Carrier
from zinniaspool.gateway.spelling import CallSpelling
from zinniaspool.http import (
    Exchange,
    Headers,
    Refusal,
    RefusalKind,
    Request,
    TransportError,
)
from zinniaspool.telemetry import RequestTally

__all__ = ["CallerFace", "refuse_request"]

_log = structlog.get_logger(__name__)

LATEST_S = 0.05
"""Time kept back of a route's timeout, in seconds, so that the answer that it
is over still comes within it."""

FIRST_READ_S = 0.05
"""Seconds after the start in which requests are read that came before."""

FIRST_RULES_S = 0.5
"""Longest wait of a request for the first configuration, in seconds: the store
and the others answer within a tenth of that, or are away for longer."""

_REFUSED = {
    RefusalKind.MALFORMED: ErrorKind.MALFORMED_REQUEST,
    RefusalKind.HEADERS_TOO_LARGE: ErrorKind.HEADERS_TOO_LARGE,
    RefusalKind.BODY_TOO_LARGE: ErrorKind.BODY_TOO_LARGE,
    RefusalKind.SLOW: ErrorKind.SLOW_REQUEST,
    RefusalKind.BUSY: ErrorKind.OVERLOADED,
    RefusalKind.FAILED: ErrorKind.INTERNAL,
}


class CallerFace:
    """Answers callers' requests.

    Args:
        spelling: Reads what callers say.
        belief: Rules in force.
        carrier: Sends requests on.
        limits: What may be repeated.
        may_begin: Tells whether new requests are still taken.
        tally: Counts how requests end.
    """

    def __init__(
        self,
        spelling: CallSpelling,
        belief: FleetBelief,
        carrier: Carrier,
        limits: RetryLimits,
        may_begin: Callable[[], bool],
        tally: RequestTally,
    ) -> None:
        self.processes = 1
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self._spelling = spelling
        self._belief = belief
        self._carrier = carrier
        self._limits = limits
        self._may_begin = may_begin
        self._tally = tally
        self._windows: dict[ServiceName, RetryWindow] = {}
        self._opened = self._ready = float("-inf")
        self._known = asyncio.Event()
        belief.on_catalog.append(self._known.set)

    def note_opened(self, opened: float) -> None:
        """Take since when callers could connect, though nobody read them."""
        self._opened = opened
        self._ready = asyncio.get_running_loop().time()

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        self.running += 1
        self.idle.clear()
        try:
            await self._handle(exchange)
        finally:
            self.running -= 1
            if not self.running:
                self.idle.set()

    async def _handle(self, exchange: Exchange) -> None:
        received = self._measure_arrival()
        if self._belief.catalog is None:
            await self._await_rules()
        terms = self._spelling.read_terms(exchange.request)
        admitted = self._admit(exchange, terms, received)
        if isinstance(admitted, Err):
            fault = admitted.err_value
            _log.info(
                "request-refused",
                request=terms.id,
                kind=fault.kind.value,
                detail=fault.detail,
                version=self._version(),
            )
            await self._refuse(exchange, terms, fault)
            self._tally.add("", "", fault.kind.value, 0.0)
            return
        call = admitted.ok_value
        await self._run(call)

    def _measure_arrival(self) -> float:
        """Return when a request came here, as far as can be told.

        What is read first lay in an open connection while the program loaded,
        for half of that time on average.
        """
        now = asyncio.get_running_loop().time()
        if now - self._ready > FIRST_READ_S:
            return now
        return now - (self._ready - self._opened) / 2

    async def _await_rules(self) -> None:
        """Wait for the first configuration, which takes tens of milliseconds.

        A caller sent away for two seconds because of these would be late.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_RULES_S):
                await self._known.wait()

    async def _run(self, call: GatewayCall) -> None:
        end = "caller-left"
        try:
            done = await self._carrier.run(call, self._find_window(call.service))
            if isinstance(done, Ok):
                end = "answered"
                return
            end = done.err_value.kind.value
            if call.exchange.started:
                # The rest cannot come: a clean end would make it look whole.
                call.exchange.abort()
                return
            await self._refuse(call.exchange, call.terms, done.err_value)
        except TransportError:
            end = "caller-left"
            raise
        finally:
            took_s = asyncio.get_running_loop().time() - call.received
            self._note_end(call, end, took_s)

    def _note_end(self, call: GatewayCall, end: str, took_s: float) -> None:
        self._tally.add(call.service, call.route.kind.value, end, took_s)
        target = None if call.state is None else call.state.target
        _log.info(
            "request-ended",
            request=call.terms.id,
            content=call.content,
            end=end,
            route=call.route.name,
            model=call.terms.model or "",
            instance="" if target is None else target.instance,
            group="" if target is None else (target.group or ""),
            attempts=call.attempts.number,
            late=call.late,
            predicted_ms=int(call.predicted_s * 1000),
            first_ms=-1 if call.first_s is None else int(call.first_s * 1000),
            pause_ms=int(call.longest_pause_s * 1000),
            took_ms=int(took_s * 1000),
            last_event=call.cursor.last_id or 0,
            version=self._version(),
        )

    def _version(self) -> int:
        return 0 if self._belief.catalog is None else self._belief.catalog.version

    def _admit(
        self, exchange: Exchange, terms: RequestTerms, received: float
    ) -> Result[GatewayCall, Fault]:
        catalog = self._belief.catalog
        if catalog is None:
            return Err(Fault(ErrorKind.NOT_READY))
        if not self._may_begin():
            return Err(Fault(ErrorKind.LEAVING))
        request = exchange.request
        host = (request.headers.get("host") or "").partition(":")[0]
        route = catalog.find_route(host, request.path)
        if route is None:
            return Err(Fault(ErrorKind.UNKNOWN_SERVICE))
        key = self._spelling.read_key(request)
        found = _find_customer(catalog, route, key)
        if isinstance(found, Err):
            return found
        patience_s = route.timeout_s - LATEST_S
        if terms.timeout_s is not None:
            patience_s = min(patience_s, terms.timeout_s)
        deadline = received + patience_s
        service = _choose_service(route)
        attempts = Attempts(
            RetryTerms(
                route.repeatable, deadline, route.max_attempts, charges_refusals=True
            ),
            _Repeats(self._find_window(service)),
        )
        call = GatewayCall(
            exchange,
            terms,
            route,
            service,
            found.ok_value,
            received,
            deadline,
            attempts,
            _identify(request, found.ok_value),
        )
        call.cursor.last_id = terms.resume_after
        return Ok(call)

    def _find_window(self, service: ServiceName) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = RetryWindow(self._limits)
        window.process_count = self.processes
        return window

    async def _refuse(
        self, exchange: Exchange, terms: RequestTerms, fault: Fault
    ) -> None:
        answer = ERROR_ANSWERS[fault.kind]
        headers = Headers.of(content_type="text/plain")
        self._spelling.name_fault(headers, terms.id, fault.kind.value)
        retry_after = fault.retry_after or answer.retry_after
        if retry_after is not None:
            headers.add("retry-after", f"{retry_after:g}")
        body = f"{answer.message} {fault.detail}".strip().encode()
        await exchange.respond(answer.status, headers, body)


class _Repeats:
    """A service's repeats as an attempt asks for them."""

    def __init__(self, window: RetryWindow) -> None:
        self._window = window

    def withdraw(self) -> bool:
        """Take one repeat; False when there is none."""
        return self._window.try_acquire(asyncio.get_running_loop().time())


def refuse_request(kind: RefusalKind, detail: str) -> Refusal:
    """Return the answer to what breaks the server's limits or HTTP."""
    fault = _REFUSED[kind]
    answer = ERROR_ANSWERS[fault]
    headers = Headers.of(content_type="text/plain", x_error_kind=fault.value)
    if answer.retry_after is not None:
        headers.add("retry-after", str(answer.retry_after))
    return Refusal(answer.status, headers, answer.message.encode())


def _find_customer(
    catalog: Catalog, route: RouteSpec, key: str | None
) -> Result[CustomerSpec | None, Fault]:
    customer = None if key is None else catalog.customers.get(key)
    if customer is None and catalog.requires_keys and not route.allows_anonymous:
        return Err(Fault(ErrorKind.BAD_CREDENTIAL))
    return Ok(customer)


def _identify(request: Request, customer: CustomerSpec | None) -> ContentId:
    name = None if customer is None else customer.name
    return identify_content(request.method, request.target, name, request.body)


def _choose_service(route: RouteSpec) -> ServiceName:
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    weights = [one.weight for one in shares]
    if not any(weights):
        return shares[0].service
    return random.choices(shares, weights)[0].service
