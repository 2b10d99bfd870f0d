"""Second models for hosts' memory, brought in ahead of need."""

from collections.abc import Iterable, Mapping

from zinniaspool.core.fleet import EngineSpec, InstanceId
from zinniaspool.core.formation.lifecycle import RETRY_S, FleetSight, GroupRun
from zinniaspool.core.formation.loads import LoadBudget
from zinniaspool.core.formation.orders import GroupOrder, OrderAction
from zinniaspool.core.formation.records import GroupPhase, GroupRecord
from zinniaspool.core.ids import ServiceName

__all__ = ["Staging"]


class Staging:
    """Which VMs have been told to bring a second model into their memory.

    Args:
        sight: The VMs.
        loads: Loads of weights by service, which staging must not crowd out.
    """

    def __init__(
        self, sight: FleetSight, loads: Mapping[ServiceName, LoadBudget]
    ) -> None:
        self._sight = sight
        self._loads = loads
        self._until: dict[InstanceId, float] = {}

    def forget(self, instance: InstanceId) -> None:
        """Take that a VM has gone or started again."""
        self._until.pop(instance, None)

    def stage(
        self,
        runs: Iterable[GroupRun],
        engines: Mapping[ServiceName, EngineSpec],
        now: float,
    ) -> list[GroupOrder]:
        """Return orders that bring a second model into hosts' memory.

        A VM that holds one model and has the other one at hand can take any
        lost member's place within seconds. One that has changed its model has
        not, and could not change back for as long as a load takes. Those that
        serve get theirs in the background: their loads would make those slower
        that callers wait for.

        Args:
            runs: Groups of one fabric domain.
            engines: Services whose groups are formed.
            now: Seconds.
        """
        orders = []
        for run in runs:
            budget = self._loads.get(run.record.service)
            engine = engines.get(run.record.service)
            settled = run.phase in (GroupPhase.STANDBY, GroupPhase.SERVING)
            if budget is None or engine is None or not settled:
                continue
            for one in run.record.members:
                orders += self._stage_one(run.record, one, engine, budget, now)
        return orders

    def _stage_one(
        self,
        record: GroupRecord,
        one: InstanceId,
        engine: EngineSpec,
        budget: LoadBudget,
        now: float,
    ) -> list[GroupOrder]:
        found = self._sight.find(one)
        if found is None or self._until.get(one, 0.0) > now:
            return []
        other = next(
            (
                model
                for model in engine.models
                if model.name != record.model and model.name not in found.staged
            ),
            None,
        )
        has_another = any(name != record.model for name in found.staged)
        if other is None or has_another or not budget.room(now):
            return []
        if not record.standby and not budget.has_background_room(now):
            return []
        budget.start(one, now, other.load_s)
        self._until[one] = now + other.load_s + RETRY_S
        return [GroupOrder(one, OrderAction.STAGE, model=other.name)]
