"""Formation of replica groups on engines.

The holder plans which VMs form which group and orders their engines to join,
open, close, leave and stage models.
"""

from zinniaspool.core.formation.orders import (
    GroupOrder,
    OrderAction,
    OrderOutcome,
)
from zinniaspool.core.formation.planner import FormationPlanner, PlanWrite
from zinniaspool.core.formation.records import DomainPlan, GroupPhase, GroupRecord

__all__ = [
    "DomainPlan",
    "FormationPlanner",
    "GroupOrder",
    "GroupPhase",
    "GroupRecord",
    "OrderAction",
    "OrderOutcome",
    "PlanWrite",
]
