"""Finds the log lines that explain what happened to one request.

The input is the log lines of all processes. The lines that name the request
also name the instances and groups that it was sent to, or the model that no
upstream could serve. Lines that other processes wrote about these shortly
before give the cause.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime

__all__ = ["LogLine", "Trace", "parse_line", "trace_request"]

LOOK_BACK_S = 8.0
"""Seconds before a request's first line in which its cause is searched for.
A group that loads weights is unavailable for longer, but the line that names
the group is written when the loading starts."""

LOOK_AHEAD_S = 1.0
"""Seconds after a request's last line in which its cause is searched for.
Other processes notice an unreachable instance a moment later, and clocks of
VMs differ."""

LINES_DROPPED_EVENT = "log-lines-dropped"
"""Event by which a process reports that its log lacks lines."""

_UNSERVED_ENDS = frozenset({"no-upstream", "upstream-refused"})
"""Ends of requests that were sent to no group. The lines about the groups of
their model give the cause."""

_FLEET_EVENTS = frozenset(
    {
        "group-phase",
        "group-suspected",
        "instance-gone",
        "instance-lost",
        "instance-regained",
        "instance-retained",
        "instances-lost",
        "instance-state",
        "instance-suspected",
        "retention-ended",
        "target-silent",
        "target-told-silent",
    }
)
"""Events about groups and instances; they count from every process."""

_PROCESS_EVENTS = frozenset(
    {
        "configuration-in-force",
        "holder-changed",
        "node-unreachable",
        "started",
        "stopped",
        "stopping",
        "store-lost",
        "store-regained",
        LINES_DROPPED_EVENT,
    }
)
"""Events about a process itself; they count from processes that handled the
request."""

_FIELD = re.compile(r'([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event as a process wrote it.

    Attributes:
        logged_at: Seconds since the epoch, by the clock of the VM.
        node: Node that wrote the line.
        program: Program that wrote the line.
        event: Name of the event.
        fields: The other values of the line, by key.
    """

    logged_at: float
    node: str
    program: str
    event: str
    fields: dict[str, str]

    def __str__(self) -> str:
        when = datetime.fromtimestamp(self.logged_at, UTC).strftime("%H:%M:%S.%f")[:-3]
        values = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{when} {self.node}/{self.program} {self.event} {values}"


@dataclass(frozen=True, slots=True)
class Trace:
    """The log lines that concern one request.

    Attributes:
        lines: The lines, ordered by time.
        dropped: Lines by which the processes that handled the request report
            that they dropped log lines.
    """

    lines: list[LogLine]
    dropped: list[LogLine]


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None for text that is not such a line.

    Collectors may put a prefix of their own in front of the line.
    """
    start = text.find("timestamp=")
    if start < 0:
        return None
    fields = {
        name: value.strip('"').replace('\\"', '"')
        for name, value in _FIELD.findall(text[start:])
    }
    try:
        at = datetime.fromisoformat(fields.pop("timestamp")).timestamp()
    except ValueError:
        return None
    fields.pop("level", None)
    node, program = fields.pop("node", ""), fields.pop("program", "")
    event = fields.pop("event", "")
    return LogLine(at, node, program, event, fields)


def trace_request(lines: Iterable[LogLine], request: str) -> Trace:
    """Return the lines that show what happened to a request, and why."""
    ordered = sorted(lines, key=lambda line: line.logged_at)
    own = [line for line in ordered if line.fields.get("request") == request]
    if not own:
        return Trace([], [])
    begins, ends = own[0].logged_at - LOOK_BACK_S, own[-1].logged_at + LOOK_AHEAD_S
    nodes = {line.node for line in own}
    subjects = _list_subjects(own)
    near = [line for line in ordered if begins <= line.logged_at <= ends]
    related = [
        line
        for line in near
        if line.fields.get("request") == request
        or (line.event in _FLEET_EVENTS and _is_about(line, subjects))
        or (line.node in nodes and _is_of_process(line, subjects))
    ]
    dropped = [line for line in related if line.event == LINES_DROPPED_EVENT]
    return Trace(related, dropped)


def _list_subjects(own: Iterable[LogLine]) -> set[str]:
    """Return a request's instances and groups, and its model if unserved.

    These are the instances and groups that the request was sent to. The model
    is included only where the request ended without an upstream to serve it.
    """
    subjects: set[str] = set()
    for line in own:
        subjects |= {line.fields.get("instance", ""), line.fields.get("group", "")}
        if line.fields.get("end") in _UNSERVED_ENDS:
            subjects.add(line.fields.get("model", ""))
    return subjects - {""}


def _is_of_process(line: LogLine, subjects: set[str]) -> bool:
    """Return whether a line of a request's process may concern the request.

    Each process logs each target that it removes. The removal of a target that
    the request was sent to may be the reason why the request was rerouted.
    """
    return line.event in _PROCESS_EVENTS or (
        line.event == "target-gone" and _is_about(line, subjects)
    )


def _is_about(line: LogLine, subjects: set[str]) -> bool:
    if (
        line.fields.get("standby") == "true"
        and line.fields.get("group") not in subjects
    ):
        # A standby VM has a model loaded but receives no requests.
        return False
    values = set(line.fields.values())
    members = set(line.fields.get("members", "").split(","))
    return not subjects.isdisjoint(values | members)
