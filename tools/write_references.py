"""Write the pages of docs/ that are made from the code.

Run as ``python -m tools.write_references``; ``--check`` writes nothing and
names the pages that differ from the code. A test runs the check.
"""

import ast
import dataclasses
import inspect
import json
import re
import sys
import typing
from collections.abc import Callable, Iterator, Sequence
from enum import Enum
from pathlib import Path
from typing import Any

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from zinniaspool.core.deployment import (
    CustomerRule,
    Inventory,
    ModelRule,
    RepairWeights,
    Rules,
    ServiceRule,
    ServiceUpstream,
    Share,
    Vm,
)
from zinniaspool.core.errors import ERROR_ANSWERS, ErrorKind, Outcome
from zinniaspool.core.journal import DecisionKind
from zinniaspool.settings import ControlSettings, EntrySettings, TlsFiles
from zinniaspool.telemetry import LOG_EVENTS

__all__ = ["PAGES", "find_logged_events", "main"]

_ROOT = Path(__file__).parent.parent
_MADE = (
    "This page is made from the code by `python -m tools.write_references`;"
    " `./check` fails when it differs.\n"
)
_LOG_METHODS = {"debug", "info", "warning", "error", "exception"}


def write_settings() -> str:
    """Return the page of settings."""
    parts = [
        "# Settings\n",
        _MADE,
        "Files are JSON with comments (`//`, `/* */`) and trailing commas."
        " `zinniaspool check FILE` names every fault of a file; a process"
        " makes the same check when it starts, and ends with status 2 if"
        " there are any. A process learns its addresses and its failure"
        " domain from its settings alone.\n",
    ]
    for title, kind in (
        ("`zinniaspool-entry`", EntrySettings),
        ("`zinniaspool-control`", ControlSettings),
        ("TLS files (`caller_tls`, `peer_tls`)", TlsFiles),
    ):
        parts.append(f"## {title}\n")
        parts.append(_make_table(kind))
    parts.append("# Inventory and rules\n")
    for described in (
        Inventory,
        Vm,
        Rules,
        CustomerRule,
        ModelRule,
        ServiceRule,
        ServiceUpstream,
        Share,
        RepairWeights,
    ):
        parts.append(f"## {described.__name__}\n")
        parts.append(f"{(described.__doc__ or '').splitlines()[0]}\n")
        parts.append(_make_dataclass_table(described))
    return "\n".join(parts)


def write_errors() -> str:
    """Return the page of error kinds."""
    rows = [
        (
            f"`{kind.value}`",
            str(ERROR_ANSWERS[kind].status),
            f"`{ERROR_ANSWERS[kind].outcome.value}`",
            str(ERROR_ANSWERS[kind].retry_after or "-"),
            ERROR_ANSWERS[kind].message,
        )
        for kind in ErrorKind
    ]
    outcomes = [
        (f"`{outcome.value}`", text)
        for outcome, text in zip(Outcome, _find_docstrings(Outcome), strict=True)
    ]
    return "\n".join(
        [
            "# Errors\n",
            _MADE,
            "Every answer that is an error names one kind of this closed list"
            " in its body (`error`) and says in `x-outcome` whether the"
            " request ran. `Retry-After` may be larger than the table's"
            " where the occurrence knows better.\n",
            _format_table(("outcome", "what it promises"), outcomes),
            _format_table(("kind", "status", "outcome", "retry after", "says"), rows),
        ]
    )


def write_events() -> str:
    """Return the page of log events."""
    decisions = [
        (f"`{kind.value}`", text)
        for kind, text in zip(DecisionKind, _find_docstrings(DecisionKind), strict=True)
    ]
    events = [(f"`{name}`", text) for name, text in sorted(LOG_EVENTS.items())]
    return "\n".join(
        [
            "# Log events\n",
            _MADE,
            "A process writes one line of `key=value` pairs for each event to"
            " standard error: `timestamp`, `level`, `event`, `program`, `node`"
            " and the event's own keys. Event names are stable. No credential"
            " and no text that a caller sent is ever logged.\n",
            "## Decisions\n",
            "These are also kept in a bounded ring, counted as"
            " `zinniaspool_decisions_total`, and told by `zinniaspool explain`.\n",
            _format_table(("event", "when"), decisions),
            "## Other events\n",
            _format_table(("event", "when"), events),
        ]
    )


PAGES: dict[str, Callable[[], str]] = {
    "docs/settings.md": write_settings,
    "docs/errors.md": write_errors,
    "docs/log-events.md": write_events,
}


