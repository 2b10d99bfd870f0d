"""Handles callers' HTTP requests up to the final answer.

For each request, the handler finds the route, the customer and the deadline,
and has it forwarded to an upstream. It answers the requests that can't be
forwarded, and records how each request ends.
"""

import asyncio
import contextlib
import random

import structlog
from result import Err, Ok, Result

from zinniaspool.core.dispatch import (
    Attempts,
    RequestTerms,
    RetryTerms,
    identify_content,
    identify_traits,
)
from zinniaspool.core.errors import ERROR_ANSWERS, ErrorKind, Fault
from zinniaspool.core.fleet import Catalog, CustomerSpec, RouteSpec
from zinniaspool.core.ids import ServiceName
from zinniaspool.fleet import FleetView
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.gateway.carrier import RequestForwarder
from zinniaspool.gateway.clocks import StopClock
from zinniaspool.gateway.cuts import CutAnswerReporter
from zinniaspool.gateway.retries import RetryBudgets
from zinniaspool.gateway.spelling import CallCodec
from zinniaspool.gateway.stops import StopGuard
from zinniaspool.http import (
    Exchange,
    Headers,
    Refusal,
    RefusalKind,
    TransportError,
)
from zinniaspool.telemetry import RequestTally

__all__ = ["CallerHandler", "refuse_request"]

_log = structlog.get_logger(__name__)

RESPONSE_RESERVE_S = 0.05
"""Part of a route's timeout that is reserved, in seconds, so that the answer
that the deadline has passed still comes within the timeout."""

FIRST_CONFIGURATION_WAIT_S = 0.5
"""Longest wait of a request for the first configuration, in seconds. The store
and the peers answer within a tenth of that, or are unavailable for longer."""

_REFUSAL_ERRORS = {
    RefusalKind.MALFORMED: ErrorKind.MALFORMED_REQUEST,
    RefusalKind.HEADERS_TOO_LARGE: ErrorKind.HEADERS_TOO_LARGE,
    RefusalKind.BODY_TOO_LARGE: ErrorKind.BODY_TOO_LARGE,
    RefusalKind.SLOW: ErrorKind.SLOW_REQUEST,
    RefusalKind.BUSY: ErrorKind.OVERLOADED,
    RefusalKind.LEAVING: ErrorKind.LEAVING,
    RefusalKind.FAILED: ErrorKind.INTERNAL,
}


