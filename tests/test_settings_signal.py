"""The signal that tells of changed settings, while the programs load."""

import asyncio
import contextlib
import signal
import time
from pathlib import Path

import pytest

from tests.installation import eventually
from zinniaspool.platform import control
from zinniaspool_standins.installation import Installation
from zinniaspool_standins.nodes import end_nodes, make_nodes


@pytest.mark.processes
def test_the_settings_signal_ends_no_program_that_loads(tmp_path: Path) -> None:
    """Guards against callers cut with a VM that has just started."""

    async def test() -> None:
        async with Installation.running(nodes=0, engines=0) as made:
            nodes = await make_nodes(made, tmp_path, 1)
            try:
                entry, _ = nodes[0].processes
                host, _, port = nodes[0].front.partition(":")
                writer = None
                while writer is None:
                    with contextlib.suppress(ConnectionRefusedError):
                        _, writer = await asyncio.open_connection(host, int(port))
                entry.send(signal.SIGHUP)
                await eventually(lambda: "callers-listening" in entry.log.read_text())
                writer.close()
            finally:
                await end_nodes(nodes)

    asyncio.run(test())


def test_the_control_program_ignores_the_settings_signal_while_it_waits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a control program that ends before it has loaded."""
    handlers: list[object] = []

    def stop_waiting(_: float) -> None:
        handlers.append(signal.getsignal(signal.SIGHUP))
        raise KeyboardInterrupt

    monkeypatch.setattr(time, "sleep", stop_waiting)
    before = signal.getsignal(signal.SIGHUP)
    try:
        with pytest.raises(KeyboardInterrupt):
            control.main()
    finally:
        signal.signal(signal.SIGHUP, before)
    assert handlers == [signal.SIG_IGN]
