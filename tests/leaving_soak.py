"""A randomized soak of upstreams that leave while VMs and the store fail.

Run as ``python -m tests.leaving_soak --seeds 50``. Each seed runs four entry
VMs and all upstreams in one loop. Upstreams leave as announced, some without
the store, some ask for pauses; most are replaced, in place or as other ones.
VMs are cut off from the upstreams, killed and turned away by the store, the
holder is killed and the store drops its history, in series that overlap. What
reaches an upstream is counted by the VM that it comes from.
"""

import asyncio
import random
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

from tests.installation import Installation
from tests.leaving_checks import ASKED_PAUSE_S, describe_pauses
from tests.path_soak import ZONES, PathSoak, play_seed
from tests.soak_seeds import run_command_line
from zinniaspool_standins.leaving import LeavingBounds, LeavingLog
from zinniaspool_standins.runners import Runner

__all__ = ["run_seed"]

BOUNDS = LeavingBounds(drain_s=2.0, spread_s=1.0, start_s=3.0)
"""The platform's bound, the aim of the design, and time to start."""

HEARTBEAT_S = 2.0
"""Heartbeat of the upstreams, in seconds. The record of one that is cut off
from the store lapses after three."""

SERVES_S = (3.0, 6.0)
"""For how long an upstream serves after it has begun to leave, in seconds."""


@dataclass
class _LeavingSoak(PathSoak):
    """What leaves, beside what breaks.

    Attributes:
        restarts: When each VM was started again.
        outages: When the store turned some VMs away, from and until.
    """

    restarts: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    outages: list[tuple[float, float]] = field(default_factory=list)

    def list_faults(self) -> list[Callable[[], Awaitable[None]]]:
        """Return what may break, with as many upstreams that leave."""
        return [
            self.leave,
            self.leave,
            self.leave_without_store,
            self.leave_without_store,
            self.leave_without_store,
            self.pause,
            self.cut_some,
            self.cut_some,
            self.replace_vm,
            self.replace_holder,
            self.drop_history,
            self.turn_away,
        ]

    def _choose_runner(self) -> Runner | None:
        """Return an upstream that neither leaves nor pauses, if enough do so.

        Half of the time it is a plain one.
        """
        runners = [
            one
            for one in self.made.runners.values()
            if not one.faults.announced and not one.faults.pause_s
        ]
        plain = [one for one in runners if one.service == "cards"]
        if len(plain) > 2 and self.source.choice((True, False)):
            return self.source.choice(plain)
        engines = [one for one in runners if one.service != "cards"]
        return self.source.choice(engines) if len(engines) > 6 else None

    async def leave(self) -> None:
        one = self._choose_runner()
        if one is None:
            return
        self.faults.append(f"leave {one.id}")
        await one.leave(self.source.uniform(*SERVES_S))
        if self.source.choice((True, False)):
            await one.come_back()
        else:
            self.made.replace_runner(one)

    async def leave_without_store(self) -> None:
        one = self._choose_runner()
        if one is None:
            return
        self.faults.append(f"leave_without_store {one.id}")
        one.faults.cut = True
        leaving = asyncio.create_task(one.leave(self.source.uniform(*SERVES_S)))
        await asyncio.sleep(self.source.uniform(0.2, 6.0))
        one.faults.cut = False
        await leaving
        await one.come_back()

    async def pause(self) -> None:
        one = self._choose_runner()
        if one is None:
            return
        one.faults.pause_s = ASKED_PAUSE_S
        await asyncio.sleep(self.source.uniform(0.2, 1.5))
        one.faults.pause_s = 0.0

    async def replace_vm(self) -> None:
        if len(self.made.nodes) == len(ZONES):
            await self._replace(self.source.choice(list(self.made.nodes)))

    async def replace_holder(self) -> None:
        holder = self.made.find_holder()
        if holder is not None and len(self.made.nodes) == len(ZONES):
            await self._replace(holder)

    async def _replace(self, name: str) -> None:
        await self.made.kill(name)
        await asyncio.sleep(self.source.uniform(0.1, 1.0))
        await self.made.add_node(name, ZONES[name])
        self.restarts[name].append(asyncio.get_running_loop().time())

    async def drop_history(self) -> None:
        self.made.store.drop_history()

    async def turn_away(self) -> None:
        faults, began = self.made.store.faults, asyncio.get_running_loop().time()
        if faults.down:
            return
        names = self.source.sample(list(self.made.nodes), self.source.randint(1, 2))
        faults.only = [self.made.nodes[name].file.store_address for name in names]
        faults.down = self.source.choice(["busy", "many", "reset", "silent"])
        await asyncio.sleep(self.source.uniform(0.5, 3.0))
        faults.down, faults.only = "", []
        self.outages.append((began, asyncio.get_running_loop().time()))

    async def check_end(self) -> None:
        """Check what must hold, and what reached upstreams that left."""
        await super().check_end()
        for one, log in self._list_logs():
            self.seen += log.describe_broken(
                one.id, BOUNDS, self.restarts, self.outages
            )
            self.seen += describe_pauses(one.id, log, self.restarts)

    def _list_logs(self) -> Iterator[tuple[Runner, LeavingLog]]:
        for one in [*self.made.runners.values(), *self.made.gone]:
            for log in (*one.runs_before, one.leaving):
                yield one, log


def _make_soak(made: Installation, source: random.Random) -> _LeavingSoak:
    for one in made.runners.values():
        one.times.heartbeat_s = HEARTBEAT_S
    return _LeavingSoak(made, source)


def run_seed(seed: int) -> str:
    """Play one seed and return what was counted.

    Raises:
        PathSoakError: A promise was broken.
    """
    return play_seed(seed, _make_soak)


if __name__ == "__main__":
    run_command_line(run_seed)
