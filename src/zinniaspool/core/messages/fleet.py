"""The messages about the fleet's state."""

from enum import Enum

import msgspec

from zinniaspool.core.fleet.demands import ModelDemandReport, ModelDigest
from zinniaspool.core.fleet.instances import InstanceId, MembershipState
from zinniaspool.core.fleet.loads import TargetLoad
from zinniaspool.core.fleet.reachability import ProbeOutcome
from zinniaspool.core.ids import Address, NodeId, RequestId, Revision, TraitId

__all__ = [
    "AnswerReport",
    "CrashHistory",
    "CrashHistoryRequest",
    "CrashReport",
    "CutAnswer",
    "DemandDigest",
    "FleetUpdate",
    "FleetUpdateItem",
    "FleetWatch",
    "InstanceAnswer",
    "InstanceQuery",
    "LeavingInstance",
    "LeavingNode",
    "LoadReport",
    "PastCrash",
    "PausedInstance",
    "QueryKind",
    "StallEvidence",
    "SlowTarget",
    "StalledTarget",
    "StoreStatus",
    "StoreStatusRequest",
    "TunnelData",
    "TunnelEnd",
    "TunnelOutcome",
    "TunnelRequest",
    "UnreachableNode",
    "UpstreamLimit",
]


class FleetWatch(msgspec.Struct, frozen=True, tag="fleet-watch"):
    """Requests the changes of a process's copy of the store.

    Attributes:
        source: The start of the serving process that reported ``serial``;
            empty in the first request.
        serial: Number of the last change received from there; 0 for none.
        as_of: The store's revision up to which the requesting process's copy
            is complete; 0 for none, which requests all keys.
        wait_s: Longest time in seconds to wait for a change.
        demands: The demand for each model at the requesting process and at
            all that follow it.
    """

    source: str
    serial: int
    as_of: Revision
    wait_s: float
    demands: list[ModelDemandReport] = []


class FleetUpdateItem(msgspec.Struct, frozen=True):
    """The state of one key.

    Attributes:
        key: The key.
        value: Its value; None if the key has been removed.
        revision: The store's revision of its last write or of its removal.
    """

    key: str
    value: bytes | None
    revision: Revision


class LeavingInstance(
    msgspec.Struct, frozen=True, tag="leaving-instance", omit_defaults=True
):
    """Reports that a run of an instance has said that it leaves.

    An entry process sends it to all others and to the holder. It is also part
    of the updates that processes get from each other.

    Attributes:
        instance: The instance.
        born: Unix milliseconds of its start; None if it did not report that.
        node: VM of the process to which it said so; None if unknown.
    """

    instance: InstanceId
    born: int | None = None
    node: NodeId | None = None


class FleetUpdate(msgspec.Struct, frozen=True, tag="fleet-news"):
    """The answer to a watch: the changes, or the whole copy.

    Attributes:
        source: Identifies this start of the serving process; empty if the
            process does not know what has changed since the requested
            revision.
        serial: Number of the last change of the serving process's copy.
        whole: Whether this is the whole copy.
        items: The changed items, or all items, packed.
        as_of: The store's revision up to which the copy is complete.
        age_s: Seconds since the store, or a process that read it, last
            confirmed the copy.
        leader: The start of the holder from which the serving process last
            received a heartbeat.
        leader_age_s: Seconds since that heartbeat.
        provisional: Whether the holder reported that the store is down for
            all processes.
        lost: Instances that are unreachable according to the holder, though
            their records in the store have not expired.
        retained: Instances that the holder retains although their records
            were removed, with their states in their groups.
        leaving: Runs of instances that leave although their records don't show
            it, as far as that is new since ``serial`` of the watch.
    """

    source: str
    serial: int
    whole: bool
    items: bytes
    as_of: Revision
    age_s: float
    leader: str
    leader_age_s: float
    provisional: bool
    lost: frozenset[InstanceId] = frozenset()
    retained: dict[InstanceId, MembershipState] = {}
    leaving: list[LeavingInstance] = []


class StoreStatusRequest(msgspec.Struct, frozen=True, tag="store-ask"):
    """Queries whether a process reaches the store and the holder."""


class StoreStatus(msgspec.Struct, frozen=True, tag="store-word"):
    """The answer to a store status request.

    Attributes:
        reachable: Whether the store answers the process; None while that is
            being checked.
        holder_unheard_s: Seconds since the process's last heartbeat from the
            holder.
    """

    reachable: bool | None
    holder_unheard_s: float


class QueryKind(Enum):
    """What an instance is queried for."""

    STATUS = "status"
    HEALTH = "health"


