"""How instances and rules are written in the store."""

from typing import Protocol

from result import Result

from zinniaspool.core.fleet import Catalog, EngineStatus, Instance

__all__ = ["FleetSpelling"]


class FleetSpelling(Protocol):
    """Reads what others write in the store.

    Attributes:
        entries_prefix: Instances write their entries below it.
        rules_key: The operator's rules are there.
    """

    entries_prefix: str
    rules_key: str

    def read_entry(self, key: str, value: bytes) -> Result[Instance, str]:
        """Return the instance of an entry, or why it names none."""
        ...

    def amend_entry(self, value: bytes, status: EngineStatus) -> Result[bytes, str]:
        """Return an entry as its engine would write it now."""
        ...

    def read_rules(self, value: bytes) -> Result[Catalog, str]:
        """Return the rules, or why they cannot be read."""
        ...
