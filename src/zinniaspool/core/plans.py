"""Data types for group plans, engine orders and engine reports."""

from dataclasses import dataclass, field
from enum import Enum

from zinniaspool.core.ids import (
    CustomerId,
    Epoch,
    FabricDomainId,
    GroupId,
    ModelName,
    ModelVersion,
    VmId,
)

__all__ = [
    "DomainPlan",
    "DrainCause",
    "EngineReport",
    "EngineState",
    "ExcludedVm",
    "ExclusionReason",
    "GroupPlan",
    "GroupStage",
    "Order",
    "OrderKind",
    "VmListState",
    "VmListing",
]


class GroupStage(Enum):
    """What a plan requires of a group."""

    SERVING = "serving"
    """The group loads its model and then serves."""

    DRAINING = "draining"
    """The group accepts no new requests and finishes those that run."""

    RELEASING = "releasing"
    """The group has stopped. Its VMs are emptied, and are free once they have
    reported that they are empty."""


class DrainCause(Enum):
    """Why a group is drained, which also determines what happens next."""

    ROLLOUT = "rollout"
    """The group's VMs are to load the model's new version."""

    REPLACE = "replace"
    """One of the group's VMs leaves or is slow; the others continue with a
    spare VM."""

    REASSIGNED = "taken"
    """The group's VMs are needed for another model's guarantee."""

    SURPLUS = "surplus"
    """The configuration no longer requires the group."""


@dataclass(frozen=True, slots=True)
class GroupPlan:
    """One replica group of a plan.

    Attributes:
        id: The group's id; never reused for another set of VMs.
        model: The model that it loads.
        version: The model's version.
        customers: The customers whose requests it runs, sorted.
        vms: Its members; the first is the head, which receives the requests.
        epoch: Fencing token; increases with every change of the group.
        stage: What the plan requires of it.
        cause: Why it is drained; None while it serves.
        follows: The earlier group of the same customers whose VMs it
            continues with; those VMs keep their weights.
    """

    id: GroupId
    model: ModelName
    version: ModelVersion
    customers: tuple[CustomerId, ...]
    vms: tuple[VmId, ...]
    epoch: Epoch
    stage: GroupStage = GroupStage.SERVING
    cause: DrainCause | None = None
    follows: GroupId | None = None


class ExclusionReason(Enum):
    """Why a VM may not join a group."""

    ABSENT = "absent"
    LEAVING = "leaving"
    STRAGGLING = "straggling"


@dataclass(frozen=True, slots=True)
class ExcludedVm:
    """A VM that the domain's holder excludes from new groups."""

    vm: VmId
    reason: ExclusionReason


@dataclass(frozen=True, slots=True)
class DomainPlan:
    """All groups of one fabric domain, stored as one value and swapped whole.

    A VM is in at most one group because the whole plan is checked before one
    compare-and-swap replaces it. The excluded VMs are part of the plan too, so
    that every process computes the same share for every domain.

    Attributes:
        fabric_domain: The fabric domain.
        groups: Its groups, in the order in which they were formed.
        epoch: Increases with every swap.
        out: The VMs that may not join a group, sorted.
    """

    fabric_domain: FabricDomainId
    groups: tuple[GroupPlan, ...] = ()
    epoch: Epoch = Epoch(0)
    out: tuple[ExcludedVm, ...] = ()


class EngineState(Enum):
    """The state that an engine reports of itself."""

    EMPTY = "empty"
    LOADING = "loading"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The report of one VM's engine.

    Attributes:
        vm: The reporting VM.
        boot: Changes with every start of the engine.
        state: The engine's state.
        group: Its group, or None if it is empty.
        epoch: The epoch of the order that it follows.
        model: The model that it has loaded, or None if it is empty.
        version: The model's version.
        running: Requests in progress.
        waiting: Requests queued.
        tokens_per_s: Recent speed; that of a straggler is below its group's.
    """

    vm: VmId
    boot: str
    state: EngineState
    group: GroupId | None = None
    epoch: Epoch = Epoch(0)
    model: ModelName | None = None
    version: ModelVersion | None = None
    running: int = 0
    waiting: int = 0
    tokens_per_s: float = 0.0


class OrderKind(Enum):
    """The kinds of orders to an engine."""

    LOAD = "load"
    DRAIN = "drain"
    UNLOAD = "unload"
    """The engine drops the weights, the adapters and the KV cache."""


@dataclass(frozen=True, slots=True)
class Order:
    """An order to one VM's engine; its epoch is the fencing token."""

    kind: OrderKind
    vm: VmId
    epoch: Epoch
    group: GroupId | None = None
    model: ModelName | None = None
    version: ModelVersion | None = None
    members: tuple[VmId, ...] = field(default=())


class VmListState(Enum):
    """The state of a VM in the platform's list, which lags behind."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class VmListing:
    """One entry of the platform's list of VMs."""

    vm: VmId
    state: VmListState
