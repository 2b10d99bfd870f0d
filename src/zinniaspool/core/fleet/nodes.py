"""The records that zinniaspool itself writes to the store, and their keys."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from zinniaspool.core.decoding import is_address, shorten
from zinniaspool.core.fleet.instances import InstanceId
from zinniaspool.core.ids import Address, FailureDomainId, NodeId

__all__ = [
    "HELD_PREFIX",
    "HOLDER_KEY",
    "NODES_PREFIX",
    "PLANS_PREFIX",
    "HolderRecord",
    "NodeRecord",
    "NodeState",
    "QuarantineRecord",
]

HOLDER_KEY = "zinnia/holder"
"""The key of the holder, the process that plans groups."""

NODES_PREFIX = "zinnia/nodes/"
"""Prefix of the entry processes' keys; each expires with its process's
lease."""

HELD_PREFIX = "zinnia/held/"
"""Prefix of the keys of quarantined traits, whose requests are sent to no
upstream; each expires with a lease."""

PLANS_PREFIX = "zinnia/plans/"
"""Prefix of the plans of replica groups, by fabric domain; these keys have no
lease and do not expire."""


class NodeState(Enum):
    """Whether an entry process accepts new callers."""

    READY = "ready"
    LEAVING = "leaving"


class NodeRecord(msgspec.Struct, frozen=True):
    """The record by which other processes find an entry process.

    Attributes:
        node: The VM's name.
        caller_address: Where callers connect.
        peer_address: Where other zinniaspool processes connect.
        failure_domain: The VM's failure domain.
        region: The region of that failure domain.
        state: Whether callers may be sent there.
        control_address: Where the VM's control process can be followed; empty
            if it has none.
        has_upstream_path: Whether the VM reaches upstreams by itself, and not
            only through other VMs.
    """

    node: NodeId
    caller_address: Address
    peer_address: Address
    failure_domain: FailureDomainId
    region: str
    state: NodeState
    control_address: Address = Address("")
    has_upstream_path: bool = True

    def find_fault(self) -> str | None:
        """Return why other processes can't use the record, or None."""
        addresses = [self.caller_address, self.peer_address]
        if self.control_address:
            addresses.append(self.control_address)
        return _find_address_fault(addresses)


class QuarantineRecord(msgspec.Struct, frozen=True):
    """A trait that is quarantined because upstreams crashed on it.

    Attributes:
        node: The VM whose entry process found this out.
        crashed: The instances that crashed.
        trials: How many of them crashed in a trial.
    """

    node: NodeId
    crashed: list[InstanceId]
    trials: int = 0


class HolderRecord(msgspec.Struct, frozen=True):
    """The process that plans groups.

    Attributes:
        node: The VM that it runs on.
        peer_address: Where other processes reach it.
        start: Identifies one start of the process.
    """

    node: NodeId
    peer_address: Address
    start: str

    def find_fault(self) -> str | None:
        """Return why other processes can't use the record, or None."""
        return _find_address_fault([self.peer_address])


def _find_address_fault(addresses: Iterable[Address]) -> str | None:
    wrong = [address for address in addresses if not is_address(address)]
    return f"not an IP address and port: {shorten(wrong[0])!r}" if wrong else None
