"""Logs: one line of key=value pairs for each event."""

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

__all__ = ["configure_logs"]

_log = structlog.get_logger(__name__)
_CLASS = "_class"
_STANDARD_OUTPUT = 1
"""File descriptor."""
_LONGEST_VALUE = 400
"""Characters of one value; what callers send may be longer than any use."""

_MOST_FRAMES = 8
"""Innermost frames that are named; the rest is the same in all."""


def configure_logs(program: str, node: str) -> LineWriter:
    """Send each event to standard output as one line.

    Returns:
        The writer, which counts what it had to drop.
    """
    writer = LineWriter(_STANDARD_OUTPUT)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _describe_exception,
            _bound_values,
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
    """What structlog gives each rendered line to."""

    def __init__(self, writer: LineWriter) -> None:
        self._writer = writer

    def msg(self, line: str, kind: LineClass) -> None:
        """Write one line."""
        self._writer.write(line, kind, time.monotonic())

    debug = info = warning = error = critical = exception = msg


_logfmt = structlog.processors.LogfmtRenderer(
    key_order=["timestamp", "level", "event"], bool_as_flag=False
)


def _classify(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    event[_CLASS] = (
        LineClass.REQUEST if event.get("event") in REQUEST_EVENTS else LineClass.BELIEF
    )
    return event


def _render(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> tuple[tuple[str], dict[str, LineClass]]:
    kind = event.pop(_CLASS)
    return (str(_logfmt(logger, method, event)),), {"kind": kind}


class _LibraryHandler(logging.Handler):
    """Makes events of what libraries log."""

    def emit(self, record: logging.LogRecord) -> None:
        _log.warning("library-message", logger=record.name, message=record.getMessage())


def _describe_exception(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Name an exception's type and where it was raised.

    Its message stays out: it may quote what a caller sent.
    """
    if not event.pop("exc_info", None):
        return event
    error = sys.exc_info()[1]
    if error is None:
        return event
    frames = traceback.extract_tb(error.__traceback__)[-_MOST_FRAMES:]
    event["exception"] = type(error).__name__
    event["frames"] = " ".join(
        f"{Path(frame.filename).name}:{frame.lineno}" for frame in frames
    )
    return event


def _bound_values(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Keep each event on one line of a bounded length.

    Part of a value may come from another process, which must not be able to
    forge a second line or to fill the log with one.
    """
    for key, value in event.items():
        if not isinstance(value, str):
            continue
        if not value.isprintable():
            value = value.encode("unicode_escape").decode("ascii")
        if len(value) > _LONGEST_VALUE:
            value = f"{value[:_LONGEST_VALUE]}..."
        event[key] = value
    return event
