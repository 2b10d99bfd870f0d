"""Logs: one line of key=value pairs for each event."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

__all__ = ["configure_logs"]

_log = structlog.get_logger(__name__)
_LONGEST_VALUE = 400


def configure_logs(program: str, node: str) -> None:
    """Send each event to standard error as one line."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            _bound_values,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    structlog.contextvars.bind_contextvars(program=program, node=node)
    logging.basicConfig(level=logging.WARNING, handlers=[_LibraryHandler()], force=True)


class _LibraryHandler(logging.Handler):
    """Makes events of what libraries log."""

    def emit(self, record: logging.LogRecord) -> None:
        _log.warning("library-message", logger=record.name, message=record.getMessage())


def _bound_values(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """Keep each event on one line of a bounded length.

    Part of a value may come from another process, which must not be able to
    forge a second line or to fill the log with one.
    """
    for key, value in event.items():
        if not isinstance(value, str) or key == "exception":
            continue
        if not value.isprintable():
            value = value.encode("unicode_escape").decode("ascii")
        if len(value) > _LONGEST_VALUE:
            value = f"{value[:_LONGEST_VALUE]}..."
        event[key] = value
    return event
