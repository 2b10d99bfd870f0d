"""Which idle VMs of a fabric domain form which groups."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from zinniaspool.core.fleet import Instance, InstanceId, ModelSpec
from zinniaspool.core.formation.balance import FULL_USE, count_after_loss
from zinniaspool.core.ids import ModelName

__all__ = ["Candidate", "ModelNeed", "Readiness", "Selection", "select_groups"]

WAIT_RATIO = 1.6
"""How much scarcer a model must be than another before VMs that hold it wait
for a missing member in place of forming a group of the other one. A load from
the weight store takes over ten seconds and empties what they hold, about as
long as a new VM takes to come; at less than this the scarcer model gains
little from waiting."""


EXTRA_USE = 0.45
"""Use of a model's slots below which another group of it brings little: first
tokens come as soon as in an empty group up to about half of the slots."""

SPARES = 2
"""VMs of a domain that stand by before they form such a group: with one lost
in a domain every few seconds at worst, the second covers the time in which a
new VM loads a model."""


class Readiness(IntEnum):
    """How soon a VM can hold a model, soonest first."""

    HELD = 0
    """In its accelerators' memory: a fifth of a second."""

    STAGED = 1
    """In its host's memory: a second or two."""

    ABSENT = 2
    """In the weight store: ten seconds and more."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """An idle VM.

    Attributes:
        instance: Which.
        held: The model of its last group.
        standby: Whether it stands by with that model.
    """

    instance: Instance
    held: ModelName | None
    standby: bool

    def readiness(self, model: ModelName) -> Readiness:
        """Return how soon it can hold a model."""
        if self.held == model:
            return Readiness.HELD
        if model in self.instance.staged:
            return Readiness.STAGED
        return Readiness.ABSENT


@dataclass(frozen=True, slots=True)
class ModelNeed:
    """A model and how well it is provided for.

    Attributes:
        spec: Its figures.
        groups: Its groups in the whole fleet.
        demand: What is asked of it, in any unit that all models share.
        use: The used part of their slots; None while nothing is measured.
    """

    spec: ModelSpec
    groups: int
    demand: float
    use: float | None = None

    @property
    def strain(self) -> float:
        """Demand for each group that is left when one is lost."""
        return self.demand / count_after_loss(self.groups)


@dataclass(frozen=True, slots=True)
class Selection:
    """One group to form, or one VM that is to stand by."""

    model: ModelSpec
    members: tuple[InstanceId, ...]
    loads: tuple[InstanceId, ...]
    standby: bool = False


def select_groups(
    candidates: Sequence[Candidate],
    needs: Sequence[ModelNeed],
    standing: Counter[ModelName],
    here: Counter[ModelName],
    *,
    more_expected: bool = False,
) -> Selection | None:
    """Return the next group to form or VM to put on standby, or None.

    A group that was just lost is formed again if that needs no load: its VMs
    hold its model, and taken for another one they would have to load it again
    when it is short. Then the scarcest model comes first: a model without a
    group serves nobody, however many groups the others have.

    Where some members are ready and others must load, all stand by until the
    loads are over. In a group they would be bound to wait for ten seconds and
    more; standing by, they form it as soon as any other VM takes the place.

    Args:
        candidates: Idle VMs of one fabric domain.
        needs: All models of the service.
        standing: VMs of this domain that stand by, by model.
        here: Groups of this domain, by model.
        more_expected: VMs are coming in one by one, as after a power cut:
            only the scarcest model takes them, lest the first few are gone
            when it could have a group.
    """
    ranked = sorted(needs, key=lambda need: -need.strain)
    repair = _find_repair(candidates, ranked)
    if repair is not None:
        return repair
    for need in ranked:
        found = _select_members(candidates, need.spec)
        if found is None:
            continue
        if more_expected and need is not ranked[0]:
            return None
        if not _is_worthwhile(found, need, ranked[0], candidates):
            continue
        if not found.loads or len(found.loads) == need.spec.size:
            return found
        return _select_standby(candidates, [need.spec], standing, here)
    if more_expected:
        return None
    models = [need.spec for need in needs]
    return _select_standby(candidates, models, standing, here)


def _find_repair(
    candidates: Sequence[Candidate], ranked: Sequence[ModelNeed]
) -> Selection | None:
    """Return the group to form again in place of one that was just lost."""
    scarcest = ranked[0] if ranked else None
    for need in ranked:
        found = _select_members(candidates, need.spec)
        if found is None or found.loads or not _is_repair(found, candidates):
            continue
        if need is not scarcest and _may_give(need, ranked[0]):
            continue
        return found
    return None


def _may_give(need: ModelNeed, scarcest: ModelNeed) -> bool:
    """Tell whether a lost group's VMs serve better under a scarcer model."""
    if need.use is None or scarcest.use is None:
        return False
    return need.use < EXTRA_USE and scarcest.use >= FULL_USE


