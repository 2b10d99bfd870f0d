"""What differs between two configurations, for a person."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from zinniaspool.core.configuration.parts import PartName

__all__ = ["DifferenceKind", "PartDifference", "compare_parts"]

_ABSENT = "absent"


class DifferenceKind(Enum):
    """What happened to a part."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclass(frozen=True, slots=True)
class PartDifference:
    """One part that differs.

    Attributes:
        kind: What happened to it.
        part: Its name.
        lines: For a changed part, each value that differs, as
            ``path: old -> new``.
    """

    kind: DifferenceKind
    part: PartName
    lines: tuple[str, ...] = ()

    def __str__(self) -> str:
        text = [f"{self.kind.value} {self.part}"]
        text += [f"    {line}" for line in self.lines]
        return "\n".join(text)


def compare_parts(
    before: Mapping[PartName, str], after: Mapping[PartName, str]
) -> list[PartDifference]:
    """Return what differs from one set of parts to another, by name."""
    differences = []
    for name in sorted({*before, *after}):
        if name not in before:
            differences.append(PartDifference(DifferenceKind.ADDED, name))
        elif name not in after:
            differences.append(PartDifference(DifferenceKind.REMOVED, name))
        elif before[name] != after[name]:
            lines = tuple(_compare(_read(before[name]), _read(after[name]), path=""))
            differences.append(PartDifference(DifferenceKind.CHANGED, name, lines))
    return differences


def _read(content: str) -> Any:
    return msgspec.json.decode(content)


def _compare(before: Any, after: Any, path: str) -> Iterator[str]:
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        yield from _compare_items(before, after, path)
        return
    if isinstance(before, list) and isinstance(after, list):
        yield from _compare_items(_index(before), _index(after), path)
        return
    yield f"{path}: {_write(before)} -> {_write(after)}"


def _compare_items(
    before: dict[str, Any], after: dict[str, Any], path: str
) -> Iterator[str]:
    for key in sorted({*before, *after}):
        inner = f"{path}.{key}" if path else key
        if key not in before:
            yield f"{inner}: {_ABSENT} -> {_write(after[key])}"
        elif key not in after:
            yield f"{inner}: {_write(before[key])} -> {_ABSENT}"
        else:
            yield from _compare(before[key], after[key], inner)


def _index(items: list[Any]) -> dict[str, Any]:
    """Return a list's items by what names them: a move is no change."""
    named = {}
    for place, item in enumerate(items):
        name = _find_name(item)
        named[name if name is not None else f"{place}"] = item
    return named if len(named) == len(items) else _number(items)


def _number(items: list[Any]) -> dict[str, Any]:
    return {f"{place}": item for place, item in enumerate(items)}


def _find_name(item: Any) -> str | None:
    if not isinstance(item, dict):
        return None
    for key in ("id", "name", "customer", "address"):
        if isinstance(item.get(key), str):
            return str(item[key])
    return None


def _write(value: Any) -> str:
    return msgspec.json.encode(value).decode()
