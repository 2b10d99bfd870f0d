"""Settings of the processes, with their units, defaults and constraints.

The descriptions of the fields become the reference page of settings. The unit
of a number is the suffix of its key: ``_s`` is in seconds.
"""

from pathlib import Path
from typing import Annotated, Self

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationInfo,
    model_validator,
)

from zinniaspool.core.validation import is_address

__all__ = [
    "ControlSettings",
    "EntrySettings",
    "NodeSettings",
    "TlsFiles",
    "check_address",
]


def check_address(value: str) -> str:
    """Return an address if it is an IP address and a port.

    Raises:
        ValueError: The value is not an IP address and a port.
    """
    if not is_address(value, min_port=0):
        raise ValueError('an IP address and a port, such as "10.0.0.1:8080"')
    return value


def _check_address_or_empty(value: str) -> str:
    return check_address(value) if value else value


def _check_file(value: str, info: ValidationInfo) -> str:
    if not (info.context or {}).get("on_vm", True):
        return value
    try:
        with Path(value).open("rb"):
            return value
    except OSError as error:
        raise ValueError(f"a readable file ({error.strerror})") from error


_Address = Annotated[str, AfterValidator(check_address)]
_OptionalAddress = Annotated[str, AfterValidator(_check_address_or_empty)]
_File = Annotated[str, AfterValidator(_check_file)]


class TlsFiles(BaseModel):
    """PEM files of a TLS endpoint."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    certificate_file: _File = Field(description="Certificate chain.")
    key_file: _File = Field(description="Private key of the certificate.")
    authority_file: _File | None = Field(
        default=None,
        description=(
            "Authorities that must have issued the certificate of the other "
            "side; required for peers, optional for callers."
        ),
    )


class NodeSettings(BaseModel):
    """Settings of each process: its identity and the addresses it uses."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    node: str = Field(min_length=1, description="Name of this process in the fleet.")
    failure_domain: str = Field(
        min_length=1, description="Failure domain of the VM of this process."
    )
    peer_address: _Address = Field(description="IP address and port for peers.")
    store_addresses: tuple[_Address, ...] = Field(
        min_length=1, description="Addresses of the platform's key-value service."
    )
    store_calls_per_s: float = Field(
        default=50.0,
        gt=0,
        description="Maximum calls per second to the key-value service, on average.",
    )
    gossip_bytes_per_s: int = Field(
        default=30_000,
        gt=0,
        description="Maximum bytes of notices sent to peers per second.",
    )
    vm_list_address: _Address = Field(
        description="Address of the platform's list of VMs."
    )
    peer_secret_file: _File = Field(
        description="File with the secret by which peers authenticate each other."
    )
    operator_address: _OptionalAddress = Field(
        default="", description="IP address and port for operators; empty for none."
    )
    operators_file: _File | None = Field(
        default=None,
        description=(
            "File that names the operator of each credential; without it the "
            "operator address accepts only callers on the loopback interface."
        ),
    )
    seeds: tuple[_Address, ...] = Field(
        default=(), description="Peer addresses to contact at the start."
    )
    operator_tls: TlsFiles | None = Field(
        default=None, description="TLS for operators; without it, no TLS is used."
    )
    peer_tls: TlsFiles | None = Field(
        default=None, description="TLS between processes; without it, no TLS is used."
    )
    dump_folder: str | None = Field(
        default=None,
        description=(
            "Folder to which SIGUSR1 writes the state dump; without it, the "
            "system's folder for temporary files."
        ),
    )
    credentials_reload_s: float = Field(
        default=2.0,
        gt=0,
        description=(
            "Seconds between two checks for changed files of credentials or "
            "TLS; SIGHUP starts a check at once."
        ),
    )

    @model_validator(mode="after")
    def _check_peer_authority(self) -> Self:
        if self.peer_tls is not None and self.peer_tls.authority_file is None:
            raise ValueError("an authority_file in peer_tls: peers verify each other")
        return self


class EntrySettings(NodeSettings):
    """Settings of ``zinniaspool-entry``."""

    caller_address: _Address = Field(description="IP address and port for callers.")
    credentials_file: _File = Field(
        description="File that names the customer of each credential."
    )
    caller_tls: TlsFiles | None = Field(
        default=None, description="TLS for callers; without it, no TLS is used."
    )
    report_stale_s: float = Field(
        default=2.0,
        gt=0,
        description="Age from which the report of an engine is ignored.",
    )
    default_deadline_s: float = Field(
        default=30.0, gt=0, description="Deadline of requests that specify none."
    )
    address_lifetime_s: float = Field(
        default=5.0,
        gt=0,
        description="How long callers may cache the addresses of entry VMs.",
    )
    drain_s: float = Field(
        default=300.0,
        gt=0,
        description="Maximum wait for running requests when the process stops.",
    )
    answer_kept_s: float = Field(
        default=600.0,
        gt=0,
        description="How long the answer of a keyed call is stored for repeats.",
    )
    session_s: float = Field(
        default=600.0,
        gt=0,
        description="How long after its issue a session accepts new idempotency keys.",
    )
    claim_writes_per_s: float = Field(
        default=200.0,
        gt=0,
        description="Maximum writes of claims per second by all entry VMs together.",
    )


class ControlSettings(NodeSettings):
    """Settings of ``zinniaspool-control``."""

    lease_s: float = Field(
        default=3.0, gt=0, description="Duration of the lease of a fabric domain."
    )
    poll_s: float = Field(
        default=0.25, gt=0, description="Time between two polls of an engine."
    )
    vm_absent_s: float = Field(
        default=2.5,
        gt=0,
        description="Time without a report after which a VM is absent; more than"
        " the entry processes' report_stale_s.",
    )
    vm_settle_s: float = Field(
        default=3.0,
        ge=0,
        description="How long a VM that was absent reports before it may join a group.",
    )
    report_stale_s: float = Field(
        default=2.0,
        gt=0,
        description="Age from which the report of an engine is ignored.",
    )
    beat_s: float = Field(
        default=0.5, gt=0, description="Time between two heartbeats to entry processes."
    )
    order_s: float = Field(
        default=1.0, gt=0, description="Longest time that an order can be in transit."
    )
