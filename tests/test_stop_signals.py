"""What operators see of a planned stop: when it began, and its counts."""

import asyncio
import signal
import subprocess
import sys
import time
from collections.abc import Iterator

import pytest

from tests.installation import run
from tests.test_planned_stops import GRACE_S, StoppedInstallation
from zinniaspool.platform import program
from zinniaspool.platform.signals import EarlySignals

HELD_UP_S = 0.4


@pytest.fixture
def handlers() -> Iterator[None]:
    """Restore the handlers of signals afterwards."""
    kept = {
        number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT)
    }
    yield
    for number, handler in kept.items():
        signal.signal(number, handler)


class _HeldUpProcess:
    """A process that does something long when it gets its stop signal."""

    def __init__(self) -> None:
        self.stopped = asyncio.Event()
        self.signalled_at = self.dated_at = 0.0

    def stop(self, requested_at: float | None = None) -> None:
        now = asyncio.get_running_loop().time()
        self.dated_at = now if requested_at is None else requested_at
        self.stopped.set()

    async def run(self) -> None:
        self.signalled_at = asyncio.get_running_loop().time()
        signal.raise_signal(signal.SIGTERM)
        _work(HELD_UP_S)
        await self.stopped.wait()


def _work(seconds: float) -> None:
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        pass


@pytest.mark.usefixtures("handlers")
def test_a_signal_is_dated_while_the_event_loop_is_held_up() -> None:
    """Guards against a stop time that begins late and ends after the kill."""
    made: list[_HeldUpProcess] = []

    def make() -> _HeldUpProcess:
        made.append(_HeldUpProcess())
        return made[0]

    asyncio.run(program._run(make))
    assert made[0].dated_at - made[0].signalled_at < HELD_UP_S / 4


@pytest.mark.usefixtures("handlers")
def test_a_signal_is_dated_while_the_program_loads() -> None:
    """Guards against a signal that kills a program, or is dated by its end."""

    class Loaded(_HeldUpProcess):
        async def run(self) -> None:
            await self.stopped.wait()

    made: list[Loaded] = []

    def make() -> Loaded:
        _work(HELD_UP_S)
        made.append(Loaded())
        return made[0]

    hangup = signal.getsignal(signal.SIGHUP)
    early_signals = EarlySignals()
    try:
        early_signals.install()
        signalled_at = time.monotonic()
        signal.raise_signal(signal.SIGTERM)
        asyncio.run(program._run(make, early_signals))
    finally:
        signal.signal(signal.SIGHUP, hangup)
    assert made[0].dated_at - signalled_at < HELD_UP_S / 4


_SLOW_TO_FREE = """
import atexit, time
from types import SimpleNamespace
import structlog
from zinniaspool.platform import program

class Ended:
    def stop(self, requested_at=None): ...
    async def run(self):
        structlog.get_logger().info("stopped")

atexit.register(time.sleep, 30.0)
program.read_node_file = lambda: SimpleNamespace(node="n0")
program.run_on_platform("entry", lambda *_: Ended())
"""


@pytest.mark.processes
def test_a_process_that_has_stopped_exits_at_once() -> None:
    """Guards against a process that is killed while it frees its memory."""
    ended = subprocess.run(
        [sys.executable, "-c", _SLOW_TO_FREE],
        timeout=15.0,
        capture_output=True,
        check=True,
        text=True,
    )
    assert "event=stopped" in ended.stdout


@pytest.mark.processes
def test_a_stop_ends_in_time_after_a_signal_that_was_handled_late() -> None:
    """Guards against a process that is killed while it still serves."""

    async def check() -> None:
        async with StoppedInstallation.running(nodes=2, engines=10) as made:
            made.configure()
            await made.settle()
            drafting = asyncio.create_task(
                made.draft("n0", "small", 300, deadline_ms=int(GRACE_S * 1000))
            )
            await asyncio.sleep(0.2)
            loop, node = asyncio.get_running_loop(), made.nodes["n0"]
            signalled_at = loop.time() - 1.0
            node.gateway.stop(signalled_at)
            await node.tasks[0]
            assert 6.0 < loop.time() - signalled_at < GRACE_S
            await drafting

    run(check)


@pytest.mark.processes
def test_the_metrics_have_why_a_stopping_vm_accepted_its_requests() -> None:
    """Guards against requests of a stop that no number explains."""

    async def check() -> None:
        async with StoppedInstallation.running(nodes=2, engines=10) as made:
            made.configure()
            await made.settle()
            await asyncio.gather(*(made.draft("n0", "small", 20) for _ in range(4)))
            gateway = made.nodes["n0"].gateway
            gateway.stop()
            await asyncio.sleep(0.1)
            await asyncio.gather(
                made.draft("n0", "small", 30, deadline_ms=8000),
                made.draft("n0", "small", 30, deadline_ms=3000),
                made.draft("n0", "small", 300, deadline_ms=8000),
            )
            text = gateway._metrics.render().decode()
            counts = dict(line.rsplit(" ", 1) for line in text.splitlines())
            for outcome, reason in (
                ("accepted", "forecast"),
                ("accepted", "deadline"),
                ("refused", "forecast"),
            ):
                labels = f'outcome="{outcome}",reason="{reason}"'
                assert counts[f"zinniaspool_stop_requests_total{{{labels}}}"] == "1.0"
            assert counts["zinniaspool_stop_cut_requests_total"] == "0.0"
            allowed = "zinniaspool_stop_allowed_seconds_buckets_total"
            assert counts[f'{allowed}{{le="3",outcome="accepted"}}'] == "1.0"
            needed = "zinniaspool_stop_needed_seconds_buckets_total"
            assert counts[f'{needed}{{le="2",outcome="accepted"}}'] == "1.0"
            assert counts[f'{needed}{{le="8",outcome="refused"}}'] == "0.0"

    run(check)
