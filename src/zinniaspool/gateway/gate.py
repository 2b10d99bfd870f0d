"""Queues requests for a model until they may begin, or refuses them.

The decision is made by one ``AdmissionController`` for each model. This module
adds what a process knows of the request, and lets its task wait.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Collection, Iterator
from zlib import crc32

import structlog

from zinniaspool.core.dispatch import (
    AdmissionController,
    AdmissionRequest,
    CallerTimeoutEstimator,
    CapacityDivision,
    PeerDigests,
    Refusal,
    TargetPool,
    Ticket,
    TicketState,
    identify_model,
)
from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId, ModelName, NodeId
from zinniaspool.core.messages.fleet import DemandDigest
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.telemetry import AdmissionTally, Sample

__all__ = ["AdmissionQueues"]

_log = structlog.get_logger(__name__)

ANONYMOUS_CUSTOMER = CustomerId("")
"""Stands for callers that need no API key."""

CALLER_TRANSIT_S = 0.02
"""Time for the request to arrive here and for an event to reach its caller, in
seconds: a few milliseconds each way, and as much for the work of both
processes."""

MAX_LOGGED_SLOTS = 9999.0
"""Stands for a share without a limit in log lines."""

MIN_LATE_URGENCY = 5
"""Smallest urgency value that is sent to upstreams for requests that will be
late in any case. Requests that can be on time have a smaller, more urgent
value."""

CONTENTION_END_S = 3.0
"""Time without a refusal by share after which contention is logged as over, in
seconds."""


class AdmissionQueues:
    """Admits requests for models, each model by its own queue.

    Args:
        measure_peer_load_age: Returns the age of the oldest load report of a
            peer, in seconds.
        divides_capacity: Whether capacity that isn't enough is divided by
            urgency and customer.

    Attributes:
        tally: Counts requests by model and by whether they were admitted on
            time, admitted late or refused.
    """

    def __init__(
        self,
        measure_peer_load_age: Callable[[float], float],
        *,
        divides_capacity: bool = False,
    ) -> None:
        self._divides_capacity = divides_capacity
        self.tally = AdmissionTally()
        self._measure_peer_load_age = measure_peer_load_age
        self._rng = random.Random()
        self._digests = PeerDigests()
        self._controllers: dict[TargetPool, AdmissionController] = {}
        self._models: dict[TargetPool, ModelName] = {}
        self._contended_at: dict[TargetPool, float] = {}
        self._timeout_estimators: dict[str, CallerTimeoutEstimator] = {}
        self._waiting: dict[Ticket, asyncio.Future[None]] = {}

    async def admit(
        self, call: GatewayCall, pool: TargetPool, *, is_named: bool
    ) -> Fault | None:
        """Wait until a request may begin, or return why it is refused.

        A request is refused before any byte of it was sent to an upstream, so
        that the promise "not run" is true.

        Args:
            call: The request.
            pool: The targets of its model.
            is_named: Whether the catalog names its model; nothing is kept of
                others.
        """
        loop = asyncio.get_running_loop()
        controller = self._find_controller(call, pool, is_named=is_named)
        request = self._make_admission_request(
            call, controller.expects_only_new_callers(loop.time())
        )
        decision = controller.submit(request, loop.time())
        if not isinstance(decision, Refusal) and decision.state is TicketState.WAITING:
            await self._wait(decision, call.deadline)
        if not isinstance(decision, Refusal) and decision.state is TicketState.ENDED:
            decision = controller.refuse(request, loop.time())
        if isinstance(decision, Refusal):
            self._record_refusal(call, request, decision, pool)
            if not len(pool):
                return Fault(ErrorKind.NO_UPSTREAM)
            return Fault(ErrorKind.OVERLOADED, retry_after=decision.retry_after_s)
        outcome = "late" if decision.late else "on-time"
        self.tally.add(call.terms.model or "", decision.urgency, outcome)
        call.late = decision.late
        call.urgency = decision.urgency + (MIN_LATE_URGENCY if decision.late else 0)
        return None

    def _record_refusal(
        self,
        call: GatewayCall,
        request: AdmissionRequest,
        refusal: Refusal,
        pool: TargetPool,
    ) -> None:
        now = asyncio.get_running_loop().time()
        first_event_s = refusal.first_event_s
        standing = refusal.standing
        beyond_share = not standing.is_admitted
        self.tally.add(
            call.terms.model or "",
            request.urgency,
            "beyond-share" if beyond_share else "refused",
        )
        if beyond_share and pool in self._controllers:
            self._record_contention(pool, now)
        _log.info(
            "request-not-admitted",
            request=call.terms.id,
            route=call.route.name,
            model=call.terms.model or "",
            customer=request.customer,
            left_ms=int((request.on_time_until - now) * 1000),
            first_ms=-1 if first_event_s is None else int(first_event_s * 1000),
            targets=len(pool),
            urgency=request.urgency,
            beyond_share=beyond_share,
            admitted_part=round(standing.part, 3),
            share=round(min(standing.share, MAX_LOGGED_SLOTS), 2),
            used=round(standing.used, 2),
            in_line=refusal.queue_length,
            rest_rate=round(refusal.leftover_per_s, 2),
            loads_age_ms=int(self._measure_peer_load_age(now) * 1000),
            retry_after_s=refusal.retry_after_s,
            took_ms=int((now - call.received_at) * 1000),
        )

    def _record_contention(self, pool: TargetPool, now: float) -> None:
        if pool not in self._contended_at:
            self._log_contention("contention-began", pool, now)
        self._contended_at[pool] = now

    def _log_contention(self, event: str, pool: TargetPool, now: float) -> None:
        slots, demands = self._controllers[pool].division.describe(now)
        _log.info(
            event,
            model=self._models[pool],
            slots=round(slots, 1),
            demand=",".join(
                f"{urgency}:{demand:.1f}" for urgency, demand in sorted(demands.items())
            ),
        )

    def end_contention(self) -> None:
        """Log the models for which no request is refused by share any more."""
        now = asyncio.get_running_loop().time()
        for pool, at in list(self._contended_at.items()):
            if now - at > CONTENTION_END_S:
                del self._contended_at[pool]
                self._log_contention("contention-ended", pool, now)

    def keep_pools(self, pools: Collection[TargetPool]) -> None:
        """Forget the models of other pools, unless a request waits."""
        if self._waiting:
            return
        now = asyncio.get_running_loop().time()
        for pool in self._controllers.keys() - set(pools):
            if self._contended_at.pop(pool, None) is not None:
                self._log_contention("contention-ended", pool, now)
            del self._controllers[pool], self._models[pool]

    # Digests between the processes of the subset.

    def make_digest(self, max_customers: int) -> DemandDigest:
        """Return the digest of this process's demand for its subset.

        Args:
            max_customers: Customers to list for each model.
        """
        now = asyncio.get_running_loop().time()
        models = [
            controller.division.make_digest(max_customers, now)
            for controller in self._controllers.values()
        ]
        return DemandDigest([model for model in models if model.classes])

    def apply_digest(self, node: NodeId, digest: DemandDigest) -> None:
        """Apply the digest of another process of the subset."""
        self._digests.record(node, digest.models, asyncio.get_running_loop().time())

    def set_peers(self, peers: Collection[NodeId]) -> None:
        """Set the other processes of the subset."""
        self._digests.keep_members(peers)

    def list_demands(self) -> Iterator[Sample]:
        """Yield the subset's demand in slots, by model and urgency."""
        now = asyncio.get_running_loop().time()
        for pool, controller in self._controllers.items():
            for urgency, slots in controller.division.describe(now)[1].items():
                labels = {"model": self._models[pool], "urgency": str(urgency)}
                yield Sample(labels, round(slots, 2))

    def list_capacities(self) -> Iterator[Sample]:
        """Yield the subset's slots, by model."""
        now = asyncio.get_running_loop().time()
        for pool, controller in self._controllers.items():
            slots = controller.division.describe(now)[0]
            yield Sample({"model": self._models[pool]}, round(slots, 1))

    def estimate_demand(self, pool: TargetPool) -> float:
        """Return how many slots all requests for a model would use."""
        controller = self._controllers.get(pool)
        if controller is None:
            return 0.0
        return controller.estimate_demand(asyncio.get_running_loop().time())

    def admit_waiting(self) -> None:
        """Let waiting requests begin as far as there is room."""
        now = asyncio.get_running_loop().time()
        for controller in self._controllers.values():
            for ticket in controller.admit_waiting(now):
                waiting = self._waiting.pop(ticket, None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(None)

    def _make_admission_request(
        self, call: GatewayCall, only_new_callers: bool
    ) -> AdmissionRequest:
        route, customer = call.route, call.customer
        priority = route.priority
        if customer is not None and customer.priority is not None:
            priority = customer.priority
        waited_s, waited_range_s = self._estimate_waited(call, only_new_callers)
        terms = call.terms
        return AdmissionRequest(
            ANONYMOUS_CUSTOMER if customer is None else customer.name,
            min(priority, MIN_LATE_URGENCY - 1),
            call.received_at + route.objective_s - waited_s - CALLER_TRANSIT_S,
            call.received_at + route.caller_timeout_s,
            terms.prompt_tokens,
            terms.max_output_tokens
            if terms.expected_tokens is None
            else terms.expected_tokens,
            route.objective_s - CALLER_TRANSIT_S,
            crc32(call.content.encode()) / 2**32,
            call.deadline,
            *waited_range_s,
        )

    def _estimate_waited(
        self, call: GatewayCall, only_new_callers: bool
    ) -> tuple[float, tuple[float, float]]:
        """Return for how long a caller had waited before this request.

        Returns:
            The time that counts for its objective, and the least and the
            longest time that are possible, in seconds.
        """
        if call.terms.timeout_s is None:
            return 0.0, (0.0, 0.0)
        # A caller gets its answer within the route's timeout however long it
        # would wait, so that a longer one doesn't tell for how long it waited.
        timeout_s = min(call.terms.timeout_s, call.route.timeout_s)
        estimator = self._timeout_estimators.setdefault(
            call.route.name, CallerTimeoutEstimator()
        )
        waited_s = estimator.estimate_waited(timeout_s)
        waited_range_s = estimator.estimate_wait_range(timeout_s)
        estimator.record(timeout_s, only_new_callers=only_new_callers)
        return waited_s, waited_range_s

    async def _wait(self, ticket: Ticket, deadline: float) -> None:
        waiting = self._waiting[ticket] = asyncio.get_running_loop().create_future()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline):
                    await waiting
        finally:
            # If the caller has left, the next request gets its turn.
            self._waiting.pop(ticket, None)
            if ticket.state is TicketState.WAITING:
                ticket.state = TicketState.ENDED

    def _find_controller(
        self, call: GatewayCall, pool: TargetPool, *, is_named: bool
    ) -> AdmissionController:
        found = self._controllers.get(pool)
        if found is None:
            model = identify_model(call.service, call.terms.model)
            division = CapacityDivision(
                pool, self._digests, model, is_enabled=self._divides_capacity
            )
            found = AdmissionController(pool, self._rng, division=division)
            if is_named:
                self._controllers[pool] = found
                self._models[pool] = call.terms.model or ModelName("")
        return found
