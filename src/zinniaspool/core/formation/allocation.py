"""Selects which idle VMs of a fabric domain form a group or stand by."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

from zinniaspool.core.fleet import Instance, InstanceId, ModelSpec
from zinniaspool.core.formation.balance import FULL_USE, count_after_loss
from zinniaspool.core.ids import ModelName

__all__ = ["Candidate", "ModelNeed", "Readiness", "Selection", "select_group"]

WAIT_DEMAND_RATIO = 1.6
"""Ratio of a model's demand per group to another model's above which VMs that
have the first one loaded or staged wait for a missing member, in place of
forming a group of the other model by a load from the weight store. The load
takes over ten seconds, about as long as a new VM takes to arrive, and drops
the models that the VMs have in memory. Below this ratio the scarcer model
gains little from waiting."""

LOW_UTILIZATION = 0.45
"""Utilization of a model's slots below which another group brings it little.
Up to about half of the slots, first tokens come as soon as in an empty
group."""

MIN_STANDBY_VMS = 2
"""VMs of a domain that must be left to stand by when a model with low
utilization gets another group. At worst a domain loses a VM every few seconds.
The second standby VM covers the time in which a new VM loads a model."""


class Readiness(IntEnum):
    """Where a VM has a model, in the order of how soon it can serve it."""

    LOADED = 0
    """In its accelerators' memory: ready within a fifth of a second."""

    STAGED = 1
    """In its host's memory: ready within a second or two."""

    ABSENT = 2
    """Only in the weight store: ready after ten seconds or more."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A VM that may join a group.

    Attributes:
        instance: The VM's instance.
        loaded_model: The model of its last group, which it has loaded; None
            if there is none.
        standby: Whether it is a standby VM.
        cold: Whether its upstream is cold.
        is_slow: Whether it works much slower than usual.
    """

    instance: Instance
    loaded_model: ModelName | None
    standby: bool
    cold: bool = False
    is_slow: bool = False

    def get_readiness(self, model: ModelName) -> Readiness:
        """Return how soon the VM can serve a model."""
        if self.loaded_model == model:
            return Readiness.LOADED
        if model in self.instance.staged:
            return Readiness.STAGED
        return Readiness.ABSENT


@dataclass(frozen=True, slots=True)
class ModelNeed:
    """A model, its demand and its groups.

    Attributes:
        spec: The model.
        groups: Its groups in the whole fleet.
        demand: Its demand, in any unit that all models share.
        utilization: The used part of its groups' slots; None while too few
            requests run to tell.
    """

    spec: ModelSpec
    groups: int
    demand: float
    utilization: float | None = None

    @property
    def demand_per_group(self) -> float:
        """The demand for each group that remains after the loss of one."""
        return self.demand / count_after_loss(self.groups)


@dataclass(frozen=True, slots=True)
class Selection:
    """One group to form, or one VM that is to stand by.

    Attributes:
        model: The model to serve.
        members: The members, of which the first is the head.
        loads: Members that must load the model from the weight store.
        standby: Whether the only member stands by.
    """

    model: ModelSpec
    members: tuple[InstanceId, ...]
    loads: tuple[InstanceId, ...]
    standby: bool = False


def select_group(
    candidates: Sequence[Candidate],
    needs: Sequence[ModelNeed],
    standby_vms: Counter[ModelName],
    groups_here: Counter[ModelName],
    *,
    more_vms_expected: bool = False,
) -> Selection | None:
    """Return the next group to form or VM to put on standby, or None.

    A group that has just ended is formed again if that needs no load. Its VMs
    have its model loaded. If another model took them, they would have to load
    it again as soon as it is short of groups. Otherwise the model with the
    highest demand per group comes first, since a model without a group serves
    no caller, however many groups the other models have.

    Where some members are ready and others must load, all stand by until the
    loads are over. In a group the ready members would have to wait for ten
    seconds and more. As standby VMs they form it as soon as any other VM can
    take the missing place.

    Args:
        candidates: VMs of one fabric domain that may join a group.
        needs: The models of the service that the VMs may serve.
        standby_vms: Standby VMs of this domain, by model.
        groups_here: Groups of this domain, by model.
        more_vms_expected: Whether VMs arrive one by one, as after a power
            cut. Only the scarcest model gets them then, so that the first
            few are not used up when it could have a group.
    """
    ranked = sorted(needs, key=lambda need: -need.demand_per_group)
    repair = _find_repair(candidates, ranked)
    if repair is not None:
        return repair
    for need in ranked:
        found = _select_members(candidates, need.spec)
        if found is None:
            continue
        if more_vms_expected and need is not ranked[0]:
            return None
        if not _is_worthwhile(found, need, ranked[0], candidates):
            continue
        if not found.loads or len(found.loads) == need.spec.size:
            return found
        return _select_standby(candidates, [need.spec], standby_vms, groups_here)
    if more_vms_expected:
        return None
    models = [need.spec for need in needs]
    return _select_standby(candidates, models, standby_vms, groups_here)