class CallerHandler:
    """Answers callers' requests.

    Args:
        codec: Parses what callers state about their requests.
        fleet_view: Has the active configuration.
        forwarder: Sends requests to upstreams.
        retry_budgets: Limit how many requests are sent again.
        stop_clock: The time that a stopping process has left.
        stop_guard: Has the requests in progress end in time.
        tally: Counts how requests end.
        cuts: Reports answers that are cut.

    Attributes:
        running: Number of requests in progress.
        idle: Set while no request is in progress.
    """

    def __init__(
        self,
        codec: CallCodec,
        fleet_view: FleetView,
        forwarder: RequestForwarder,
        retry_budgets: RetryBudgets,
        stop_clock: StopClock,
        stop_guard: StopGuard,
        tally: RequestTally,
        cuts: CutAnswerReporter,
    ) -> None:
        self.running = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self._codec = codec
        self._fleet_view = fleet_view
        self._forwarder = forwarder
        self._retry_budgets = retry_budgets
        self._stop_clock = stop_clock
        self._stop_guard = stop_guard
        self._tally = tally
        self._cuts = cuts
        self._configured = asyncio.Event()
        fleet_view.on_catalog.append(self._configured.set)

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
        received_at = exchange.received_at
        if self._fleet_view.catalog is None:
            await self._await_configuration()
        terms = self._codec.parse_terms(exchange.request)
        made = self._make_call(exchange, terms, received_at)
        if isinstance(made, Err):
            fault = made.err_value
            _log.info(
                "request-refused",
                request=terms.id,
                kind=fault.kind.value,
                detail=fault.detail,
                after_stop_ms=self._measure_after_stop(received_at),
                version=self._get_version(),
            )
            await self._refuse(exchange, terms, fault)
            self._tally.add("", "", fault.kind.value, 0.0)
            return
        call = made.ok_value
        call.shorten_deadline(self._stop_clock.ends_at)
        self._stop_guard.running.add(call)
        try:
            await self._run(call)
        finally:
            self._stop_guard.running.remove(call)

    async def _await_configuration(self) -> None:
        """Wait for the first configuration, which takes tens of milliseconds.

        A caller that is refused retries after two seconds, and its answer
        would be late.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_CONFIGURATION_WAIT_S):
                await self._configured.wait()

    async def _run(self, call: GatewayCall) -> None:
        end = "caller-left"
        try:
            done = await self._forwarder.run(
                call, self._retry_budgets.find(call.service)
            )
            if isinstance(done, Ok):
                end = "answered"
                if call.is_served:
                    self._stop_guard.record_answer(call)
                return
            end = done.err_value.kind.value
            if call.exchange.started:
                # The rest can't follow. If the answer ended cleanly, it would
                # look complete.
                if call.stopped_by == "stop":
                    end = "cut-by-stop"
                    self._stop_clock.tally.cut += 1
                self._cuts.report(call, self._measure_after_stop(call.received_at))
                call.exchange.abort()
                return
            await self._refuse(call.exchange, call.terms, done.err_value)
        except TransportError:
            end = "caller-left"
            raise
        finally:
            now = asyncio.get_running_loop().time()
            if end == "caller-left" and now >= self._stop_clock.exits_at:
                end, call.stopped_by = "cut-by-stop", "stop"
                self._stop_clock.tally.cut += 1
                self._cuts.report(call, self._measure_after_stop(call.received_at))
            is_refused = end == ErrorKind.LEAVING.value
            self._stop_guard.record_end(call, is_refused=is_refused)
            self._record_end(call, end, now - call.received_at)

    def _record_end(self, call: GatewayCall, end: str, took_s: float) -> None:
        self._tally.add(call.service, call.route.kind.value, end, took_s)
        leader, stop = call.leader, call.attempts.stop
        target = None if leader is None else leader.state.target
        cause = None if leader is None else leader.reroute_cause
        _log.info(
            "request-ended",
            request=call.terms.id,
            end=end,
            by=_find_ended_by(call, end),
            history=call.describe_attempts() if len(call.history) > 1 else "",
            cause="" if cause is None else cause.value,
            stop="" if stop is None else stop.value,
            route=call.route.name,
            model=call.terms.model or "",
            instance="" if target is None else target.instance,
            group="" if target is None else (target.group or ""),
            attempts=call.attempts.sent,
            upstreams=len(call.list_upstreams()),
            max_upstreams=call.route.max_attempts,
            unread_ms=int(call.exchange.unread_s * 1000),
            loop_late_ms=self._cuts.measure_lateness(call),
            late=call.late,
            predicted_ms=(
                -1 if leader is None else int(leader.predicted_first_event_s * 1000)
            ),
            first_ms=-1 if call.first_byte_s is None else int(call.first_byte_s * 1000),
            pause_ms=int(call.longest_pause_s * 1000),
            took_ms=int(took_s * 1000),
            last_event=call.last_event_id or 0,
            after_stop_ms=self._measure_after_stop(call.received_at),
            allowed_ms=int((call.deadline - call.received_at) * 1000),
            longest_ms=-1 if call.longest_s is None else int(call.longest_s * 1000),
            version=self._get_version(),
            content=call.content,
            parts=",".join(call.terms.prompt_parts),
        )

    def _measure_after_stop(self, received_at: float) -> int:
        after_s = self._stop_clock.measure_since(received_at)
        return -1 if after_s is None else int(after_s * 1000)

    def _get_version(self) -> int:
        return (
            0 if self._fleet_view.catalog is None else self._fleet_view.catalog.version
        )

    def _make_call(
        self, exchange: Exchange, terms: RequestTerms, received_at: float
    ) -> Result[GatewayCall, Fault]:
        catalog = self._fleet_view.catalog
        if catalog is None:
            return Err(Fault(ErrorKind.NOT_READY))
        request = exchange.request
        host = (request.headers.get("host") or "").partition(":")[0]
        route = catalog.find_route(host, request.path)
        if route is None:
            return Err(Fault(ErrorKind.UNKNOWN_SERVICE))
        key = self._codec.parse_key(request)
        customer = _find_customer(catalog, route, key)
        if isinstance(customer, Err):
            return customer
        longest_s = route.timeout_s
        if terms.timeout_s is not None:
            longest_s = min(longest_s, terms.timeout_s)
        timeout_s = min(longest_s, route.timeout_s - RESPONSE_RESERVE_S)
        deadline = received_at + timeout_s
        service = _choose_service(route)
        attempts = Attempts(
            RetryTerms(
                route.repeatable, deadline, route.max_attempts, charges_refusals=True
            ),
            self._retry_budgets.find(service),
        )
        name = None if customer.ok_value is None else customer.ok_value.name
        content = identify_content(request.method, request.target, name, request.body)
        call = GatewayCall(
            exchange,
            terms,
            route,
            service,
            customer.ok_value,
            received_at,
            deadline,
            attempts,
            content,
            identify_traits(content, terms.prompt_parts, name),
        )
        call.last_event_id = terms.resume_after
        call.error_reserve_s = longest_s - timeout_s
        return Ok(call)

    async def _refuse(
        self, exchange: Exchange, terms: RequestTerms, fault: Fault
    ) -> None:
        answer = ERROR_ANSWERS[fault.kind]
        headers = Headers.of(content_type="text/plain")
        self._codec.add_fault_headers(headers, terms.id, fault.kind.value)
        retry_after = fault.retry_after or answer.retry_after
        if retry_after is not None:
            headers.add("retry-after", f"{retry_after:g}")
        body = f"{answer.message} {fault.detail}".strip().encode()
        await exchange.respond(answer.status, headers, body)


def _find_ended_by(call: GatewayCall, end: str) -> str:
    if end == "answered":
        return ""
    return "caller" if end == "caller-left" else call.stopped_by


def refuse_request(kind: RefusalKind, detail: str) -> Refusal:
    """Return the answer to a request that the HTTP server refuses itself.

    The request breaks the HTTP protocol or a limit of the server, or its
    handler has failed.
    """
    fault = _REFUSAL_ERRORS[kind]
    answer = ERROR_ANSWERS[fault]
    headers = Headers.of(content_type="text/plain", x_error_kind=fault.value)
    if answer.retry_after is not None:
        headers.add("retry-after", str(answer.retry_after))
    return Refusal(answer.status, headers, answer.message.encode())


def _find_customer(
    catalog: Catalog, route: RouteSpec, key: str | None
) -> Result[CustomerSpec | None, Fault]:
    """Return the customer that holds a request's key; None without a key.

    A key that no customer holds is refused on all routes. A caller whose key
    was revoked would not notice that its requests run without a customer.
    """
    if not catalog.requires_keys:
        return Ok(None)
    customer = None if key is None else catalog.customers.get(key)
    is_anonymous = key is None and route.allows_anonymous
    if customer is None and not is_anonymous:
        return Err(Fault(ErrorKind.BAD_CREDENTIAL))
    return Ok(customer)


def _choose_service(route: RouteSpec) -> ServiceName:
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    if not any(weights):
        return shares[0].service
    return random.choices(shares, weights)[0].service
