"""What a process is told of its VM, the store and its bounds."""

from dataclasses import dataclass

from zinniaspool.core.ids import Address, FailureDomainId, NodeId

__all__ = ["NodeSettings"]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a process is told when it starts.

    Attributes:
        node: The VM's name.
        ip: Its IP number.
        failure_domain: Where it is.
        region: The region of that.
        caller_address: Where callers connect, or None.
        ready_address: Where the platform asks whether callers may be sent.
        directory_address: Where callers ask which addresses to use, or None.
        control_address: Where this VM's control process listens.
        first_port: First of the ports for traffic of our own.
        seeds: Control processes that may be reached at the start.
        store_address: The platform's store.
        least_lease_s: Shortest lease that the store grants.
        heartbeat_s: How often an instance writes its entry.
        first_start: Whether the whole system starts for the first time.
        grace_s: From the stop signal to the end.
        address_lifetime_s: Longest lifetime of an address answer.
        stall_s: How long a group that lacks a VM stands still before it
            refuses.
        repeat_ratio: Repeats allowed for each request, all processes
            together.
        repeat_window_s: Over how long repeats are counted.
        repeat_slack: Repeats allowed besides.
        load_window_s: Over how long loads of weights are counted.
        cores: Processor time a second, in seconds.
        link_mbps: Bandwidth of its link.
    """

    node: NodeId
    ip: str
    failure_domain: FailureDomainId
    region: str
    caller_address: Address | None
    ready_address: Address | None
    directory_address: Address | None
    control_address: Address
    first_port: int
    seeds: tuple[Address, ...]
    store_address: Address
    least_lease_s: float
    heartbeat_s: float
    first_start: bool
    grace_s: float
    address_lifetime_s: float
    stall_s: float
    repeat_ratio: float
    repeat_window_s: float
    repeat_slack: float
    load_window_s: float
    cores: float = 1.0
    link_mbps: float = 1000.0
