"""Which idle VMs of a fabric domain form which groups."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import IntEnum

from zinniaspool.core.fleet import EngineSpec, Instance, InstanceId, ModelSpec
from zinniaspool.core.ids import ModelName

__all__ = ["Candidate", "ModelNeed", "Readiness", "Selection", "select_groups"]

WAIT_RATIO = 1.6
"""How much scarcer a model must be than another before VMs that hold it wait
for a missing member in place of forming a group of the other one. A load from
the weight store takes over ten seconds and empties what they hold, about as
long as a new VM takes to come; at less than this the scarcer model gains
little from waiting."""


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
        supply: Its groups by unit of demand.
    """

    spec: ModelSpec
    supply: float


@dataclass(frozen=True, slots=True)
class Selection:
    """One group to form, or one VM that is to stand by."""

    model: ModelSpec
    members: tuple[InstanceId, ...]
    loads: tuple[InstanceId, ...]
    standby: bool = False


def select_groups(
    candidates: Sequence[Candidate],
    engine: EngineSpec,
    supply: Mapping[ModelName, float],
    standing: Counter[ModelName],
    here: Counter[ModelName],
    *,
    more_expected: bool = False,
) -> Selection | None:
    """Return the next group to form or VM to put on standby, or None.

    The scarcest model comes first: a model without a group serves nobody,
    however many groups the others have.

    Args:
        candidates: Idle VMs of one fabric domain.
        engine: The service's figures.
        supply: Groups of each model by unit of its demand, fleet-wide.
        standing: VMs of this domain that stand by, by model.
        here: Groups of this domain, by model.
        more_expected: VMs are coming in one by one, as after a power cut:
            only the scarcest model takes them, lest the first few are gone
            when it could have a group.
    """
    needs = sorted(
        (ModelNeed(model, supply.get(model.name, 0.0)) for model in engine.models),
        key=lambda need: need.supply,
    )
    scarcest = needs[0].supply
    for need in needs:
        found = _select_members(candidates, need.spec)
        if found is None:
            continue
        if more_expected and need.spec is not needs[0].spec:
            return None
        waits = need.supply > WAIT_RATIO * scarcest
        if waits and _breaks_up(found, needs[0].spec, candidates):
            continue
        return found
    if more_expected:
        return None
    return _select_standby(candidates, engine, standing, here)


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
    if not found.loads:
        return False
    holding = {
        one.instance.id
        for one in candidates
        if one.readiness(scarcest.name) is not Readiness.ABSENT
    }
    return len(holding) * 2 > scarcest.size and bool(holding & set(found.members))


def _select_standby(
    candidates: Sequence[Candidate],
    engine: EngineSpec,
    standing: Counter[ModelName],
    here: Counter[ModelName],
) -> Selection | None:
    idle = [one for one in candidates if not one.standby]
    if not idle:
        return None
    one = min(idle, key=lambda it: it.instance.id)

    # Per VM that may be lost, so that the model with more VMs in groups of
    # this domain gets the first of two.
    def cover(model: ModelSpec) -> float:
        exposed = max(1, here[model.name] * model.size)
        return (standing[model.name] + 1) / exposed

    model = min(engine.models, key=cover)
    if one.held is not None and here[one.held] and standing[one.held] == 0:
        model = engine.find_model(one.held) or model
    absent = one.readiness(model.name) is Readiness.ABSENT
    loads = (one.instance.id,) if absent else ()
    return Selection(model, (one.instance.id,), loads, standby=True)
