"""The decisions of a process that its operators may ask about."""

from collections import Counter, deque
from dataclasses import dataclass, field
from enum import Enum
from heapq import merge
from itertools import count

__all__ = ["Decision", "DecisionKind", "Journal"]

_KEPT_DECISIONS = 4096
"""Decisions kept, some megabytes; hours of an ordinary day."""
_KEPT_OF_REQUESTS = 4096
"""The same for decisions about single requests: minutes under load."""


class DecisionKind(Enum):
    """What was decided; the value is the name of the log event."""

    CONFIGURATION_IN_FORCE = "configuration-in-force"
    """A newer configuration is in force in this process."""

    DOMAIN_HELD = "domain-held"
    """This process took a fabric domain's lease."""

    DOMAIN_RELEASED = "domain-released"
    """This process no longer holds a fabric domain's lease."""

    GROUP_FORMED = "group-formed"
    """A plan with a new group was accepted."""

    GROUP_REPAIRED = "group-repaired"
    """A group goes on with another VM or version, as a new group."""

    GROUP_DRAINING = "group-draining"
    """A group takes nothing new and finishes what runs."""

    GROUP_RELEASING = "group-releasing"
    """A group has stopped and its VMs are emptied."""

    GROUP_DISSOLVED = "group-dissolved"
    """A plan without this group was accepted."""

    GROUP_WAITS = "group-waits"
    """A group lacks a VM, and waiting for it costs the least."""

    GROUP_SERVES = "group-serves"
    """Every VM of a group freshly reports it ready."""

    GROUP_STOPPED = "group-stopped"
    """A VM of a group no longer reports it ready."""

    VM_OUT = "vm-out"
    """A VM may not join a group: absent, leaving or slow."""

    VM_BACK = "vm-back"
    """A VM may join groups again."""

    VM_IDLE = "vm-idle"
    """A VM serves in no group, for this reason."""

    SHORTFALL = "shortfall"
    """A model lacks something that the fleet has no room for."""

    ORDER_SENT = "order-sent"
    """An engine was given an order."""

    ATTEMPT_FAILED = "attempt-failed"
    """One attempt upstream failed."""

    REQUEST_REFUSED = "request-refused"
    """A request or its key was refused; logged as request-failed."""


_OF_REQUESTS = frozenset({DecisionKind.ATTEMPT_FAILED, DecisionKind.REQUEST_REFUSED})


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
    """Bounded rings of decisions and a count of each kind.

    Decisions about single requests have a ring of their own: in an overload
    or a loss they come by the thousand, and would push out what was decided
    about VMs and configurations just when an operator asks for it.

    Args:
        kept: How many decisions stay.
        kept_of_requests: How many of those about single requests.
    """

    def __init__(
        self, kept: int = _KEPT_DECISIONS, kept_of_requests: int = _KEPT_OF_REQUESTS
    ) -> None:
        self.counts: Counter[DecisionKind] = Counter()
        self._ring: deque[Decision] = deque(maxlen=kept)
        self._of_requests: deque[Decision] = deque(maxlen=kept_of_requests)
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
        ring = self._of_requests if kind in _OF_REQUESTS else self._ring
        ring.append(decision)
        self.counts[kind] += 1
        return decision

    def find(self, subject: str) -> list[Decision]:
        """Return the kept decisions about a subject, oldest first."""
        return [one for one in self.recent() if subject in one.subjects]

    def recent(self) -> list[Decision]:
        """Return all kept decisions, oldest first."""
        kept = merge(self._ring, self._of_requests, key=lambda one: one.number)
        return list(kept)
