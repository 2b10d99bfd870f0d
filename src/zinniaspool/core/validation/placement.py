"""Checks whether all guaranteed groups fit into the inventory together."""

from collections import Counter
from collections.abc import Mapping

from zinniaspool.core.deployment import Configuration, ModelRule
from zinniaspool.core.ids import CustomerId, FabricDomainId, ModelName

__all__ = ["place_guaranteed_groups"]

_UsableOwners = Mapping[ModelName, frozenset[CustomerId]]
"""Owners whose VMs each model may run on."""
_FreeVms = dict[FabricDomainId, Counter[CustomerId]]
"""Number of VMs without a group in each fabric domain, by owner."""


def place_guaranteed_groups(
    configuration: Configuration, usable_owners: _UsableOwners
) -> dict[ModelName, int]:
    """Return how many guaranteed groups of each model can be placed.

    Models that may use the VMs of few owners are placed first, and larger
    groups before smaller ones. Each group is placed in the fabric domain
    where it leaves the fewest VMs over, on the VMs that the fewest models may
    use. This heuristic may miss a placement that only an exhaustive search
    finds. Each placement that it does find is valid, so no guarantee is
    accepted that does not fit.

    Args:
        configuration: The configuration to be accepted.
        usable_owners: The owners whose VMs each model may run on.
    """
    free_vms = _count_free_vms(configuration)
    model_counts = Counter(
        owner for owners in usable_owners.values() for owner in owners
    )
    placed_groups = dict.fromkeys(usable_owners, 0)
    models = sorted(
        configuration.rules.models,
        key=lambda model: (
            len(usable_owners[model.name]),
            -model.vms_per_group,
            model.name,
        ),
    )
    for model in models:
        while placed_groups[model.name] < model.guaranteed_groups:
            if not _place_group(
                free_vms, model, usable_owners[model.name], model_counts
            ):
                break
            placed_groups[model.name] += 1
    return placed_groups


def _count_free_vms(configuration: Configuration) -> _FreeVms:
    free_vms: _FreeVms = {}
    for vm in configuration.inventory.vms:
        free_vms.setdefault(vm.fabric_domain, Counter())[vm.owner] += 1
    return free_vms


def _place_group(
    free_vms: _FreeVms,
    model: ModelRule,
    owners: frozenset[CustomerId],
    model_counts: Counter[CustomerId],
) -> bool:
    """Place one group and return whether a fabric domain had room for it."""
    usable_counts = {
        domain: sum(owner_counts[owner] for owner in owners)
        for domain, owner_counts in free_vms.items()
    }
    fitting_domains = [
        domain for domain in free_vms if usable_counts[domain] >= model.vms_per_group
    ]
    if not fitting_domains:
        return False
    domain = min(
        fitting_domains,
        key=lambda name: (
            usable_counts[name] % model.vms_per_group,
            usable_counts[name],
        ),
    )
    needed = model.vms_per_group
    for owner in sorted(owners, key=lambda name: (model_counts[name], name)):
        used = min(needed, free_vms[domain][owner])
        free_vms[domain][owner] -= used
        needed -= used
    return True
