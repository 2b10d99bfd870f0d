"""Callers' requests, once they are understood, and how each is run."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId, RequestId
from zinniaspool.core.requests import CallTerms, Upstream
from zinniaspool.entry.fleet import FleetView
from zinniaspool.entry.relay import Relay, RelayedCall
from zinniaspool.entry.sinks import AnswerSink

__all__ = ["CallRunner", "ResolvedCall", "WantedCall"]

Permission = Callable[[], Awaitable[Fault | None]]
"""Asked when a request could be sent; a fault keeps it from being sent."""


@dataclass(frozen=True, slots=True)
class WantedCall:
    """What a caller asks for.

    Attributes:
        id: This process's name for the request.
        customer: Whose request it is.
        path: As the caller wrote it.
        body: As the caller sent it.
        deadline: Seconds on the loop's clock.
        urgency: 0 is the most urgent.
    """

    id: RequestId
    customer: CustomerId
    path: str
    body: bytes
    deadline: float
    urgency: int


@dataclass(frozen=True, slots=True)
class ResolvedCall:
    """A wanted call and what the rules say about it.

    Attributes:
        wanted: The call.
        target: Path at the upstream.
        idempotent: Whether it may run more than once by the rules.
        upstreams: Where it may go.
    """

    wanted: WantedCall
    target: str
    idempotent: bool
    upstreams: list[Upstream]


class CallRunner:
    """Finds what a call names and runs it.

    Args:
        fleet: What is known of the upstreams.
        relay: Carries requests.
    """

    def __init__(self, fleet: FleetView, relay: Relay) -> None:
        self._fleet = fleet
        self._relay = relay

    def resolve(self, wanted: WantedCall, now: float) -> Result[ResolvedCall, Fault]:
        """Return what the rules say about a call."""
        match wanted.path.split("/", 4):
            case ["", "v1", "models", name, *_] if name:
                return self._resolve_model(wanted, name, now)
            case ["", "v1", "services", name, *rest] if name:
                return self._resolve_service(wanted, name, "/".join(rest))
            case _:
                return Err(Fault(ErrorKind.UNKNOWN_SERVICE))

    async def run(
        self,
        sink: AnswerSink,
        call: ResolvedCall,
        permit: Permission | None = None,
    ) -> Result[None, Fault]:
        """Run a call and give its answer to a sink.

        Args:
            sink: Takes the answer.
            call: What to run.
            permit: Asked before anything is sent; such a call is never sent
                again once it may have run.
        """
        if permit is not None:
            fault = await permit()
            if fault is not None:
                return Err(fault)
        wanted = call.wanted
        idempotent = call.idempotent and permit is None
        relayed = RelayedCall(
            wanted.id,
            wanted.customer,
            call.target,
            wanted.body,
            CallTerms(idempotent, wanted.deadline),
            wanted.urgency,
        )
        return await self._relay.run(sink, relayed, call.upstreams)

    def _resolve_model(
        self, wanted: WantedCall, name: str, now: float
    ) -> Result[ResolvedCall, Fault]:
        model = self._fleet.find_model(name, wanted.customer)
        if model is None:
            return Err(Fault(ErrorKind.UNKNOWN_SERVICE))
        upstreams = self._fleet.list_groups(model, wanted.customer, now)
        return Ok(ResolvedCall(wanted, "/generate", True, upstreams))

    def _resolve_service(
        self, wanted: WantedCall, name: str, rest: str
    ) -> Result[ResolvedCall, Fault]:
        service = self._fleet.find_service(name, wanted.customer)
        if service is None:
            return Err(Fault(ErrorKind.UNKNOWN_SERVICE))
        idempotent = not any(map(rest.startswith, service.non_idempotent))
        upstreams = self._fleet.list_service(service)
        return Ok(ResolvedCall(wanted, f"/{rest}", idempotent, upstreams))
