"""The project's own records in the store, and their keys."""

from enum import Enum

import msgspec

from zinniaspool.core.fleet.instances import InstanceId
from zinniaspool.core.ids import Address, FailureDomainId, NodeId

__all__ = [
    "HELD_PREFIX",
    "HOLDER_KEY",
    "NODES_PREFIX",
    "PLANS_PREFIX",
    "HeldRecord",
    "HolderRecord",
    "NodeRecord",
    "NodeState",
]

HOLDER_KEY = "zinnia/holder"
"""Who plans groups."""

NODES_PREFIX = "zinnia/nodes/"
"""Entry processes; each key goes with its process's lease."""

HELD_PREFIX = "zinnia/held/"
"""Contents that are sent to no upstream; each key goes with a lease."""

PLANS_PREFIX = "zinnia/plans/"
"""Replica groups by fabric domain; these last."""


class NodeState(Enum):
    """Whether callers may be sent to an entry process."""

    READY = "ready"
    LEAVING = "leaving"


class NodeRecord(msgspec.Struct, frozen=True):
    """An entry process as the others find it.

    Attributes:
        node: The VM's name.
        caller_address: Where callers connect.
        peer_address: Where other processes of ours connect.
        failure_domain: Where it runs.
        region: The region of that failure domain.
        state: Whether callers may be sent there.
        control_address: Where its control process can be followed; empty
            where there is none.
    """

    node: NodeId
    caller_address: Address
    peer_address: Address
    failure_domain: FailureDomainId
    region: str
    state: NodeState
    control_address: Address = Address("")


class HeldRecord(msgspec.Struct, frozen=True):
    """A content under which upstreams crashed.

    Attributes:
        node: Which VM's entry process found it out.
        crashed: The instances.
    """

    node: NodeId
    crashed: list[InstanceId]


class HolderRecord(msgspec.Struct, frozen=True):
    """The process that plans groups.

    Attributes:
        node: Its VM.
        peer_address: Where the others reach it.
        start: Tells its starts apart.
    """

    node: NodeId
    peer_address: Address
    start: str
