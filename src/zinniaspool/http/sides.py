"""Tells a failure of the caller's connection from one of the upstream's."""

from types import TracebackType

from zinniaspool.http.messages import TransportError

__all__ = ["CALLER_SIDE", "CallerGoneError"]


class CallerGoneError(Exception):
    """The caller's connection failed; the upstream is not at fault.

    Attributes:
        cause: The error of the caller's connection.
    """

    def __init__(self, cause: TransportError) -> None:
        super().__init__(str(cause))
        self.cause = cause


class _CallerSide:
    """Turns a :class:`TransportError` into a :class:`CallerGoneError`.

    It wraps statements that send to a caller. The connections to callers and
    to upstreams raise the same error. If a caller's departure were treated
    as an unreachable upstream, the request would be sent to another
    upstream, although no caller waits for the response.
    """

    def __enter__(self) -> None:
        return None

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if isinstance(error, TransportError):
            raise CallerGoneError(error) from error


CALLER_SIDE = _CallerSide()
"""Context manager for statements that send to a caller."""
