"""Values checked against typed models, every fault at once."""

import dataclasses
import difflib
import json
import types
import typing
from typing import Any, Generic, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from pydantic_core import ErrorDetails

from zinniaspool.settings.documents import Document
from zinniaspool.settings.faults import FileFault, KeyPath, SettingsError, format_key

__all__ = ["check_document", "list_keys"]

_T = TypeVar("_T")
_UNKNOWN_KEY = frozenset({"extra_forbidden", "unexpected_keyword_argument"})
_TOO_SHORT = "too_short"
_MISSING = frozenset({"missing"})
_PREFIXES = ("Value error, ", "Input should be ")
_LONGEST_FOUND = 60
"""Characters of a faulty value that a message quotes."""


class _Checked(BaseModel, Generic[_T]):
    """Refuses unknown keys, in the dataclasses of the core as well.

    They are plain ones, which take the configuration of the model around
    them.
    """

    model_config = ConfigDict(extra="forbid")

    value: _T


def check_document(document: Document, kind: type[_T], *, on_vm: bool = False) -> _T:
    """Return a document's value as an instance of a type.

    Args:
        document: What was read.
        kind: A pydantic model or a dataclass.
        on_vm: Whether files that the value names must be readable here.

    Raises:
        SettingsError: It holds faults; all of them are named.
    """
    text = f'{{"value":{document.text}}}'
    checked: Any = _Checked.__class_getitem__(kind)
    try:
        found = checked.model_validate_json(text, strict=True, context={"on_vm": on_vm})
    except ValidationError as error:
        raise SettingsError(_list_faults(document, kind, error)) from error
    value: _T = found.value
    return value


def list_keys(kind: Any, path: KeyPath) -> list[str]:
    """Return the keys that an object at a path may have."""
    for step in path:
        kind = _step_into(kind, step)
    return sorted(_get_fields(_strip_optional(kind)))


def _list_faults(
    document: Document, kind: type[Any], error: ValidationError
) -> list[FileFault]:
    details = _drop_followers(error.errors(include_url=False))
    paths = [tuple(fault["loc"][1:]) for fault in details]
    lines = document.find_lines(paths)
    faults = [
        FileFault(
            document.file,
            lines[path],
            format_key(path),
            _describe_found(fault),
            _describe_accepted(fault, kind, path),
        )
        for fault, path in zip(details, paths, strict=True)
    ]
    return sorted(faults, key=lambda fault: fault.line)


def _drop_followers(details: list[ErrorDetails]) -> list[ErrorDetails]:
    """Leave out arrays that are too short only for their faulty items."""
    places = [fault["loc"] for fault in details]
    return [
        fault
        for fault in details
        if fault["type"] != _TOO_SHORT
        or not any(
            len(place) > len(fault["loc"])
            and place[: len(fault["loc"])] == fault["loc"]
            for place in places
        )
    ]


def _describe_found(fault: ErrorDetails) -> str:
    if fault["type"] in _MISSING:
        return "nothing"
    if fault["type"] in _UNKNOWN_KEY:
        return "an unknown key"
    found = json.dumps(fault["input"], ensure_ascii=False, default=str)
    if len(found) > _LONGEST_FOUND:
        return found[:_LONGEST_FOUND] + "..."
    return found


def _describe_accepted(fault: ErrorDetails, kind: type[Any], path: KeyPath) -> str:
    if fault["type"] in _MISSING:
        return "a value; the key is required"
    if fault["type"] in _UNKNOWN_KEY:
        keys = list_keys(kind, path[:-1])
        close = difflib.get_close_matches(str(path[-1]), keys, 1)
        meant = f"{close[0]!r} is near; " if close else ""
        return f"{meant}one of {', '.join(keys)}"
    message = fault["msg"]
    for prefix in _PREFIXES:
        message = message.removeprefix(prefix)
    return message


def _step_into(kind: Any, step: str | int) -> Any:
    kind = _strip_optional(kind)
    if isinstance(step, int):
        arguments = typing.get_args(kind)
        return arguments[0] if arguments else None
    return _get_fields(kind).get(step)


def _get_fields(kind: Any) -> dict[str, Any]:
    if isinstance(kind, type) and issubclass(kind, BaseModel):
        return {name: info.annotation for name, info in kind.model_fields.items()}
    if isinstance(kind, type) and dataclasses.is_dataclass(kind):
        return typing.get_type_hints(kind)
    return {}


def _strip_optional(kind: Any) -> Any:
    if typing.get_origin(kind) not in (typing.Union, types.UnionType):
        return kind
    return next(one for one in typing.get_args(kind) if one is not type(None))