class InstanceQuery(msgspec.Struct, frozen=True, tag="instance-query"):
    """Has an entry process query an instance and return the answer.

    The holder sends it when the instance does not answer the holder itself.

    Attributes:
        instance: The instance.
        address: Where it listens, as the holder knows it.
        kind: What to query it for.
    """

    instance: InstanceId
    address: Address
    kind: QueryKind


class InstanceAnswer(msgspec.Struct, frozen=True, tag="instance-answer"):
    """What an instance answered to a query, as it was received.

    Attributes:
        status: HTTP status; None if the instance did not answer.
        headers: Names and values of the answer's headers.
        body: The answer's body.
        is_refused: Whether the entry process sent no query: it does not know
            the instance at that address, or has too many queries under way.
    """

    status: int | None = None
    headers: list[tuple[str, str]] = []
    body: bytes = b""
    is_refused: bool = False


class StallEvidence(Enum):
    """What shows that a head has stalled, or that it hasn't.

    Attributes:
        STREAMS: No stream of the process there had an event in time.
        WAITING: Requests of the process wait there for too long; it has no
            stream there.
        REFUSED: The head refuses connections.
        ALIVE: The head's streams have had events since it was reported.
    """

    STREAMS = "streams"
    WAITING = "waiting"
    REFUSED = "refused"
    ALIVE = "alive"


class StalledTarget(msgspec.Struct, frozen=True, tag="silent-target"):
    """Reports a stalled head to the holder and to processes that share it.

    Requests and streams of the reporting process make no progress there. A
    process that has events from the head since then responds with the same
    message and ``ALIVE``.

    Attributes:
        instance: The head.
        node: The reporting process's VM.
        evidence: What shows it; None in reports of older processes.
        quiet_ms: Milliseconds since the reporting process's last event from
            the head; None in reports of older processes.
    """

    instance: InstanceId
    node: NodeId
    evidence: StallEvidence | None = None
    quiet_ms: int | None = None


class SlowTarget(msgspec.Struct, frozen=True, tag="slow-target"):
    """Reports to the holder that a head is slow.

    Attributes:
        instance: The head.
        node: The reporting process's VM.
        pace: Factor by which it works slower than predicted.
    """

    instance: InstanceId
    node: NodeId
    pace: float


class CrashReport(msgspec.Struct, frozen=True, tag="crash-note"):
    """Reports to all entry processes that an upstream crashed.

    Attributes:
        instance: The upstream's instance.
        born: Unix milliseconds of its start; None if it did not report that.
        contents: The contents that the reporting process had sent there.
        node: The reporting process's VM.
        traits: The other traits of these requests.
        trials: The traits that were on trial there.
    """

    instance: InstanceId
    born: int | None
    contents: list[TraitId]
    node: NodeId
    traits: list[TraitId] = []
    trials: list[TraitId] = []


class AnswerReport(msgspec.Struct, frozen=True, tag="cleared-contents"):
    """Reports to all entry processes that suspected traits were answered.

    Attributes:
        traits: Traits of requests that upstreams have answered completely for
            the reporting process.
        node: The reporting process's VM.
        ages_ms: Milliseconds since the latest answer to each of them began;
            older processes report none.
    """

    traits: list[TraitId] = msgspec.field(name="contents")
    node: NodeId
    ages_ms: list[int] = []


class CrashHistoryRequest(msgspec.Struct, frozen=True, tag="crash-history-ask"):
    """Requests the crashes that an entry process remembers."""


class PastCrash(msgspec.Struct, frozen=True, array_like=True):
    """One crash of a history.

    Attributes:
        instance: The upstream's instance.
        born: Unix milliseconds of its start; None if it did not report that.
        age_ms: Milliseconds since the crash.
        traits: Traits that this crash and others speak against.
        trials: Those that were on trial there.
    """

    instance: InstanceId
    born: int | None
    age_ms: int
    traits: list[TraitId]
    trials: list[TraitId]


class CrashHistory(msgspec.Struct, frozen=True, tag="crash-history"):
    """The answer to a crash history request.

    Attributes:
        crashes: The crashes, the oldest first.
    """

    crashes: list[PastCrash] = []


class UnreachableNode(msgspec.Struct, frozen=True, tag="unreachable-node"):
    """Reports that an entry VM cannot be reached from another entry VM.

    Receivers probe the VM themselves: the reporting VM may be cut off.

    Attributes:
        node: The VM that cannot be reached.
    """

    node: NodeId


class LeavingNode(msgspec.Struct, frozen=True, tag="leaving-node"):
    """Reports that an entry VM is being stopped.

    Attributes:
        node: The VM.
        left_s: Time until it ends its connections, in seconds.
    """

    node: NodeId
    left_s: float


