"""From a request's id to its cause, in the log lines of all processes.

The lines of the request itself name the instances and groups that it met, or
the model that nobody could serve. What the other processes then wrote about
these, shortly before, is why.
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime

__all__ = ["LogLine", "Trace", "parse_line", "trace_request"]

BEFORE_S = 8.0
"""How long before a request's first line a cause is looked for, in seconds: a
group that loads weights is out for longer, but is named when it began to."""

AFTER_S = 1.0
"""The same after its last line, in seconds: what is lost is noticed by others
a moment later, and clocks of VMs differ."""

DROPPED = "log-lines-dropped"

_UNSERVED = frozenset({"no-upstream", "upstream-refused"})
"""Ends of requests that met no group: their model's groups tell why."""

_FLEET = frozenset(
    {
        "group-phase",
        "group-suspected",
        "instance-gone",
        "instance-lost",
        "instance-regained",
        "instances-lost",
        "instance-state",
        "target-silent",
        "target-told-silent",
    }
)
"""Events about groups and instances, whichever process wrote them."""

_OWN = frozenset(
    {
        "configuration-in-force",
        "holder-changed",
        "node-unreachable",
        "started",
        "stopped",
        "stopping",
        "store-lost",
        "store-regained",
        DROPPED,
    }
)
"""Events about the process that had the request."""

_FIELD = re.compile(r'([\w-]+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event as a process wrote it.

    Attributes:
        at: Seconds since the epoch, by its VM's clock.
        node: Its VM.
        program: Its program.
        event: What happened.
        fields: The rest, by name.
    """

    at: float
    node: str
    program: str
    event: str
    fields: dict[str, str]

    def __str__(self) -> str:
        when = datetime.fromtimestamp(self.at, UTC).strftime("%H:%M:%S.%f")[:-3]
        values = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{when} {self.node}/{self.program} {self.event} {values}"


@dataclass(frozen=True, slots=True)
class Trace:
    """What the lines tell of one request.

    Attributes:
        lines: In the order of their times.
        dropped: Lines that the processes concerned say they left out.
    """

    lines: list[LogLine]
    dropped: list[LogLine]


def parse_line(text: str) -> LogLine | None:
    """Return a line's event, or None for what is none of ours.

    Collectors may put something of their own before it.
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
    """Return the lines that tell what became of a request, and why."""
    known = sorted(lines, key=lambda line: line.at)
    own = [line for line in known if line.fields.get("request") == request]
    if not own:
        return Trace([], [])
    begins, ends = own[0].at - BEFORE_S, own[-1].at + AFTER_S
    nodes = {line.node for line in own}
    met = _list_met(own)
    near = [line for line in known if begins <= line.at <= ends]
    told = [
        line
        for line in near
        if line.fields.get("request") == request
        or (line.event in _FLEET and _is_about(line, met))
        or (line.node in nodes and _is_of_process(line, met))
    ]
    dropped = [line for line in told if line.event == DROPPED]
    return Trace(told, dropped)


def _list_met(own: Iterable[LogLine]) -> set[str]:
    """Return the instances and groups that a request met, or its model."""
    met: set[str] = set()
    for line in own:
        met |= {line.fields.get("instance", ""), line.fields.get("group", "")}
        if line.fields.get("end") in _UNSERVED:
            met.add(line.fields.get("model", ""))
    return met - {""}


def _is_of_process(line: LogLine, met: set[str]) -> bool:
    """Tell whether a line of the request's own process may concern it.

    Each process says of each target when it is no more; one that the request
    met may be why it went on elsewhere.
    """
    return line.event in _OWN or (line.event == "target-gone" and _is_about(line, met))


def _is_about(line: LogLine, met: set[str]) -> bool:
    if line.fields.get("standby") == "true" and line.fields.get("group") not in met:
        # Idle VMs that hold a model take no requests.
        return False
    values = set(line.fields.values())
    members = set(line.fields.get("members", "").split(","))
    return not met.isdisjoint(values | members)
