"""What operators see of a process: logs, metrics, state dumps."""

from zinniaspool.telemetry.events import LOG_EVENTS
from zinniaspool.telemetry.logs import configure_logs
from zinniaspool.telemetry.metrics import Metrics

__all__ = ["LOG_EVENTS", "Metrics", "configure_logs"]
