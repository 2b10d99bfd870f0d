"""Merges decisions of several processes and restricts them to one customer."""

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
"""Field of a decision with the customers that it concerns, separated by
commas."""

CUSTOMER_SUBJECT = "customer:"
"""Prefix of the subject that names a customer, in decisions about requests."""


def merge_decisions(
    decisions_by_process: Iterable[Iterable[Decision]],
) -> list[Decision]:
    """Return the decisions of several processes in the order of their times.

    The clocks of VMs differ slightly, so decisions of different processes
    that are close in time may be in the wrong order; the decisions of one
    process never are.
    """
    merged = [decision for decisions in decisions_by_process for decision in decisions]
    return sorted(merged, key=lambda decision: (decision.at, decision.number))


def restrict_decisions(
    decisions: Iterable[Decision], customer: CustomerId, subject: str
) -> list[Decision]:
    """Return what the operators of one customer may see.

    Only decisions that concern the customer are kept. The field with the
    customers' names is removed from them, as are all subjects except the
    requested one: a decision may also be about another customer's group or
    model.
    """
    kept = []
    for decision in decisions:
        if customer not in _list_customers(decision):
            continue
        fields = {
            name: value
            for name, value in decision.fields.items()
            if name != CUSTOMERS_FIELD
        }
        kept.append(replace(decision, subjects=(subject,), fields=fields))
    return kept


def _list_customers(decision: Decision) -> set[str]:
    named = decision.fields.get(CUSTOMERS_FIELD, "").split(",")
    about = [
        subject.removeprefix(CUSTOMER_SUBJECT)
        for subject in decision.subjects
        if subject.startswith(CUSTOMER_SUBJECT)
    ]
    return {*named, *about}
