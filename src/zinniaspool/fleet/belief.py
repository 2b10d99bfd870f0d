"""What a process believes of the fleet, decoded once from the store's copy."""

from collections.abc import Callable
from typing import TypeVar

import msgspec
import structlog
from result import Err

from zinniaspool.core.fleet import (
    HOLDER_KEY,
    NODES_PREFIX,
    Catalog,
    Change,
    HolderRecord,
    Instance,
    InstanceId,
    NodeRecord,
    StoreMirror,
)
from zinniaspool.core.ids import NodeId
from zinniaspool.fleet.sight import boot_time
from zinniaspool.platform.entries import (
    ENTRIES_PREFIX,
    EngineStatus,
    amend_entry,
    read_entry,
)
from zinniaspool.platform.rules import RULES_KEY, read_rules

__all__ = ["FleetBelief"]

_log = structlog.get_logger(__name__)
_T = TypeVar("_T")

_NEVER_S = -1e6
"""When what is believed was last confirmed, before it ever was: long ago."""


class FleetBelief:
    """Rules, instances and nodes as the store's copy has them.

    Attributes:
        mirror: The store's copy.
        catalog: The rules in force; None until they are known.
        instances: By their ids.
        nodes: Entry processes, by VM.
        holder: Who plans groups.
        confirmed_at_boot: When the store last answered this process itself,
            on the clock that counts standstills.
    """

    def __init__(self) -> None:
        self.mirror = StoreMirror(_lapses)
        self.catalog: Catalog | None = None
        self.instances: dict[InstanceId, Instance] = {}
        self.nodes: dict[NodeId, NodeRecord] = {}
        self.holder: HolderRecord | None = None
        self.on_catalog: list[Callable[[], None]] = []
        self.on_instances: list[Callable[[], None]] = []
        self.on_nodes: list[Callable[[], None]] = []
        self.on_change: list[Callable[[], None]] = []
        self.confirmed_at_boot = _NEVER_S
        self._confirmed = _NEVER_S

    def confirm(self, at: float) -> None:
        """Note that all that is believed was so at a time, in seconds."""
        self._confirmed = max(self._confirmed, at)

    def confirm_by_store(self, at: float) -> None:
        """Note that the store itself confirmed it, at a time in seconds."""
        self.confirm(at)
        self.confirmed_at_boot = boot_time()

    def amend(self, instance: InstanceId, status: EngineStatus) -> None:
        """Believe what an engine says of itself, where its entry is behind."""
        key = ENTRIES_PREFIX + instance
        item, known = self.mirror.get(key), self.instances.get(instance)
        if item is None or known is None:
            return
        told = (status.membership, status.model, status.staged)
        if told != (known.membership, known.model, known.staged):
            self.take(self.mirror.amend(key, amend_entry(item.value, status)))

    def age(self, now: float) -> float:
        """Return for how many seconds nothing has confirmed the belief."""
        return now - self._confirmed

    def take(self, changes: list[Change]) -> None:
        """Take changes of the copy and tell who listens."""
        listeners: set[int] = set()
        for change in changes:
            if change.key == RULES_KEY:
                self._take_rules(change)
                listeners.add(0)
            elif change.key.startswith(ENTRIES_PREFIX):
                self._take_entry(change)
                listeners.add(1)
            elif change.key.startswith(NODES_PREFIX):
                self._take_node(change)
                listeners.add(2)
            elif change.key == HOLDER_KEY:
                self._take_holder(change)
                listeners.add(2)
        for number, group in enumerate(
            (self.on_catalog, self.on_instances, self.on_nodes)
        ):
            if number in listeners:
                for listener in group:
                    listener()
        if changes:
            for listener in self.on_change:
                listener()

    def _take_rules(self, change: Change) -> None:
        if change.after is None:
            return
        read = read_rules(change.after.value)
        if isinstance(read, Err):
            # The store takes valid configurations only; the rules in force
            # stay until one can be read.
            _log.error(
                "configuration-unreadable",
                revision=change.after.revision,
                reason=read.err_value,
            )
            return
        catalog = read.ok_value
        if self.catalog is not None and catalog.version < self.catalog.version:
            return
        self.catalog = catalog
        _log.info(
            "configuration-in-force",
            version=catalog.version,
            revision=change.after.revision,
        )

    def _take_entry(self, change: Change) -> None:
        instance = InstanceId(change.key.removeprefix(ENTRIES_PREFIX))
        if change.after is None:
            if self.instances.pop(instance, None) is not None:
                _log.info("instance-gone", instance=instance)
            return
        read = read_entry(change.key, change.after.value)
        if isinstance(read, Err):
            _log.warning("entry-unreadable", key=change.key, reason=read.err_value)
            return
        before = self.instances.get(instance)
        self.instances[instance] = read.ok_value
        if before is not None and before.state is not read.ok_value.state:
            _log.info(
                "instance-state", instance=instance, state=read.ok_value.state.value
            )

    def _take_node(self, change: Change) -> None:
        node = NodeId(change.key.removeprefix(NODES_PREFIX))
        if change.after is None:
            self.nodes.pop(node, None)
            return
        record = _decode(change.after.value, NodeRecord)
        if record is not None:
            self.nodes[node] = record

    def _take_holder(self, change: Change) -> None:
        value = None if change.after is None else change.after.value
        self.holder = None if value is None else _decode(value, HolderRecord)
        node = None if self.holder is None else self.holder.node
        _log.info("holder-changed", holder=node or "none")


def _lapses(key: str) -> bool:
    return key.startswith((ENTRIES_PREFIX, NODES_PREFIX))


def _decode(value: bytes, kind: type[_T]) -> _T | None:
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.MsgspecError as error:
        _log.error("record-unreadable", kind=kind.__name__, reason=str(error))
        return None
