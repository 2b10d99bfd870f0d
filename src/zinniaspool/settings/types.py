"""What can be set, with its units and defaults."""

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["ControlSettings", "EntrySettings", "NodeSettings"]


class NodeSettings(BaseModel):
    """What every process is told: who it is and whom it meets."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    node: str = Field(min_length=1, description="This process's name in the fleet.")
    failure_domain: str = Field(
        min_length=1, description="The failure domain that its VM is in."
    )
    peer_address: str = Field(description="IP number and port for its peers.")
    store_addresses: tuple[str, ...] = Field(
        min_length=1, description="The platform's key-value service."
    )
    vm_list_address: str = Field(description="The platform's list of VMs.")
    peer_secret_file: str = Field(
        description="File that holds the secret which shows peers to each other."
    )
    operator_address: str = Field(
        default="", description="IP number and port for operators; empty for none."
    )
    seeds: tuple[str, ...] = Field(
        default=(), description="Peer addresses to ask at the start."
    )


class EntrySettings(NodeSettings):
    """Settings of ``zinniaspool-entry``."""

    caller_address: str = Field(description="IP number and port for callers.")
    credentials_file: str = Field(
        description="File that names the customer of each credential."
    )
    report_stale_s: float = Field(
        default=2.0, gt=0, description="Age from which an engine report is void."
    )
    default_deadline_s: float = Field(
        default=30.0, gt=0, description="Deadline of requests that bring none."
    )


class ControlSettings(NodeSettings):
    """Settings of ``zinniaspool-control``."""

    lease_s: float = Field(
        default=3.0, gt=0, description="Length of a fabric domain's lease."
    )
    poll_s: float = Field(
        default=0.25, gt=0, description="Time between two polls of an engine."
    )
    vm_absent_s: float = Field(
        default=2.5,
        gt=0,
        description="Silence after which a VM is absent; more than the entry"
        " processes' report_stale_s.",
    )
    vm_settle_s: float = Field(
        default=3.0,
        ge=0,
        description="How long a VM that was absent reports before it may join a group.",
    )
    report_stale_s: float = Field(
        default=2.0, gt=0, description="Age from which an engine report is void."
    )
    beat_s: float = Field(
        default=0.5, gt=0, description="Time between two beats to entry processes."
    )
    order_s: float = Field(
        default=1.0, gt=0, description="Longest time that an order is under way."
    )
