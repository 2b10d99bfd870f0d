"""Interface for the formats of instance records and rules in the store."""

from typing import Protocol

from result import Result

from zinniaspool.core.fleet import Catalog, EngineStatus, Instance

__all__ = ["FleetCodec"]


class FleetCodec(Protocol):
    """Decodes what instances and operators write in the store.

    Attributes:
        instances_prefix: Prefix of the keys of instance records.
        evacuations_prefix: Prefix of the keys of evacuation orders; the rest
            of a key names the failure domain.
        rules_key: Key of the operator's rules.
    """

    instances_prefix: str
    evacuations_prefix: str
    rules_key: str

    def decode_instance(self, key: str, value: bytes) -> Result[Instance, str]:
        """Return the instance of a record, or why the record is invalid."""
        ...

    def apply_status(self, value: bytes, status: EngineStatus) -> Result[bytes, str]:
        """Return an instance record updated by its engine's status."""
        ...

    def decode_rules(self, value: bytes) -> Result[Catalog, str]:
        """Return the decoded rules, or why they are invalid."""
        ...
