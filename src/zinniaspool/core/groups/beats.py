"""Beats: compact evidence that a domain's groups are whole.

At hundreds of entry processes the reports of every VM cannot go to each of
them every second. What an entry process needs of a group is whether every
member freshly said this group, epoch, model and version. So a beat carries,
for each group of a plan, a digest of what the members' engines reported, the
age of the oldest of those reports, and the load. An entry process works out
the digest that its own plan calls for and compares: the judgement stays with
it, and a beat costs some twenty bytes a group.
"""

import hashlib
from collections.abc import Iterable, Mapping

import msgspec

from zinniaspool.core.groups.serving import SeenReport
from zinniaspool.core.ids import Epoch, FabricDomainId, VmId
from zinniaspool.core.plans import (
    DomainPlan,
    EngineReport,
    EngineState,
    GroupPlan,
    GroupStage,
)

__all__ = [
    "BEAT_PREFIX",
    "NO_DIGEST",
    "PLAN_PREFIX",
    "DomainBeat",
    "GroupBeat",
    "decode_beat",
    "decode_plan",
    "encode_beat",
    "encode_plan",
    "expected_digest",
    "make_beat",
]

BEAT_PREFIX = "beat/"
PLAN_PREFIX = "plan/"

NO_DIGEST = 0
"""Stands for a group that shows nothing."""
_MS = 1000
"""Milliseconds in a second."""
_DIGEST_BYTES = 8
"""Bytes of a digest: two states share one by chance in no fleet's life."""


class GroupBeat(msgspec.Struct, frozen=True, array_like=True):
    """Evidence of one group.

    Attributes:
        digest: Of what its members reported; 0 when one did not.
        age_ms: Age of the oldest of those reports when the beat was made.
        running: Requests in progress at its first VM.
        waiting: Requests queued there.
    """

    digest: int
    age_ms: int
    running: int = 0
    waiting: int = 0


class DomainBeat(msgspec.Struct, frozen=True, array_like=True):
    """Evidence of a domain's groups.

    Attributes:
        domain: Which domain.
        source: The process that asked the engines, and which of its starts:
            a new start has a new clock.
        made_at: When, in seconds of that process's own clock.
        epoch: Of the plan whose groups are meant, in its order.
        groups: One for each group of the plan.
        holds: Whether the source holds the domain's lease.
        ends: Whether the source stops: another one has to go on.
    """

    domain: FabricDomainId
    source: str
    made_at: float
    epoch: Epoch
    groups: tuple[GroupBeat, ...]
    holds: bool = False
    ends: bool = False


_encoder = msgspec.msgpack.Encoder()
_beats = msgspec.msgpack.Decoder(DomainBeat)
_plans = msgspec.msgpack.Decoder(DomainPlan)


def encode_beat(beat: DomainBeat) -> bytes:
    """Return a beat as it travels."""
    return _encoder.encode(beat)


def decode_beat(data: bytes) -> DomainBeat:
    """Return the beat that was encoded.

    Raises:
        msgspec.MsgspecError: The bytes are no beat.
    """
    return _beats.decode(data)


def encode_plan(plan: DomainPlan) -> bytes:
    """Return a plan as it travels."""
    return _encoder.encode(plan)


def decode_plan(data: bytes) -> DomainPlan:
    """Return the plan that was encoded.

    Raises:
        msgspec.MsgspecError: The bytes are no plan.
    """
    return _plans.decode(data)


def make_beat(
    plan: DomainPlan,
    seen: Mapping[VmId, SeenReport],
    source: str,
    now: float,
    *,
    holds: bool = False,
    ends: bool = False,
) -> DomainBeat:
    """Return the evidence of a plan's groups.

    Args:
        plan: The newest plan known.
        seen: The newest report of each VM.
        source: This process and which of its starts.
        now: Seconds, on the clock of ``seen``.
        holds: Whether this process holds the domain's lease.
        ends: Whether this process stops.
    """
    groups = tuple(_describe(group, seen, now) for group in plan.groups)
    return DomainBeat(plan.fabric_domain, source, now, plan.epoch, groups, holds, ends)


def expected_digest(group: GroupPlan) -> int:
    """Return the digest of a group whose every member reports it ready."""
    return _digest(
        f"{vm}|{group.id}|{group.epoch}|{group.model}|{group.version}"
        f"|{EngineState.READY.value}"
        for vm in group.vms
    )


def _describe(
    group: GroupPlan, seen: Mapping[VmId, SeenReport], now: float
) -> GroupBeat:
    if group.stage is not GroupStage.SERVING:
        return GroupBeat(NO_DIGEST, 0)
    members = [seen.get(vm) for vm in group.vms]
    found = [member for member in members if member is not None]
    if len(found) < len(members):
        return GroupBeat(NO_DIGEST, 0)
    oldest = min(member.made_at for member in found)
    first = found[0].report
    return GroupBeat(
        _digest(_state(member.report) for member in found),
        max(0, round((now - oldest) * _MS)),
        first.running,
        first.waiting,
    )


def _state(report: EngineReport) -> str:
    return (
        f"{report.vm}|{report.group}|{report.epoch}|{report.model}"
        f"|{report.version}|{report.state.value}"
    )


def _digest(states: Iterable[str]) -> int:
    text = "\n".join(states).encode()
    data = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(data, "big") or 1
