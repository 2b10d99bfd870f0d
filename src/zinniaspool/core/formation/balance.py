"""Which groups give their VMs to a model that needs them more.

Pattern: traffic shifts from one model to another, the first guess of the
models' shares was wrong, or losses have hit one model more than the others.
Groups of one model are then full while others idle. A VM that has the other
model staged changes within two seconds, so that a move is worth its short
outage as soon as the fullest model gains clearly.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from zinniaspool.core.fleet import ModelSpec
from zinniaspool.core.ids import GroupId, ModelName

__all__ = [
    "FULL_USE",
    "Conversion",
    "DomainShape",
    "ModelDemand",
    "ServingGroup",
    "count_after_loss",
    "find_conversion",
    "find_conversions",
    "measure_use",
]

WORTHWHILE = 0.85
"""Largest part of the fullest model's use that may be left after a move: the
moved group serves nobody for some seconds, and demand changes by itself by a
tenth from second to second."""

BUSY_USE = 0.95
"""Use of its slots, with one group lost, from which a model's groups are worth
adding to. Up to about this, measured on days with bursts, five requests in a
thousand waited too long, and a move costs the other model more."""

LOAD_USE = 1.2
"""The same from which VMs may even load the model anew, over ten seconds:
requests wait or are refused then although all groups serve."""

MOVED_PART = 0.5
"""Part of the domains that may give VMs at the same moment. A burst or several
losses fill a model within two seconds, as long as one move takes, and each
move is judged by what those before it bring."""

FULL_USE = 0.85
"""Use of its slots from which requests of a model wait, whatever is lost."""

LEFT_OF_FEW = 0.1
"""What counts as left of no group, and for each of one: far below a whole one,
so that a model that is about to serve nobody comes before all others."""


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """How much a model is used.

    Attributes:
        spec: The model.
        slots: Slots of one group.
        busy: Requests that run or wait, on average.
    """

    spec: ModelSpec
    slots: int
    busy: float

    def use(self, groups: int) -> float:
        """Return the used part of the slots when one of the groups is lost.

        Groups are lost every few seconds on bad days. A model with two groups
        is then full at once, at the same use of all its slots as one with
        twelve that hardly notices.
        """
        return self.busy / (count_after_loss(groups) * self.slots)


@dataclass(frozen=True, slots=True)
class ServingGroup:
    """A group that could be closed.

    Attributes:
        group: Its name.
        model: What it serves.
        ready: How many of its VMs could hold each model within seconds.
    """

    group: GroupId
    model: ModelName
    ready: Mapping[ModelName, int]


@dataclass(frozen=True, slots=True)
class DomainShape:
    """A fabric domain in which nothing is under way.

    Attributes:
        groups: Its serving groups.
        idle: VMs in no serving group.
        ready: How many of those could hold each model within seconds.
    """

    groups: Sequence[ServingGroup]
    idle: int
    ready: Mapping[ModelName, int]


@dataclass(frozen=True, slots=True)
class Conversion:
    """Groups of one domain to close, and the model that their VMs are for.

    Attributes:
        groups: Which.
        model: What their VMs serve next.
        use: What is left of the fullest model's use after it.
        loads: Whether some of the VMs load that model's weights first.
        after: Groups of each model after it.
        won: Groups that their VMs form.
    """

    groups: tuple[GroupId, ...]
    model: ModelName
    use: float
    loads: bool
    after: Mapping[ModelName, int]
    won: int = 1


def count_after_loss(groups: int) -> float:
    """Return how many groups count as left when one of so many is lost."""
    return max(groups - 1.0, LEFT_OF_FEW * (groups + 1))


def measure_use(
    demands: Sequence[ModelDemand], groups: Mapping[ModelName, int]
) -> float:
    """Return the use of the model whose groups are fullest."""
    return max(one.use(groups.get(one.spec.name, 0)) for one in demands)


def find_conversions(
    demands: Sequence[ModelDemand],
    groups: Mapping[ModelName, int],
    domains: Sequence[DomainShape],
) -> list[Conversion]:
    """Return the groups to close now, at most one domain's for each move.

    Each move is judged by what the ones before it bring.
    """
    found: list[Conversion] = []
    left = list(domains)
    while len(found) < MOVED_PART * len(domains):
        best = find_conversion(demands, groups, left)
        if best is None:
            break
        found.append(best)
        groups = best.after
        left = [
            one
            for one in left
            if not any(group.group in best.groups for group in one.groups)
        ]
    return found


def find_conversion(
    demands: Sequence[ModelDemand],
    groups: Mapping[ModelName, int],
    domains: Sequence[DomainShape],
) -> Conversion | None:
    """Return the groups to close so that their VMs serve the fullest model.

    Args:
        demands: All models of one service.
        groups: Groups of each.
        domains: The fabric domains where groups may be closed.
    """
    before = measure_use(demands, groups)
    if before < BUSY_USE:
        return None
    fullest = max(demands, key=lambda one: one.use(groups.get(one.spec.name, 0)))
    found = [
        conversion
        for domain in domains
        for giver in demands
        if giver is not fullest
        for conversion in _list_conversions(domain, giver, fullest, demands, groups)
    ]
    worthwhile = [one for one in found if one.use <= before * WORTHWHILE]
    return min(worthwhile, key=lambda one: (one.loads, one.use), default=None)


def _list_conversions(
    domain: DomainShape,
    giver: ModelDemand,
    taker: ModelDemand,
    demands: Sequence[ModelDemand],
    groups: Mapping[ModelName, int],
) -> Iterable[Conversion]:
    """Yield what closing one, two and more of a domain's groups brings."""
    wanted = taker.spec.name
    closable = sorted(
        (one for one in domain.groups if one.model == giver.spec.name),
        key=lambda one: -one.ready.get(wanted, 0),
    )
    free, ready = domain.idle, domain.ready.get(wanted, 0)
    for count, one in enumerate(closable, start=1):
        left = groups.get(giver.spec.name, 0) - count
        if left < 1:
            return
        free += giver.spec.size
        ready += one.ready.get(wanted, 0)
        won = ready // taker.spec.size
        loads = not won
        if loads and measure_use(demands, groups) >= LOAD_USE:
            won = free // taker.spec.size
        if not won:
            continue
        after = {
            **groups,
            giver.spec.name: left,
            wanted: groups.get(wanted, 0) + won,
        }
        closed = tuple(each.group for each in closable[:count])
        use = measure_use(demands, after)
        yield Conversion(closed, wanted, use, loads, after, won)
