"""Which group gives its VMs to a model that needs them more.

Pattern: traffic shifts from one model to another, or the first guess of the
models' shares was wrong. Groups of one model are then full while others idle.
A VM that has the other model staged changes within two seconds, so that a move
is worth its short outage as soon as the fullest model gains clearly.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from zinniaspool.core.fleet import ModelSpec
from zinniaspool.core.ids import GroupId, ModelName

__all__ = ["DomainShape", "ModelDemand", "find_conversion", "measure_use"]

WORTHWHILE = 0.85
"""Largest part of the fullest model's use that may be left after a move: the
moved group serves nobody for some seconds, and demand changes by itself by a
tenth from second to second."""

BUSY_USE = 0.4
"""Use of its slots from which a model's groups are worth adding to. Below,
requests seldom wait, and a move gains nothing."""


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
        """Return the used part of the slots of so many groups."""
        return self.busy / (max(groups, 0.1) * self.slots)


@dataclass(frozen=True, slots=True)
class DomainShape:
    """A fabric domain in which nothing is under way.

    Attributes:
        groups: Its serving groups and their models.
        idle: VMs in no serving group.
    """

    groups: Mapping[GroupId, ModelName]
    idle: int


def measure_use(
    demands: Sequence[ModelDemand], groups: Mapping[ModelName, int]
) -> float:
    """Return the use of the model whose groups are fullest."""
    return max(one.use(groups.get(one.spec.name, 0)) for one in demands)


def find_conversion(
    demands: Sequence[ModelDemand],
    groups: Mapping[ModelName, int],
    domains: Sequence[DomainShape],
) -> GroupId | None:
    """Return the group to close so that its VMs serve the fullest model.

    Args:
        demands: All models of one service.
        groups: Groups of each.
        domains: The fabric domains where a group may be closed.
    """
    before = measure_use(demands, groups)
    if before < BUSY_USE:
        return None
    sizes = {one.spec.name: one.spec.size for one in demands}
    fullest = max(demands, key=lambda one: one.use(groups.get(one.spec.name, 0)))
    best: tuple[float, GroupId] | None = None
    for domain in domains:
        for group, model in domain.groups.items():
            if model == fullest.spec.name or groups.get(model, 0) <= 1:
                continue
            free = sizes.get(model, 0) + domain.idle
            won = free // fullest.spec.size
            if not won:
                continue
            after = {**groups, model: groups[model] - 1}
            after[fullest.spec.name] = after.get(fullest.spec.name, 0) + won
            use = measure_use(demands, after)
            if best is None or use < best[0]:
                best = (use, group)
    if best is None or best[0] > before * WORTHWHILE:
        return None
    return best[1]
