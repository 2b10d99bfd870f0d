"""Replica groups: planning, repair, orders to engines, and serving groups."""

from zinniaspool.core.groups.allocation import (
    Allocation,
    Placement,
    Shortfall,
    ShortfallKind,
    Withdrawal,
    allocate_fleet,
    counts_for_model,
)
from zinniaspool.core.groups.evidence import (
    DomainEvidence,
    EvidenceTable,
    GroupEvidence,
    ServingGroup,
)
from zinniaspool.core.groups.holder import (
    Holder,
    HolderLimits,
    OtherDomainsView,
    PlanProposal,
)
from zinniaspool.core.groups.index import FleetIndex
from zinniaspool.core.groups.inputs import DomainInput, count_serving
from zinniaspool.core.groups.loads import WeightLoad, WeightLoadQueue
from zinniaspool.core.groups.orders import decide_orders
from zinniaspool.core.groups.planner import plan_domain
from zinniaspool.core.groups.repair import (
    BrokenGroup,
    ExpectedCostPolicy,
    RepairChoice,
    RepairDecision,
    RepairOptions,
    RepairPolicy,
    ReturnModel,
)
from zinniaspool.core.groups.serving import TimedReport, find_serving
from zinniaspool.core.groups.views import (
    ChangeKind,
    IdleReason,
    IdleVm,
    PlanChange,
    PlanningResult,
    VmCondition,
    VmView,
)

__all__ = [
    "Allocation",
    "BrokenGroup",
    "ChangeKind",
    "DomainEvidence",
    "DomainInput",
    "EvidenceTable",
    "ExpectedCostPolicy",
    "FleetIndex",
    "GroupEvidence",
    "Holder",
    "HolderLimits",
    "IdleReason",
    "IdleVm",
    "OtherDomainsView",
    "Placement",
    "PlanChange",
    "PlanProposal",
    "PlanningResult",
    "RepairChoice",
    "RepairDecision",
    "RepairOptions",
    "RepairPolicy",
    "ReturnModel",
    "ServingGroup",
    "Shortfall",
    "ShortfallKind",
    "TimedReport",
    "VmCondition",
    "VmView",
    "WeightLoad",
    "WeightLoadQueue",
    "Withdrawal",
    "allocate_fleet",
    "count_serving",
    "counts_for_model",
    "decide_orders",
    "find_serving",
    "plan_domain",
]
