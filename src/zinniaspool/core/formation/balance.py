"""Finds groups whose VMs should be reassigned to a model that needs them more.

Traffic shifts from one model to another, the configured shares of the models
are wrong at the start, or losses of VMs hit one model more than the others.
Groups of one model are then full while others idle. A VM that has the other
model staged changes to it within two seconds. A reassignment is therefore
worth its short outage as soon as the fullest model gains clearly.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from zinniaspool.core.fleet import ModelSpec
from zinniaspool.core.ids import GroupId, ModelName

__all__ = [
    "FULL_USE",
    "ModelDemand",
    "Reassignment",
    "ServingGroup",
    "SettledDomain",
    "compute_max_utilization",
    "count_after_loss",
    "find_reassignment",
    "find_reassignments",
]

MAX_REMAINING_PART = 0.85
"""Largest part of the highest utilization that a worthwhile reassignment may
leave. The closed group's VMs serve no caller for a few seconds, and demand by
itself changes by a tenth from second to second."""

BUSY_UTILIZATION = 0.95
"""Utilization after the loss of one group from which a model gets more groups.
On days with bursts, five requests in a thousand waited too long up to about
this utilization, and a reassignment costs the donor model more."""

LOADING_UTILIZATION = 1.2
"""Utilization after the loss of one group from which VMs may even load the
model from the weight store, for over ten seconds. Requests then wait or are
refused although all groups serve."""

MAX_DONOR_DOMAINS_PART = 0.5
"""Part of the domains that may give up VMs at the same moment. A burst or
several losses of VMs fill a model within two seconds, as long as one
reassignment takes. Each reassignment counts the gain of those before it."""

FULL_USE = 0.85
"""Utilization from which requests of a model wait even if no group is lost."""

MIN_REMAINING_GROUPS = 0.1
"""Groups that count as remaining where a model has none; twice as many count
where it has one and loses it. This is far below one group, so that a model
that is about to serve no caller comes before all others."""


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """The requests for a model.

    Attributes:
        spec: The model.
        slots: Slots of one group.
        requests: Requests that run or wait, on average.
    """

    spec: ModelSpec
    slots: int
    requests: float

    def compute_utilization(self, groups: int) -> float:
        """Return the utilization of the slots after the loss of one group.

        On bad days a group is lost every few seconds. A model with two groups
        is then full at once, while a model with twelve groups at the same
        utilization of all its slots is hardly affected.
        """
        return self.requests / (count_after_loss(groups) * self.slots)


@dataclass(frozen=True, slots=True)
class ServingGroup:
    """A serving group that could be closed.

    Attributes:
        group: The group's id.
        model: The model that it serves.
        ready_vms: How many of its VMs could load each model within seconds.
    """

    group: GroupId
    model: ModelName
    ready_vms: Mapping[ModelName, int]


@dataclass(frozen=True, slots=True)
class SettledDomain:
    """A fabric domain in which no group forms, closes or ends.

    Attributes:
        groups: Its serving groups.
        idle_vms: Its standby VMs, which are in no serving group.
        ready_vms: How many standby VMs could load each model within seconds.
    """

    groups: Sequence[ServingGroup]
    idle_vms: int
    ready_vms: Mapping[ModelName, int]


@dataclass(frozen=True, slots=True)
class Reassignment:
    """Groups of one domain to close, and the model that their VMs serve next.

    Attributes:
        groups: The groups to close.
        model: The model that their VMs serve next.
        max_utilization: The highest utilization of any model afterwards.
        needs_loads: Whether VMs must load that model from the weight store.
        groups_after: Groups of each model afterwards.
        groups_gained: Groups of that model that the VMs form.
    """

    groups: tuple[GroupId, ...]
    model: ModelName
    max_utilization: float
    needs_loads: bool
    groups_after: Mapping[ModelName, int]
    groups_gained: int = 1


def count_after_loss(groups: int) -> float:
    """Return how many groups count as remaining after the loss of one."""
    return max(groups - 1.0, MIN_REMAINING_GROUPS * (groups + 1))


def compute_max_utilization(
    demands: Sequence[ModelDemand], groups: Mapping[ModelName, int]
) -> float:
    """Return the utilization of the model whose groups are fullest."""
    return max(it.compute_utilization(groups.get(it.spec.name, 0)) for it in demands)


def find_reassignments(
    demands: Sequence[ModelDemand],
    groups: Mapping[ModelName, int],
    domains: Sequence[SettledDomain],
) -> list[Reassignment]:
    """Return the reassignments to start now, at most one in each domain.

    Each reassignment counts the gain of those before it.

    Args:
        demands: The demands of all models of one service.
        groups: Groups of each model.
        domains: The fabric domains where groups may be closed.
    """
    found: list[Reassignment] = []
    left = list(domains)
    while len(found) < MAX_DONOR_DOMAINS_PART * len(domains):
        best = find_reassignment(demands, groups, left)
        if best is None:
            break
        found.append(best)
        groups = best.groups_after
        left = [
            domain
            for domain in left
            if not any(group.group in best.groups for group in domain.groups)
        ]
    return found


def find_reassignment(
    demands: Sequence[ModelDemand],
    groups: Mapping[ModelName, int],
    domains: Sequence[SettledDomain],
) -> Reassignment | None:
    """Return the best reassignment of VMs to the fullest model, or None.

    Args:
        demands: The demands of all models of one service.
        groups: Groups of each model.
        domains: The fabric domains where groups may be closed.
    """
    before = compute_max_utilization(demands, groups)
    if before < BUSY_UTILIZATION:
        return None
    fullest = max(
        demands, key=lambda it: it.compute_utilization(groups.get(it.spec.name, 0))
    )
    found = [
        reassignment
        for domain in domains
        for donor in demands
        if donor is not fullest
        for reassignment in _list_reassignments(domain, donor, fullest, demands, groups)
    ]
    worthwhile = [
        each for each in found if each.max_utilization <= before * MAX_REMAINING_PART
    ]
    return min(
        worthwhile, key=lambda it: (it.needs_loads, it.max_utilization), default=None
    )


def _list_reassignments(
    domain: SettledDomain,
    donor: ModelDemand,
    recipient: ModelDemand,
    demands: Sequence[ModelDemand],
    groups: Mapping[ModelName, int],
) -> Iterable[Reassignment]:
    """Yield the reassignments of one, two and more of a donor's groups."""
    model = recipient.spec.name
    closable = sorted(
        (group for group in domain.groups if group.model == donor.spec.name),
        key=lambda it: -it.ready_vms.get(model, 0),
    )
    idle, ready = domain.idle_vms, domain.ready_vms.get(model, 0)
    for count, group in enumerate(closable, start=1):
        remaining = groups.get(donor.spec.name, 0) - count
        if remaining < 1:
            return
        idle += donor.spec.size
        ready += group.ready_vms.get(model, 0)
        gained = ready // recipient.spec.size
        needs_loads = not gained
        if (
            needs_loads
            and compute_max_utilization(demands, groups) >= LOADING_UTILIZATION
        ):
            gained = idle // recipient.spec.size
        if not gained:
            continue
        groups_after = {
            **groups,
            donor.spec.name: remaining,
            model: groups.get(model, 0) + gained,
        }
        closed = tuple(it.group for it in closable[:count])
        utilization = compute_max_utilization(demands, groups_after)
        yield Reassignment(
            closed, model, utilization, needs_loads, groups_after, gained
        )
