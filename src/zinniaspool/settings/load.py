"""Reading settings files."""

from pathlib import Path
from typing import TypeVar

import json5
from pydantic import BaseModel, ValidationError

__all__ = ["SettingsError", "load_settings"]

_Settings = TypeVar("_Settings", bound=BaseModel)


class SettingsError(Exception):
    """A settings file that cannot be used; its text names every fault."""


def load_settings(path: Path, kind: type[_Settings]) -> _Settings:
    """Return the settings in a file of JSON with comments.

    Raises:
        SettingsError: The file cannot be read or holds faults.
    """
    try:
        return kind.model_validate(json5.loads(path.read_text()))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except ValidationError as error:
        lines = [
            f"{path}: {'.'.join(map(str, fault['loc']))}: {fault['msg']}"
            for fault in error.errors()
        ]
        raise SettingsError("\n".join(lines)) from error
