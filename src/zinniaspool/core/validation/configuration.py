"""Checks of the rules against the inventory."""

from collections.abc import Iterator

from zinniaspool.core.deployment import Configuration, ModelRule
from zinniaspool.core.ids import Address, CustomerId
from zinniaspool.core.validation.inventory import check_inventory
from zinniaspool.core.validation.placement import place_guaranteed_groups
from zinniaspool.core.validation.problems import Problem, ProblemFile
from zinniaspool.core.validation.rules import check_rules

__all__ = ["validate_configuration"]


def validate_configuration(configuration: Configuration) -> list[Problem]:
    """Return every problem that keeps a configuration from being accepted.

    Whether groups can form is checked only if the inventory and the rules
    have no problems by themselves; otherwise the result would repeat those.
    """
    inventory, rules = configuration.inventory, configuration.rules
    problems = [
        *check_inventory(inventory),
        *check_rules(rules),
        *_check_owners(configuration),
        *_check_addresses(configuration),
    ]
    if problems:
        return problems
    problems = list(_check_models(configuration))
    return problems or list(_check_guarantees(configuration))


def _check_owners(configuration: Configuration) -> Iterator[Problem]:
    customers = configuration.rules.customers
    owners = {vm.owner for vm in configuration.inventory.vms}
    known = owners | {rule.id for rule in customers}
    for position, rule in enumerate(customers):
        for index, owner in enumerate(rule.may_use):
            if owner not in known:
                yield Problem(
                    ProblemFile.RULES,
                    ("customers", position, "may_use", index),
                    f"{owner!r}, which neither owns a VM nor is a customer",
                    f"one of {', '.join(sorted(known))}",
                )


def _check_addresses(configuration: Configuration) -> Iterator[Problem]:
    vms: dict[Address, int] = {
        vm.address: position for position, vm in enumerate(configuration.inventory.vms)
    }
    for position, service in enumerate(configuration.rules.services):
        for index, upstream in enumerate(service.upstreams):
            if upstream.address in vms:
                yield Problem(
                    ProblemFile.RULES,
                    ("services", position, "upstreams", index, "address"),
                    f"{upstream.address!r}, the engine of a VM of the inventory",
                    "an address that no engine listens on",
                )


def _check_models(configuration: Configuration) -> Iterator[Problem]:
    """Reject models that no group could ever serve."""
    for position, model in enumerate(configuration.rules.models):
        path = ("models", position)
        owners = _find_usable_owners(configuration, model)
        if not owners:
            yield Problem(
                ProblemFile.RULES,
                (*path, "shares"),
                "customers that have no owner's VMs in common "
                f"({_describe_usable_owners(configuration, model)})",
                "customers who may use each other's VMs, or a model for each",
            )
            continue
        largest = _count_largest_domain(configuration, owners)
        if largest < model.vms_per_group:
            yield Problem(
                ProblemFile.RULES,
                (*path, "vms_per_group"),
                f"{model.vms_per_group} VMs a group",
                f"{largest} or fewer: no fabric domain has more VMs of "
                f"{', '.join(sorted(owners))}",
            )


def _check_guarantees(configuration: Configuration) -> Iterator[Problem]:
    """Reject guaranteed groups that do not fit into the inventory."""
    usable_owners = {
        model.name: _find_usable_owners(configuration, model)
        for model in configuration.rules.models
    }
    placed_groups = place_guaranteed_groups(configuration, usable_owners)
    for position, model in enumerate(configuration.rules.models):
        if placed_groups[model.name] < model.guaranteed_groups:
            yield Problem(
                ProblemFile.RULES,
                ("models", position, "guaranteed_groups"),
                f"{model.guaranteed_groups} groups of {model.vms_per_group} VMs",
                f"{placed_groups[model.name]} or fewer beside the other models' "
                "guarantees, or more VMs in one fabric domain",
            )


def _find_usable_owners(
    configuration: Configuration, model: ModelRule
) -> frozenset[CustomerId]:
    """Return the owners whose VMs all customers of a model may use."""
    owners = frozenset(vm.owner for vm in configuration.inventory.vms)
    sharing_customers = {share.customer for share in model.shares}
    for rule in configuration.rules.customers:
        if rule.id in sharing_customers:
            owners &= frozenset(rule.may_use)
    return owners


def _describe_usable_owners(configuration: Configuration, model: ModelRule) -> str:
    """Return whose VMs each customer of a model may use, as text."""
    sharing_customers = {share.customer for share in model.shares}
    return "; ".join(
        f"{rule.id} may use {', '.join(rule.may_use) or 'none'}"
        for rule in configuration.rules.customers
        if rule.id in sharing_customers
    )


def _count_largest_domain(
    configuration: Configuration, owners: frozenset[CustomerId]
) -> int:
    """Return the largest number of the owners' VMs in one fabric domain."""
    counts: dict[str, int] = {}
    for vm in configuration.inventory.vms:
        if vm.owner in owners:
            counts[vm.fabric_domain] = counts.get(vm.fabric_domain, 0) + 1
    return max(counts.values(), default=0)
