"""Validation of documents against typed models, which reports all faults."""

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
_MAX_QUOTED_CHARS = 60
"""Maximum number of characters of a faulty value that a message quotes."""


class _StrictValue(BaseModel, Generic[_T]):
    """Wraps a value so that unknown keys are rejected in dataclasses too.

    The dataclasses of the core are plain ones. Pydantic validates them with
    the configuration of the model that contains them.
    """

    model_config = ConfigDict(extra="forbid")

    value: _T


def check_document(document: Document, kind: type[_T], *, on_vm: bool = False) -> _T:
    """Validate the value of a document and return it as a typed instance.

    Args:
        document: The parsed file.
        kind: A pydantic model or a dataclass.
        on_vm: Whether this is the VM that the value is for, so that the files
            that it names must be readable.

    Raises:
        SettingsError: The value has faults. The error lists all of them.
    """
    text = f'{{"value":{document.text}}}'
    model: Any = _StrictValue.__class_getitem__(kind)
    try:
        found = model.model_validate_json(text, strict=True, context={"on_vm": on_vm})
    except ValidationError as error:
        raise SettingsError(_list_faults(document, kind, error)) from error
    value: _T = found.value
    return value


def list_keys(kind: Any, path: KeyPath) -> list[str]:
    """Return the accepted keys of the object at a path, sorted."""
    for part in path:
        kind = _get_member_type(kind, part)
    return sorted(_get_fields(_strip_optional(kind)))


def _list_faults(
    document: Document, kind: type[Any], error: ValidationError
) -> list[FileFault]:
    details = _drop_consequences(error.errors(include_url=False))
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


def _drop_consequences(details: list[ErrorDetails]) -> list[ErrorDetails]:
    """Remove "too short" faults of arrays that contain faulty items.

    Faulty items do not count, so such an array may be too short only because
    of them.
    """
    locations = [fault["loc"] for fault in details]
    return [
        fault
        for fault in details
        if fault["type"] != _TOO_SHORT
        or not any(
            len(location) > len(fault["loc"])
            and location[: len(fault["loc"])] == fault["loc"]
            for location in locations
        )
    ]


def _describe_found(fault: ErrorDetails) -> str:
    if fault["type"] in _MISSING:
        return "nothing"
    if fault["type"] in _UNKNOWN_KEY:
        return "an unknown key"
    found = json.dumps(fault["input"], ensure_ascii=False, default=str)
    if len(found) > _MAX_QUOTED_CHARS:
        return found[:_MAX_QUOTED_CHARS] + "..."
    return found


def _describe_accepted(fault: ErrorDetails, kind: type[Any], path: KeyPath) -> str:
    if fault["type"] in _MISSING:
        return "a value; the key is required"
    if fault["type"] in _UNKNOWN_KEY:
        keys = list_keys(kind, path[:-1])
        close = difflib.get_close_matches(str(path[-1]), keys, 1)
        hint = f"probably {close[0]!r}; " if close else ""
        return f"{hint}one of {', '.join(keys)}"
    message = fault["msg"]
    for prefix in _PREFIXES:
        message = message.removeprefix(prefix)
    return message


def _get_member_type(kind: Any, key: str | int) -> Any:
    kind = _strip_optional(kind)
    if isinstance(key, int):
        arguments = typing.get_args(kind)
        return arguments[0] if arguments else None
    return _get_fields(kind).get(key)


def _get_fields(kind: Any) -> dict[str, Any]:
    if isinstance(kind, type) and issubclass(kind, BaseModel):
        return {name: info.annotation for name, info in kind.model_fields.items()}
    if isinstance(kind, type) and dataclasses.is_dataclass(kind):
        return typing.get_type_hints(kind)
    return {}


def _strip_optional(kind: Any) -> Any:
    if typing.get_origin(kind) not in (typing.Union, types.UnionType):
        return kind
    return next(member for member in typing.get_args(kind) if member is not type(None))
