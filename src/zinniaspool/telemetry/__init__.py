"""What operators see of a process: logs, metrics, state dumps."""

from zinniaspool.telemetry.events import LOG_EVENTS
from zinniaspool.telemetry.logs import configure_logs

__all__ = ["LOG_EVENTS", "configure_logs"]
