"""Which model the idle VMs of a fabric domain hold for the next loss."""

from collections import Counter

import pytest

from tests.formation_world import LARGE, SMALL, FakeEngine
from zinniaspool.core.fleet import InstanceId, ModelSpec
from zinniaspool.core.formation.allocation import Candidate, ModelNeed, select_groups
from zinniaspool.core.ids import FabricDomainId, ModelName


def make_spec(name: ModelName, size: int) -> ModelSpec:
    return ModelSpec(name, size, 0.5, 1.0, 16.0, 1.6 if name == LARGE else 1.1)


def choose_standby(
    sizes: tuple[int, int], groups: tuple[int, int], standing: Counter[ModelName]
) -> ModelName:
    """Return what one more idle VM holds, which holds nothing yet."""
    engine = FakeEngine(InstanceId("i0"), FabricDomainId("d0"))
    idle = Candidate(engine.describe(), None, standby=False)
    names = (LARGE, SMALL)
    needs = [
        ModelNeed(make_spec(name, size), count, 1.0)
        for name, size, count in zip(names, sizes, groups, strict=True)
    ]
    here = Counter(dict(zip(names, groups, strict=True)))
    chosen = select_groups([idle], needs, standing, here)
    assert chosen is not None and chosen.standby
    return chosen.model.name


@pytest.mark.parametrize(
    ("sizes", "groups"), [((16, 4), (1, 5)), ((12, 6), (1, 2)), ((6, 3), (1, 1))]
)
def test_the_first_spare_holds_the_model_whose_groups_stop_most_vms(
    sizes: tuple[int, int], groups: tuple[int, int]
) -> None:
    """Callers of the large model wait for two seconds at each loss.

    One VM of a domain is spare. Losses hit groups of both models about as
    often. With the small model in the spare's memory, a group of sixteen
    stands still for 1.6 s more while it warms up the large one; with the
    large one, a group of four stands still for 1.1 s.
    """
    assert choose_standby(sizes, groups, Counter()) == LARGE


def test_further_spares_cover_the_other_model_too() -> None:
    """One more spare of the same model would save less than the first."""
    standing: Counter[ModelName] = Counter()
    for _ in range(6):
        standing[choose_standby((16, 4), (1, 5), standing)] += 1
    assert standing[SMALL] >= 1
    assert standing[LARGE] > standing[SMALL]
