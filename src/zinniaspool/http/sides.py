"""Keeps a caller's failure apart from an upstream's."""

from types import TracebackType

from zinniaspool.http.messages import TransportError

__all__ = ["CALLER_SIDE", "CallerGoneError"]


class CallerGoneError(Exception):
    """The caller's side failed, which is no failure of the upstream."""

    def __init__(self, cause: TransportError) -> None:
        super().__init__(str(cause))
        self.cause = cause


class _CallerSide:
    """Marks what fails while something is sent to a caller.

    Both sides raise the same error. Taken for a lost upstream, a caller that
    has gone would have its request sent to another one, for nobody.
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
