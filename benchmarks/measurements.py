"""The committed measurement file that docs/CAPACITY.md is made from."""

import json
import sys
from pathlib import Path
from typing import Any

import msgspec

__all__ = ["MEASUREMENTS", "keep_rows", "load_rows", "print_rows"]

MEASUREMENTS = Path(__file__).parent.parent / "docs" / "capacity.json"
_WRITE = "--write"


def load_rows() -> dict[str, list[dict[str, Any]]]:
    """Return all measured rows by the benchmark that made them."""
    if not MEASUREMENTS.exists():
        return {}
    found: dict[str, list[dict[str, Any]]] = json.loads(MEASUREMENTS.read_text())
    return found


def print_rows(rows: list[dict[str, Any]]) -> None:
    """Print rows as a table."""
    names = list(rows[0])
    print(" | ".join(names))
    for row in rows:
        print(" | ".join(str(row[name]) for name in names))


def keep_rows(name: str, rows: list[Any]) -> None:
    """Print a benchmark's rows; with ``--write``, keep them in the file."""
    plain = [msgspec.to_builtins(row) for row in rows]
    print_rows(plain)
    if _WRITE not in sys.argv:
        return
    known = load_rows()
    known[name] = plain
    text = json.dumps(known, indent=1, sort_keys=True)
    MEASUREMENTS.write_text(text + "\n")
