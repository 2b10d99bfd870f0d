"""Stages second models in the hosts' memory before they are needed."""

from collections.abc import Callable, Iterable, Mapping

from zinniaspool.core.fleet import EngineSpec, InstanceId
from zinniaspool.core.formation.lifecycle import RETRY_S, GroupRun, InstanceView
from zinniaspool.core.formation.loads import LoadBudget
from zinniaspool.core.formation.orders import GroupOrder, OrderAction
from zinniaspool.core.formation.records import GroupPhase, GroupRecord
from zinniaspool.core.ids import ServiceName

__all__ = ["StagingScheduler"]


class StagingScheduler:
    """Orders VMs to stage a second model in their hosts' memory.

    Args:
        view: The known instances.
        loads: The load budget of each service, which staging shares with the
            loads of groups.
    """

    def __init__(
        self, view: InstanceView, loads: Mapping[ServiceName, LoadBudget]
    ) -> None:
        self._view = view
        self._loads = loads
        self._staging_until: dict[InstanceId, float] = {}

    def forget(self, instance: InstanceId) -> None:
        """Forget a VM that was removed or has restarted."""
        self._staging_until.pop(instance, None)

    def list_staging_orders(
        self,
        runs: Iterable[GroupRun],
        engines: Mapping[ServiceName, EngineSpec],
        allows_loads: Callable[[InstanceId], bool],
        now: float,
    ) -> list[GroupOrder]:
        """Return orders that stage a second model in hosts' memory.

        A VM that has one model loaded and the other one staged can replace
        any unreachable member within seconds. A VM that has changed its model
        has not, and could not change back for as long as a load takes.
        Members of serving groups are staged in the background, since their
        loads would slow down the loads that callers wait for.

        Args:
            runs: The groups of one fabric domain.
            engines: The engines of the services whose groups are formed.
            allows_loads: Returns whether a VM may load a model.
            now: Current time, in seconds.
        """
        orders = []
        for run in runs:
            budget = self._loads.get(run.record.service)
            engine = engines.get(run.record.service)
            stable = run.phase in (GroupPhase.STANDBY, GroupPhase.SERVING)
            if budget is None or engine is None or not stable:
                continue
            for member in filter(allows_loads, run.record.members):
                orders += self._order_staging(run.record, member, engine, budget, now)
        return orders

    def _order_staging(
        self,
        record: GroupRecord,
        member: InstanceId,
        engine: EngineSpec,
        budget: LoadBudget,
        now: float,
    ) -> list[GroupOrder]:
        found = self._view.find_orderable(member)
        if found is None or self._staging_until.get(member, 0.0) > now:
            return []
        other = next(
            (
                model
                for model in engine.models
                if model.name != record.model and model.name not in found.staged
            ),
            None,
        )
        has_other_staged = any(name != record.model for name in found.staged)
        if other is None or has_other_staged or not budget.count_room(now):
            return []
        if not record.standby and not budget.has_background_room(now):
            return []
        budget.record_start(member, now, other.load_s)
        self._staging_until[member] = now + other.load_s + RETRY_S
        return [GroupOrder(member, OrderAction.STAGE, model=other.name)]
