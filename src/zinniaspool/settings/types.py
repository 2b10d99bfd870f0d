"""What can be set, with its units and defaults."""

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
    """Return an address, once it is an IP number and a port.

    Raises:
        ValueError: It is not.
    """
    if not is_address(value, min_port=0):
        raise ValueError('an IP number and a port, as "10.0.0.1:8080"')
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
    """Files of one side's TLS, in PEM."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    certificate_file: _File = Field(description="Certificate chain.")
    key_file: _File = Field(description="Private key of the certificate.")
    authority_file: _File | None = Field(
        default=None,
        description=(
            "Authorities whose certificates the other side must show; required "
            "for peers, optional for callers."
        ),
    )


class NodeSettings(BaseModel):
    """What every process is told: who it is and whom it meets."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    node: str = Field(min_length=1, description="This process's name in the fleet.")
    failure_domain: str = Field(
        min_length=1, description="The failure domain that its VM is in."
    )
    peer_address: _Address = Field(description="IP number and port for its peers.")
    store_addresses: tuple[_Address, ...] = Field(
        min_length=1, description="The platform's key-value service."
    )
    store_calls_per_s: float = Field(
        default=50.0,
        gt=0,
        description="Most calls a second to the key-value service, on average.",
    )
    gossip_bytes_per_s: int = Field(
        default=30_000,
        gt=0,
        description="Most bytes of notices sent to peers a second.",
    )
    vm_list_address: _Address = Field(description="The platform's list of VMs.")
    peer_secret_file: _File = Field(
        description="File that holds the secret which shows peers to each other."
    )
    operator_address: _OptionalAddress = Field(
        default="", description="IP number and port for operators; empty for none."
    )
    operators_file: _File | None = Field(
        default=None,
        description=(
            "File that names the operator of each credential; without it the "
            "operator address answers only callers on the loopback interface."
        ),
    )
    seeds: tuple[_Address, ...] = Field(
        default=(), description="Peer addresses to ask at the start."
    )
    operator_tls: TlsFiles | None = Field(
        default=None, description="TLS towards operators; without it, none."
    )
    peer_tls: TlsFiles | None = Field(
        default=None, description="TLS between processes; without it, none."
    )
    dump_folder: str | None = Field(
        default=None,
        description=(
            "Where SIGUSR1 writes the state dump; the system's folder for "
            "temporary files without it."
        ),
    )
    credentials_reload_s: float = Field(
        default=2.0,
        gt=0,
        description=(
            "Seconds between two looks at whether a file of credentials or TLS "
            "changed; SIGHUP makes one at once."
        ),
    )

    @model_validator(mode="after")
    def _check_peer_authority(self) -> Self:
        if self.peer_tls is not None and self.peer_tls.authority_file is None:
            raise ValueError("an authority_file in peer_tls: peers check each other")
        return self


class EntrySettings(NodeSettings):
    """Settings of ``zinniaspool-entry``."""

    caller_address: _Address = Field(description="IP number and port for callers.")
    credentials_file: _File = Field(
        description="File that names the customer of each credential."
    )
    caller_tls: TlsFiles | None = Field(
        default=None, description="TLS towards callers; without it, none."
    )
    report_stale_s: float = Field(
        default=2.0, gt=0, description="Age from which an engine report is void."
    )
    default_deadline_s: float = Field(
        default=30.0, gt=0, description="Deadline of requests that bring none."
    )
    address_lifetime_s: float = Field(
        default=5.0, gt=0, description="How long callers may keep an address answer."
    )
    drain_s: float = Field(
        default=300.0,
        gt=0,
        description="Longest wait for the last requests when the process leaves.",
    )
    answer_kept_s: float = Field(
        default=600.0,
        gt=0,
        description="How long a keyed call's answer is kept for its repeats.",
    )
    session_s: float = Field(
        default=600.0,
        gt=0,
        description="How long a session's idempotency keys may be new.",
    )
    claim_writes_per_s: float = Field(
        default=200.0,
        gt=0,
        description="Most writes a second of claims, by all entry VMs together.",
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
