"""Heartbeats: compact evidence that all members of a domain's groups serve.

With hundreds of entry processes, the reports of every VM cannot be sent to
each of them every second. All that an entry process needs to know of a group
is whether every member recently reported this group, epoch, model and
version. A heartbeat therefore carries, for each group of a plan, a digest of
what the members' engines reported, the age of the oldest of those reports,
and the load. An entry process computes the digest that its own plan requires
and compares the two, so that it decides by itself whether a group serves. A
heartbeat costs about twenty bytes for each group.
"""

import hashlib
from collections.abc import Iterable, Mapping

import msgspec

from zinniaspool.core.groups.serving import TimedReport
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
    "DomainHeartbeat",
    "GroupHeartbeat",
    "compute_expected_digest",
    "decode_heartbeat",
    "decode_plan",
    "encode_heartbeat",
    "encode_plan",
    "make_heartbeat",
]

BEAT_PREFIX = "beat/"
PLAN_PREFIX = "plan/"

NO_DIGEST = 0
"""Digest of a group that is not to serve or lacks a member's report."""
_MS = 1000
"""Milliseconds in a second."""
_DIGEST_BYTES = 8
"""Size of a digest; two states practically never share one of 64 bits."""


class GroupHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Evidence of one group.

    Attributes:
        digest: Digest of the members' reports, or ``NO_DIGEST``.
        age_ms: Age of the oldest of those reports when the heartbeat was
            made.
        running: Requests in progress at the group's head.
        waiting: Requests queued at the group's head.
    """

    digest: int
    age_ms: int
    running: int = 0
    waiting: int = 0


class DomainHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Evidence of a domain's groups.

    Attributes:
        domain: The fabric domain.
        source: The process that polled the engines, with its incarnation,
            since a restarted process has a new clock.
        made_at: When the heartbeat was made, in seconds of the source's own
            clock.
        epoch: Epoch of the plan that the groups belong to.
        groups: Evidence of each group, in the order of the plan.
        holds: Whether the source holds the domain's lease.
        ends: Whether the source stops, so that another process has to take
            over.
    """

    domain: FabricDomainId
    source: str
    made_at: float
    epoch: Epoch
    groups: tuple[GroupHeartbeat, ...]
    holds: bool = False
    ends: bool = False


_encoder = msgspec.msgpack.Encoder()
_heartbeat_decoder = msgspec.msgpack.Decoder(DomainHeartbeat)
_plan_decoder = msgspec.msgpack.Decoder(DomainPlan)


def encode_heartbeat(heartbeat: DomainHeartbeat) -> bytes:
    """Encode a heartbeat for the wire."""
    return _encoder.encode(heartbeat)


def decode_heartbeat(data: bytes) -> DomainHeartbeat:
    """Decode a heartbeat.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid heartbeat.
    """
    return _heartbeat_decoder.decode(data)


def encode_plan(plan: DomainPlan) -> bytes:
    """Encode a plan for the wire."""
    return _encoder.encode(plan)


def decode_plan(data: bytes) -> DomainPlan:
    """Decode a plan.

    Raises:
        msgspec.MsgspecError: The bytes are not a valid plan.
    """
    return _plan_decoder.decode(data)


def make_heartbeat(
    plan: DomainPlan,
    reports: Mapping[VmId, TimedReport],
    source: str,
    now: float,
    *,
    holds: bool = False,
    ends: bool = False,
) -> DomainHeartbeat:
    """Return a heartbeat with the evidence of a plan's groups.

    Args:
        plan: The newest known plan.
        reports: The newest report of each VM.
        source: This process and its incarnation.
        now: Seconds, on the clock of ``reports``.
        holds: Whether this process holds the domain's lease.
        ends: Whether this process stops.
    """
    groups = tuple(_summarize_group(group, reports, now) for group in plan.groups)
    return DomainHeartbeat(
        plan.fabric_domain, source, now, plan.epoch, groups, holds, ends
    )


def compute_expected_digest(group: GroupPlan) -> int:
    """Return the digest of a group whose every member reports it ready."""
    return _hash_states(
        f"{vm}|{group.id}|{group.epoch}|{group.model}|{group.version}"
        f"|{EngineState.READY.value}"
        for vm in group.vms
    )


def _summarize_group(
    group: GroupPlan, reports: Mapping[VmId, TimedReport], now: float
) -> GroupHeartbeat:
    if group.stage is not GroupStage.SERVING:
        return GroupHeartbeat(NO_DIGEST, 0)
    members = [reports.get(vm) for vm in group.vms]
    known = [member for member in members if member is not None]
    if len(known) < len(members):
        return GroupHeartbeat(NO_DIGEST, 0)
    oldest = min(member.made_at for member in known)
    head = known[0].report
    return GroupHeartbeat(
        _hash_states(_format_state(member.report) for member in known),
        max(0, round((now - oldest) * _MS)),
        head.running,
        head.waiting,
    )


def _format_state(report: EngineReport) -> str:
    return (
        f"{report.vm}|{report.group}|{report.epoch}|{report.model}"
        f"|{report.version}|{report.state.value}"
    )


def _hash_states(states: Iterable[str]) -> int:
    text = "\n".join(states).encode()
    data = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(data, "big") or 1