class CutAnswer(msgspec.Struct, frozen=True, tag="cut-answer"):
    """Reports an answer that an entry process cut.

    Its VM may be gone with its log before anybody reads it.

    Attributes:
        node: The VM.
        request: The request.
        route: Its route.
        by: What ended it.
        after_ms: Time from its arrival to the cut, in milliseconds.
        after_stop_ms: Time from the stop signal to its arrival, in
            milliseconds; -1 without one.
        last_event: Id of the last event that went to its caller; 0 if none.
        loop_late_ms: By how much the process was late meanwhile at most, in
            milliseconds.
        attempts: What became of its attempts, as in the log.
        longest_ms: Longest time that a stopping process predicted for it when
            it accepted it, in milliseconds; -1 if its own limit was earlier.
        left_ms: Time that the process had left then; -1 likewise.
    """

    node: NodeId
    request: RequestId
    route: str
    by: str
    after_ms: int
    after_stop_ms: int
    last_event: int
    loop_late_ms: int
    attempts: str
    longest_ms: int = -1
    left_ms: int = -1


class TunnelRequest(msgspec.Struct, frozen=True, tag="tunnel-request"):
    """Has an entry process connect to an upstream and pass on all bytes.

    It is the last message of its connection: all that follows it are bytes
    for the upstream.

    Attributes:
        address: Where the upstream listens.
        node: The requesting process's VM; empty from older processes.
        instance: The upstream's instance if the connection is for requests of
            callers; None for queries and orders.
        born: Unix milliseconds of its start; None if it did not report that.
    """

    address: Address
    node: NodeId = NodeId("")
    instance: InstanceId | None = None
    born: int | None = None


class TunnelOutcome(msgspec.Struct, frozen=True, tag="tunnel-outcome"):
    """The answer to a tunnel request.

    Attributes:
        outcome: Whether the upstream was reached.
        is_conclusive: Whether the answering process reaches upstreams. If it
            does not, that it did not reach this one shows nothing.
        is_leaving: Whether the upstream has said that it leaves, so that it
            gets no requests.
        is_paused: Whether it has asked the answering process's VM for a pause
            that isn't over. A tunnel that is open ends with one of these two,
            in place of the request that it would have carried.
    """

    outcome: ProbeOutcome
    is_conclusive: bool
    is_leaving: bool = False
    is_paused: bool = False


class TunnelData(msgspec.Struct, frozen=True, tag="tunnel-data"):
    """Bytes that an upstream sent.

    Attributes:
        data: The bytes.
    """

    data: bytes


class TunnelEnd(msgspec.Struct, frozen=True, tag="tunnel-end"):
    """Reports that the upstream closed its connection in order."""


class PausedInstance(msgspec.Struct, frozen=True, tag="paused-instance"):
    """Reports to a VM that an upstream has asked it for a pause.

    The request was another VM's, and came from this one's address.

    Attributes:
        instance: The upstream's instance.
        born: Unix milliseconds of its start; None if it did not report that.
        pause_s: Time for which it wants no requests, in seconds.
    """

    instance: InstanceId
    born: int | None
    pause_s: float


class UpstreamLimit(msgspec.Struct, frozen=True, tag="upstream-limit"):
    """Reports a target's rate limit, or a request sent under that limit.

    It is sent to the processes that share the target.

    Attributes:
        instance: The target's instance.
        born: Unix milliseconds of its start; None if it did not report that.
        per_s: Requests per second that the target accepts from all VMs; None
            if it no longer announces a limit.
        sent: Whether the reporting process has sent a request there.
        node: The reporting process's VM.
    """

    instance: InstanceId
    born: int | None
    per_s: float | None
    sent: bool
    node: NodeId


class LoadReport(msgspec.Struct, frozen=True, tag="load-note", omit_defaults=True):
    """Reports an entry process's load at targets to another entry process.

    Attributes:
        node: The reporting process's VM.
        loads: Its load by target; 0 for a target where it has none any more.
        whole: Whether it has no load at the targets that are not listed.
        interval_s: Seconds between the last two times at which it reported, or
            would have reported if its load had changed; 0 if that is as usual.
    """

    node: NodeId
    loads: dict[InstanceId, TargetLoad]
    whole: bool
    interval_s: float = 0.0


class DemandDigest(msgspec.Struct, frozen=True, tag="demand", omit_defaults=True):
    """Reports a process's demand and use of each model to its subset.

    An empty digest tells that the process is there and asks for nothing.

    Attributes:
        models: The models that it has requests for.
    """

    models: list[ModelDigest] = []
