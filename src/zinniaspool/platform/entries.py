"""Decodes the records of instances in the store and the status of engines.

Any client of the store can write below the instances' prefix, so a record is
accepted only if all of it is as an instance would write it. If the valid part
of a foreign record were accepted, it could name an address that does not serve
the service, and callers' requests would be sent there.
"""

import re
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from zinniaspool.core.decoding import MAX_COUNT, decode_json, is_address, shorten
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

__all__ = [
    "EVACUATIONS_PREFIX",
    "INSTANCES_PREFIX",
    "apply_status",
    "decode_instance",
    "decode_status",
]

INSTANCES_PREFIX = "servers/"

EVACUATIONS_PREFIX = "op/evacuate/"
"""Prefix of the operator's evacuation orders; the rest of a key names the
failure domain."""

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]

_ID = re.compile(r"[\w.:-]{1,128}", re.ASCII)
"""Ids that are valid in a header field."""


class _Group(msgspec.Struct):
    name: str
    epoch: _Count
    rank: _Count
    state: str


class _Model(msgspec.Struct):
    name: str


class _InstanceRecord(msgspec.Struct, rename="kebab"):
    # Every instance writes the first eight, including those not used here.
    service: str
    address: str
    zone: str
    # Version of the software that runs, not of the record.
    version: str
    slots: _Count
    state: str
    cold_left_ms: float
    seq_no: _Count
    # When the instance's process started, in Unix milliseconds.
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
    waiting: _Count = 0
    running: _Count = 0
    # Above 1, the VM takes this many times as long as it should.
    pace: float = 1.0
    state: str = ""


_STATES = {state.value: state for state in MembershipState}
_INSTANCE_STATES = {
    "ready": InstanceState.READY,
    "draining": InstanceState.LEAVING,
}


def decode_instance(key: str, value: bytes) -> Result[Instance, str]:
    """Return the instance of a record, or why the record is invalid."""
    instance = key.removeprefix(INSTANCES_PREFIX)
    if not _ID.fullmatch(instance):
        return Err("the id is not valid in a header field")
    decoded = decode_json(value, _InstanceRecord)
    if isinstance(decoded, Err):
        return decoded
    raw = decoded.ok_value
    state = _INSTANCE_STATES.get(raw.state)
    if state is None:
        return Err(f"unknown state {shorten(raw.state)!r}")
    if not is_address(raw.address):
        return Err(f"not an IP address and port: {shorten(raw.address)!r}")
    membership = _decode_membership(raw.group)
    if isinstance(membership, Err):
        return membership
    return Ok(
        Instance(
            InstanceId(instance),
            ServiceName(raw.service),
            Address(raw.address),
            FailureDomainId(raw.zone),
            state,
            raw.slots,
            None if raw.domain is None else FabricDomainId(str(raw.domain)),
            ModelName(raw.models[0].name) if raw.models else None,
            tuple(ModelName(model) for model in raw.staged),
            membership.ok_value,
            _decode_start(raw.born),
            raw.seq_no,
            max(0.0, raw.cold_left_ms) / 1000,
        )
    )


def apply_status(value: bytes, status: EngineStatus) -> Result[bytes, str]:
    """Return an instance record updated by its engine's status."""
    # Fields that are not used here may have values that can't be decoded.
    decoded = decode_json(value, dict[str, msgspec.Raw])
    if isinstance(decoded, Err):
        return decoded
    record: dict[str, object] = {**decoded.ok_value}
    membership = status.membership
    record["staged"] = list(status.staged)
    record["models"] = [] if status.model is None else [{"name": status.model}]
    record["group"] = None
    if status.born is not None:
        record["born"] = status.born
    if membership is not None:
        record["group"] = _Group(
            membership.group, membership.epoch, membership.rank, membership.state.value
        )
    return Ok(msgspec.json.encode(record))


def decode_status(body: bytes) -> Result[EngineStatus, str]:
    """Return the status of an engine's answer, or why it is invalid."""
    decoded = decode_json(body, _Report)
    if isinstance(decoded, Err):
        return decoded
    raw = decoded.ok_value
    membership = _decode_membership(raw.group)
    if isinstance(membership, Err):
        return membership
    return Ok(
        EngineStatus(
            membership.ok_value,
            ModelName(raw.models[0].name) if raw.models else None,
            tuple(ModelName(name) for name in raw.staged),
            raw.running,
            raw.waiting,
            raw.pace,
            _decode_start(raw.born),
            _INSTANCE_STATES.get(raw.state) is InstanceState.LEAVING,
        )
    )


def _decode_membership(raw: _Group | None) -> Result[Membership | None, str]:
    if raw is None or not raw.name:
        return Ok(None)
    state = _STATES.get(raw.state)
    if state is None:
        return Err(f"unknown group state {shorten(raw.state)!r}")
    return Ok(Membership(GroupId(raw.name), Epoch(raw.epoch), raw.rank, state))


def _decode_start(raw: int | msgspec.UnsetType) -> int | None:
    return None if isinstance(raw, msgspec.UnsetType) else raw
