"""Decisions of several processes as one account, for whoever may see it."""

from collections.abc import Iterable
from dataclasses import replace

from zinniaspool.core.ids import CustomerId
from zinniaspool.core.journal import Decision

__all__ = [
    "CUSTOMERS_FIELD",
    "CUSTOMER_SUBJECT",
    "merge_decisions",
    "restrict_decisions",
]

CUSTOMERS_FIELD = "customers"
"""Field of a decision that names whom it concerns, separated by commas."""

CUSTOMER_SUBJECT = "customer:"
"""Begins the subject of a decision about one customer's request."""


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
        if customer not in _list_concerned(decision):
            continue
        fields = {
            name: value
            for name, value in decision.fields.items()
            if name != CUSTOMERS_FIELD
        }
        kept.append(replace(decision, subjects=(subject,), fields=fields))
    return kept


def _list_concerned(decision: Decision) -> set[str]:
    named = decision.fields.get(CUSTOMERS_FIELD, "").split(",")
    about = [
        subject.removeprefix(CUSTOMER_SUBJECT)
        for subject in decision.subjects
        if subject.startswith(CUSTOMER_SUBJECT)
    ]
    return {*named, *about}
