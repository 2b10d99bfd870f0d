"""Runs a deployed program as on a VM with an address and paths of its own.

Run as ``python -m zinniaspool_standins.placed PLACEMENT MODULE``. Connections
to upstreams come from the VM's address, so that the upstreams can tell the VMs
of one machine apart. After the signal SIGUSR2 the placement is read again, and
the VM is cut off from the upstreams or no longer.
"""

import asyncio
import runpy
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from zinniaspool.core.ids import Address
from zinniaspool_standins.cuts import CURRENT_VM, CutKind, CuttableLoop

__all__ = ["Placement"]


class Placement(msgspec.Struct, frozen=True):
    """Where a program runs.

    Attributes:
        vm: The VM.
        host: The VM's address on loopback, without a port.
        upstreams: Addresses of the upstreams.
        cut: How it is cut off from them; None if it isn't.
    """

    vm: str
    host: str
    upstreams: list[Address]
    cut: CutKind | None = None

    def write(self, path: Path) -> None:
        """Write it to the file that the program reads."""
        path.write_bytes(msgspec.json.encode(self))

    @classmethod
    def read(cls, path: Path) -> "Placement":
        """Read it from a file."""
        return msgspec.json.decode(path.read_bytes(), type=cls)


class _PlacedLoop(CuttableLoop):
    """The event loop of a program on one VM.

    Args:
        path: The file with its placement.
    """

    def __init__(self, path: Path) -> None:
        super().__init__()
        self._path = path
        placement = Placement.read(path)
        self._host, self._vm = placement.host, placement.vm
        self.upstreams.update(placement.upstreams)
        self.add_signal_handler(signal.SIGUSR2, self._apply_cut)
        self._apply_cut()

    def _apply_cut(self) -> None:
        kind = Placement.read(self._path).cut
        if kind is None:
            self.heal(self._vm)
        else:
            self.cut(self._vm, kind)

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        if Address(f"{host}:{port}") in self.upstreams:
            options["local_addr"] = (self._host, 0)
        return await super().create_connection(protocol_factory, host, port, **options)


class _PlacedPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes such loops."""

    def __init__(self, path: Path) -> None:
        super().__init__()
        self._path = path

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        return _PlacedLoop(self._path)


def _run(path: Path, module: str) -> None:
    CURRENT_VM.set(Placement.read(path).vm)
    asyncio.set_event_loop_policy(_PlacedPolicy(path))
    sys.argv = [module]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    _run(Path(sys.argv[1]), sys.argv[2])
