"""Replica groups: what to form, what to order, what may serve."""

from zinniaspool.core.groups.allocation import (
    Allocation,
    Placement,
    Shortfall,
    ShortfallKind,
    Withdrawal,
    allocate_fleet,
    is_kept,
)
from zinniaspool.core.groups.evidence import EvidenceBook, ServingGroup
from zinniaspool.core.groups.holder import (
    FleetKnowledge,
    Holder,
    HolderLimits,
    Proposal,
)
from zinniaspool.core.groups.index import FleetIndex
from zinniaspool.core.groups.inputs import DomainInput, count_serving
from zinniaspool.core.groups.loads import Load, LoadQueue
from zinniaspool.core.groups.orders import decide_orders
from zinniaspool.core.groups.planner import plan_domain
from zinniaspool.core.groups.repair import (
    BrokenGroup,
    ExpectedCost,
    RepairChoice,
    RepairDecision,
    RepairMeans,
    RepairPolicy,
    ReturnModel,
)
from zinniaspool.core.groups.serving import SeenReport, find_serving
from zinniaspool.core.groups.views import (
    ChangeKind,
    IdleReason,
    IdleVm,
    PlanChange,
    PlanStep,
    VmCondition,
    VmView,
)

__all__ = [
    "Allocation",
    "BrokenGroup",
    "ChangeKind",
    "DomainInput",
    "EvidenceBook",
    "ExpectedCost",
    "FleetIndex",
    "FleetKnowledge",
    "Holder",
    "HolderLimits",
    "IdleReason",
    "IdleVm",
    "Load",
    "LoadQueue",
    "Placement",
    "PlanChange",
    "PlanStep",
    "Proposal",
    "RepairChoice",
    "RepairDecision",
    "RepairMeans",
    "RepairPolicy",
    "ReturnModel",
    "SeenReport",
    "ServingGroup",
    "Shortfall",
    "ShortfallKind",
    "VmCondition",
    "VmView",
    "Withdrawal",
    "allocate_fleet",
    "count_serving",
    "decide_orders",
    "find_serving",
    "is_kept",
    "plan_domain",
]
