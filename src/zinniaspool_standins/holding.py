"""What an engine holds, and what an order makes of it."""

from dataclasses import replace
from enum import Enum

from zinniaspool.core.ids import Epoch, VmId
from zinniaspool.core.plans import EngineReport, EngineState, Order, OrderKind

__all__ = ["Followed", "Holding"]


class Followed(Enum):
    """What came of an order."""

    REFUSED = "refused"
    """Its fencing number is old."""

    KEPT = "kept"
    """The engine holds this already."""

    REGROUPED = "regrouped"
    """It holds the weights and forms the group anew."""

    LOADING = "loading"
    EMPTIED = "emptied"
    DRAINING = "draining"


class Holding:
    """One engine's weights, group and epoch.

    Args:
        vm: The VM it runs on.
        boot: Names this start of the engine.
        checks_fencing: Whether orders with an old epoch are refused.
    """

    def __init__(self, vm: VmId, boot: str, checks_fencing: bool) -> None:
        self.report = EngineReport(vm, boot, EngineState.EMPTY)
        self.members: tuple[VmId, ...] = ()
        self._checks_fencing = checks_fencing

    def follow(self, order: Order) -> Followed:
        """Take an order."""
        if self._checks_fencing and order.epoch < self.report.epoch:
            return Followed.REFUSED
        match order.kind:
            case OrderKind.UNLOAD:
                return self._empty(order.epoch)
            case OrderKind.DRAIN:
                self._change(EngineState.DRAINING)
                return Followed.DRAINING
            case OrderKind.LOAD:
                return self._load(order)

    def end_loading(self) -> None:
        """Take what was loaded into service."""
        if self.report.state is EngineState.LOADING:
            self._change(EngineState.READY)

    def _load(self, order: Order) -> Followed:
        now = self.report
        weights_held = (now.model, now.version) == (order.model, order.version)
        loading = now.state is EngineState.LOADING
        kept = weights_held and now.group == order.group
        kept = kept and self.members == order.members
        ready = now.state in (EngineState.READY, EngineState.DRAINING)
        if kept and ready:
            state, followed = EngineState.READY, Followed.KEPT
        elif kept and loading:
            state, followed = EngineState.LOADING, Followed.KEPT
        elif weights_held and ready:
            state, followed = EngineState.LOADING, Followed.REGROUPED
        else:
            state, followed = EngineState.LOADING, Followed.LOADING
        self.members = order.members
        self.report = EngineReport(
            now.vm,
            now.boot,
            state,
            order.group,
            order.epoch,
            order.model,
            order.version,
        )
        return followed

    def _empty(self, epoch: Epoch) -> Followed:
        now = self.report
        self.members = ()
        self.report = EngineReport(now.vm, now.boot, EngineState.EMPTY, epoch=epoch)
        return Followed.EMPTIED

    def _change(self, state: EngineState) -> None:
        self.report = replace(self.report, state=state)
