"""Which model the standby VMs of a fabric domain load."""

from collections import Counter

import pytest

from tests.formation_world import LARGE, SMALL, FakeEngine
from zinniaspool.core.fleet import InstanceId, ModelSpec
from zinniaspool.core.formation.allocation import Candidate, ModelNeed, select_group
from zinniaspool.core.ids import FabricDomainId, ModelName


def make_spec(name: ModelName, size: int) -> ModelSpec:
    return ModelSpec(name, size, 0.5, 1.0, 16.0, 1.6 if name == LARGE else 1.1)


def choose_standby(
    sizes: tuple[int, int], groups: tuple[int, int], standby_vms: Counter[ModelName]
) -> ModelName:
    """Return the model that an idle VM without a model stands by with."""
    engine = FakeEngine(InstanceId("i0"), FabricDomainId("d0"))
    idle = Candidate(engine.describe(), None, standby=False)
    names = (LARGE, SMALL)
    needs = [
        ModelNeed(make_spec(name, size), count, 1.0)
        for name, size, count in zip(names, sizes, groups, strict=True)
    ]
    groups_here = Counter(dict(zip(names, groups, strict=True)))
    chosen = select_group([idle], needs, standby_vms, groups_here)
    assert chosen is not None and chosen.standby
    return chosen.model.name


@pytest.mark.parametrize(
    ("sizes", "groups"), [((16, 4), (1, 5)), ((12, 6), (1, 2)), ((6, 3), (1, 1))]
)
def test_the_first_standby_vm_loads_the_model_whose_loss_stops_most_vms(
    sizes: tuple[int, int], groups: tuple[int, int]
) -> None:
    """Callers of the large model would wait for two seconds at each loss.

    One VM of a domain stands by, and groups of both models lose VMs about as
    often. If the standby VM has the small model loaded, a group of sixteen
    VMs stands still for 1.6 s more while the VM warms up the large model. If
    it has the large model loaded, a group of four VMs stands still for 1.1 s.
    """
    assert choose_standby(sizes, groups, Counter()) == LARGE


def test_further_standby_vms_load_the_other_model_too() -> None:
    """One more standby VM of the same model would save less than the first."""
    standby_vms: Counter[ModelName] = Counter()
    for _ in range(6):
        standby_vms[choose_standby((16, 4), (1, 5), standby_vms)] += 1
    assert standby_vms[SMALL] >= 1
    assert standby_vms[LARGE] > standby_vms[SMALL]
