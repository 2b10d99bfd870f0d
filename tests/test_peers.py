"""Peers that break the protocol, peers of other versions, message order."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest
import structlog
from hypothesis import example, given, settings, strategies as st

from tests.fakes import run_in_loop
from zinniaspool.core.ids import Address, FailureDomainId, Incarnation, NodeId
from zinniaspool.core.messages import PROTOCOL_VERSION, Accepted, Hello, Message
from zinniaspool.peers import (
    FrameError,
    PeerLinks,
    PeerListener,
    UnknownMessage,
    read_frame,
)
from zinniaspool.peers.frames import encode_frame

_HELLO = Hello(PROTOCOL_VERSION, NodeId("a"), Incarnation(1), FailureDomainId("d"), "s")


def _encode_value(value: Any) -> bytes:
    body = msgspec.msgpack.encode(value)
    return len(body).to_bytes(4, "big") + body


async def _handle(hello: Hello, message: Message) -> Message:
    if isinstance(message, Accepted):
        raise RuntimeError("boom")
    return Accepted(7, NodeId("b"))


def _run_with_listener(scenario: Callable[[Address], Awaitable[None]]) -> None:
    """Run a scenario; another peer's connection must survive it."""

    async def run() -> None:
        listener = PeerListener(NodeId("b"), lambda secret: secret == "s", _handle)
        address = await listener.listen(Address("127.0.0.1:0"))
        other = PeerLinks(lambda: _HELLO, 10.0)
        assert await other.request(address, _HELLO) == Accepted(7, NodeId("b"))
        await scenario(address)
        assert await other.request(address, _HELLO) == Accepted(7, NodeId("b"))
        other.close()
        listener.close()

    run_in_loop(run)


async def _send_bytes(address: Address, data: bytes) -> bytes:
    """Send bytes and return all that comes back."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    writer.write_eof()
    try:
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


@settings(max_examples=40, deadline=None)
@given(st.binary(max_size=200), st.booleans())
@example(b"\xff\xff\xff\xff", True)
@example(_encode_value({"type": "hello"}), False)
@example(_encode_value({"type": "of-a-later-version", "x": 1}), True)
@example(_encode_value({"type": "of-a-later-version", "x": 1}), False)
def test_invalid_bytes_close_only_their_connection(
    data: bytes, after_hello: bool
) -> None:
    async def scenario(address: Address) -> None:
        hello = encode_frame(_HELLO) if after_hello else b""
        received = await _send_bytes(address, hello + data)
        accepted = encode_frame(Accepted(PROTOCOL_VERSION, NodeId("b")))
        assert received.startswith(accepted) == after_hello

    _run_with_listener(scenario)


def test_refused_peer_gets_the_reason_and_is_logged() -> None:
    refused = {
        "secret": msgspec.structs.replace(_HELLO, secret="x"),
        "version": msgspec.structs.replace(_HELLO, protocol=0),
    }

    async def scenario(address: Address) -> None:
        for reason, hello in refused.items():
            assert reason.encode() in await _send_bytes(address, encode_frame(hello))

    with structlog.testing.capture_logs() as events:
        _run_with_listener(scenario)
    reasons = [e["reason"] for e in events if e["event"] == "peer-refused"]
    assert reasons == ["secret", "version"]


def test_newer_peer_is_accepted_with_the_common_version() -> None:
    async def scenario(address: Address) -> None:
        newer = msgspec.structs.replace(_HELLO, protocol=PROTOCOL_VERSION + 5)
        expected = encode_frame(Accepted(PROTOCOL_VERSION, NodeId("b")))
        assert await _send_bytes(address, encode_frame(newer)) == expected

    _run_with_listener(scenario)


def test_handler_failure_closes_only_its_connection() -> None:
    async def scenario(address: Address) -> None:
        links = PeerLinks(lambda: _HELLO, 10.0)
        assert await links.request(address, Accepted(1, NodeId("a"))) is None
        assert await links.request(address, _HELLO) is not None
        links.close()

    with structlog.testing.capture_logs() as events:
        _run_with_listener(scenario)
    assert "peer-handler-failed" in [event["event"] for event in events]


def test_first_message_is_limited_in_size() -> None:
    async def scenario(address: Address) -> None:
        large = msgspec.structs.replace(_HELLO, node=NodeId("x" * 100_000))
        assert await _send_bytes(address, encode_frame(large)) == b""

    _run_with_listener(scenario)


@given(st.binary(max_size=300))
def test_read_frame_returns_a_message_the_end_or_an_error(data: bytes) -> None:
    async def read() -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        try:
            message = await read_frame(reader)
        except FrameError:
            return
        if not isinstance(message, UnknownMessage):
            assert message is None or data.startswith(encode_frame(message)[:4])

    asyncio.run(read())


def test_messages_on_an_open_connection_arrive_complete_and_in_order() -> None:
    """A message that arrives after a newer one restores an outdated load."""

    async def run() -> None:
        received: list[int] = []
        complete = asyncio.Event()

        async def handle(hello: Hello, message: Message) -> None:
            assert isinstance(message, Accepted)
            received.append(message.protocol)
            if len(received) == 2000:
                complete.set()

        listener = PeerListener(NodeId("b"), lambda _: True, handle)
        address = await listener.listen(Address("127.0.0.1:0"))
        links = PeerLinks(lambda: _HELLO, 10.0)
        first = Accepted(0, NodeId("a"))
        assert not links.send_nowait(address, encode_frame(first))
        assert await links.send(address, first)
        for number in range(1, 2000):
            message = Accepted(number, NodeId("a"))
            if not links.send_nowait(address, encode_frame(message)):
                assert await links.send(address, message)
        async with asyncio.timeout(10.0):
            await complete.wait()
        assert received == list(range(2000))
        links.close()
        listener.close()

    run_in_loop(run)


def test_send_nowait_does_not_write_to_a_closed_connection() -> None:
    """It would count as sent, and the sender would not try the peer again."""

    async def run() -> None:
        listener = PeerListener(NodeId("b"), lambda _: True, _handle)
        address = await listener.listen(Address("127.0.0.1:0"))
        links = PeerLinks(lambda: _HELLO, 10.0)
        assert await links.send(address, Accepted(0, NodeId("a")))
        links.close()
        assert not links.send_nowait(address, encode_frame(Accepted(1, NodeId("a"))))
        assert await links.send(address, Accepted(1, NodeId("a")))
        links.close()
        listener.close()

    run_in_loop(run)


@pytest.mark.parametrize("answers", [True, False])
def test_a_delay_of_the_own_loop_is_no_silence_of_a_peer(answers: bool) -> None:
    """Guards against a busy process that takes its peers for unresponsive."""

    async def run() -> None:
        loop = asyncio.get_running_loop()

        async def handle(hello: Hello, message: Message) -> Message:
            loop.call_later(0.05, time.sleep, 0.6)
            await asyncio.sleep(0.1 if answers else 5.0)
            return Accepted(7, NodeId("b"))

        listener = PeerListener(NodeId("b"), lambda _: True, handle)
        address = await listener.listen(Address("127.0.0.1:0"))
        links = PeerLinks(lambda: _HELLO, 0.3)
        response = await links.request(address, _HELLO)
        assert response == (Accepted(7, NodeId("b")) if answers else None)
        links.close()
        listener.close()

    run_in_loop(run, 3.0)
