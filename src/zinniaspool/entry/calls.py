"""Callers' requests, once they are understood, and how each is run."""

import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId, RequestId
from zinniaspool.core.requests import RetryTerms, hash_prefix
from zinniaspool.entry.gate import Gate
from zinniaspool.entry.relay import Relay, RelayedCall
from zinniaspool.entry.services import ServiceIndex, ServiceLine
from zinniaspool.entry.sinks import AnswerSink

__all__ = ["CallRunner", "ResolvedCall", "WantedCall"]

_SALT_BYTES = 16
"""Random bytes of a customer's salt."""

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
        line: The model or service that it names.
        target: Path at the upstream.
        idempotent: Whether it may run more than once by the rules.
        cached: Whether upstreams cache prefixes of it.
    """

    wanted: WantedCall
    line: ServiceLine
    target: str
    idempotent: bool
    cached: bool


class CallRunner:
    """Finds what a call names and runs it.

    Args:
        index: The models and services.
        gate: Lets requests begin.
        relay: Carries requests.
    """

    def __init__(self, index: ServiceIndex, gate: Gate, relay: Relay) -> None:
        self._index = index
        self._gate = gate
        self._relay = relay
        self._salts: dict[CustomerId, bytes] = {}

    def resolve(self, wanted: WantedCall) -> Result[ResolvedCall, Fault]:
        """Return what the rules say about a call."""
        match wanted.path.split("/", 4):
            case ["", "v1", "models" | "services" as kind, name, *rest] if name:
                line = self._index.find(kind, name, wanted.customer)
            case _:
                line = None
        if line is None:
            return Err(Fault(ErrorKind.UNKNOWN_SERVICE))
        if kind == "models":
            return Ok(ResolvedCall(wanted, line, "/generate", True, cached=True))
        below = "/".join(rest)
        idempotent = not any(map(below.startswith, line.non_idempotent))
        return Ok(ResolvedCall(wanted, line, f"/{below}", idempotent, cached=False))

    async def run(
        self, sink: AnswerSink, call: ResolvedCall, permit: Permission | None = None
    ) -> Result[None, Fault]:
        """Run a call and give its answer to a sink.

        Args:
            sink: Takes the answer.
            call: What to run.
            permit: Asked before anything is sent; such a call is never sent
                again once it may have run.
        """
        wanted = call.wanted
        pool = call.line.find_pool(wanted.customer)
        if pool is None:
            return Err(Fault(ErrorKind.NO_UPSTREAM))
        entered = await self._gate.enter(
            call.line, wanted.customer, wanted.urgency, wanted.deadline
        )
        if isinstance(entered, Fault):
            return Err(entered)
        answered = False
        try:
            fault = None if permit is None else await permit()
            if fault is not None:
                return Err(fault)
            relayed = self._make_relayed(call, once=permit is not None)
            ended = await self._relay.run(sink, relayed, pool)
            answered = isinstance(ended, Ok)
            return ended
        finally:
            self._gate.leave(call.line, entered, answered=answered)

    def _make_relayed(self, call: ResolvedCall, *, once: bool) -> RelayedCall:
        wanted = call.wanted
        salt = self._get_salt(wanted.customer) if call.cached else b""
        return RelayedCall(
            wanted.id,
            wanted.customer,
            call.target,
            wanted.body,
            RetryTerms(call.idempotent and not once, wanted.deadline),
            wanted.urgency,
            hash_prefix(salt, wanted.body) if call.cached else None,
            salt.hex(),
        )

    def _get_salt(self, customer: CustomerId) -> bytes:
        salt = self._salts.get(customer)
        if salt is None:
            digest = hashlib.blake2b(customer.encode(), digest_size=_SALT_BYTES)
            salt = self._salts[customer] = digest.digest()
        return salt
