"""What operators see of a process: logs, metrics, state dumps.

This package does not import :mod:`zinniaspool.telemetry.metrics`, since the
metrics library takes a third of a process's start. Modules that need it import
it themselves.
"""

from zinniaspool.telemetry.events import LOG_EVENTS
from zinniaspool.telemetry.lines import LineClass, LineWriter
from zinniaspool.telemetry.logs import configure_logs
from zinniaspool.telemetry.stalls import StallTally
from zinniaspool.telemetry.stops import StopReason, StopTally
from zinniaspool.telemetry.tallies import AdmissionTally, RequestTally, Sample

__all__ = [
    "LOG_EVENTS",
    "AdmissionTally",
    "LineClass",
    "LineWriter",
    "RequestTally",
    "Sample",
    "StallTally",
    "StopReason",
    "StopTally",
    "configure_logs",
]
