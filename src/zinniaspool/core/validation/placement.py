"""Whether all guaranteed groups fit into the inventory side by side."""

from collections import Counter
from collections.abc import Mapping

from zinniaspool.core.deployment import Configuration, ModelRule
from zinniaspool.core.ids import CustomerId, FabricDomainId, ModelName

__all__ = ["place_guarantees"]

_Usable = Mapping[ModelName, frozenset[CustomerId]]
_Pools = dict[FabricDomainId, Counter[CustomerId]]


def place_guarantees(
    configuration: Configuration, usable: _Usable
) -> dict[ModelName, int]:
    """Return how many guaranteed groups of each model find VMs.

    Models that may use few owners' VMs come first, and larger groups before
    smaller ones; each group goes where it leaves the fewest VMs over, onto
    the VMs that the fewest models may use. This is a heuristic and may miss
    a placement that only a search through all of them finds; what it finds
    is one, so no guarantee is accepted that does not fit.

    Args:
        configuration: What is to be accepted.
        usable: The owners whose VMs each model may run on.
    """
    pools = _count_vms(configuration)
    demand = Counter(owner for owners in usable.values() for owner in owners)
    placed = dict.fromkeys(usable, 0)
    models = sorted(
        configuration.rules.models,
        key=lambda model: (len(usable[model.name]), -model.vms_per_group, model.name),
    )
    for model in models:
        while placed[model.name] < model.guaranteed_groups:
            if not _place_group(pools, model, usable[model.name], demand):
                break
            placed[model.name] += 1
    return placed


def _count_vms(configuration: Configuration) -> _Pools:
    pools: _Pools = {}
    for vm in configuration.inventory.vms:
        pools.setdefault(vm.fabric_domain, Counter())[vm.owner] += 1
    return pools


def _place_group(
    pools: _Pools,
    model: ModelRule,
    owners: frozenset[CustomerId],
    demand: Counter[CustomerId],
) -> bool:
    free = {
        domain: sum(pool[owner] for owner in owners) for domain, pool in pools.items()
    }
    fitting = [domain for domain in pools if free[domain] >= model.vms_per_group]
    if not fitting:
        return False
    domain = min(fitting, key=lambda one: (free[one] % model.vms_per_group, free[one]))
    needed = model.vms_per_group
    for owner in sorted(owners, key=lambda one: (demand[one], one)):
        taken = min(needed, pools[domain][owner])
        pools[domain][owner] -= taken
        needed -= taken
    return True
