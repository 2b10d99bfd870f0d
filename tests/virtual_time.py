"""An event loop whose clock jumps to the next timer instead of waiting.

It is for tests of many processes in one loop. Their time limits then apply to
what the processes decide, and not to the speed of the test machine.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ["run_in_virtual_time"]


class _JumpingSelector(selectors.SelectSelector):
    """Advances the clock by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        return self._jumping.now


def run_in_virtual_time(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test that waits for nothing but timers."""
    with asyncio.Runner(loop_factory=_VirtualLoop) as runner:
        runner.run(test())
