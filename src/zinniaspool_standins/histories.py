"""Judges what callers were told by what upstreams ran.

An *operation* is what a caller wants done once; it may ask for it several
times, through several entry VMs. Each operation's body holds a marker that no
other one holds, so runs and answers can be told apart whatever names entry
processes give them.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from enum import Enum

import msgspec

from zinniaspool_standins.runs import RunRecord, RunState

__all__ = [
    "Ask",
    "Ending",
    "Operation",
    "Tally",
    "Violation",
    "ViolationKind",
    "count_endings",
    "find_marker",
    "judge",
    "make_marker",
]

_MARKER_START = "op-"
_MARKER_END = "."


class Ending(Enum):
    """How one ask ended, as far as the caller could tell."""

    WHOLE = "whole"
    """An answer that ended cleanly."""

    NOT_RUN = "not-run"
    """An error that promised that nothing ran."""

    UNKNOWN = "outcome-unknown"
    """An error that left it open."""

    FAILED = "failed-after-running"
    """An error that said that it ran and failed."""

    CUT = "cut"
    """The connection ended, or nothing came in time."""


class Ask(msgspec.Struct):
    """One time that a caller asked.

    Attributes:
        ending: How it ended.
        body: What came, whole or not.
        request: The name that the entry process gave, if it said.
        entry: The address that was asked.
        detail: The error's kind, for a person.
    """

    ending: Ending
    body: str = ""
    request: str = ""
    entry: str = ""
    detail: str = ""


class Operation(msgspec.Struct):
    """What a caller wanted, and every time it asked.

    Attributes:
        marker: Stands in the body and nowhere else; see
            :func:`make_marker`.
        customer: Whose it is.
        expected: The whole answer, or what every whole answer contains.
        exact: Whether it is the whole answer.
        non_idempotent: Whether it may run at most once.
        asks: In order.
        abandoned: The caller left before the answer on purpose.
    """

    marker: str
    customer: str
    expected: str
    exact: bool = False
    non_idempotent: bool = False
    asks: list[Ask] = []
    abandoned: bool = False

    def accepts(self, body: str) -> bool:
        """Whether a body is this operation's whole answer."""
        return body == self.expected if self.exact else self.expected in body

    @property
    def answered(self) -> bool:
        """Whether a whole answer came."""
        return any(ask.ending is Ending.WHOLE for ask in self.asks)

    @property
    def refused(self) -> bool:
        """Whether the last word was an error and no whole answer came."""
        if self.answered or not self.asks:
            return False
        return self.asks[-1].ending is not Ending.CUT


class ViolationKind(Enum):
    """A promise that was broken."""

    LOST = "lost"
    """No last word came, or an answer came to what never finished."""

    DOUBLED = "doubled"
    """What may run at most once ran more often."""

    FOREIGN = "foreign"
    """A caller was sent another operation's answer or part of it."""

    CUT_AS_WHOLE = "cut-as-whole"
    """An answer ended cleanly and was not whole."""

    RAN_AFTER_ALL = "ran-after-all"
    """It was said not to have run, and it ran."""


class Violation(msgspec.Struct, frozen=True):
    """One broken promise."""

    kind: ViolationKind
    marker: str
    detail: str


class Tally(msgspec.Struct):
    """Operations by how they ended for their callers."""

    answered: int = 0
    refused: int = 0
    outcome_unknown: int = 0


def make_marker(number: int, owner: str = "") -> str:
    """Return the marker of an operation; its end keeps 1 apart from 10."""
    return f"{_MARKER_START}{owner}{number}{_MARKER_END}"


def find_marker(text: str) -> str:
    """Return the first marker in a text, or an empty string."""
    start = text.find(_MARKER_START)
    end = text.find(_MARKER_END, start)
    if start < 0 or end < 0:
        return ""
    return text[start : end + 1]


def judge(
    operations: Sequence[Operation], runs: Iterable[RunRecord]
) -> list[Violation]:
    """Return every promise that was broken.

    Args:
        operations: All operations, each with every ask.
        runs: What all upstreams ran, those since killed among them.
    """
    runs_of: dict[str, list[RunRecord]] = defaultdict(list)
    for run in runs:
        runs_of[find_marker(run.sent)].append(run)
    violations: list[Violation] = []
    for operation in operations:
        own = runs_of[operation.marker]
        violations += _judge_answers(operation)
        violations += _judge_runs(operation, own)
        violations += _judge_end(operation, own)
    return violations


def count_endings(operations: Iterable[Operation]) -> Tally:
    """Count operations by how they ended for their callers."""
    tally = Tally()
    for operation in operations:
        if operation.answered:
            tally.answered += 1
        elif operation.refused:
            tally.refused += 1
            if operation.asks[-1].ending is not Ending.NOT_RUN:
                tally.outcome_unknown += 1
    return tally


def _judge_answers(operation: Operation) -> list[Violation]:
    violations = []
    for ask in operation.asks:
        if _find_foreign(ask.body, operation.marker):
            violations.append(
                Violation(ViolationKind.FOREIGN, operation.marker, ask.body)
            )
        elif ask.ending is Ending.WHOLE and not operation.accepts(ask.body):
            violations.append(
                Violation(ViolationKind.CUT_AS_WHOLE, operation.marker, ask.body)
            )
    return violations


def _find_foreign(body: str, marker: str) -> bool:
    left = body
    while found := find_marker(left):
        if found != marker:
            return True
        left = left.replace(found, "")
    return False


def _judge_runs(operation: Operation, runs: list[RunRecord]) -> list[Violation]:
    violations = []
    if operation.non_idempotent and len(runs) > 1:
        places = ", ".join(f"{run.upstream}#{run.number}" for run in runs)
        violations.append(Violation(ViolationKind.DOUBLED, operation.marker, places))
    names = Counter(run.request for run in runs)
    refused = [ask for ask in operation.asks if ask.ending is Ending.NOT_RUN]
    by_name = any(ask.request and names[ask.request] for ask in refused)
    # A name may be missing: then an operation whose every ask was refused as
    # not run must not have run at all.
    every_ask = bool(refused) and len(refused) == len(operation.asks)
    if by_name or (every_ask and runs):
        detail = ", ".join(ask.detail for ask in refused)
        violations.append(
            Violation(ViolationKind.RAN_AFTER_ALL, operation.marker, detail)
        )
    return violations


def _judge_end(operation: Operation, runs: list[RunRecord]) -> list[Violation]:
    if operation.answered:
        if any(run.state is RunState.FINISHED for run in runs):
            return []
        return [Violation(ViolationKind.LOST, operation.marker, "answered, not run")]
    if operation.refused or operation.abandoned:
        return []
    return [Violation(ViolationKind.LOST, operation.marker, "no last word")]
