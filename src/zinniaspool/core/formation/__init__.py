"""Replica groups on engines that join, open, close, leave and stage."""

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
