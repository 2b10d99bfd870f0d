"""Replica groups: what to form, what to order, what may serve."""

from zinniaspool.core.groups.orders import decide_orders
from zinniaspool.core.groups.planner import plan_domain
from zinniaspool.core.groups.serving import SeenReport, find_serving

__all__ = ["SeenReport", "decide_orders", "find_serving", "plan_domain"]