def _find_repair(
    candidates: Sequence[Candidate], ranked: Sequence[ModelNeed]
) -> Selection | None:
    """Return the group to form again in place of one that has just ended."""
    scarcest = ranked[0] if ranked else None
    for need in ranked:
        found = _select_members(candidates, need.spec)
        if found is None or found.loads or not _is_repair(found, candidates):
            continue
        if need is not scarcest and _is_better_reassigned(need, ranked[0]):
            continue
        return found
    return None


def _is_better_reassigned(need: ModelNeed, scarcest: ModelNeed) -> bool:
    """Return whether an ended group's VMs help the scarcest model more."""
    if need.utilization is None or scarcest.utilization is None:
        return False
    return need.utilization < LOW_UTILIZATION and scarcest.utilization >= FULL_USE


def _is_worthwhile(
    found: Selection,
    need: ModelNeed,
    scarcest: ModelNeed,
    candidates: Sequence[Candidate],
) -> bool:
    """Return whether a group brings more than its VMs do as standby VMs.

    A standby VM repairs the next group that loses a member within a second.
    One more group of a model with free slots only shortens waits that are
    short already.
    """
    idle_enough = (
        need.utilization is not None
        and need.utilization < LOW_UTILIZATION
        and need.groups > 0
    )
    if need is not scarcest and _uses_vms_of(found, scarcest.spec, candidates):
        waits = scarcest.demand_per_group > WAIT_DEMAND_RATIO * need.demand_per_group
        if idle_enough or (waits and found.loads):
            return False
    if not idle_enough or _is_repair(found, candidates):
        return True
    return len(candidates) - len(found.members) >= MIN_STANDBY_VMS


def _is_repair(found: Selection, candidates: Sequence[Candidate]) -> bool:
    """Return whether most members come from a group that has just ended."""
    by_id = {candidate.instance.id: candidate for candidate in candidates}
    chosen = [by_id[member] for member in found.members]
    from_ended = [
        vm for vm in chosen if not vm.standby and vm.loaded_model == found.model.name
    ]
    return len(from_ended) * 2 > len(chosen)


def _select_members(
    candidates: Sequence[Candidate], model: ModelSpec
) -> Selection | None:
    if len(candidates) < model.size:
        return None
    # A slow VM slows the whole group. Only a load from the weight store takes
    # longer than VMs are slow. Among equally ready VMs, those that stand by
    # for another model come last, since that model would miss them. The order
    # by name makes the selection the same in each process.
    ranked = sorted(
        candidates,
        key=lambda it: (
            it.get_readiness(model.name) is Readiness.ABSENT,
            it.is_slow,
            it.get_readiness(model.name),
            it.standby and it.loaded_model != model.name,
            it.instance.id,
        ),
    )
    # The first member is the head, which receives the requests. A cold one
    # takes few of them.
    chosen = sorted(ranked[: model.size], key=lambda it: it.cold)
    loads = tuple(
        candidate.instance.id
        for candidate in chosen
        if candidate.get_readiness(model.name) is Readiness.ABSENT
    )
    return Selection(model, tuple(candidate.instance.id for candidate in chosen), loads)


def _uses_vms_of(
    found: Selection, scarcest: ModelSpec, candidates: Sequence[Candidate]
) -> bool:
    """Return whether a group would use VMs that are ready for a scarcer model.

    This counts only if they are more than half of a group of that model.
    """
    ready = {
        candidate.instance.id
        for candidate in candidates
        if candidate.get_readiness(scarcest.name) is not Readiness.ABSENT
    }
    return len(ready) * 2 > scarcest.size and bool(ready & set(found.members))


def _select_standby(
    candidates: Sequence[Candidate],
    models: Sequence[ModelSpec],
    standby_vms: Counter[ModelName],
    groups_here: Counter[ModelName],
) -> Selection | None:
    idle = [candidate for candidate in candidates if not candidate.standby]
    if not idle:
        return None
    vm = min(idle, key=lambda it: it.instance.id)

    def estimate_saving(model: ModelSpec) -> float:
        """Return the VM-seconds that one more standby VM saves at a VM's loss.

        The chance that a lost VM is in a group of the model goes with the
        number of VMs in its groups. All VMs of that group would stand still
        for as long as a standby VM of another model takes to warm this one up.
        """
        exposed = max(1, groups_here[model.name] * model.size)
        return exposed * model.size * model.warm_load_s / (standby_vms[model.name] + 1)

    loaded = next((spec for spec in models if spec.name == vm.loaded_model), None)
    model = loaded or max(models, key=estimate_saving)
    absent = vm.get_readiness(model.name) is Readiness.ABSENT
    loads = (vm.instance.id,) if absent else ()
    return Selection(model, (vm.instance.id,), loads, standby=True)
