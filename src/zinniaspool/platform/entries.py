"""What instances write of themselves, and what engines report.

Anybody may write below the instances' prefix, so that an entry is believed
only where all of it is as an instance would write it. Taken in part, a foreign
entry would name an address at which nobody answers for the service, and
callers' requests would be sent there.
"""

import re
from ipaddress import ip_address
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from zinniaspool.core.fleet import (
    EngineStatus,
    Instance,
    InstanceId,
    InstanceState,
    Membership,
    MembershipState,
)
from zinniaspool.core.ids import (
    Address,
    Epoch,
    FabricDomainId,
    FailureDomainId,
    GroupId,
    ModelName,
    ServiceName,
)

__all__ = ["ENTRIES_PREFIX", "amend_entry", "read_entry", "read_status"]

ENTRIES_PREFIX = "servers/"

_MOST_COUNT = 2**53
"""Largest whole number that every JSON codec keeps; epochs and counts are far
below it, and one beyond it could not be passed on to other processes."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=_MOST_COUNT)]

_ID = re.compile(r"[\w.:-]{1,128}", re.ASCII)
"""Ids that can stand in a header field."""

_MOST_PORT = 65535
"""Largest TCP port: ports have sixteen bits."""


class _Group(msgspec.Struct):
    name: str
    epoch: _Count
    rank: _Count
    state: str


class _Model(msgspec.Struct):
    name: str


class _Entry(msgspec.Struct, rename="kebab"):
    # Each instance writes the first eight, also those that nothing here needs.
    service: str
    address: str
    zone: str
    # Of the software that runs, not of the entry.
    version: str
    slots: _Count
    state: str
    cold_left_ms: float
    seq_no: _Count
    # Unix milliseconds of the process's start.
    born: _Count | msgspec.UnsetType = msgspec.UNSET
    models: list[_Model] = []
    # The fabric domain.
    domain: str | int | None = None
    staged: list[str] = []
    group: _Group | None = None


class _Report(msgspec.Struct, rename="kebab"):
    born: _Count | msgspec.UnsetType = msgspec.UNSET
    models: list[_Model] = []
    staged: list[str] = []
    group: _Group | None = None
    waiting: int = 0
    running: int = 0
    # Over 1: the VM takes this many times as long as it should.
    pace: float = 1.0


_STATES = {one.value: one for one in MembershipState}
_INSTANCE_STATES = {
    "ready": InstanceState.READY,
    "draining": InstanceState.LEAVING,
}
# What decoding raises: a deeply nested value ends the decoder's recursion.
_UNREADABLE = (msgspec.MsgspecError, RecursionError)


def read_entry(key: str, value: bytes) -> Result[Instance, str]:
    """Return the instance of an entry, or why it names none."""
    name = key.removeprefix(ENTRIES_PREFIX)
    if not _ID.fullmatch(name):
        return Err("an id that no header can carry")
    try:
        raw = msgspec.json.decode(value, type=_Entry)
    except _UNREADABLE as error:
        return Err(str(error))
    state = _INSTANCE_STATES.get(raw.state)
    if state is None:
        return Err(f"unknown state {raw.state!r}")
    if not _is_address(raw.address):
        return Err(f"no address {raw.address!r}")
    membership = _read_group(raw.group)
    if isinstance(membership, Err):
        return membership
    return Ok(
        Instance(
            InstanceId(name),
            ServiceName(raw.service),
            Address(raw.address),
            FailureDomainId(raw.zone),
            state,
            raw.slots,
            None if raw.domain is None else FabricDomainId(str(raw.domain)),
            ModelName(raw.models[0].name) if raw.models else None,
            tuple(ModelName(one) for one in raw.staged),
            membership.ok_value,
            _read_born(raw.born),
        )
    )


def amend_entry(value: bytes, status: EngineStatus) -> Result[bytes, str]:
    """Return an entry as its engine would write it now."""
    try:
        entry = msgspec.json.decode(value, type=dict[str, object])
    except _UNREADABLE as error:
        return Err(str(error))
    held = status.membership
    entry["staged"] = list(status.staged)
    entry["models"] = [] if status.model is None else [{"name": status.model}]
    entry["group"] = None
    if status.born is not None:
        entry["born"] = status.born
    if held is not None:
        entry["group"] = _Group(held.group, held.epoch, held.rank, held.state.value)
    return Ok(msgspec.json.encode(entry))


def read_status(body: bytes) -> Result[EngineStatus, str]:
    """Return an engine's answer about itself, or why it cannot be read."""
    try:
        raw = msgspec.json.decode(body, type=_Report)
    except _UNREADABLE as error:
        return Err(str(error))
    membership = _read_group(raw.group)
    if isinstance(membership, Err):
        return membership
    return Ok(
        EngineStatus(
            membership.ok_value,
            ModelName(raw.models[0].name) if raw.models else None,
            tuple(ModelName(one) for one in raw.staged),
            raw.running,
            raw.waiting,
            raw.pace,
            _read_born(raw.born),
        )
    )


def _read_group(raw: _Group | None) -> Result[Membership | None, str]:
    if raw is None or not raw.name:
        return Ok(None)
    state = _STATES.get(raw.state)
    if state is None:
        return Err(f"unknown group state {raw.state!r}")
    return Ok(Membership(GroupId(raw.name), Epoch(raw.epoch), raw.rank, state))


def _read_born(raw: int | msgspec.UnsetType) -> int | None:
    return None if isinstance(raw, msgspec.UnsetType) else raw


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= _MOST_PORT
