"""Parsed requests of callers, and how they are run."""

import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId, RequestId
from zinniaspool.core.requests import RetryTerms, hash_prefix
from zinniaspool.entry.gate import AdmissionQueues
from zinniaspool.entry.relay import RelayedCall, RequestRelay
from zinniaspool.entry.services import ServiceIndex, ServiceState
from zinniaspool.entry.sinks import AnswerSink

__all__ = ["CallRunner", "CallerRequest", "ResolvedCall"]

_SALT_BYTES = 16
"""Length in bytes of a customer's cache salt."""

PreSendCheck = Callable[[], Awaitable[Fault | None]]
"""Called before a request is sent; if it returns a fault, nothing is sent."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request with its parsed headers.

    Attributes:
        id: Identifier that this process gave the request.
        customer: Customer whose request it is.
        path: Path of the request as the caller sent it.
        body: Body of the request as the caller sent it.
        deadline: Deadline in seconds on the event loop's clock.
        urgency: Urgency of the request; 0 is the most urgent.
    """

    id: RequestId
    customer: CustomerId
    path: str
    body: bytes
    deadline: float
    urgency: int


@dataclass(frozen=True, slots=True)
class ResolvedCall:
    """A request and what the rules state about it.

    Attributes:
        request: The request.
        service: Model or plain service that the request names.
        upstream_path: Path of the request at the upstream.
        idempotent: Whether the rules allow the request to run more than once.
        prefix_cached: Whether upstreams cache prefixes of the request.
    """

    request: CallerRequest
    service: ServiceState
    upstream_path: str
    idempotent: bool
    prefix_cached: bool


class CallRunner:
    """Finds the model or plain service that a request names, and runs it.

    Args:
        index: Models and plain services.
        queues: Admits requests.
        relay: Sends requests to upstreams.
    """

    def __init__(
        self, index: ServiceIndex, queues: AdmissionQueues, relay: RequestRelay
    ) -> None:
        self._index = index
        self._queues = queues
        self._relay = relay
        self._salts: dict[CustomerId, bytes] = {}

    def resolve(self, request: CallerRequest) -> Result[ResolvedCall, Fault]:
        """Return what the rules state about a request."""
        match request.path.split("/", 4):
            case ["", "v1", "models" | "services" as kind, name, *rest] if name:
                service = self._index.find(kind, name, request.customer)
            case _:
                service = None
        if service is None:
            return Err(Fault(ErrorKind.UNKNOWN_SERVICE))
        if kind == "models":
            return Ok(
                ResolvedCall(request, service, "/generate", True, prefix_cached=True)
            )
        service_path = "/".join(rest)
        idempotent = not any(map(service_path.startswith, service.non_idempotent))
        return Ok(
            ResolvedCall(
                request, service, f"/{service_path}", idempotent, prefix_cached=False
            )
        )

    async def run(
        self,
        sink: AnswerSink,
        call: ResolvedCall,
        pre_send_check: PreSendCheck | None = None,
    ) -> Result[None, Fault]:
        """Run a call and give its response to a sink.

        Args:
            sink: Receives the response.
            call: Call to run.
            pre_send_check: Called before anything is sent. A call with such a
                check is never sent again once it may have run.
        """
        request = call.request
        pool = call.service.find_pool(request.customer)
        if pool is None:
            return Err(Fault(ErrorKind.NO_UPSTREAM))
        ticket = await self._queues.acquire(
            call.service, request.customer, request.urgency, request.deadline
        )
        if isinstance(ticket, Fault):
            return Err(ticket)
        answered = False
        try:
            fault = None if pre_send_check is None else await pre_send_check()
            if fault is not None:
                return Err(fault)
            relayed = self._make_relayed_call(
                call, at_most_once=pre_send_check is not None
            )
            result = await self._relay.run(sink, relayed, pool)
            answered = isinstance(result, Ok)
            return result
        finally:
            self._queues.release(call.service, ticket, answered=answered)

    def _make_relayed_call(
        self, call: ResolvedCall, *, at_most_once: bool
    ) -> RelayedCall:
        request = call.request
        salt = self._get_salt(request.customer) if call.prefix_cached else b""
        return RelayedCall(
            request.id,
            request.customer,
            call.upstream_path,
            request.body,
            RetryTerms(call.idempotent and not at_most_once, request.deadline),
            request.urgency,
            hash_prefix(salt, request.body) if call.prefix_cached else None,
            salt.hex(),
        )

    def _get_salt(self, customer: CustomerId) -> bytes:
        salt = self._salts.get(customer)
        if salt is None:
            digest = hashlib.blake2b(customer.encode(), digest_size=_SALT_BYTES)
            salt = self._salts[customer] = digest.digest()
        return salt
