"""What validation reports, and checks that several of its parts share."""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from enum import Enum

__all__ = ["Problem", "ProblemFile", "find_repeated", "is_address", "is_name"]

_MOST_PORT = 65535
"""Largest port."""
_MOST_BYTE = 255
"""Largest number of an IP address's part."""
_BYTES_OF_IP = 4
"""Parts of an IPv4 address."""
_NAME_CHARACTERS = frozenset("-._~")


class ProblemFile(Enum):
    """Which of the operators' files a problem is in."""

    INVENTORY = "inventory"
    RULES = "rules"


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem, in a form that a reader of the file can act on.

    Attributes:
        file: Where it is.
        path: Keys and array positions down to the value.
        found: What stands there.
        accepted: What to write instead.
    """

    file: ProblemFile
    path: tuple[str | int, ...]
    found: str
    accepted: str


def find_repeated(values: Iterable[Hashable]) -> list[tuple[int, int]]:
    """Return each position whose value stood earlier, with that position."""
    first: dict[Hashable, int] = {}
    repeated = []
    for position, value in enumerate(values):
        if value in first:
            repeated.append((position, first[value]))
        first.setdefault(value, position)
    return repeated


def is_address(value: str, least_port: int = 1) -> bool:
    """Tell whether a value is an IP number and a port.

    IPv6 numbers stand in brackets. Port 0 lets the system choose one, which
    suits a process's own addresses only.
    """
    host, _, port = value.rpartition(":")
    if not (port.isdecimal() and port.isascii()):
        return False
    if not least_port <= int(port) <= _MOST_PORT:
        return False
    if host.startswith("[") and host.endswith("]"):
        return set(host[1:-1]) <= set("0123456789abcdefABCDEF:.") and ":" in host
    parts = host.split(".")
    return len(parts) == _BYTES_OF_IP and all(
        part.isdecimal() and part.isascii() and int(part) <= _MOST_BYTE
        for part in parts
    )


def is_name(value: str) -> bool:
    """Tell whether a value can stand in a path and a log line unquoted."""
    return bool(value) and all(
        (character.isascii() and character.isalnum()) or character in _NAME_CHARACTERS
        for character in value
    )
