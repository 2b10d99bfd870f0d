"""Opens a connection on the first of several paths that leads on."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, Generic, TypeVar

from zinniaspool.core.fleet import NodeRecord, ProbeOutcome
from zinniaspool.fleet.tunnels import UnreachedError

__all__ = ["PathRace"]

STAGGER_S = 0.05
"""Time after which the next path is tried beside those that have not answered,
in seconds: some ten round trips within a region."""

READ_TURNS = 4
"""Turns of the event loop in which a connection that has opened meanwhile is
noticed. A process that lacks processor time would otherwise try other paths
just because it was late."""

ProtocolT = TypeVar("ProtocolT", bound=asyncio.Protocol)


class PathRace(Generic[ProtocolT]):
    """Opens a connection on several paths, until it is open on one.

    The next path is begun when those before it have failed, or have not led
    on within some time.

    Args:
        begin: Opens a connection on a path.
        paths: The paths, each drawn when it is needed.

    Attributes:
        begun: The paths that were begun.
        winner: Index of the one that led on.
    """

    def __init__(
        self,
        begin: Callable[
            [NodeRecord | None],
            Coroutine[Any, Any, tuple[asyncio.Transport, ProtocolT]],
        ],
        paths: Iterator[NodeRecord | None],
    ) -> None:
        self.begun: list[NodeRecord | None] = []
        self.winner = 0
        self._begin = begin
        self._paths = paths
        self._has_more = True
        self._tasks: list[asyncio.Task[tuple[asyncio.Transport, ProtocolT]]] = []

    async def run(self) -> tuple[asyncio.Transport, ProtocolT]:
        """Return the connection that was opened first.

        Raises:
            ConnectionRefusedError: The upstream has ended, by the result of a
                VM that reaches others.
            OSError: No path led on.
        """
        kept = None
        try:
            while True:
                self._begin_next()
                await self._wait()
                for number, task in enumerate(self._tasks):
                    if task.done() and task.exception() is None:
                        kept, self.winner = task, number
                        return task.result()
                self._raise_failure()
        finally:
            for task in self._tasks:
                if task is not kept:
                    _discard(task)

    def _begin_next(self) -> None:
        for path in self._paths:
            self.begun.append(path)
            self._tasks.append(asyncio.create_task(self._begin(path)))
            return
        self._has_more = False

    async def _wait(self) -> None:
        running = [task for task in self._tasks if not task.done()]
        if not running:
            return
        done, _ = await asyncio.wait(
            running,
            timeout=STAGGER_S if self._has_more else None,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not done:
            for _ in range(READ_TURNS):
                await asyncio.sleep(0)

    def _raise_failure(self) -> None:
        """Raise why no connection can be opened, if that is known."""
        errors = list(self._list_errors())
        for error in errors:
            if isinstance(error, UnreachedError) and error.is_conclusive:
                if error.outcome is ProbeOutcome.REFUSED:
                    raise ConnectionRefusedError(str(error)) from error
                raise error
        if self._has_more or len(errors) < len(self._tasks):
            return
        if len(errors) == 1:
            raise errors[0]
        raise OSError(f"not reached on {len(errors)} paths")

    def _list_errors(self) -> Iterator[BaseException]:
        for task in self._tasks:
            if task.done() and (error := task.exception()) is not None:
                yield error


def _discard(task: "asyncio.Task[tuple[asyncio.Transport, ProtocolT]]") -> None:
    """Close a connection that is not used, or will not be."""
    if not task.done():
        task.cancel()
    elif not task.cancelled() and task.exception() is None:
        task.result()[0].abort()
