"""Peers that break the protocol, and peers of other versions."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
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


def _frame(value: Any) -> bytes:
    body = msgspec.msgpack.encode(value)
    return len(body).to_bytes(4, "big") + body


async def _handle(hello: Hello, message: Message) -> Message:
    if isinstance(message, Accepted):
        raise RuntimeError("boom")
    return Accepted(7, NodeId("b"))


def _try(trial: Callable[[Address], Awaitable[None]]) -> None:
    async def run() -> None:
        listener = PeerListener(NodeId("b"), lambda shown: shown == "s", _handle)
        address = await listener.listen(Address("127.0.0.1:0"))
        good = PeerLinks(lambda: _HELLO, 10.0)
        assert await good.ask(address, _HELLO) == Accepted(7, NodeId("b"))
        await trial(address)
        assert await good.ask(address, _HELLO) == Accepted(7, NodeId("b"))
        good.close()
        listener.close()

    run_in_loop(run)


async def _send(address: Address, data: bytes) -> bytes:
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
@example(_frame({"type": "hello"}), False)
@example(_frame({"type": "of-a-later-version", "x": 1}), True)
@example(_frame({"type": "of-a-later-version", "x": 1}), False)
def test_bytes_that_are_no_message_end_their_connection_alone(
    data: bytes, after_hello: bool
) -> None:
    async def trial(address: Address) -> None:
        hello = encode_frame(_HELLO) if after_hello else b""
        answered = await _send(address, hello + data)
        accepted = encode_frame(Accepted(PROTOCOL_VERSION, NodeId("b")))
        assert answered.startswith(accepted) == after_hello

    _try(trial)


def test_each_peer_that_is_refused_is_told_and_logged() -> None:
    refused = {
        "secret": msgspec.structs.replace(_HELLO, secret="x"),
        "version": msgspec.structs.replace(_HELLO, protocol=0),
    }

    async def trial(address: Address) -> None:
        for reason, hello in refused.items():
            assert reason.encode() in await _send(address, encode_frame(hello))

    with structlog.testing.capture_logs() as events:
        _try(trial)
    reasons = [e["reason"] for e in events if e["event"] == "peer-refused"]
    assert reasons == ["secret", "version"]


def test_a_later_version_is_answered_with_the_one_both_speak() -> None:
    async def trial(address: Address) -> None:
        later = msgspec.structs.replace(_HELLO, protocol=PROTOCOL_VERSION + 5)
        expected = encode_frame(Accepted(PROTOCOL_VERSION, NodeId("b")))
        assert await _send(address, encode_frame(later)) == expected

    _try(trial)


def test_a_message_that_the_handler_fails_on_ends_its_connection_alone() -> None:
    async def trial(address: Address) -> None:
        links = PeerLinks(lambda: _HELLO, 10.0)
        assert await links.ask(address, Accepted(1, NodeId("a"))) is None
        assert await links.ask(address, _HELLO) is not None
        links.close()

    with structlog.testing.capture_logs() as events:
        _try(trial)
    assert "peer-handler-failed" in [event["event"] for event in events]


def test_whoever_has_not_shown_the_secret_cannot_send_much() -> None:
    async def trial(address: Address) -> None:
        large = msgspec.structs.replace(_HELLO, node=NodeId("x" * 100_000))
        assert await _send(address, encode_frame(large)) == b""

    _try(trial)


@given(st.binary(max_size=300))
def test_a_frame_is_a_message_the_end_or_an_error(data: bytes) -> None:
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


def test_notes_on_an_open_connection_arrive_in_order_and_whole() -> None:
    """One that overtakes another would bring an older load back."""

    async def run() -> None:
        heard: list[int] = []
        whole = asyncio.Event()

        async def take(hello: Hello, message: Message) -> None:
            assert isinstance(message, Accepted)
            heard.append(message.protocol)
            if len(heard) == 2000:
                whole.set()

        listener = PeerListener(NodeId("b"), lambda _: True, take)
        address = await listener.listen(Address("127.0.0.1:0"))
        links = PeerLinks(lambda: _HELLO, 10.0)
        first = Accepted(0, NodeId("a"))
        assert not links.post(address, encode_frame(first))
        assert await links.send(address, first)
        for number in range(1, 2000):
            note = Accepted(number, NodeId("a"))
            if not links.post(address, encode_frame(note)):
                assert await links.send(address, note)
        async with asyncio.timeout(10.0):
            await whole.wait()
        assert heard == list(range(2000))
        links.close()
        listener.close()

    run_in_loop(run)


def test_a_note_is_not_written_to_a_connection_that_has_closed() -> None:
    """It would count as sent, and its peer would not be tried again."""

    async def run() -> None:
        listener = PeerListener(NodeId("b"), lambda _: True, _handle)
        address = await listener.listen(Address("127.0.0.1:0"))
        links = PeerLinks(lambda: _HELLO, 10.0)
        assert await links.send(address, Accepted(0, NodeId("a")))
        links.close()
        assert not links.post(address, encode_frame(Accepted(1, NodeId("a"))))
        assert await links.send(address, Accepted(1, NodeId("a")))
        links.close()
        listener.close()

    run_in_loop(run)
