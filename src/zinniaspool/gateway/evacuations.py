"""Warns when this process may not learn of an evacuation in time."""

import structlog

from zinniaspool.fleet import FleetView

__all__ = ["EvacuationMonitor"]

_log = structlog.get_logger(__name__)


class EvacuationMonitor:
    """Compares the age of the fleet view with the time that an order may take.

    A process that is cut off from the store and from all peers continues with
    what it last knew. Nothing else shows the operator that it may still send
    requests to a failure domain that should be empty.

    Args:
        fleet_view: The known state of the fleet.
        bound_s: Time after which no request may reach an evacuated failure
            domain, in seconds.
    """

    def __init__(self, fleet_view: FleetView, bound_s: float) -> None:
        self._fleet_view = fleet_view
        self._bound_s = bound_s
        self._overdue = False

    def check(self, now: float) -> None:
        """Log once when the view becomes older than the bound.

        Args:
            now: Seconds.
        """
        if not self._fleet_view.mirror.is_loaded:
            return
        age_s = self._fleet_view.compute_age_s(now)
        overdue = age_s > self._bound_s
        if overdue and not self._overdue:
            _log.warning("evacuations-unconfirmed", age_ms=int(age_s * 1000))
        self._overdue = overdue
