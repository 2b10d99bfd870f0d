"""The platform's spelling of what stands in its store."""

from result import Result

from zinniaspool.core.fleet import Catalog, EngineStatus, Instance
from zinniaspool.platform.entries import ENTRIES_PREFIX, amend_entry, read_entry
from zinniaspool.platform.rules import RULES_KEY, read_rules

__all__ = ["PlatformSpelling"]


class PlatformSpelling:
    """Entries and rules as the platform writes them."""

    entries_prefix = ENTRIES_PREFIX
    rules_key = RULES_KEY

    def read_entry(self, key: str, value: bytes) -> Result[Instance, str]:
        """Return the instance of an entry, or why it names none."""
        return read_entry(key, value)

    def amend_entry(self, value: bytes, status: EngineStatus) -> Result[bytes, str]:
        """Return an entry as its engine would write it now."""
        return amend_entry(value, status)

    def read_rules(self, value: bytes) -> Result[Catalog, str]:
        """Return the rules, or why they cannot be read."""
        return read_rules(value)