def _is_worthwhile(
    found: Selection,
    need: ModelNeed,
    scarcest: ModelNeed,
    candidates: Sequence[Candidate],
) -> bool:
    """Tell whether a group brings more than its VMs do standing by.

    A VM that stands by ends the next loss within a second; one more group of
    a model with free slots only shortens what is short already.
    """
    idle_enough = need.use is not None and need.use < EXTRA_USE and need.groups > 0
    if need is not scarcest and _breaks_up(found, scarcest.spec, candidates):
        waits = scarcest.strain > WAIT_RATIO * need.strain
        if idle_enough or (waits and found.loads):
            return False
    if not idle_enough or _is_repair(found, candidates):
        return True
    return len(candidates) - len(found.members) >= SPARES


def _is_repair(found: Selection, candidates: Sequence[Candidate]) -> bool:
    """Tell whether most members come from a group that was just lost."""
    by_id = {one.instance.id: one for one in candidates}
    chosen = [by_id[member] for member in found.members]
    back = [one for one in chosen if not one.standby and one.held == found.model.name]
    return len(back) * 2 > len(chosen)


def _select_members(
    candidates: Sequence[Candidate], model: ModelSpec
) -> Selection | None:
    if len(candidates) < model.size:
        return None
    # A VM that stands by for another model is taken last, since that model
    # would miss it; names make the choice the same in each process.
    ranked = sorted(
        candidates,
        key=lambda one: (
            one.readiness(model.name),
            one.standby and one.held != model.name,
            one.instance.id,
        ),
    )
    chosen = ranked[: model.size]
    loads = tuple(
        one.instance.id
        for one in chosen
        if one.readiness(model.name) is Readiness.ABSENT
    )
    return Selection(model, tuple(one.instance.id for one in chosen), loads)


def _breaks_up(
    found: Selection, scarcest: ModelSpec, candidates: Sequence[Candidate]
) -> bool:
    """Tell whether a group would take VMs that hold a scarcer model."""
    holding = {
        one.instance.id
        for one in candidates
        if one.readiness(scarcest.name) is not Readiness.ABSENT
    }
    return len(holding) * 2 > scarcest.size and bool(holding & set(found.members))


def _select_standby(
    candidates: Sequence[Candidate],
    models: Sequence[ModelSpec],
    standing: Counter[ModelName],
    here: Counter[ModelName],
) -> Selection | None:
    idle = [one for one in candidates if not one.standby]
    if not idle:
        return None
    one = min(idle, key=lambda it: it.instance.id)

    def saving(model: ModelSpec) -> float:
        """Return the VM-seconds that one more spare saves at the next loss.

        How likely it hits a group of the model goes by its VMs, and a whole
        group stands still for as long as the spare would take to warm up.
        """
        exposed = max(1, here[model.name] * model.size)
        return exposed * model.size * model.warm_s / (standing[model.name] + 1)

    held = next((spec for spec in models if spec.name == one.held), None)
    model = held or max(models, key=saving)
    absent = one.readiness(model.name) is Readiness.ABSENT
    loads = (one.instance.id,) if absent else ()
    return Selection(model, (one.instance.id,), loads, standby=True)
