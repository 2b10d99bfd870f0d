"""Runners whose passes take longer the more they read and write.

A head works on all its requests at once. A pass reads prompts, up to a number
of tokens, and yields some tokens of each request whose prompt has been read.
"""

import asyncio
import math
from dataclasses import dataclass, field

import msgspec

from zinniaspool.http import Headers
from zinniaspool_standins.runners import Runner

__all__ = ["PassTimes", "PassingRunner"]


class PassTimes(msgspec.Struct, frozen=True):
    """How long the passes of a model's heads take.

    Attributes:
        step_s: Time of a step, in seconds.
        request_s: Additional time of a step for each request that is written,
            in seconds.
        read_per_s: Prompt tokens that are read in a second.
        chunk: Most prompt tokens that are read in one step.
        stride: Steps of a pass in which requests are written.
        slots: Requests that run at a time.
        first_s: Time of each request before its prompt is read, in seconds.
    """

    step_s: float
    request_s: float
    read_per_s: float
    chunk: int
    stride: int
    slots: int
    first_s: float = 0.0


class _PassedWork:
    """A stream's request at a head that works in passes.

    Args:
        passes: The head's passes.
        unread: Tokens of its prompt.
    """

    def __init__(self, passes: "_Passes", unread: int) -> None:
        self.unread = unread
        self.passed = asyncio.Event()
        self._passes = passes
        self._is_new = True

    async def wait_for_pass(self) -> None:
        """Wait for the end of the next pass that yields tokens of it."""
        if self._is_new:
            self._is_new = False
            await asyncio.sleep(self._passes.times.first_s)
        self.passed.clear()
        self._passes.add(self)
        try:
            await self.passed.wait()
        except asyncio.CancelledError:
            self._passes.remove(self)
            raise


@dataclass(eq=False)
class _Passes:
    """The passes of one head.

    Attributes:
        runner: The head.
        times: How long they take.
    """

    runner: Runner
    times: PassTimes
    _works: list[_PassedWork] = field(default_factory=list)
    _task: "asyncio.Task[None] | None" = None

    def add(self, work: _PassedWork) -> None:
        """Have the next pass that has room work on a request."""
        self._works.append(work)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def remove(self, work: _PassedWork) -> None:
        """Forget a request that is given up."""
        if work in self._works:
            self._works.remove(work)

    async def _run(self) -> None:
        while self._works:
            # Requests of the same pass come back for the next one.
            await asyncio.sleep(0)
            running = self._works[: self.times.slots]
            written = [work for work in running if not work.unread]
            steps = self.times.stride if written else 1
            read = self._read(running, steps * self.times.chunk)
            step_s = self.times.step_s + self.times.request_s * len(written)
            seconds = steps * step_s + read / self.times.read_per_s
            await asyncio.sleep(seconds * self.runner.faults.pace)
            for work in written:
                self.remove(work)
                work.passed.set()
            await asyncio.sleep(0)

    @staticmethod
    def _read(works: list[_PassedWork], most: int) -> int:
        left = most
        for work in works:
            read = min(left, work.unread)
            work.unread -= read
            left -= read
        return most - left


class PassingRunner(Runner):
    """A runner whose heads work in passes.

    Attributes:
        passes_by_model: How long the passes of each model take.
    """

    passes_by_model: dict[str, PassTimes]
    _passes: _Passes | None = None

    def _begin_work(self, asked: Headers) -> _PassedWork:
        times = self.passes_by_model[self.model]
        if self._passes is None or self._passes.times is not times:
            self._passes = _Passes(self, times)
        prompt = (asked.get("x-zinniaspool-token-count") or "0").split(",")[0]
        resumed = int(asked.get("last-event-id") or 0) * times.stride
        return _PassedWork(self._passes, int(prompt) + resumed)

    def _count_events(self, tokens: int) -> int:
        return math.ceil(tokens / self.passes_by_model[self.model].stride)
