"""Where requests wait for their admission."""

import asyncio
from collections.abc import Iterable

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import CustomerId
from zinniaspool.core.requests import Admission, Brownout, Ticket, TicketState
from zinniaspool.entry.services import ServiceLine

__all__ = ["Gate"]

_BROWNOUT_RETRY_S = 5
"""Seconds that a shed caller is asked to wait; chosen."""


class Gate:
    """Lets requests begin when their service's admission says so."""

    def __init__(self) -> None:
        self.brownout = Brownout()
        self.in_progress = 0
        self._waiting: dict[Ticket, asyncio.Future[None]] = {}

    async def enter(
        self, line: ServiceLine, customer: CustomerId, urgency: int, deadline: float
    ) -> Ticket | Fault:
        """Return an admitted request's ticket, or why it may not begin."""
        if not self.brownout.admits(urgency, urgent_service=line.urgent):
            return Fault(ErrorKind.OVERLOADED, retry_after=_BROWNOUT_RETRY_S)
        loop = asyncio.get_running_loop()
        asked = line.admission.submit(customer, urgency, deadline, loop.time())
        if isinstance(asked, Fault):
            return asked
        if asked.state is TicketState.WAITING:
            fault = await self._wait(line.admission, asked)
            if fault is not None:
                return fault
        self.in_progress += 1
        return asked

    def leave(self, line: ServiceLine, ticket: Ticket, *, answered: bool) -> None:
        """Count a request that has ended and let others begin."""
        self.in_progress -= 1
        now = asyncio.get_running_loop().time()
        self.admit(line.admission.end(ticket, now, answered=answered))

    def admit(self, tickets: Iterable[Ticket]) -> None:
        """Wake requests whose admission has come."""
        for ticket in tickets:
            waiting = self._waiting.get(ticket)
            if waiting is not None and not waiting.done():
                waiting.set_result(None)

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
            # The caller went; a place given to it meanwhile must come back.
            if ticket.state is TicketState.ADMITTED:
                now = asyncio.get_running_loop().time()
                self.admit(admission.end(ticket, now, answered=False))
            else:
                admission.remove_waiting(ticket)
            raise
        finally:
            del self._waiting[ticket]
        return None
