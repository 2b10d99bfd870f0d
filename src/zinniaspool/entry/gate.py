"""Queues in which requests wait for their admission."""

import asyncio
from collections.abc import Iterable

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId
from zinniaspool.core.requests import Admission, Brownout, Ticket, TicketState
from zinniaspool.entry.services import ServiceState

__all__ = ["AdmissionQueues"]

_BROWNOUT_RETRY_AFTER_S = 5
"""Value in seconds of Retry-After for requests that brownout sheds."""


class AdmissionQueues:
    """Makes requests wait until the admission of their service admits them.

    Attributes:
        brownout: Sheds less urgent requests while this process is overloaded.
        in_progress: Number of admitted requests that have not ended.
    """

    def __init__(self) -> None:
        self.brownout = Brownout()
        self.in_progress = 0
        self._waiting: dict[Ticket, asyncio.Future[None]] = {}

    async def acquire(
        self, service: ServiceState, customer: CustomerId, urgency: int, deadline: float
    ) -> Ticket | Fault:
        """Wait for admission; return the ticket, or why there is none."""
        if not self.brownout.admits(urgency, urgent_service=service.urgent):
            return Fault(ErrorKind.OVERLOADED, retry_after=_BROWNOUT_RETRY_AFTER_S)
        loop = asyncio.get_running_loop()
        ticket = service.admission.submit(customer, urgency, deadline, loop.time())
        if isinstance(ticket, Fault):
            return ticket
        if ticket.state is TicketState.WAITING:
            fault = await self._wait(service.admission, ticket)
            if fault is not None:
                return fault
        self.in_progress += 1
        return ticket

    def release(self, service: ServiceState, ticket: Ticket, *, answered: bool) -> None:
        """Record that a request has ended and admit waiting requests."""
        self.in_progress -= 1
        now = asyncio.get_running_loop().time()
        self.wake_admitted(service.admission.end(ticket, now, answered=answered))

    def wake_admitted(self, tickets: Iterable[Ticket]) -> None:
        """Wake the requests of tickets that were admitted."""
        for ticket in tickets:
            future = self._waiting.get(ticket)
            if future is not None and not future.done():
                future.set_result(None)

    async def _wait(self, admission: Admission, ticket: Ticket) -> Fault | None:
        admitted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = admitted
        try:
            async with asyncio.timeout_at(ticket.wait_until):
                await admitted
        except TimeoutError:
            if ticket.state is TicketState.ADMITTED:
                return None
            return admission.remove_waiting(ticket)
        except asyncio.CancelledError:
            # The caller has disconnected. If its request has been admitted
            # meanwhile, the slot must be released.
            if ticket.state is TicketState.ADMITTED:
                now = asyncio.get_running_loop().time()
                self.wake_admitted(admission.end(ticket, now, answered=False))
            else:
                admission.remove_waiting(ticket)
            raise
        finally:
            del self._waiting[ticket]
        return None
