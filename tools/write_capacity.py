"""Write the tables of docs/CAPACITY.md from the committed measurements.

Run as ``python -m tools.write_capacity``. A table stands between the lines
``<!-- table NAME -->`` and ``<!-- end -->`` and is replaced as a whole. A
test keeps the page equal to what this makes from docs/capacity.json.
"""

import re
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.measurements import load_rows

__all__ = ["fill_page", "main"]

_PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
_BLOCK = re.compile(r"(<!-- table (\S+) -->\n).*?(<!-- end -->)", re.DOTALL)

_NODES = 380
_MEMBERS = 2 * _NODES
_VMS = 600
_CHANGES_A_DAY = 2_900
_RESTARTS_A_DAY = 340
_TOKENS_PER_S = 2_600_000
_FAILURE_DOMAINS = 5
_DOMAINS = 19
_NOTICES_PER_S = 2
"""Beats of a domain and digests of an entry process, by their settings."""

_SENDS = 4
"""Copies of a frequent notice that each process sends: pushes to three and
one comparison."""

_WHOLE_FROM = 100
_DAY_S = 86_400
_PLANS_PER_S = 4
"""Planning runs of a holder: one at each poll, by its setting."""

_CORE_PERCENT = 1.4
_MEMORY_MB = 256
_BYTES_PER_S = 4_096
_IN_FORCE_S = 9.0
_READS_PER_S = 2_000
_SEGMENT_BYTES = 66
"""Ethernet, IP and TCP headers with time stamps, of one segment."""


def fill_page(page: str) -> str:
    """Return the page with every table made anew."""
    return _BLOCK.sub(lambda found: _fill(found[1], found[2], found[3]), page)


def _fill(opening: str, name: str, closing: str) -> str:
    return f"{opening}{_TABLES[name]()}\n{closing}"


