"""An event loop in which VMs can be cut off from all upstreams.

Tests run several VMs and all upstreams in one process. Each VM's tasks run in
a context that names the VM, so that its connections to upstreams are told
from those of the others.
"""

import asyncio
from collections.abc import Callable
from contextvars import ContextVar
from enum import Enum
from typing import Any

from zinniaspool.core.ids import Address

__all__ = ["CURRENT_VM", "CutKind", "CuttableLoop"]

CURRENT_VM: ContextVar[str | None] = ContextVar("CURRENT_VM", default=None)
"""The VM whose code runs; None outside of VMs."""

NEVER_S = 3600.0
"""Time for which a connection attempt without an answer waits, in seconds."""


class CutKind(Enum):
    """How a VM is cut off from the upstreams."""

    HANG = "hang"
    """Nothing passes; open connections stay, new ones get no answer."""

    RESET = "reset"
    """Open connections are reset, new ones refused."""

    REFUSE_NEW = "refuse-new"
    """Open connections go on, new ones are refused."""


class CuttableLoop(asyncio.SelectorEventLoop):
    """An event loop whose VMs can be cut off from the upstreams.

    Attributes:
        upstreams: Addresses of the upstreams.
        connected: Number of connections that each VM has opened to upstreams.
    """

    def __init__(self) -> None:
        super().__init__()
        self.upstreams: set[Address] = set()
        self.connected: dict[str, int] = {}
        self._sources: dict[tuple[Any, Any], str] = {}
        self._cuts: dict[str, CutKind] = {}
        self._transports: dict[str, set[_CuttableTransport]] = {}

    def cut(self, vm: str, kind: CutKind) -> None:
        """Cut a VM off from all upstreams."""
        self._cuts[vm] = kind
        for transport in list(self._transports.get(vm, ())):
            if kind is CutKind.HANG:
                transport.hold()
            elif kind is CutKind.RESET:
                transport.reset()

    def heal(self, vm: str) -> None:
        """End the cut of a VM. What was held up arrives now."""
        self._cuts.pop(vm, None)
        for transport in list(self._transports.get(vm, ())):
            transport.let_go()

    def find_source(self, transport: asyncio.BaseTransport) -> str:
        """Return the VM that opened a connection to an upstream.

        Connections to several upstreams may have the same local port, and
        later ones may have it again.

        Args:
            transport: The connection as the upstream has it, still open.

        Returns:
            The VM; empty if none opened it.
        """
        host, port = transport.get_extra_info("sockname")[:2]
        ends = transport.get_extra_info("peername"), Address(f"{host}:{port}")
        return self._sources.get(ends, "")

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.Protocol],
        host: Any = None,
        port: Any = None,
        **options: Any,
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """Open a connection, unless it is one that is cut."""
        vm = CURRENT_VM.get()
        if vm is None or Address(f"{host}:{port}") not in self.upstreams:
            return await super().create_connection(
                protocol_factory, host, port, **options
            )
        kind = self._cuts.get(vm)
        if kind is CutKind.HANG:
            await asyncio.sleep(NEVER_S)
        if kind is not None:
            raise ConnectionRefusedError(f"{vm} is cut off from {host}:{port}")
        kept = self._transports.setdefault(vm, set())
        inner = protocol_factory()
        _, outer = await super().create_connection(
            lambda: _CuttableProtocol(inner, kept), host, port, **options
        )
        assert isinstance(outer, _CuttableProtocol)
        assert outer.transport is not None
        self.connected[vm] = self.connected.get(vm, 0) + 1
        ends = outer.transport.get_extra_info("sockname"), Address(f"{host}:{port}")
        self._sources[ends] = vm
        return outer.transport, inner


class _CuttableProtocol(asyncio.Protocol):
    """Passes on what a real connection receives, unless it is held up."""

    def __init__(self, inner: asyncio.Protocol, kept: set["_CuttableTransport"]):
        self.inner = inner
        self.transport: _CuttableTransport | None = None
        self._kept = kept

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = _CuttableTransport(transport, self.inner)
        self._kept.add(self.transport)
        self.inner.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        self.transport.receive(lambda: self.inner.data_received(data))

    def eof_received(self) -> bool | None:
        assert self.transport is not None
        if self.transport.held:
            self.transport.receive(self.inner.eof_received)
            return True
        return self.inner.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        assert self.transport is not None
        self._kept.discard(self.transport)
        self.transport.lose(exc)

    def pause_writing(self) -> None:
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self.inner.resume_writing()


class _CuttableTransport(asyncio.Transport):
    """A transport whose bytes can be held up, both ways."""

    def __init__(self, real: asyncio.Transport, inner: asyncio.Protocol) -> None:
        super().__init__()
        self.held = False
        self._real = real
        self._inner = inner
        self._lost = False
        self._arrived: list[Callable[[], object]] = []
        self._unsent: list[Callable[[], None]] = []
        self._unsent_bytes = 0

    def hold(self) -> None:
        self.held = True

    def let_go(self) -> None:
        self.held = False
        arrived, self._arrived = self._arrived, []
        unsent, self._unsent = self._unsent, []
        self._unsent_bytes = 0
        for send in unsent:
            send()
        for receive in arrived:
            if not self._lost:
                receive()

    def reset(self) -> None:
        self._real.abort()
        self.lose(ConnectionResetError("cut off"))

    def receive(self, deliver: Callable[[], object]) -> None:
        if self.held:
            self._arrived.append(deliver)
        elif not self._lost:
            deliver()

    def lose(self, exc: Exception | None) -> None:
        if self._lost:
            return
        if self.held:
            self._arrived.append(lambda: self.lose(exc))
            return
        self._lost = True
        self._inner.connection_lost(exc)

    def write(self, data: Any) -> None:
        if self.held:
            kept = bytes(data)
            self._unsent_bytes += len(kept)
            self._unsent.append(lambda: self._real.write(kept))
        else:
            self._real.write(data)

    def close(self) -> None:
        if not self.held:
            self._real.close()
            return
        self.abort()

    def abort(self) -> None:
        if not self.held:
            self._real.abort()
            return
        # The other side learns of it when the cut has ended.
        self._unsent = [self._real.abort]
        if not self._lost:
            self._lost = True
            asyncio.get_running_loop().call_soon(self._inner.connection_lost, None)

    def is_closing(self) -> bool:
        return self._lost or self._real.is_closing()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self._real.get_extra_info(name, default)

    def pause_reading(self) -> None:
        self._real.pause_reading()

    def resume_reading(self) -> None:
        self._real.resume_reading()

    def get_write_buffer_size(self) -> int:
        return self._real.get_write_buffer_size() + self._unsent_bytes

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        self._real.set_write_buffer_limits(high, low)

    def can_write_eof(self) -> bool:
        return self._real.can_write_eof()

    def write_eof(self) -> None:
        self._real.write_eof()

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        raise NotImplementedError

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self._inner
