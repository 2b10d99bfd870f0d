"""What instances write of themselves, and what engines report."""

import msgspec
from result import Err, Ok, Result

from zinniaspool.core.fleet import (
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

__all__ = ["ENTRIES_PREFIX", "EngineStatus", "amend_entry", "read_entry", "read_status"]

ENTRIES_PREFIX = "servers/"


class _Group(msgspec.Struct):
    name: str = ""
    epoch: int = 0
    rank: int = 0
    state: str = ""


class _Model(msgspec.Struct):
    name: str


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    slots: int = 1
    state: str = "ready"
    models: list[_Model] = []
    domain: str | int | None = None
    staged: list[str] = []
    group: _Group | None = None


class _Report(msgspec.Struct, rename="kebab"):
    models: list[_Model] = []
    staged: list[str] = []
    group: _Group | None = None
    waiting: int = 0
    running: int = 0
    # Over 1: the VM takes this many times as long as it should.
    pace: float = 1.0


class EngineStatus(msgspec.Struct, frozen=True):
    """What an engine answers about itself when asked.

    Attributes:
        membership: Its replica group.
        model: The model in its accelerators' memory.
        staged: Models in its host's memory.
        running: Requests that it runs.
        waiting: Requests that wait there.
        slowness: How many times as long as usual it takes.
    """

    membership: Membership | None
    model: ModelName | None
    staged: tuple[ModelName, ...]
    running: int
    waiting: int
    slowness: float


_STATES = {one.value: one for one in MembershipState}


def read_entry(key: str, value: bytes) -> Result[Instance, str]:
    """Return the instance of an entry, or why it cannot be read."""
    try:
        raw = msgspec.json.decode(value, type=_Entry)
    except msgspec.MsgspecError as error:
        return Err(str(error))
    leaving = raw.state != InstanceState.READY.value
    return Ok(
        Instance(
            InstanceId(key.removeprefix(ENTRIES_PREFIX)),
            ServiceName(raw.service),
            Address(raw.address),
            FailureDomainId(raw.zone),
            InstanceState.LEAVING if leaving else InstanceState.READY,
            raw.slots,
            None if raw.domain is None else FabricDomainId(str(raw.domain)),
            ModelName(raw.models[0].name) if raw.models else None,
            tuple(ModelName(one) for one in raw.staged),
            _read_group(raw.group),
        )
    )


def amend_entry(value: bytes, status: EngineStatus) -> bytes:
    """Return an entry as its engine would write it now."""
    entry: dict[str, object] = msgspec.json.decode(value)
    held = status.membership
    entry["staged"] = list(status.staged)
    entry["models"] = [] if status.model is None else [{"name": status.model}]
    entry["group"] = None
    if held is not None:
        entry["group"] = _Group(held.group, held.epoch, held.rank, held.state.value)
    return msgspec.json.encode(entry)


def read_status(body: bytes) -> Result[EngineStatus, str]:
    """Return an engine's answer about itself, or why it cannot be read."""
    try:
        raw = msgspec.json.decode(body, type=_Report)
    except msgspec.MsgspecError as error:
        return Err(str(error))
    return Ok(
        EngineStatus(
            _read_group(raw.group),
            ModelName(raw.models[0].name) if raw.models else None,
            tuple(ModelName(one) for one in raw.staged),
            raw.running,
            raw.waiting,
            raw.pace,
        )
    )


def _read_group(raw: _Group | None) -> Membership | None:
    if raw is None or not raw.name:
        return None
    # A state that is not known here serves nothing.
    state = _STATES.get(raw.state, MembershipState.BROKEN)
    return Membership(GroupId(raw.name), Epoch(raw.epoch), raw.rank, state)
