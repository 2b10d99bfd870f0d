"""A process's view of the fleet: rules, instances and the store's keys."""

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
from zinniaspool.core.fleet.demands import (
    ClassDigest,
    DemandTotals,
    ModelDemandReport,
    ModelDigest,
)
from zinniaspool.core.fleet.instances import (
    Instance,
    InstanceId,
    InstanceIncarnation,
    InstancePartition,
    InstanceState,
    InstanceTable,
    Membership,
    MembershipState,
    has_restarted,
)
from zinniaspool.core.fleet.leaving import LeavingRun, LeavingRuns, LeavingSource
from zinniaspool.core.fleet.loads import NO_LOAD, TargetLoad
from zinniaspool.core.fleet.mirror import (
    MirrorChange,
    MirrorEvent,
    StoredItem,
    StoreMirror,
)
from zinniaspool.core.fleet.nodes import (
    HELD_PREFIX,
    HOLDER_KEY,
    NODES_PREFIX,
    PLANS_PREFIX,
    HolderRecord,
    NodeRecord,
    NodeState,
    QuarantineRecord,
)
from zinniaspool.core.fleet.paths import PathMonitor
from zinniaspool.core.fleet.reachability import ProbeOutcome, ReachabilityTracker
from zinniaspool.core.fleet.relays import FANOUT, choose_relays
from zinniaspool.core.fleet.removals import RemovedInstances, RetainedStates
from zinniaspool.core.fleet.retention import (
    Health,
    HealthAnswer,
    RetentionEnd,
    RetentionTracker,
    is_same_membership,
    may_retain,
)
from zinniaspool.core.fleet.status import EngineStatus
from zinniaspool.core.fleet.wholeness import CompleteGroup, find_complete_groups

__all__ = [
    "FANOUT",
    "HELD_PREFIX",
    "HOLDER_KEY",
    "NODES_PREFIX",
    "NO_LOAD",
    "PLANS_PREFIX",
    "CallerLimits",
    "Catalog",
    "CompleteGroup",
    "ClassDigest",
    "CustomerSpec",
    "DemandTotals",
    "EngineSpec",
    "EngineStatus",
    "Health",
    "HealthAnswer",
    "HolderRecord",
    "Instance",
    "InstanceId",
    "InstanceIncarnation",
    "InstancePartition",
    "InstanceState",
    "InstanceTable",
    "LeavingRun",
    "LeavingRuns",
    "LeavingSource",
    "Membership",
    "MembershipState",
    "MirrorChange",
    "MirrorEvent",
    "ModelDemandReport",
    "ModelDigest",
    "ModelSpec",
    "NodeRecord",
    "NodeState",
    "PathMonitor",
    "ProbeOutcome",
    "QuarantineRecord",
    "ReachabilityTracker",
    "RemovedInstances",
    "RequestKind",
    "RetainedStates",
    "RetentionEnd",
    "RetentionTracker",
    "RouteSpec",
    "ServiceShare",
    "ServiceSpec",
    "StoreMirror",
    "StoredItem",
    "TargetLoad",
    "choose_relays",
    "find_complete_groups",
    "has_restarted",
    "is_same_membership",
    "may_retain",
]
