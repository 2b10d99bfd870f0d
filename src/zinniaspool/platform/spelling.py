"""Codec for the records that the platform keeps in its store."""

from result import Result

from zinniaspool.core.fleet import Catalog, EngineStatus, Instance
from zinniaspool.platform.entries import (
    EVACUATIONS_PREFIX,
    INSTANCES_PREFIX,
    apply_status,
    decode_instance,
)
from zinniaspool.platform.rules import RULES_KEY, decode_rules

__all__ = ["PlatformCodec"]


class PlatformCodec:
    """Decodes instance records and rules in the platform's formats."""

    instances_prefix = INSTANCES_PREFIX
    evacuations_prefix = EVACUATIONS_PREFIX
    rules_key = RULES_KEY

    def decode_instance(self, key: str, value: bytes) -> Result[Instance, str]:
        """Return the instance of a record, or why the record is invalid."""
        return decode_instance(key, value)

    def apply_status(self, value: bytes, status: EngineStatus) -> Result[bytes, str]:
        """Return an instance record updated by its engine's status."""
        return apply_status(value, status)

    def decode_rules(self, value: bytes) -> Result[Catalog, str]:
        """Return the decoded rules, or why they are invalid."""
        return decode_rules(value)
