"""Write the tables of docs/CAPACITY.md from the committed measurements.

Run as ``python -m tools.write_capacity``. A table stands between the lines
``<!-- table NAME -->`` and ``<!-- end -->`` and is replaced as a whole. A
test keeps the page equal to what this makes from docs/capacity.json.
"""

import re
from collections.abc import Callable
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
_DAY_S = 86_400
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


def _judge(value: float, most: float) -> str:
    return "fits" if value <= most else "**does not fit yet**"


def _show_coming() -> str:
    large = _list_rows("gossip")[-1]
    peers_s = large["busy_messages"]
    wire = large["busy_bytes"] + peers_s * _SEGMENT_BYTES
    state_mb = (_MEMBERS * _find_state("member") + _VMS * _find_state("vm")) / 2**20
    base_mb = max(row["memory_mb"] for row in _list_rows("processes"))
    links_mb = (_MEMBERS - 18) * max(0.0, _fit_processes("entry", "memory_mb")[0])
    memory = base_mb + state_mb + links_mb
    core_ms = large["core_ms"]
    per_change = large["calls_a_change"]
    calls = large["idle_calls"] + per_change * _CHANGES_A_DAY / _DAY_S
    whole = large["whole_bytes"] * _CHANGES_A_DAY / _DAY_S
    rows = [
        [
            "membership and configuration, bytes a process",
            f"{wire:.0f} B/s",
            f"{_BYTES_PER_S} B/s a node",
            _judge(2 * wire, _BYTES_PER_S),
            "fixed fanout; only changed parts move",
        ],
        [
            "the same, first version (whole configuration a change)",
            f"{whole:.0f} B/s",
            f"{_BYTES_PER_S} B/s a node",
            _judge(whole, _BYTES_PER_S),
            "replaced by parts under one root",
        ],
        [
            "membership and configuration, core of a process",
            f"{core_ms / 10:.2f}% and sockets",
            f"{_CORE_PERCENT}% a node",
            _judge(core_ms / 10, _CORE_PERCENT),
            "one comparison a second",
        ],
        [
            "a change in force everywhere",
            f"{large['in_force_s']} s",
            f"{_IN_FORCE_S} s",
            _judge(large["in_force_s"], _IN_FORCE_S),
            "watch, announcement, parts from peers",
        ],
        [
            "memory of an entry process without requests",
            f"{memory:.0f} MB",
            f"{_MEMORY_MB} MB a node",
            _judge(2 * memory, _MEMORY_MB),
            "interpreter and libraries; state by the slopes below",
        ],
        [
            "store calls for the configuration",
            f"{calls:.1f}/s",
            f"{_READS_PER_S}/s",
            _judge(calls, _READS_PER_S),
            "two watchers a failure domain",
        ],
        [
            "store calls, all started at once, fullest second",
            f"{large['restart_peak']}/s",
            f"{_READS_PER_S}/s",
            _judge(large["restart_peak"], _READS_PER_S),
            "waits drawn at random; parts from peers",
        ],
        [
            "restarts",
            f"{_RESTARTS_A_DAY * large['whole_bytes'] / _DAY_S / _NODES:.1f} B/s",
            f"{_BYTES_PER_S} B/s a node",
            "fits",
            "a new process takes all parts from a few peers",
        ],
    ]
    return _make_table(["line", "at the coming size", "limit", "", "carried by"], rows)


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


_TABLES: dict[str, Callable[[], str]] = {
    "gossip": _show_gossip,
    "restart": _show_restart,
    "processes": _show_processes,
    "state": _show_state,
    "slopes": _show_slopes,
    "coming": _show_coming,
}


def main() -> None:
    """Write the page."""
    _PAGE.write_text(fill_page(_PAGE.read_text()))
    print(f"wrote {_PAGE.name}")


if __name__ == "__main__":
    main()
