"""The codec of the headers of callers and instances, as the gateway needs it.

Headers differ by platform. The entry program of a platform passes in its
implementation.
"""

from typing import Protocol

from zinniaspool.core.dispatch import InstanceLoad, InstanceNotice, RequestTerms
from zinniaspool.core.fleet import CustomerSpec, InstanceId
from zinniaspool.core.ids import RequestId
from zinniaspool.http import Headers, Request

__all__ = ["CallCodec"]


class CallCodec(Protocol):
    """Parses and makes the headers of requests and answers."""

    def parse_terms(self, request: Request) -> RequestTerms:
        """Return what a caller states; ignore headers that can't be parsed."""
        ...

    def parse_key(self, request: Request) -> str | None:
        """Return the API key in a request, or None."""
        ...

    def make_upstream_headers(
        self,
        request: Request,
        instance: InstanceId,
        left_s: float,
        customer: CustomerSpec | None,
        urgency: int | None,
        resume_after: int | None,
    ) -> Headers:
        """Return the headers of a request as it is sent to an instance.

        Args:
            request: The caller's request.
            instance: The instance that must answer.
            left_s: How long the caller still waits, in seconds.
            customer: Customer that sent the request; None for an anonymous
                caller.
            urgency: 0 to 9, 0 is the most urgent; None for the usual urgency.
            resume_after: Id of the last event that was passed on; None to get
                all events.
        """
        ...

    def make_caller_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer as its caller gets them."""
        ...

    def has_not_run(self, status: int, headers: Headers) -> bool:
        """Tell whether an answer promises that its request has not run."""
        ...

    def parse_answered_request(self, headers: Headers) -> RequestId | None:
        """Return the request that an answer names as its own, or None."""
        ...

    def parse_load(self, headers: Headers) -> InstanceLoad | None:
        """Return the load that an answer reports, or None."""
        ...

    def parse_notice(self, status: int, headers: Headers) -> InstanceNotice:
        """Return what an answer asks of the process that sent the request.

        Values that can't be parsed are ignored.
        """
        ...

    def list_unknown_headers(self, headers: Headers) -> list[str]:
        """Return the names of an answer's headers without a known meaning."""
        ...

    def add_fault_headers(
        self, headers: Headers, request: RequestId, code: str
    ) -> None:
        """Add the headers of an error that this process answers.

        Args:
            headers: The headers of the answer, which are extended.
            request: Id of the request.
            code: The error's kind.
        """
        ...
