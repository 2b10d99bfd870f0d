"""Seeded failure histories at today's and the coming size."""

from dataclasses import dataclass
from enum import Enum
from random import Random

from zinniaspool.core.deployment import (
    Configuration,
    CustomerRule,
    Inventory,
    ModelRule,
    RepairWeights,
    Rules,
    Share,
    Vm,
)
from zinniaspool.core.ids import (
    Address,
    CustomerId,
    FabricDomainId,
    FailureDomainId,
    ModelName,
    ModelVersion,
    VmId,
)

__all__ = [
    "Absence",
    "Fleet",
    "FleetSize",
    "make_fleet",
    "make_history",
    "make_sized_fleet",
]

DAY_S = 86400.0
_MONTH_DAYS = 30.0
_ROOM = 3600.0


class FleetSize(Enum):
    """The sizes that the project is asked for."""

    TODAY = "today"
    COMING = "coming"


@dataclass(frozen=True, slots=True)
class Fleet:
    """A configuration and how often its VMs fail.

    Attributes:
        configuration: What the operators want.
        pauses_a_day: Over the fleet; a paused VM keeps its weights.
        restarts_a_day: Over the fleet; a restarted VM is empty.
        failures_a_day: Over the fleet.
        racks_a_day: Losses of a rack or switch.
        domains_a_day: Losses of a failure domain.
    """

    configuration: Configuration
    pauses_a_day: float
    restarts_a_day: float
    failures_a_day: float
    racks_a_day: float = 1 / _MONTH_DAYS
    domains_a_day: float = 1 / (2 * _MONTH_DAYS)


@dataclass(frozen=True, slots=True, order=True)
class Absence:
    """One VM's absence.

    Attributes:
        begins: Seconds from the start.
        vm: Which VM.
        lasts: Seconds.
        keeps: Whether it comes back with its weights.
    """

    begins: float
    vm: VmId
    lasts: float
    keeps: bool


def make_fleet(size: FleetSize, weights: RepairWeights) -> Fleet:
    """Return the fleet of a size.

    Today: 65 VMs in three domains, groups of 4 and of 2, three VMs to
    spare. Coming: 600 VMs of 8 accelerators in five domains, groups of 32
    and of 8, eight VMs to spare in each domain.
    """
    if size is FleetSize.TODAY:
        models = (
            _model("advisory", 4, 8, 13),
            _model("summary", 2, 2, 5),
        )
        made = _configure((22, 22, 21), models, weights)
        part = 65 / 600
        return Fleet(made, 170 * part, 170 * part, 7 * part)
    models = (_model("advisory", 32, 10, 15), _model("summary", 8, 4, 10))
    made = _configure((120,) * 5, models, weights)
    # Ten times as many racks and domains as are expected, so that a history
    # of a few days holds them.
    return Fleet(made, 170.0, 170.0, 7.0, 10 / _MONTH_DAYS, 5 / _MONTH_DAYS)


def make_sized_fleet(vms: int, weights: RepairWeights) -> Configuration:
    """Return five domains of groups of 4 over a number of VMs."""
    each = vms // 5
    models = (_model("advisory", 4, each // 8, 5 * (each // 4 - 1)),)
    return _configure((each,) * 5, models, weights)


def make_history(fleet: Fleet, days: float, seed: int) -> list[Absence]:
    """Return the absences of a number of days, in their order."""
    source = Random(seed)
    vms = fleet.configuration.inventory.vms
    ends = days * DAY_S
    found: list[Absence] = []
    for rate, mean_s, keeps in (
        (fleet.pauses_a_day, 20.0, True),
        (fleet.restarts_a_day, 120.0, False),
        (fleet.failures_a_day, 4 * 3600.0, False),
    ):
        for begins in _draw_times(source, rate, ends):
            lasts = source.expovariate(1 / mean_s) + 1.0
            found.append(Absence(begins, source.choice(vms).id, lasts, keeps))
    for begins in _draw_times(source, fleet.racks_a_day, ends):
        found += _lose_rack(source, vms, begins)
    for begins in _draw_times(source, fleet.domains_a_day, ends):
        found += _lose_domain(source, vms, begins)
    return _without_overlaps(sorted(found))


def _draw_times(source: Random, a_day: float, ends: float) -> list[float]:
    times = []
    now = source.expovariate(a_day / DAY_S) + _ROOM
    while now < ends:
        times.append(now)
        now += source.expovariate(a_day / DAY_S)
    return times


def _lose_rack(source: Random, vms: tuple[Vm, ...], begins: float) -> list[Absence]:
    """Lose eight neighbours for about half an hour."""
    first = source.randrange(len(vms))
    lasts = source.expovariate(1 / 1800.0) + 60.0
    rack = [vm for vm in vms[first : first + 8]]
    return [Absence(begins, vm.id, lasts, False) for vm in rack]


def _lose_domain(source: Random, vms: tuple[Vm, ...], begins: float) -> list[Absence]:
    """Lose a whole failure domain for about twenty minutes."""
    lost = source.choice(sorted({vm.failure_domain for vm in vms}))
    lasts = source.expovariate(1 / 1200.0) + 60.0
    return [
        Absence(begins, vm.id, lasts, False) for vm in vms if vm.failure_domain == lost
    ]


def _without_overlaps(absences: list[Absence]) -> list[Absence]:
    """Leave out absences of VMs that are absent, or only just back."""
    back: dict[VmId, float] = {}
    kept = []
    for absence in absences:
        if absence.begins > back.get(absence.vm, 0.0) + 60.0:
            back[absence.vm] = absence.begins + absence.lasts
            kept.append(absence)
    return kept


def _model(name: str, size: int, guaranteed: int, wanted: int) -> ModelRule:
    return ModelRule(
        ModelName(name),
        ModelVersion("1"),
        size,
        guaranteed,
        wanted,
        16,
        (Share(CustomerId("a"), 1),),
        weights_gb=40.0,
    )


def _configure(
    sizes: tuple[int, ...], models: tuple[ModelRule, ...], weights: RepairWeights
) -> Configuration:
    vms = tuple(
        Vm(
            VmId(f"d{domain}-{k:03}"),
            Address(f"10.0.{domain}.{k}:80"),
            FailureDomainId(f"f{domain}"),
            FabricDomainId(f"d{domain}"),
            8,
            CustomerId("a"),
        )
        for domain, count in enumerate(sizes)
        for k in range(count)
    )
    customers = (CustomerRule(CustomerId("a"), (CustomerId("a"),)),)
    rules = Rules(customers, models, (), weights)
    return Configuration(Inventory(vms), rules)
