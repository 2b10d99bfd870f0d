"""The decisions of a process, kept so that operators can query them."""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from heapq import merge
from itertools import count

__all__ = ["Decision", "DecisionKind", "Journal"]

_MAX_DECISIONS = 4096
"""Number of decisions that are kept. They take several megabytes and cover
hours of an ordinary day."""
_MAX_REQUEST_DECISIONS = 4096
"""The same for decisions about single requests: minutes under load."""


class DecisionKind(Enum):
    """What was decided; the value is also the name of the log event."""

    CONFIGURATION_IN_FORCE = "configuration-in-force"
    """A newer configuration is active in this process."""

    DOMAIN_HELD = "domain-held"
    """This process acquired a fabric domain's lease."""

    DOMAIN_RELEASED = "domain-released"
    """This process no longer holds a fabric domain's lease."""

    GROUP_FORMED = "group-formed"
    """A plan with a new group was accepted."""

    GROUP_REPAIRED = "group-repaired"
    """A group continues with another VM or version, as a new group."""

    GROUP_DRAINING = "group-draining"
    """A group accepts no new requests and finishes those that run."""

    GROUP_RELEASING = "group-releasing"
    """A group has stopped and its VMs are being emptied."""

    GROUP_DISSOLVED = "group-dissolved"
    """A plan without this group was accepted."""

    GROUP_WAITS = "group-waits"
    """A group lacks a VM, and waiting for that VM costs least."""

    GROUP_SERVES = "group-serves"
    """Every VM of a group has recently reported the group ready."""

    GROUP_STOPPED = "group-stopped"
    """A VM of a group no longer reports the group ready."""

    VM_OUT = "vm-out"
    """A VM may not join a group because it is absent, leaving or slow."""

    VM_BACK = "vm-back"
    """A VM may join groups again."""

    VM_IDLE = "vm-idle"
    """A VM serves in no group; the reason is given."""

    SHORTFALL = "shortfall"
    """The fleet lacks the capacity for something that a model needs."""

    ORDER_SENT = "order-sent"
    """An order was sent to an engine."""

    ATTEMPT_FAILED = "attempt-failed"
    """One attempt of a request at an upstream failed."""

    REQUEST_REFUSED = "request-refused"
    """A request or its key was refused; logged as request-failed."""


_REQUEST_KINDS = frozenset({DecisionKind.ATTEMPT_FAILED, DecisionKind.REQUEST_REFUSED})


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision and the reason for it.

    Attributes:
        at: Seconds since the epoch, by the deciding VM's clock.
        number: Increases with each decision of a process; orders decisions
            of the same time.
        kind: What was decided.
        subjects: What the decision is about, such as ``group:ID``, ``vm:ID``
            or ``request:ID``.
        reason: The reason, for a person.
        fields: Further details, by name.
    """

    at: float
    number: int
    kind: DecisionKind
    subjects: tuple[str, ...]
    reason: str
    fields: dict[str, str] = field(default_factory=dict)


class Journal:
    """Bounded buffers of decisions, and a count of each kind.

    Decisions about single requests have a buffer of their own: during an
    overload, or when VMs fail, thousands of them are recorded, which would
    push out the decisions about VMs and configurations just when operators
    need them.

    Args:
        max_decisions: Number of decisions that are kept.
        max_request_decisions: Number of decisions about single requests that
            are kept in addition.

    Attributes:
        counts: How many decisions of each kind have been recorded.
    """

    def __init__(
        self,
        max_decisions: int = _MAX_DECISIONS,
        max_request_decisions: int = _MAX_REQUEST_DECISIONS,
    ) -> None:
        self.counts: Counter[DecisionKind] = Counter()
        self._decisions: deque[Decision] = deque(maxlen=max_decisions)
        self._request_decisions: deque[Decision] = deque(maxlen=max_request_decisions)
        self._numbers = count(1)

    def record(
        self,
        at: float,
        kind: DecisionKind,
        subjects: tuple[str, ...],
        reason: str,
        **fields: str,
    ) -> Decision:
        """Record a decision and return it."""
        decision = Decision(at, next(self._numbers), kind, subjects, reason, fields)
        ring = self._request_decisions if kind in _REQUEST_KINDS else self._decisions
        ring.append(decision)
        self.counts[kind] += 1
        return decision

    def find(self, subject: str) -> list[Decision]:
        """Return the kept decisions about a subject, oldest first."""
        return [
            decision
            for decision in self.list_decisions()
            if subject in decision.subjects
        ]

    def list_decisions(self) -> list[Decision]:
        """Return all kept decisions, oldest first."""
        kept = merge(
            self._decisions,
            self._request_decisions,
            key=lambda decision: decision.number,
        )
        return list(kept)
