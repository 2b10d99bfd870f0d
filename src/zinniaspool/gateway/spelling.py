"""How callers and instances spell what they say, as the gateway needs it."""

from typing import Protocol

from zinniaspool.core.dispatch import InstanceLoad, RequestTerms
from zinniaspool.core.fleet import CustomerSpec, InstanceId
from zinniaspool.core.ids import RequestId
from zinniaspool.http import Headers, Request

__all__ = ["CallSpelling"]


class CallSpelling(Protocol):
    """Reads and writes the headers of requests and answers."""

    def read_terms(self, request: Request) -> RequestTerms:
        """Return what a caller says; what cannot be read counts as unsaid."""
        ...

    def read_key(self, request: Request) -> str | None:
        """Return the key that a request carries, or None."""
        ...

    def forward_headers(
        self,
        request: Request,
        instance: InstanceId,
        left_s: float,
        customer: CustomerSpec | None,
        urgency: int | None,
        resume_after: int | None,
    ) -> Headers:
        """Return the headers with which a request goes to an instance.

        Args:
            request: The caller's.
            instance: Which instance must answer.
            left_s: How long the caller still waits, in seconds.
            customer: Whose request it is, if anybody's.
            urgency: 0 to 9, 0 first; None for the usual.
            resume_after: The last event passed on, or None for all.
        """
        ...

    def pass_headers(self, headers: Headers) -> Headers:
        """Return an instance's headers as its answer's reader gets them."""
        ...

    def answers_unrun(self, status: int, headers: Headers) -> bool:
        """Tell whether an instance promises that a request has not run."""
        ...

    def answered_request(self, headers: Headers) -> RequestId | None:
        """Return the request that an answer belongs to, or None if unsaid."""
        ...

    def read_load(self, headers: Headers) -> InstanceLoad | None:
        """Return an instance's load as an answer tells it, or None."""
        ...

    def read_limit(self, headers: Headers) -> float | None:
        """Return the requests a second that an instance takes, or None."""
        ...

    def name_fault(self, headers: Headers, request: RequestId, code: str) -> None:
        """Mark an answer of our own with its request and the error's kind."""
        ...
