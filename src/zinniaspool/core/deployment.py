"""The operators' configuration: the inventory of VMs and the rules for it."""

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
    """How an engine handles an order with an old epoch."""

    CHECKED = "checked"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True)
class Vm:
    """An upstream VM of the inventory.

    Attributes:
        id: The VM's name in the asset register.
        address: Where its engine listens.
        failure_domain: VMs of one failure domain may fail together.
        fabric_domain: VMs of one fabric domain share a fast interconnect; a
            fabric domain lies within one failure domain.
        accelerators: Number of its accelerators.
        owner: The customer that owns it according to the asset register.
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
        vms: All VMs from which replica groups may be formed.
    """

    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class CustomerRule:
    """A customer and the VMs that its models may run on.

    Attributes:
        id: The customer's id.
        may_use: Owners whose VMs its models may run on.
    """

    id: CustomerId
    may_use: tuple[CustomerId, ...]


@dataclass(frozen=True, slots=True)
class Share:
    """A customer's share of the capacity of a model or a service.

    Attributes:
        customer: The customer.
        guaranteed: Requests in progress that it can always have, over the
            whole fleet.
        weight: Its part of the idle capacity, relative to other customers'.
    """

    customer: CustomerId
    guaranteed: int
    weight: int = 1


@dataclass(frozen=True, slots=True)
class ModelRule:
    """A model that runs on replica groups.

    Attributes:
        name: The model's name, which callers put in the path.
        version: The version that its groups load.
        vms_per_group: Number of VMs in each group; the loss of any of them
            stops the group.
        guaranteed_groups: Number of groups that it gets before any other
            model gets more than its guarantee.
        wanted_groups: Number of groups that it uses when VMs are free; at
            least the guaranteed ones.
        slots_per_group: Requests that a group runs at a time.
        shares: The customers whose requests its groups run; each of them
            must be allowed to use the groups' VMs.
        weight: Its part of free VMs, relative to other models'.
        weights_gb: Size in GB of one VM's part of the weights, for the rate
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
    """An upstream of a plain service.

    Attributes:
        address: Where it listens.
        failure_domain: The failure domain that it runs in.
    """

    address: Address
    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """A plain service that runs beside the model engines.

    Attributes:
        name: The service's name, which callers put in the path.
        upstreams: Where it listens.
        slots_per_upstream: Requests that one upstream runs at a time.
        shares: The customers that may call it.
        non_idempotent: Path prefixes, below the service, of calls that may
            run at most once. ``""`` stands for every call.
        urgent: Whether its calls are still accepted when capacity is short.
    """

    name: ServiceName
    upstreams: tuple[ServiceUpstream, ...]
    slots_per_upstream: int
    shares: tuple[Share, ...]
    non_idempotent: tuple[str, ...] = ()
    urgent: bool = False


@dataclass(frozen=True, slots=True)
class RepairWeights:
    """The weights of the two costs of a repair.

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
        model: The model.
        starts_at: Start, in seconds since the Unix epoch.
        ends_at: End, in seconds since the Unix epoch.
    """

    model: ModelName
    starts_at: float
    ends_at: float


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules that operators add to the inventory.

    Attributes:
        customers: The customers that share the fleet, and the VMs that each
            may use.
        models: The models that run on replica groups.
        services: Plain services to which requests are routed as well.
        repair: The weights of the two costs of a repair.
        fencing: How engines handle an order with an old epoch.
        weight_store_gb_per_s: Rate limit of the weight store, in GB per
            second.
        peaks: Announced times of high demand.
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
    """An inventory and the rules for it."""

    inventory: Inventory
    rules: Rules
