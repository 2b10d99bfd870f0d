"""The closed list of error kinds and the answer to each kind.

A caller needs two facts to decide on a retry: whether the request ran, and how
long to wait. One table holds both, so that no code path can promise one thing
in the status and another in the body.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType

__all__ = ["ERROR_ANSWERS", "ErrorAnswer", "ErrorKind", "Fault", "Outcome"]


class Outcome(Enum):
    """Whether the request ran, as an error answer states it."""

    NOT_RUN = "not-run"
    """No upstream has started the request, and none will."""

    UNKNOWN = "outcome-unknown"
    """The request may have run; a retry may run it twice."""

    FAILED = "failed-after-running"
    """An upstream ran the request and answered with a failure."""


class ErrorKind(Enum):
    """Every way in which a request can end without an answer."""

    MALFORMED_REQUEST = "malformed-request"
    HEADERS_TOO_LARGE = "headers-too-large"
    BODY_TOO_LARGE = "body-too-large"
    SLOW_REQUEST = "slow-request"
    BAD_CREDENTIAL = "bad-credential"
    UNKNOWN_SERVICE = "unknown-service"
    NOT_READY = "not-ready"
    LEAVING = "leaving"
    OVERLOADED = "overloaded"
    LIMIT_REACHED = "limit-reached"
    DEADLINE_TOO_SHORT = "deadline-too-short"
    NO_UPSTREAM = "no-upstream"
    STORE_UNAVAILABLE = "store-unavailable"
    KEY_REUSED = "key-reused"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_REQUIRED = "key-required"
    KEY_OWNER_GONE = "key-owner-gone"
    ANSWER_EXPIRED = "answer-expired"
    QUARANTINED = "quarantined"
    UPSTREAM_REFUSED = "upstream-refused"
    UPSTREAM_LOST = "upstream-lost"
    DEADLINE_PASSED = "deadline-passed"
    UPSTREAM_FAILED = "upstream-failed"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """The answer that a caller receives for one kind of error.

    Attributes:
        status: HTTP status.
        outcome: Whether the request ran.
        message: One sentence for a person.
        retry_after: Seconds to wait before a retry, or None if a retry of
            the same request cannot succeed.
    """

    status: int
    outcome: Outcome
    message: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Fault:
    """One occurrence of an error.

    Attributes:
        kind: The kind of error.
        detail: Details for a person, in addition to the table's message.
            They never include another customer's name or load.
        retry_after: Seconds to wait before a retry, if this occurrence has a
            better estimate than the table.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after: float | None = None


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ERROR_ANSWERS: Mapping[ErrorKind, ErrorAnswer] = MappingProxyType(
    {
        ErrorKind.MALFORMED_REQUEST: ErrorAnswer(
            400, _NOT_RUN, "The request could not be understood."
        ),
        ErrorKind.HEADERS_TOO_LARGE: ErrorAnswer(
            431, _NOT_RUN, "The request's headers are too large."
        ),
        ErrorKind.BODY_TOO_LARGE: ErrorAnswer(
            413, _NOT_RUN, "The request's body is too large."
        ),
        ErrorKind.SLOW_REQUEST: ErrorAnswer(
            408, _NOT_RUN, "The request did not arrive in time.", 1
        ),
        ErrorKind.BAD_CREDENTIAL: ErrorAnswer(
            401, _NOT_RUN, "The credential is missing or not accepted."
        ),
        ErrorKind.UNKNOWN_SERVICE: ErrorAnswer(
            404, _NOT_RUN, "This customer has no model or service of that name."
        ),
        ErrorKind.NOT_READY: ErrorAnswer(
            503, _NOT_RUN, "This entry VM has no configuration yet.", 2
        ),
        ErrorKind.LEAVING: ErrorAnswer(
            503, _NOT_RUN, "This entry VM is leaving; use another one.", 0.1
        ),
        ErrorKind.OVERLOADED: ErrorAnswer(
            503, _NOT_RUN, "There is no room for the request now.", 2
        ),
        ErrorKind.LIMIT_REACHED: ErrorAnswer(
            429, _NOT_RUN, "The customer's limit is reached.", 1
        ),
        ErrorKind.DEADLINE_TOO_SHORT: ErrorAnswer(
            503, _NOT_RUN, "The request cannot be answered within its deadline.", 2
        ),
        ErrorKind.NO_UPSTREAM: ErrorAnswer(
            503, _NOT_RUN, "No upstream is serving this now.", 3
        ),
        ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(
            503, _NOT_RUN, "The idempotency key could not be claimed.", 5
        ),
        ErrorKind.KEY_REUSED: ErrorAnswer(
            422, _NOT_RUN, "The idempotency key was used with another request."
        ),
        ErrorKind.KEY_IN_PROGRESS: ErrorAnswer(
            409, _UNKNOWN, "A request with this idempotency key is running.", 1
        ),
        ErrorKind.KEY_REQUIRED: ErrorAnswer(
            400, _NOT_RUN, "This call may not be repeated and needs an idempotency key."
        ),
        ErrorKind.KEY_OWNER_GONE: ErrorAnswer(
            409, _UNKNOWN, "The entry VM that held this idempotency key is gone."
        ),
        ErrorKind.ANSWER_EXPIRED: ErrorAnswer(
            410, _UNKNOWN, "The answer for this idempotency key is no longer kept."
        ),
        ErrorKind.QUARANTINED: ErrorAnswer(
            503, _NOT_RUN, "Upstreams crashed under this request before.", 600
        ),
        ErrorKind.UPSTREAM_REFUSED: ErrorAnswer(
            503, _NOT_RUN, "Upstreams refused the request before running it.", 1
        ),
        ErrorKind.UPSTREAM_LOST: ErrorAnswer(
            502,
            _UNKNOWN,
            "The upstream was lost while it had the request.",
            1,
        ),
        ErrorKind.DEADLINE_PASSED: ErrorAnswer(
            504, _UNKNOWN, "The deadline passed while an upstream had the request.", 1
        ),
        ErrorKind.UPSTREAM_FAILED: ErrorAnswer(
            502, Outcome.FAILED, "The upstream ran the request and failed."
        ),
        ErrorKind.INTERNAL: ErrorAnswer(
            500, _UNKNOWN, "The entry VM failed while it had the request.", 1
        ),
    }
)
