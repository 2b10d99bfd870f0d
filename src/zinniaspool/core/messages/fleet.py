"""What processes tell each other of the fleet."""

import msgspec

from zinniaspool.core.fleet.demands import ModelDemandNote
from zinniaspool.core.fleet.instances import InstanceId
from zinniaspool.core.fleet.loads import TargetLoad
from zinniaspool.core.ids import ContentId, NodeId, Revision

__all__ = [
    "ClearedContents",
    "CrashNote",
    "FleetNews",
    "FleetWatch",
    "LoadNote",
    "NewsItem",
    "SilentTarget",
    "StoreAsk",
    "StoreWord",
    "UnreachableNode",
    "UpstreamLimit",
]


class FleetWatch(msgspec.Struct, frozen=True, tag="fleet-watch"):
    """Asks a process for what its copy of the store has that ours lacks.

    Attributes:
        source: Which start of the asked process told ``serial``; empty at
            first.
        serial: The last change that it told; 0 for none.
        as_of: The store's revision up to which our copy is complete; 0 for
            none, which asks for everything.
        wait_s: Longest wait for a change.
        demands: How much each model is asked for, at the asking process and
            at all that follow it.
    """

    source: str
    serial: int
    as_of: Revision
    wait_s: float
    demands: list[ModelDemandNote] = []


class NewsItem(msgspec.Struct, frozen=True):
    """One key's state.

    Attributes:
        key: Which.
        value: None where the key is gone.
        revision: Of its last write or of its removal.
    """

    key: str
    value: bytes | None
    revision: Revision


class FleetNews(msgspec.Struct, frozen=True, tag="fleet-news"):
    """The answer: changes, or the whole copy.

    Attributes:
        source: Which start of the answering process this is; empty where it
            does not know what changed since our copy.
        serial: Its last change.
        whole: Whether this is its whole copy.
        items: What changed, or all there is: packed items.
        as_of: The store's revision up to which the copy is complete.
        age_s: Seconds since the store, or who read it, last confirmed that.
        leader: Which start of which process it last heard planning groups.
        leader_age_s: Seconds since then.
        provisional: Whether that one said that the store is down for all.
        lost: Instances that it takes for lost though their entries live.
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


class StoreAsk(msgspec.Struct, frozen=True, tag="store-ask"):
    """Asks whether a process reaches the store, and hears the holder."""


class StoreWord(msgspec.Struct, frozen=True, tag="store-word"):
    """The answer.

    Attributes:
        reachable: Whether the store answers it; None while it finds out.
        holder_unheard_s: For how long it has not heard the holder.
    """

    reachable: bool | None
    holder_unheard_s: float


class SilentTarget(msgspec.Struct, frozen=True, tag="silent-target"):
    """Tells the holder, and those that share the target, of a silent head.

    Requests and streams of the telling process stand still there.
    """

    instance: InstanceId
    node: NodeId


class CrashNote(msgspec.Struct, frozen=True, tag="crash-note"):
    """Tells all entry processes that an upstream crashed.

    Attributes:
        instance: Which.
        born: Unix milliseconds of its start, where it told.
        contents: What the telling process had there.
        node: That process's VM.
    """

    instance: InstanceId
    born: int | None
    contents: list[ContentId]
    node: NodeId


class ClearedContents(msgspec.Struct, frozen=True, tag="cleared-contents"):
    """Tells all entry processes that contents crash no upstream.

    Attributes:
        contents: Which the telling process has had answered.
        node: That process's VM.
    """

    contents: list[ContentId]
    node: NodeId


class UnreachableNode(msgspec.Struct, frozen=True, tag="unreachable-node"):
    """Tells that an entry VM cannot be reached from another one.

    Whoever hears it tries for itself: the teller may be cut off.
    """

    node: NodeId


class UpstreamLimit(msgspec.Struct, frozen=True, tag="upstream-limit"):
    """Tells those that share a target what it takes, or that it got one more.

    Attributes:
        instance: Which.
        born: Unix milliseconds of its start, where it told.
        per_s: Requests a second from all VMs; None where it names no limit any
            more.
        sent: Whether the telling process has sent one.
        node: That process's VM.
    """

    instance: InstanceId
    born: int | None
    per_s: float | None
    sent: bool
    node: NodeId


class LoadNote(msgspec.Struct, frozen=True, tag="load-note"):
    """Tells another entry process how many requests this one has where.

    Attributes:
        node: Which process.
        loads: Its requests by target; 0 where it has none any more.
        whole: Whether it has none at targets that are not named.
    """

    node: NodeId
    loads: dict[InstanceId, TargetLoad]
    whole: bool
