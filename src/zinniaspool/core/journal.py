"""The decisions of a process that its operators may ask about."""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from itertools import count

__all__ = ["Decision", "DecisionKind", "Journal"]

_KEPT_DECISIONS = 4096


class DecisionKind(Enum):
    """What was decided; the value is the name of the log event."""

    CONFIGURATION_IN_FORCE = "configuration-in-force"
    DOMAIN_HELD = "domain-held"
    DOMAIN_RELEASED = "domain-released"
    GROUP_FORMED = "group-formed"
    GROUP_REPAIRED = "group-repaired"
    GROUP_DRAINING = "group-draining"
    GROUP_RELEASING = "group-releasing"
    GROUP_DISSOLVED = "group-dissolved"
    GROUP_WAITS = "group-waits"
    GROUP_SERVES = "group-serves"
    GROUP_STOPPED = "group-stopped"
    VM_OUT = "vm-out"
    VM_BACK = "vm-back"
    VM_IDLE = "vm-idle"
    SHORTFALL = "shortfall"
    ORDER_SENT = "order-sent"
    ATTEMPT_FAILED = "attempt-failed"
    REQUEST_REFUSED = "request-refused"


@dataclass(frozen=True, slots=True)
class Decision:
    """One decision and why it was taken.

    Attributes:
        at: Seconds since the epoch, by the deciding VM's clock.
        number: Orders one process's decisions of the same instant.
        kind: What was decided.
        subjects: What it is about: ``group:ID``, ``vm:ID``, ``request:ID``.
        reason: For a person.
        fields: Further facts, by name.
    """

    at: float
    number: int
    kind: DecisionKind
    subjects: tuple[str, ...]
    reason: str
    fields: dict[str, str] = field(default_factory=dict)


class Journal:
    """A bounded ring of decisions and a count of each kind.

    Args:
        kept: How many decisions stay.
    """

    def __init__(self, kept: int = _KEPT_DECISIONS) -> None:
        self.counts: Counter[DecisionKind] = Counter()
        self._ring: deque[Decision] = deque(maxlen=kept)
        self._numbers = count(1)

    def record(
        self,
        at: float,
        kind: DecisionKind,
        subjects: tuple[str, ...],
        reason: str,
        **fields: str,
    ) -> Decision:
        """Keep one decision and return it."""
        decision = Decision(at, next(self._numbers), kind, subjects, reason, fields)
        self._ring.append(decision)
        self.counts[kind] += 1
        return decision

    def find(self, subject: str) -> list[Decision]:
        """Return the kept decisions about a subject, oldest first."""
        return [decision for decision in self._ring if subject in decision.subjects]

    def recent(self) -> list[Decision]:
        """Return all kept decisions, oldest first."""
        return list(self._ring)
