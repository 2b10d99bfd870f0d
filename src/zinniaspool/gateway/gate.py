"""Where requests for a model wait for their turn, or are refused."""

import asyncio
import random
from collections.abc import Callable

import structlog

from zinniaspool.core.dispatch import (
    AdmissionController,
    AdmissionRequest,
    CallerTimeoutEstimator,
    Refusal,
    TargetPool,
    Ticket,
    TicketState,
)
from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.telemetry import AdmissionTally

__all__ = ["Gate"]

_log = structlog.get_logger(__name__)

NOBODY = CustomerId("")
"""Stands for callers who need no key."""

LAST_MILE_S = 0.02
"""Time for an event to reach its caller and for the request to come here, in
seconds: a few ms each way, and as much for both processes' work."""

MOST_URGENT_LATE = 5
"""Urgency upstream from which requests come that will be late in any case;
those that can be on time have a lower one."""


class Gate:
    """Lets requests begin, by model.

    Args:
        measure_age: Returns how old the others' word on their loads is.

    Attributes:
        tally: Counts requests by model and by how they were taken.
    """

    def __init__(self, measure_age: Callable[[float], float]) -> None:
        self.tally = AdmissionTally()
        self._measure_age = measure_age
        self._source = random.Random()
        self._admissions: dict[TargetPool, AdmissionController] = {}
        self._patience: dict[str, CallerTimeoutEstimator] = {}
        self._waiting: dict[Ticket, asyncio.Future[None]] = {}

    async def admit(self, call: GatewayCall, pool: TargetPool) -> Fault | None:
        """Wait until a request may begin; return why it may not.

        What a request is refused for is known here before anything of it has
        left, so that "not run" is true.
        """
        loop = asyncio.get_running_loop()
        admission = self._find(pool)
        ask = self._describe(call, admission.expects_only_new_callers(loop.time()))
        asked = admission.submit(ask, loop.time())
        if not isinstance(asked, Refusal) and asked.state is TicketState.WAITING:
            await self._wait(asked)
        if not isinstance(asked, Refusal) and asked.state is TicketState.ENDED:
            asked = admission.refuse(ask, loop.time())
        if isinstance(asked, Refusal):
            self._note_refusal(call, ask, asked, len(pool))
            if not len(pool):
                return Fault(ErrorKind.NO_UPSTREAM)
            return Fault(ErrorKind.OVERLOADED, retry_after=asked.retry_after_s)
        self.tally.add(call.terms.model or "", "late" if asked.late else "on-time")
        call.late = asked.late
        call.urgency = asked.urgency + (MOST_URGENT_LATE if asked.late else 0)
        return None

    def _note_refusal(
        self, call: GatewayCall, ask: AdmissionRequest, refusal: Refusal, targets: int
    ) -> None:
        now = asyncio.get_running_loop().time()
        first_s = refusal.first_event_s
        self.tally.add(call.terms.model or "", "refused")
        _log.info(
            "request-not-admitted",
            request=call.terms.id,
            route=call.route.name,
            model=call.terms.model or "",
            customer=ask.customer,
            left_ms=int((ask.on_time_until - now) * 1000),
            first_ms=-1 if first_s is None else int(first_s * 1000),
            targets=targets,
            in_line=refusal.queue_length,
            rest_rate=round(refusal.leftover_per_s, 2),
            loads_age_ms=int(self._measure_age(now) * 1000),
            retry_after_s=refusal.retry_after_s,
            took_ms=int((now - call.received) * 1000),
        )

    def measure_demand(self, pool: TargetPool) -> float:
        """Return how many slots what is asked of a model would take."""
        admission = self._admissions.get(pool)
        if admission is None:
            return 0.0
        return admission.estimate_demand(asyncio.get_running_loop().time())

    def step(self) -> None:
        """Let those that wait begin, as far as there is room."""
        now = asyncio.get_running_loop().time()
        for admission in self._admissions.values():
            for ticket in admission.admit_waiting(now):
                waiting = self._waiting.pop(ticket, None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(None)

    def _describe(self, call: GatewayCall, calm: bool) -> AdmissionRequest:
        route, customer = call.route, call.customer
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        waited_s = self._measure_waited(call, calm)
        return AdmissionRequest(
            NOBODY if customer is None else customer.name,
            min(priority, MOST_URGENT_LATE - 1),
            call.received + route.objective_s - waited_s - LAST_MILE_S,
            call.received + route.caller_timeout_s,
            call.terms.prompt_tokens,
        )

    def _measure_waited(self, call: GatewayCall, calm: bool) -> float:
        """Return for how long a caller has waited before it came here."""
        if call.terms.timeout_s is None:
            return 0.0
        watch = self._patience.setdefault(call.route.name, CallerTimeoutEstimator())
        waited_s = watch.estimate_waited(call.terms.timeout_s)
        watch.record(call.terms.timeout_s, only_new_callers=calm)
        return waited_s

    async def _wait(self, ticket: Ticket) -> None:
        waiting = self._waiting[ticket] = asyncio.get_running_loop().create_future()
        try:
            await waiting
        finally:
            # A caller that leaves gives its place to the next one.
            self._waiting.pop(ticket, None)
            if ticket.state is TicketState.WAITING:
                ticket.state = TicketState.ENDED

    def _find(self, pool: TargetPool) -> AdmissionController:
        found = self._admissions.get(pool)
        if found is None:
            found = self._admissions[pool] = AdmissionController(pool, self._source)
        return found
