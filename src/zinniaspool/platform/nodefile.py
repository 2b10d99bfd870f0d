"""The settings file that the platform writes for each process."""

import os
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from zinniaspool.core.ids import Address, FailureDomainId, NodeId
from zinniaspool.fleet import NodeSettings
from zinniaspool.platform.variables import FILE_VARIABLE

__all__ = ["NodeFileError", "read_node_file"]


_HEALTH_CONTRACT = "health"
"""The contract under which upstreams answer health queries."""


class NodeFileError(Exception):
    """The settings file can't be used; the message names the fault."""


class _Listen(msgspec.Struct, rename="kebab"):
    front: str = ""
    ready: str = ""
    control: str = ""
    directory: str = ""


class _Store(msgspec.Struct, rename="kebab"):
    address: str
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    # The shortest lease that the store grants, in milliseconds.
    ttl_min_ms: float = 1000.0


class _Bounds(msgspec.Struct):
    # Time from the stop signal to the process's end, in seconds.
    grace_s: float = msgspec.field(default=8.0, name="grace-s")
    # Longest lifetime of an address answer that callers honour, in seconds.
    ttl_max_s: float = 5.0
    budget_ratio: float = msgspec.field(default=0.2, name="budget-ratio")
    budget_window_s: float = msgspec.field(default=10.0, name="budget-window-s")
    budget_slack: float = msgspec.field(default=0.0, name="budget-slack")
    stall_ms: float = msgspec.field(default=6000.0, name="stall-ms")
    ceiling_window_s: float = msgspec.field(default=5.0, name="ceiling-window-s")
    cold_over: float = msgspec.field(default=1.5, name="cold-over")
    cold_slack: float = msgspec.field(default=5.0, name="cold-slack")
    evac_ms: float = msgspec.field(default=5000.0, name="evac-ms")


class _Limits(msgspec.Struct, rename="kebab"):
    # Share of a core that the VM has, and how many times as fast the core is.
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0


class _File(msgspec.Struct, rename="kebab"):
    node_name: str
    ip: str
    zone: str
    region: str
    platform: _Store
    listen_addrs: _Listen
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False
    heartbeat_ms: float = 1000.0
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # The parts of the platform's protocol that upstreams and callers follow.
    contracts: list[Any] | dict[str, Any] = []


def read_node_file(path: Path | None = None) -> NodeSettings:
    """Read the settings file; unknown fields are ignored.

    Args:
        path: The file; by default the one that the platform's environment
            variable names.

    Raises:
        NodeFileError: The file is missing, is not TOML, or lacks a field.
    """
    if path is None:
        named = os.environ.get(FILE_VARIABLE)
        if not named:
            raise NodeFileError(f"{FILE_VARIABLE} does not name a settings file")
        path = Path(named)
    try:
        text = path.read_text(encoding="utf-8")
        file = msgspec.convert(tomllib.loads(text), _File, strict=False)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise NodeFileError(f"{path}: {error}") from error
    except msgspec.ValidationError as error:
        raise NodeFileError(f"{path}: {error}") from error
    return _make_settings(file)


def _make_settings(file: _File) -> NodeSettings:
    bounds, listen = file.bounds, file.listen_addrs
    return NodeSettings(
        NodeId(file.node_name),
        file.ip,
        FailureDomainId(file.zone),
        file.region,
        _parse_address(listen.front),
        _parse_address(listen.ready),
        _parse_address(listen.directory),
        _find_control_address(file),
        file.internal_ports[0],
        tuple(Address(seed) for seed in file.seeds),
        Address(file.platform.address),
        file.platform.ttl_min_ms / 1000,
        file.heartbeat_ms / 1000,
        file.bootstrap,
        bounds.grace_s,
        bounds.ttl_max_s,
        bounds.stall_ms / 1000,
        bounds.budget_ratio,
        bounds.budget_window_s,
        bounds.budget_slack,
        bounds.ceiling_window_s,
        file.limits.cpu_share * file.limits.cores,
        file.limits.link_mbps,
        bounds.evac_ms / 1000,
        bounds.cold_over,
        bounds.cold_slack,
        _HEALTH_CONTRACT in file.contracts,
    )


def _find_control_address(file: _File) -> Address:
    """Return the address at which the VM's control process listens.

    Only the control process's own settings name the address, not those of the
    VM's entry process. All VMs use the same port, so any seed has it.
    """
    if file.listen_addrs.control:
        return Address(file.listen_addrs.control)
    if file.seeds:
        return Address(f"{file.ip}:{file.seeds[0].rpartition(':')[2]}")
    return Address(f"{file.ip}:{file.internal_ports[0] + 1}")


def _parse_address(text: str) -> Address | None:
    return Address(text) if text else None
