"""What operators see of a process: logs, metrics, state dumps."""

from zinniaspool.telemetry.logs import configure_logs

__all__ = ["configure_logs"]
