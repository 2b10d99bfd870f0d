"""Identifiers and numbers with a meaning of their own."""

from typing import NewType

__all__ = [
    "Address",
    "ContentId",
    "CustomerId",
    "Epoch",
    "FabricDomainId",
    "FailureDomainId",
    "GroupId",
    "IdempotencyKey",
    "Incarnation",
    "ModelName",
    "ModelVersion",
    "NodeId",
    "RequestId",
    "PartHash",
    "PartName",
    "Revision",
    "ServiceName",
    "UpstreamId",
    "VmId",
    "split_address",
]

Address = NewType("Address", str)
"""An IP number and a port, ``10.0.0.1:8080``."""

ContentId = NewType("ContentId", str)
"""Names a request by its caller, its target and its body."""

CustomerId = NewType("CustomerId", str)
FabricDomainId = NewType("FabricDomainId", str)
"""VMs of one fabric domain share a fast interconnect."""

FailureDomainId = NewType("FailureDomainId", str)
"""VMs of one failure domain may fail together."""

GroupId = NewType("GroupId", str)
"""A replica group, unique over its fabric domain's whole history."""

IdempotencyKey = NewType("IdempotencyKey", str)
ModelName = NewType("ModelName", str)
ModelVersion = NewType("ModelVersion", str)
NodeId = NewType("NodeId", str)
"""A process of ours, by the name in its settings."""

RequestId = NewType("RequestId", str)
ServiceName = NewType("ServiceName", str)
"""What callers name in a path: a model or a plain service."""

UpstreamId = NewType("UpstreamId", str)
"""Where a request can be sent: a replica group or a plain service's VM."""

VmId = NewType("VmId", str)

Epoch = NewType("Epoch", int)
"""Fencing number of a replica group: the store's revision of its plan."""

Incarnation = NewType("Incarnation", int)
"""Grows with each start of one node."""

PartName = NewType("PartName", str)
"""Kind and key of a part, ``customer/care``."""

PartHash = NewType("PartHash", str)
"""Hash of a part's content; its name in the store."""

Revision = NewType("Revision", int)
"""The store's modification number of a key; 0 says that it is absent."""


def split_address(address: Address) -> tuple[str, int]:
    """Return an address's IP number and port as sockets take them."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
