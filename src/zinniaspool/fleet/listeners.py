"""Calls listeners so that the failure of one doesn't affect the others."""

from collections.abc import Callable, Iterable

import structlog

__all__ = ["call_listeners"]

_log = structlog.get_logger(__name__)


def call_listeners(
    listeners: Iterable[Callable[..., None]], *arguments: object
) -> None:
    """Call all listeners in order; log those that fail.

    The change has been applied and isn't announced again. A listener that is
    left out would never learn of it.

    Args:
        listeners: Called one after the other.
        arguments: Arguments of each call.
    """
    for listener in list(listeners):
        try:
            listener(*arguments)
        except Exception:
            name = getattr(listener, "__qualname__", type(listener).__name__)
            _log.exception("listener-failed", listener=name)
