"""Configures logs: one line of key=value pairs for each event."""

import logging
import sys
import time
import traceback
from collections.abc import MutableMapping
from pathlib import Path
from typing import Any

import structlog

from zinniaspool.telemetry.events import REQUEST_EVENTS
from zinniaspool.telemetry.lines import LineClass, LineWriter

__all__ = ["configure_logs", "render_line"]

_log = structlog.get_logger(__name__)
_LINE_CLASS_KEY = "_class"
_STANDARD_OUTPUT_FD = 1
"""File descriptor that log lines are written to."""
_MAX_VALUE_CHARS = 400
"""Characters that are logged of one value. Callers may send far longer values
than are useful in a log."""

_MAX_FRAMES = 8
"""Innermost frames of an exception that are logged; the outer ones are the
same for all exceptions."""


def configure_logs(program: str, node: str) -> LineWriter:
    """Write each event to standard output as one line.

    Args:
        program: Name of the program, part of each line.
        node: Name of the node, part of each line.

    Returns:
        The writer of the lines, which counts those that it dropped.
    """
    writer = LineWriter(_STANDARD_OUTPUT_FD)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _describe_exception,
            _limit_values,
            _classify,
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=lambda *_: _LineLogger(writer),
        cache_logger_on_first_use=False,
    )
    structlog.contextvars.bind_contextvars(program=program, node=node)
    logging.basicConfig(level=logging.WARNING, handlers=[_LibraryHandler()], force=True)
    return writer


class _LineLogger:
    """Receives each rendered line from structlog."""

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer

    def msg(self, line: str, line_class: LineClass) -> None:
        """Write one line."""
        self._writer.write(line, line_class, time.monotonic())

    debug = info = warning = error = critical = exception = msg


render_line = structlog.processors.LogfmtRenderer(
    key_order=["timestamp", "level", "event"], bool_as_flag=False
)


def _classify(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    event[_LINE_CLASS_KEY] = (
        LineClass.REQUEST if event.get("event") in REQUEST_EVENTS else LineClass.PROCESS
    )
    return event


def _render(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> tuple[tuple[str], dict[str, LineClass]]:
    line_class = event.pop(_LINE_CLASS_KEY)
    return (str(render_line(logger, method, event)),), {"line_class": line_class}


class _LibraryHandler(logging.Handler):
    """Logs the messages of libraries as events."""

    def emit(self, record: logging.LogRecord) -> None:
        _log.warning("library-message", logger=record.name, message=record.getMessage())


def _describe_exception(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Add an exception's type and the places in the code that raised it.

    The exception's message is not logged, since it may quote data that a
    caller sent.
    """
    if not event.pop("exc_info", None):
        return event
    error = sys.exc_info()[1]
    if error is None:
        return event
    frames = traceback.extract_tb(error.__traceback__)[-_MAX_FRAMES:]
    event["exception"] = type(error).__name__
    event["frames"] = " ".join(
        f"{Path(frame.filename).name}:{frame.lineno}" for frame in frames
    )
    return event


def _limit_values(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Keep each event on one line of a bounded length.

    Part of a value may come from another process. That process must not be
    able to forge a second line or to fill the log with a long one.
    """
    for key, value in event.items():
        if not isinstance(value, str):
            continue
        if not value.isprintable():
            value = value.encode("unicode_escape").decode("ascii")
        if len(value) > _MAX_VALUE_CHARS:
            value = f"{value[:_MAX_VALUE_CHARS]}..."
        event[key] = value
    return event
