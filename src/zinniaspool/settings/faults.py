"""What is wrong in a file that operators wrote, and where."""

from dataclasses import dataclass

__all__ = ["FileFault", "KeyPath", "SettingsError", "format_key"]

KeyPath = tuple[str | int, ...]
"""Keys and array positions from the top of a document to one value."""


def format_key(path: KeyPath) -> str:
    """Return a path as operators read it: ``vms[3].address``."""
    text = ""
    for step in path:
        if isinstance(step, int):
            text += f"[{step}]"
        else:
            text += f".{step}" if text else step
    return text


@dataclass(frozen=True, slots=True)
class FileFault:
    """One fault of one file.

    Attributes:
        file: As the operator named it.
        line: From 1; 0 where the file could not be read at all.
        key: The faulty value's path, empty for the whole document.
        found: What stands there.
        accepted: What may stand there instead.
    """

    file: str
    line: int
    key: str
    found: str
    accepted: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        key = f"{self.key}: " if self.key else ""
        return f"{place}: {key}found {self.found}; accepted: {self.accepted}"


class SettingsError(Exception):
    """Files that cannot be used; its text names every fault, one a line."""

    def __init__(self, faults: list[FileFault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults
