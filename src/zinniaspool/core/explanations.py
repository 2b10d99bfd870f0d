"""Decisions of several processes as one account, for whoever may see it."""

from collections.abc import Iterable
from dataclasses import replace

from zinniaspool.core.ids import CustomerId
from zinniaspool.core.journal import Decision

__all__ = ["CUSTOMERS_FIELD", "merge_decisions", "restrict_decisions"]

CUSTOMERS_FIELD = "customers"
"""Field of a decision that names whom it concerns, separated by commas."""


def merge_decisions(found: Iterable[Iterable[Decision]]) -> list[Decision]:
    """Return the decisions of several processes in the order of their times.

    The clocks of VMs differ a little, so decisions of different processes
    within a moment may stand in the wrong order; those of one never do.
    """
    together = [decision for decisions in found for decision in decisions]
    return sorted(together, key=lambda decision: (decision.at, decision.number))


def restrict_decisions(
    decisions: Iterable[Decision], customer: CustomerId, subject: str
) -> list[Decision]:
    """Return what one customer's operators may see.

    Only decisions that concern the customer stay. Of these the other
    customers' names go, and all subjects but the one asked about: a decision
    may also be about another customer's group or model.
    """
    kept = []
    for decision in decisions:
        concerned = decision.fields.get(CUSTOMERS_FIELD, "").split(",")
        if customer not in concerned:
            continue
        fields = {
            name: value
            for name, value in decision.fields.items()
            if name != CUSTOMERS_FIELD
        }
        kept.append(replace(decision, subjects=(subject,), fields=fields))
    return kept
