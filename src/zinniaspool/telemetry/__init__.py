"""What operators see of a process: logs, metrics, state dumps.

The metrics' library takes a third of a process's start, so that whoever needs
it imports :mod:`zinniaspool.telemetry.metrics` by itself.
"""

from zinniaspool.telemetry.events import LOG_EVENTS
from zinniaspool.telemetry.lines import LineClass, LineWriter
from zinniaspool.telemetry.logs import configure_logs
from zinniaspool.telemetry.tallies import AdmissionTally, RequestTally, Sample

__all__ = [
    "LOG_EVENTS",
    "AdmissionTally",
    "LineClass",
    "LineWriter",
    "RequestTally",
    "Sample",
    "configure_logs",
]
