"""What one process knows of the fleet: rules in force, instances, store."""

from zinniaspool.core.fleet.catalog import (
    CallerLimits,
    Catalog,
    CustomerSpec,
    EngineSpec,
    ModelSpec,
    RequestKind,
    RouteSpec,
    ServiceShare,
    ServiceSpec,
)
from zinniaspool.core.fleet.demands import DemandSums, ModelDemandNote
from zinniaspool.core.fleet.instances import (
    Instance,
    InstanceBook,
    InstanceId,
    InstanceLife,
    InstancePart,
    InstanceState,
    Membership,
    MembershipState,
    is_reborn,
)
from zinniaspool.core.fleet.loads import NO_LOAD, TargetLoad
from zinniaspool.core.fleet.mirror import Change, MirrorEvent, StoredItem, StoreMirror
from zinniaspool.core.fleet.nodes import (
    HELD_PREFIX,
    HOLDER_KEY,
    NODES_PREFIX,
    PLANS_PREFIX,
    HeldRecord,
    HolderRecord,
    NodeRecord,
    NodeState,
)
from zinniaspool.core.fleet.reachability import Reachability, TryOutcome
from zinniaspool.core.fleet.relays import FANOUT, choose_relays
from zinniaspool.core.fleet.status import EngineStatus
from zinniaspool.core.fleet.wholeness import WholeGroup, find_whole_groups

__all__ = [
    "HELD_PREFIX",
    "HeldRecord",
    "InstanceBook",
    "InstancePart",
    "FANOUT",
    "DemandSums",
    "ModelDemandNote",
    "choose_relays",
    "HOLDER_KEY",
    "NODES_PREFIX",
    "NO_LOAD",
    "PLANS_PREFIX",
    "CallerLimits",
    "Catalog",
    "Change",
    "CustomerSpec",
    "EngineSpec",
    "EngineStatus",
    "HolderRecord",
    "Instance",
    "InstanceId",
    "InstanceLife",
    "InstanceState",
    "Membership",
    "MembershipState",
    "MirrorEvent",
    "ModelSpec",
    "NodeRecord",
    "NodeState",
    "Reachability",
    "RequestKind",
    "RouteSpec",
    "ServiceShare",
    "ServiceSpec",
    "StoreMirror",
    "StoredItem",
    "TargetLoad",
    "TryOutcome",
    "WholeGroup",
    "find_whole_groups",
    "is_reborn",
]
