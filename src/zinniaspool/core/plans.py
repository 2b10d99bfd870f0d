"""Group plans, engine orders and engine reports: the groups' vocabulary."""

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
    "GroupPlan",
    "GroupStage",
    "Order",
    "OrderKind",
    "OutReason",
    "OutVm",
    "VmListing",
    "VmListState",
]


class GroupStage(Enum):
    """What a plan wants of a group."""

    SERVING = "serving"
    """Load, then serve."""

    DRAINING = "draining"
    """Take nothing new, finish what runs."""

    RELEASING = "releasing"
    """Stopped; its VMs are emptied and read back before they are free."""


class DrainCause(Enum):
    """Why a group is drained, and so what follows."""

    ROLLOUT = "rollout"
    """Its VMs load the model's new version."""

    REPLACE = "replace"
    """One of its VMs leaves or is slow; the others go on with a spare."""

    TAKEN = "taken"
    """Its VMs are needed for another model's guarantee."""

    SURPLUS = "surplus"
    """The configuration no longer asks for it."""


@dataclass(frozen=True, slots=True)
class GroupPlan:
    """One replica group of a plan.

    Attributes:
        id: Never used again for another set of VMs.
        model: What it loads.
        version: Which version.
        customers: Whose requests it runs, sorted.
        vms: Its members; the first one takes the requests.
        epoch: Fencing number; grows with every change of the group.
        stage: What is wanted of it.
        cause: Why it is drained; None while it serves.
        follows: The group of the same customers whose VMs it took over;
            those VMs keep their weights.
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


class OutReason(Enum):
    """Why a VM may not join a group."""

    ABSENT = "absent"
    LEAVING = "leaving"
    STRAGGLING = "straggling"


@dataclass(frozen=True, slots=True)
class OutVm:
    """A VM that the domain's holder found unfit for new groups."""

    vm: VmId
    reason: OutReason


@dataclass(frozen=True, slots=True)
class DomainPlan:
    """All groups of one fabric domain: one value in the store, swapped whole.

    A VM stands in at most one group because the whole plan is checked before
    one compare-and-swap replaces it. The VMs that are out stand in it as
    well, so that every process works out the same share for every domain.

    Attributes:
        fabric_domain: Which domain.
        groups: Its groups, in the order in which they were formed.
        epoch: Grows with every swap.
        out: The VMs that may not join a group, sorted.
    """

    fabric_domain: FabricDomainId
    groups: tuple[GroupPlan, ...] = ()
    epoch: Epoch = Epoch(0)
    out: tuple[OutVm, ...] = ()


class EngineState(Enum):
    """What an engine says of itself."""

    EMPTY = "empty"
    LOADING = "loading"
    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What one VM's engine reports.

    Attributes:
        vm: The reporting VM.
        boot: Changes with every start of the engine.
        state: What it does.
        group: Its group, or None when empty.
        epoch: The epoch of the order it follows.
        model: What it holds, or None when empty.
        version: Which version.
        running: Requests in progress.
        waiting: Requests queued.
        tokens_per_s: Recent speed; a straggler's falls behind its group's.
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
    """What an engine can be told."""

    LOAD = "load"
    DRAIN = "drain"
    UNLOAD = "unload"
    """Empty weights, adapters and KV cache."""


@dataclass(frozen=True, slots=True)
class Order:
    """An order to one VM's engine; the epoch is its fencing number."""

    kind: OrderKind
    vm: VmId
    epoch: Epoch
    group: GroupId | None = None
    model: ModelName | None = None
    version: ModelVersion | None = None
    members: tuple[VmId, ...] = field(default=())


class VmListState(Enum):
    """What the platform's lagging list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class VmListing:
    """One entry of the platform's list of VMs."""

    vm: VmId
    state: VmListState
