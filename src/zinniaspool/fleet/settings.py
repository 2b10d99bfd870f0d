"""Settings of a process: its VM, its addresses, the store and its bounds."""

from dataclasses import dataclass

from zinniaspool.core.ids import Address, FailureDomainId, NodeId

__all__ = ["NodeSettings"]


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings that the platform gives a process when it starts.

    Attributes:
        node: The VM's name.
        ip: The VM's IP address.
        failure_domain: The VM's failure domain.
        region: The region of the failure domain.
        caller_address: Where callers connect, or None.
        ready_address: Where the platform checks whether the process is ready
            for callers, or None.
        directory_address: Where callers look up the addresses to use, or None.
        control_address: Where this VM's control process listens.
        first_port: First of the ports for traffic between processes.
        seeds: Control processes to contact first at the start.
        store_address: The platform's store.
        least_lease_s: Shortest lease that the store grants, in seconds.
        heartbeat_s: Interval at which an instance writes its record, in
            seconds.
        first_start: Whether the whole system starts for the first time.
        grace_s: Time from the stop signal to the process's end, in seconds.
        address_lifetime_s: Longest lifetime of an address answer, in seconds.
        stall_s: How long a group that lacks a VM stalls before it refuses
            requests, in seconds.
        repeat_ratio: Retries allowed per request, all processes together.
        repeat_window_s: Window in which retries are counted, in seconds.
        repeat_slack: Retries allowed in addition to the ratio.
        load_window_s: Window in which loads of weights are counted, in
            seconds.
        cores: Processor time available per second, in seconds.
        link_mbps: Bandwidth of the VM's link, in Mbit/s.
        evacuation_s: Time after the store's acknowledgement of an evacuation
            order from which no request may reach an upstream of that failure
            domain, in seconds.
        cold_over: Factor on the rate of requests that a cold upstream takes.
        cold_slack: Requests that are added to that in any second.
        retains_instances: Whether instances are queried for their health and
            retained when their records expire.
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
    evacuation_s: float = 5.0
    cold_over: float = 1.5
    cold_slack: float = 5.0
    retains_instances: bool = False
