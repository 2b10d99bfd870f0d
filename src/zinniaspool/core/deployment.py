"""What operators configure: the inventory of VMs and the rules over it."""

from dataclasses import dataclass
from enum import Enum

from zinniaspool.core.ids import (
    Address,
    CustomerId,
    FabricDomainId,
    FailureDomainId,
    ModelName,
    ModelVersion,
    ServiceName,
    VmId,
)

__all__ = [
    "AnnouncedPeak",
    "Configuration",
    "CustomerRule",
    "FencingSupport",
    "Inventory",
    "ModelRule",
    "RepairWeights",
    "Rules",
    "ServiceRule",
    "ServiceUpstream",
    "Share",
    "Vm",
]


class FencingSupport(Enum):
    """What an engine does with an order that carries an old epoch."""

    CHECKED = "checked"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True)
class Vm:
    """An upstream VM of the inventory.

    Attributes:
        id: Its name in the asset register.
        address: Where its engine listens.
        failure_domain: What it may fail together with.
        fabric_domain: What it shares a fast interconnect with; lies within
            one failure domain.
        accelerators: How many it has.
        owner: The customer that the asset register names.
    """

    id: VmId
    address: Address
    failure_domain: FailureDomainId
    fabric_domain: FabricDomainId
    accelerators: int
    owner: CustomerId


@dataclass(frozen=True, slots=True)
class Inventory:
    """The VMs as exported by the operators.

    Attributes:
        vms: All VMs that replica groups may be formed of.
    """

    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class CustomerRule:
    """A customer and the VMs that its models may run on.

    Attributes:
        id: The customer.
        may_use: Owners whose VMs its models may run on.
    """

    id: CustomerId
    may_use: tuple[CustomerId, ...]


@dataclass(frozen=True, slots=True)
class Share:
    """One customer's part of a model's or service's capacity.

    Attributes:
        customer: Who.
        guaranteed: Requests in progress it can always have, over the fleet.
        weight: Its part of what is idle, relative to the others'.
    """

    customer: CustomerId
    guaranteed: int
    weight: int = 1


@dataclass(frozen=True, slots=True)
class ModelRule:
    """A model that runs on replica groups.

    Attributes:
        name: What callers put in the path.
        version: The version that its groups load.
        vms_per_group: VMs in each group; losing any one stops the group.
        guaranteed_groups: Groups it has before any other model gets more.
        wanted_groups: Groups it uses when VMs are free; at least the
            guaranteed ones.
        slots_per_group: Requests that a group runs at a time.
        shares: The customers whose requests its groups run, all of which
            must be allowed to use the groups' VMs.
        weight: Its part of free VMs, relative to other models'.
        weights_gb: Size of one VM's part of the weights, for the rate
            limit of the weight store.
    """

    name: ModelName
    version: ModelVersion
    vms_per_group: int
    guaranteed_groups: int
    wanted_groups: int
    slots_per_group: int
    shares: tuple[Share, ...]
    weight: int = 1
    weights_gb: float = 1.0


@dataclass(frozen=True, slots=True)
class ServiceUpstream:
    """One address of a plain service.

    Attributes:
        address: Where it listens.
        failure_domain: Where it runs.
    """

    address: Address
    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """A plain service that stands beside the model engines.

    Attributes:
        name: What callers put in the path.
        upstreams: Where it listens.
        slots_per_upstream: Requests that one upstream runs at a time.
        shares: The customers that may call it.
        non_idempotent: Path prefixes, below the service, of calls that may
            run at most once. ``""`` stands for every call.
        urgent: Whether its calls go on when capacity is short.
    """

    name: ServiceName
    upstreams: tuple[ServiceUpstream, ...]
    slots_per_upstream: int
    shares: tuple[Share, ...]
    non_idempotent: tuple[str, ...] = ()
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class RepairWeights:
    """How a deployment weighs the two costs of repair.

    Attributes:
        group_downtime: Cost of one group being down for one second.
        stranded_accelerators: Cost of one healthy accelerator being idle
            for one second because its group cannot form.
    """

    group_downtime: float
    stranded_accelerators: float


@dataclass(frozen=True, slots=True)
class AnnouncedPeak:
    """A time at which a model will be in high demand.

    Attributes:
        model: Which model.
        starts_at: Seconds since the epoch.
        ends_at: Seconds since the epoch.
    """

    model: ModelName
    starts_at: float
    ends_at: float


@dataclass(frozen=True, slots=True)
class Rules:
    """What the operators add to the inventory.

    Attributes:
        customers: Who shares the fleet, and the VMs that each may use.
        models: What runs on replica groups.
        services: Plain services that requests are routed to as well.
        repair: The weights of the two costs of repair.
        fencing: What engines do with an order that carries an old epoch.
        weight_store_gb_per_s: Rate limit of the weight store.
    """

    customers: tuple[CustomerRule, ...]
    models: tuple[ModelRule, ...]
    services: tuple[ServiceRule, ...]
    repair: RepairWeights
    fencing: FencingSupport = FencingSupport.IGNORED
    weight_store_gb_per_s: float = 10.0
    peaks: tuple[AnnouncedPeak, ...] = ()


@dataclass(frozen=True, slots=True)
class Configuration:
    """An inventory and the rules that go with it."""

    inventory: Inventory
    rules: Rules