def find_logged_events() -> Iterator[tuple[Path, str]]:
    """Yield each literal event name that the product logs, with its file."""
    for path in sorted((_ROOT / "src/zinniaspool").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            called, name = node.func, node.args[0]
            if (
                isinstance(called, ast.Attribute)
                and called.attr in _LOG_METHODS
                and isinstance(called.value, ast.Name)
                and called.value.id == "_log"
                and isinstance(name, ast.Constant)
            ):
                yield path, str(name.value)


def main() -> int:
    """Write the pages, or with ``--check`` name those that differ."""
    differing = [
        path
        for path, write in PAGES.items()
        if not (_ROOT / path).exists() or (_ROOT / path).read_text() != write()
    ]
    if "--check" in sys.argv[1:]:
        print("\n".join(f"{path} differs from the code" for path in differing))
        return 1 if differing else 0
    for path in differing:
        (_ROOT / path).write_text(PAGES[path]())
        print(f"wrote {path}")
    return 0


def _make_table(kind: type[BaseModel]) -> str:
    rows = [
        (
            f"`{name}`",
            _describe_type(field.annotation),
            _describe_default(field),
            _describe_field(field),
        )
        for name, field in kind.model_fields.items()
    ]
    return _format_table(("key", "type", "default", "meaning"), rows)


def _make_dataclass_table(kind: type[Any]) -> str:
    meanings = _read_attributes(kind)
    hints = typing.get_type_hints(kind)
    rows = [
        (
            f"`{field.name}`",
            _describe_type(hints[field.name]),
            _describe_plain_default(field),
            meanings.get(field.name, ""),
        )
        for field in dataclasses.fields(kind)
    ]
    return _format_table(("key", "type", "default", "meaning"), rows)


def _describe_plain_default(field: "dataclasses.Field[Any]") -> str:
    if field.default is dataclasses.MISSING:
        return "required"
    value = field.default
    return f"`{json.dumps(value.value if isinstance(value, Enum) else value)}`"


def _read_attributes(kind: type[Any]) -> dict[str, str]:
    """Return the meaning of each attribute that a docstring lists."""
    text = inspect.cleandoc(kind.__doc__ or "").partition("Attributes:\n")[2]
    found: dict[str, str] = {}
    for entry in re.split(r"\n(?=    \S)", text):
        name, _, meaning = entry.partition(":")
        found[name.strip()] = " ".join(meaning.split()).replace("``", "`")
    return found


def _describe_type(kind: Any) -> str:
    if typing.get_origin(kind) is tuple:
        return f"array of {_describe_type(typing.get_args(kind)[0])}"
    if typing.get_origin(kind) is typing.Annotated:
        return _describe_type(typing.get_args(kind)[0])
    options = [one for one in typing.get_args(kind) if one is not type(None)]
    if options:
        return " or ".join(dict.fromkeys(map(_describe_type, options)))
    if hasattr(kind, "__supertype__"):
        return _describe_type(kind.__supertype__)
    names = {str: "string", int: "integer", float: "number", bool: "true or false"}
    if isinstance(kind, type) and issubclass(kind, Enum):
        return " or ".join(f"`{member.value}`" for member in kind)
    return names.get(kind, getattr(kind, "__name__", str(kind)))


def _describe_default(field: FieldInfo) -> str:
    if field.is_required():
        return "required"
    if field.default is None:
        return "none"
    return f"`{json.dumps(field.default)}`"


def _describe_field(field: FieldInfo) -> str:
    bounds = [
        f"{word} {getattr(bound, name)}"
        for bound in field.metadata
        for name, word in (
            ("gt", "more than"),
            ("ge", "at least"),
            ("lt", "less than"),
            ("le", "at most"),
        )
        if getattr(bound, name, None) is not None
    ]
    text = field.description or ""
    return f"{text} ({', '.join(bounds)})" if bounds else text


def _find_docstrings(kind: type[Enum]) -> list[str]:
    """Return the string under each member of an enum, as the page says it."""
    module = sys.modules[kind.__module__].__file__
    assert module is not None
    tree = ast.parse(Path(module).read_text())
    body = next(
        node.body
        for node in tree.body
        if isinstance(node, ast.ClassDef) and node.name == kind.__name__
    )
    found: dict[str, str] = {}
    name = ""
    for node in body:
        if isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Name):
            name = node.targets[0].id
        elif name and isinstance(node, ast.Expr):
            found[name] = " ".join(ast.literal_eval(node.value).split())
    return [found.get(member.name, "") for member in kind]


def _format_table(head: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    lines = [head, tuple("---" for _ in head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


if __name__ == "__main__":
    sys.exit(main())
