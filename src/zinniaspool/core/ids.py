"""Types for identifiers and for numbers with a special meaning."""

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
    "PartHash",
    "PartName",
    "PromptPartId",
    "RequestId",
    "Revision",
    "ServiceName",
    "TraitId",
    "UpstreamId",
    "VmId",
    "split_address",
]

Address = NewType("Address", str)
"""An IP address and a port, such as ``10.0.0.1:8080``."""

ContentId = NewType("ContentId", str)
"""Identifies a request by its method, target, customer and body."""

CustomerId = NewType("CustomerId", str)
FabricDomainId = NewType("FabricDomainId", str)
"""VMs of one fabric domain share a fast interconnect."""

FailureDomainId = NewType("FailureDomainId", str)
"""VMs of one failure domain may fail together."""

GroupId = NewType("GroupId", str)
"""A replica group; never reused within its fabric domain."""

IdempotencyKey = NewType("IdempotencyKey", str)
ModelName = NewType("ModelName", str)
ModelVersion = NewType("ModelVersion", str)
NodeId = NewType("NodeId", str)
"""A zinniaspool process, by the name in its settings."""

PromptPartId = NewType("PromptPartId", str)
"""A part of a prompt, which requests of several callers may share."""

RequestId = NewType("RequestId", str)
ServiceName = NewType("ServiceName", str)
"""A model or a plain service, as callers name it in a path."""

TraitId = NewType("TraitId", str)
"""What requests may have in common: a content, a prompt part or a customer."""

UpstreamId = NewType("UpstreamId", str)
"""A receiver of requests: a replica group or a plain service's VM."""

VmId = NewType("VmId", str)

Epoch = NewType("Epoch", int)
"""Fencing token of a replica group: the store's revision of its plan."""

Incarnation = NewType("Incarnation", int)
"""Number that increases with each start of a process."""

PartName = NewType("PartName", str)
"""Kind and key of a part of the configuration, such as ``customer/care``."""

PartHash = NewType("PartHash", str)
"""Hash of a part's content; also the part's name in the store."""

Revision = NewType("Revision", int)
"""The store's modification number of a key; 0 stands for an absent key. It
includes the store's generation (core/generations.py)."""


def split_address(address: Address) -> tuple[str, int]:
    """Return the IP address and the port in the form that sockets expect."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
