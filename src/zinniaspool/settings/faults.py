"""Faults in files that operators write, each with its position."""

from dataclasses import dataclass

__all__ = ["FileFault", "KeyPath", "SettingsError", "format_key"]

KeyPath = tuple[str | int, ...]
"""Keys and array indexes from the root of a document to a value."""


def format_key(path: KeyPath) -> str:
    """Format a path for messages, such as ``vms[3].address``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


@dataclass(frozen=True, slots=True)
class FileFault:
    """A fault in a file.

    Attributes:
        file: Path of the file, as given by the operator.
        line: Line number, counted from 1; 0 if the file cannot be read.
        key: Path of the faulty value; empty for the whole document.
        found: The faulty value, or a description of the fault.
        accepted: Description of the values that are accepted.
    """

    file: str
    line: int
    key: str
    found: str
    accepted: str

    def __str__(self) -> str:
        position = f"{self.file}:{self.line}" if self.line else self.file
        key = f"{self.key}: " if self.key else ""
        return f"{position}: {key}found {self.found}; accepted: {self.accepted}"


class SettingsError(Exception):
    """Files have faults. The message lists all of them, one per line."""

    def __init__(self, faults: list[FileFault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults
