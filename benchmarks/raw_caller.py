"""Callers that cost next to nothing: prepared requests, counted answers."""

import asyncio
from dataclasses import dataclass, field
from typing import cast

__all__ = ["Load", "run_load"]

_HEAD_END = b"\r\n\r\n"
_LAST_CHUNK = b"\r\n0\r\n\r\n"


@dataclass(slots=True)
class Load:
    """What one run of a load saw.

    Attributes:
        seconds: How long it ran.
        latencies: Seconds from each request to its answer's end, sorted.
        failed: Answers with another status than 200.
        reads: Reads that brought something.
    """

    seconds: float = 0.0
    latencies: list[float] = field(default_factory=list)
    failed: int = 0
    reads: int = 0

    @property
    def rate(self) -> float:
        """Answers a second."""
        return len(self.latencies) / self.seconds

    def quantile(self, part: float) -> float:
        """Return the latency, in seconds, that this part stays within."""
        return self.latencies[int((len(self.latencies) - 1) * part)]


class _Caller(asyncio.Protocol):
    def __init__(self, load: Load, request: bytes, count: int) -> None:
        self.done = asyncio.get_running_loop().create_future()
        self._load = load
        self._request = request
        self._left = count
        self._received = bytearray()
        self._whole = 0
        self._sent_at = 0.0
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._send()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.done.done():
            self._load.failed += self._left
            self.done.set_result(None)

    def data_received(self, data: bytes) -> None:
        self._load.reads += 1
        self._received += data
        if not self._whole and (end := self._received.find(_HEAD_END)) >= 0:
            head = bytes(self._received[:end]).lower()
            self._whole = -1
            if b"content-length: " in head:
                length = head.split(b"content-length: ")[1].split(b"\r\n")[0]
                self._whole = end + len(_HEAD_END) + int(length)
        if (
            self._whole < 0
            and self._received.endswith(_LAST_CHUNK)
            or 0 < self._whole <= len(self._received)
        ):
            self._finish()

    def _finish(self) -> None:
        now = asyncio.get_running_loop().time()
        self._load.latencies.append(now - self._sent_at)
        self._load.failed += not self._received.startswith(b"HTTP/1.1 200 ")
        self._received.clear()
        self._whole = 0
        self._left -= 1
        if self._left:
            self._send()
            return
        self.done.set_result(None)
        assert self._transport is not None
        self._transport.close()

    def _send(self) -> None:
        assert self._transport is not None
        self._sent_at = asyncio.get_running_loop().time()
        self._transport.write(self._request)


async def run_load(
    address: str, target: str, body: bytes, connections: int, requests: int
) -> Load:
    """Send requests over several connections, each after its answer."""
    host, _, port = address.rpartition(":")
    head = (
        f"POST {target} HTTP/1.1\r\nHost: {address}\r\n"
        f"Authorization: Bearer care-key\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    load = Load()
    loop = asyncio.get_running_loop()
    began = loop.time()
    callers = []
    for _ in range(connections):
        _, caller = await loop.create_connection(
            lambda: _Caller(load, head.encode() + body, requests // connections),
            host,
            int(port),
        )
        callers.append(caller)
    await asyncio.gather(*(caller.done for caller in callers))
    load.seconds = loop.time() - began
    load.latencies.sort()
    return load
