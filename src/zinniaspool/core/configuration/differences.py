"""Lists the differences between two configurations, for operators."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

import msgspec

from zinniaspool.core.configuration.parts import PartName

__all__ = ["DifferenceKind", "PartDifference", "compare_parts"]

_ABSENT = "absent"


class DifferenceKind(Enum):
    """How a part differs between two configurations."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


@dataclass(frozen=True, slots=True)
class PartDifference:
    """One part that differs.

    Attributes:
        kind: How the part differs.
        part: Name of the part.
        lines: For a changed part, one line for each value that differs, as
            ``path: old -> new``.
    """

    kind: DifferenceKind
    part: PartName
    lines: tuple[str, ...] = ()

    def __str__(self) -> str:
        output_lines = [f"{self.kind.value} {self.part}"]
        output_lines += [f"    {line}" for line in self.lines]
        return "\n".join(output_lines)


def compare_parts(
    before: Mapping[PartName, str], after: Mapping[PartName, str]
) -> list[PartDifference]:
    """Return the parts that differ between two configurations, by name."""
    differences = []
    for name in sorted({*before, *after}):
        if name not in before:
            differences.append(PartDifference(DifferenceKind.ADDED, name))
        elif name not in after:
            differences.append(PartDifference(DifferenceKind.REMOVED, name))
        elif before[name] != after[name]:
            lines = tuple(
                _list_differences(_decode(before[name]), _decode(after[name]), path="")
            )
            differences.append(PartDifference(DifferenceKind.CHANGED, name, lines))
    return differences


def _decode(content: str) -> Any:
    return msgspec.json.decode(content)


def _list_differences(before: Any, after: Any, path: str) -> Iterator[str]:
    if before == after:
        return
    if isinstance(before, dict) and isinstance(after, dict):
        yield from _list_item_differences(before, after, path)
        return
    if isinstance(before, list) and isinstance(after, list):
        yield from _list_item_differences(
            _index_by_name(before), _index_by_name(after), path
        )
        return
    yield f"{path}: {_format_value(before)} -> {_format_value(after)}"


def _list_item_differences(
    before: dict[str, Any], after: dict[str, Any], path: str
) -> Iterator[str]:
    for key in sorted({*before, *after}):
        item_path = f"{path}.{key}" if path else key
        if key not in before:
            yield f"{item_path}: {_ABSENT} -> {_format_value(after[key])}"
        elif key not in after:
            yield f"{item_path}: {_format_value(before[key])} -> {_ABSENT}"
        else:
            yield from _list_differences(before[key], after[key], item_path)


def _index_by_name(items: list[Any]) -> dict[str, Any]:
    """Return a list's items by name, so that their order does not matter.

    An item without a name is indexed by its position. If two names are equal,
    all items are indexed by position.
    """
    items_by_name = {}
    for position, item in enumerate(items):
        name = _find_name(item)
        items_by_name[name if name is not None else f"{position}"] = item
    return (
        items_by_name if len(items_by_name) == len(items) else _index_by_position(items)
    )


def _index_by_position(items: list[Any]) -> dict[str, Any]:
    return {f"{position}": item for position, item in enumerate(items)}


def _find_name(item: Any) -> str | None:
    if not isinstance(item, dict):
        return None
    for key in ("id", "name", "customer", "address"):
        if isinstance(item.get(key), str):
            return str(item[key])
    return None


def _format_value(value: Any) -> str:
    return msgspec.json.encode(value).decode()