def _make_table(head: list[str], rows: list[list[Any]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(map(str, line)) + " |" for line in lines)


def _list_rows(name: str) -> list[dict[str, Any]]:
    return load_rows()[name]


def _show(name: str, columns: dict[str, str]) -> str:
    rows = [[row[key] for key in columns] for row in _list_rows(name)]
    return _make_table(list(columns.values()), rows)


def _show_gossip() -> str:
    return _show(
        "gossip",
        {
            "nodes": "processes",
            "idle_bytes": "bytes/s, still",
            "idle_messages": "messages/s, still",
            "busy_bytes": "bytes/s, changes",
            "busy_messages": "messages/s, changes",
            "core_ms": "core ms/s",
            "in_force_s": "in force s",
            "calls_a_change": "store calls a change",
            "idle_calls": "store calls/s, still",
        },
    )


def _show_restart() -> str:
    return _show(
        "gossip",
        {
            "nodes": "processes",
            "ready_s": "all ready after s",
            "restart_calls": "store calls",
            "restart_peak": "calls in the fullest second",
        },
    )


def _show_processes() -> str:
    return _show(
        "processes",
        {
            "processes": "processes",
            "role": "role",
            "core_percent": "% of a core",
            "memory_mb": "MB",
            "sent_bytes": "bytes/s to peers",
        },
    )


def _show_state() -> str:
    return _show(
        "state", {"state": "state", "items": "items", "bytes_each": "bytes each"}
    )


def _find_state(kind: str) -> int:
    rows = [row for row in _list_rows("state") if row["state"] == kind]
    return int(max(rows, key=lambda row: row["items"])["bytes_each"])


def _fit(points: list[tuple[float, float]]) -> tuple[float, float, float]:
    """Return slope, intercept and largest residual of a fitted line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    start = mean_y - slope * mean_x
    rest = max(abs(y - start - slope * x) for x, y in points)
    return slope, start, rest


def _fit_processes(role: str, column: str) -> tuple[float, float, float]:
    rows = [row for row in _list_rows("processes") if row["role"] == role]
    return _fit([(row["processes"], row[column]) for row in rows])


def _show_coming() -> str:
    """Return the lines at the coming size, each of a node: two processes."""
    large = _list_rows("gossip")[-1]
    wire = 2 * (large["busy_bytes"] + large["busy_messages"] * _SEGMENT_BYTES)
    whole = 2 * large["whole_bytes"] * _CHANGES_A_DAY / _DAY_S
    core = 2 * large["core_ms"] / 10
    new_parts = _RESTARTS_A_DAY * large["whole_bytes"] / _DAY_S / _NODES
    calls = large["idle_calls"] + large["calls_a_change"] * _CHANGES_A_DAY / _DAY_S
    at_rest = [_find_largest(role, "core_percent") for role in ("entry", "control")]
    lines = [
        _Line(
            "gossip and configuration, sent bytes with headers",
            wire,
            _BYTES_PER_S,
            "B/s",
            "fixed fanout; only changed parts move",
        ),
        _Line(
            "the same in the first version, whole configuration a change",
            whole,
            _BYTES_PER_S,
            "B/s",
            "replaced by parts under one root",
        ),
        _Line(
            "beats of replica groups, each passed on by both processes",
            2 * _SENDS * _DOMAINS * _NOTICES_PER_S * _find_size("beat of 1 group"),
            _BYTES_PER_S,
            "B/s",
            "a digest a group; to come: fewer beats, each to those who route",
        ),
        _Line(
            "digests of demand, each passed on by both processes",
            2 * _SENDS * _NODES * _NOTICES_PER_S * _find_size("digest, 2 services"),
            _BYTES_PER_S,
            "B/s",
            "the cap on notices; to come: sums a failure domain",
        ),
        _Line(
            "parts for restarted processes",
            new_parts,
            _BYTES_PER_S,
            "B/s",
            "parts from a few peers",
        ),
        _Line(
            "gossip and configuration, core without sockets",
            core,
            _CORE_PERCENT,
            "%",
            "one comparison a second",
        ),
        _Line(
            "entry and control process at rest, core",
            sum(at_rest),
            _CORE_PERCENT,
            "%",
            "to come: fewer polls and timers, one process for both roles",
        ),
        _Line(
            "entry and control process at rest, memory",
            _sum_memory(),
            _MEMORY_MB,
            "MB",
            "interpreter and libraries; state by the slopes below",
        ),
        _Line(
            "planning one fabric domain, core, at its holder",
            max(row["cpu_ms"] for row in _list_rows("planner")) * _PLANS_PER_S / 10,
            _CORE_PERCENT,
            "%",
            "work grows with the VMs; one domain a node at most",
        ),
        _Line(
            "a change in force everywhere",
            large["in_force_s"],
            _IN_FORCE_S,
            "s",
            "watch, announcement, parts from peers",
        ),
        _Line(
            "store calls for the configuration, the whole fleet",
            calls,
            _READS_PER_S,
            "calls/s",
            "two watchers a failure domain",
        ),
        _Line(
            "store calls when all start at once, fullest second",
            large["restart_peak"],
            _READS_PER_S,
            "calls/s",
            "waits drawn at random; parts from peers",
        ),
    ]
    head = ["line", "at the coming size", "limit", "", "carried by"]
    return _make_table(head, [line.show() for line in lines])


@dataclass(frozen=True, slots=True)
class _Line:
    name: str
    value: float
    most: float
    unit: str
    carried_by: str

    def show(self) -> list[str]:
        verdict = "fits" if self.value <= self.most else "**does not fit yet**"
        return [
            self.name,
            f"{_write(self.value)} {self.unit}",
            f"{_write(self.most)} {self.unit}",
            verdict,
            self.carried_by,
        ]


def _write(value: float) -> str:
    return f"{value:,.0f}" if value >= _WHOLE_FROM else f"{value:.3g}"


def _find_size(notice: str) -> int:
    rows = _list_rows("messages")
    return int(next(r["bytes"] for r in rows if r["notice"].startswith(notice)))


def _find_largest(role: str, column: str) -> float:
    rows = [row for row in _list_rows("processes") if row["role"] == role]
    return float(max(row[column] for row in rows))


def _sum_memory() -> float:
    """Return the memory of both processes at the coming size, in MB."""
    state = _MEMBERS * _find_state("member") + _VMS * _find_state("vm")
    total = 2 * state / 2**20
    for role in ("entry", "control"):
        largest = max(row["processes"] for row in _list_rows("processes"))
        slope = max(0.0, _fit_processes(role, "memory_mb")[0])
        total += _find_largest(role, "memory_mb") + slope * (_MEMBERS - largest)
    return total


def _show_slopes() -> str:
    rows = []
    for role in ("entry", "control"):
        for column, unit in (
            ("core_percent", "% of a core"),
            ("memory_mb", "MB"),
            ("sent_bytes", "bytes/s"),
        ):
            slope, start, rest = _fit_processes(role, column)
            at = start + slope * _MEMBERS
            rows.append(
                [role, unit, f"{start:.2f}", f"{slope:.4f}", f"{rest:.2f}", f"{at:.1f}"]
            )
    head = ["role", "unit", "base", "a process more", "largest residual"]
    return _make_table([*head, f"line carried to {_MEMBERS}"], rows)


def _show_tokens() -> str:
    nodes = _NODES * (_FAILURE_DOMAINS - 1) / _FAILURE_DOMAINS
    rows = []
    for row in _list_rows("tokens"):
        cores = [
            _TOKENS_PER_S / count * row["cpu_us"] / 1e6 for count in (_NODES, nodes)
        ]
        rows.append(
            [
                row["streams"],
                row["tokens_a_write"],
                row["cpu_us"],
                f"{cores[0]:.2f}",
                f"{cores[1]:.2f}",
            ]
        )
    head = ["streams", "tokens a write", "us a token", "cores a node"]
    return _make_table([*head, "with a failure domain lost"], rows)


def _show_messages() -> str:
    return _show("messages", {"notice": "notice", "bytes": "bytes"})


def _show_planner() -> str:
    rows = _list_rows("planner")
    slope, start, rest = _fit([(row["vms"], row["cpu_ms"]) for row in rows])
    shown = [
        [
            row["vms"],
            f"{row['steps']:.0f}",
            f"{row['cpu_ms']:.2f}",
            f"{start + slope * row['vms']:.2f}",
            f"{row['runs']:.1f}",
        ]
        for row in rows
    ]
    shown.append(["largest residual", "", f"{rest:.2f}", "", ""])
    head = ["VMs", "steps a plan", "ms a plan", "by the fitted line", "plans a loss"]
    return _make_table(head, shown)


def _show_claims() -> str:
    return _show(
        "claims",
        {
            "keyed_per_s": "keyed calls/s",
            "calls_per_s": "store calls/s",
            "written_kb_per_s": "written kB/s",
        },
    )


_TABLES: dict[str, Callable[[], str]] = {
    "gossip": _show_gossip,
    "restart": _show_restart,
    "processes": _show_processes,
    "state": _show_state,
    "slopes": _show_slopes,
    "tokens": _show_tokens,
    "messages": _show_messages,
    "claims": _show_claims,
    "planner": _show_planner,
    "coming": _show_coming,
}


def main() -> None:
    """Write the page."""
    _PAGE.write_text(fill_page(_PAGE.read_text()))
    print(f"wrote {_PAGE.name}")


if __name__ == "__main__":
    main()
