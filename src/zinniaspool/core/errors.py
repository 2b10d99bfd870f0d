"""The closed list of error kinds and the table from kind to answer.

A caller decides from two things whether to ask again: whether the request
ran, and when to come back. Both stand in one table so that no code path can
promise one thing in the status and another in the body.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType

__all__ = ["ANSWERS", "Answer", "ErrorKind", "Fault", "Outcome"]


class Outcome(Enum):
    """What an error answer says about the request having run."""

    NOT_RUN = "not-run"
    """No upstream has started it, and none will."""

    UNKNOWN = "outcome-unknown"
    """It may have run: repeating it may run it twice."""

    FAILED = "failed-after-running"
    """An upstream ran it and answered with a failure."""


class ErrorKind(Enum):
    """Every way in which a request can end without its answer."""

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
class Answer:
    """What a caller is told for one kind of error.

    Attributes:
        status: HTTP status.
        outcome: What is promised about the request having run.
        message: One sentence for a person.
        retry_after: Seconds to wait before asking again, or None where
            asking the same again cannot help.
    """

    status: int
    outcome: Outcome
    message: str
    retry_after: int | None = None


@dataclass(frozen=True, slots=True)
class Fault:
    """One occurrence of an error.

    Attributes:
        kind: Which error.
        detail: What a person needs besides the table's message. Never
            another customer's name or load.
        retry_after: Seconds, where the occurrence knows better than the
            table.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after: float | None = None


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

ANSWERS: Mapping[ErrorKind, Answer] = MappingProxyType(
    {
        ErrorKind.MALFORMED_REQUEST: Answer(
            400, _NOT_RUN, "The request could not be understood."
        ),
        ErrorKind.HEADERS_TOO_LARGE: Answer(
            431, _NOT_RUN, "The request's headers are too large."
        ),
        ErrorKind.BODY_TOO_LARGE: Answer(
            413, _NOT_RUN, "The request's body is too large."
        ),
        ErrorKind.SLOW_REQUEST: Answer(
            408, _NOT_RUN, "The request did not arrive in time.", 1
        ),
        ErrorKind.BAD_CREDENTIAL: Answer(
            401, _NOT_RUN, "The credential is missing or not accepted."
        ),
        ErrorKind.UNKNOWN_SERVICE: Answer(
            404, _NOT_RUN, "This customer has no model or service of that name."
        ),
        ErrorKind.NOT_READY: Answer(
            503, _NOT_RUN, "This entry VM has no configuration yet.", 2
        ),
        ErrorKind.LEAVING: Answer(
            503, _NOT_RUN, "This entry VM is leaving; use another one.", 1
        ),
        ErrorKind.OVERLOADED: Answer(
            503, _NOT_RUN, "There is no room for the request now.", 2
        ),
        ErrorKind.LIMIT_REACHED: Answer(
            429, _NOT_RUN, "The customer's limit is reached.", 1
        ),
        ErrorKind.DEADLINE_TOO_SHORT: Answer(
            503, _NOT_RUN, "The request cannot be answered within its deadline.", 2
        ),
        ErrorKind.NO_UPSTREAM: Answer(
            503, _NOT_RUN, "No upstream is serving this now.", 3
        ),
        ErrorKind.STORE_UNAVAILABLE: Answer(
            503, _NOT_RUN, "The idempotency key could not be claimed.", 5
        ),
        ErrorKind.KEY_REUSED: Answer(
            422, _NOT_RUN, "The idempotency key was used with another request."
        ),
        ErrorKind.KEY_IN_PROGRESS: Answer(
            409, _UNKNOWN, "A request with this idempotency key is running.", 1
        ),
        ErrorKind.KEY_REQUIRED: Answer(
            400, _NOT_RUN, "This call may not be repeated and needs an idempotency key."
        ),
        ErrorKind.KEY_OWNER_GONE: Answer(
            409, _UNKNOWN, "The entry VM that held this idempotency key is gone."
        ),
        ErrorKind.ANSWER_EXPIRED: Answer(
            410, _UNKNOWN, "The answer for this idempotency key is no longer kept."
        ),
        ErrorKind.QUARANTINED: Answer(
            503, _NOT_RUN, "Upstreams crashed under this request before.", 600
        ),
        ErrorKind.UPSTREAM_REFUSED: Answer(
            503, _NOT_RUN, "Upstreams refused the request before running it.", 1
        ),
        ErrorKind.UPSTREAM_LOST: Answer(
            502, _UNKNOWN, "The upstream was lost while it had the request.", 1
        ),
        ErrorKind.DEADLINE_PASSED: Answer(
            504, _UNKNOWN, "The deadline passed while an upstream had the request.", 1
        ),
        ErrorKind.UPSTREAM_FAILED: Answer(
            502, Outcome.FAILED, "The upstream ran the request and failed."
        ),
        ErrorKind.INTERNAL: Answer(
            500, _UNKNOWN, "The entry VM failed while it had the request.", 1
        ),
    }
)
