"""Problems that validation reports, and checks shared by its modules."""

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from enum import Enum

__all__ = ["Problem", "ProblemFile", "find_repeated", "is_address", "is_name"]

_MAX_PORT = 65535
"""Largest port number."""
_MAX_OCTET = 255
"""Largest value of one octet of an IPv4 address."""
_IPV4_OCTETS = 4
"""Octets of an IPv4 address."""
_NAME_CHARACTERS = frozenset("-._~")
"""Characters that a name may contain besides ASCII letters and digits."""


class ProblemFile(Enum):
    """The file of the operators that contains a problem."""

    INVENTORY = "inventory"
    RULES = "rules"


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem, in a form that the author of the file can act on.

    Attributes:
        file: File that contains the problem.
        path: Keys and array positions that lead to the value.
        found: The value in the file.
        accepted: The values that would be accepted instead.
    """

    file: ProblemFile
    path: tuple[str | int, ...]
    found: str
    accepted: str


def find_repeated(values: Iterable[Hashable]) -> list[tuple[int, int]]:
    """Return each position whose value occurs earlier, and the first one."""
    first_positions: dict[Hashable, int] = {}
    repeated = []
    for position, value in enumerate(values):
        if value in first_positions:
            repeated.append((position, first_positions[value]))
        first_positions.setdefault(value, position)
    return repeated


def is_address(value: str, min_port: int = 1) -> bool:
    """Return whether a value is an IP address and a port.

    IPv6 addresses are enclosed in brackets. Port 0 lets the system choose a
    port, which is useful only for addresses at which a process itself listens.
    """
    host, _, port = value.rpartition(":")
    if not (port.isdecimal() and port.isascii()):
        return False
    if not min_port <= int(port) <= _MAX_PORT:
        return False
    if host.startswith("[") and host.endswith("]"):
        return set(host[1:-1]) <= set("0123456789abcdefABCDEF:.") and ":" in host
    octets = host.split(".")
    return len(octets) == _IPV4_OCTETS and all(
        octet.isdecimal() and octet.isascii() and int(octet) <= _MAX_OCTET
        for octet in octets
    )


def is_name(value: str) -> bool:
    """Return whether a value needs no quoting in a path or a log line."""
    return bool(value) and all(
        (character.isascii() and character.isalnum()) or character in _NAME_CHARACTERS
        for character in value
    )
