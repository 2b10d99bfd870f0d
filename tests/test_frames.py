"""Decoding of frames: messages, messages of newer versions, and garbage."""

import asyncio

import msgspec
import pytest
from hypothesis import given, strategies as st

from tests.fakes import run_in_loop
from zinniaspool.core.ids import Address, FailureDomainId, Incarnation, NodeId
from zinniaspool.core.messages import PROTOCOL_VERSION, Accepted, Hello, Message
from zinniaspool.core.messages.membership import ProbeRequest, ProbeResponse
from zinniaspool.peers import (
    FrameError,
    PeerLinks,
    PeerListener,
    UnknownMessage,
    read_frame,
)
from zinniaspool.peers.frames import encode_frame

_HELLO = Hello(
    PROTOCOL_VERSION, NodeId("n"), Incarnation(1), FailureDomainId("d"), "secret"
)


def _read(data: bytes) -> Message | UnknownMessage | None:
    async def read() -> Message | UnknownMessage | None:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        return await read_frame(reader)

    return asyncio.run(read())


def _frame(value: object) -> bytes:
    body = msgspec.msgpack.encode(value)
    return len(body).to_bytes(4, "big") + body


_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(0, 2**63) | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@given(st.binary(max_size=64) | _VALUES.map(_frame))
def test_any_bytes_are_a_message_or_a_frame_error(data: bytes) -> None:
    """No bytes raise another error or yield part of a message."""
    try:
        found = _read(data)
    except FrameError:
        return
    assert found is None or isinstance(found, Message | UnknownMessage)


@given(st.integers(0, 40))
def test_a_truncated_frame_is_no_message(kept: int) -> None:
    assert _read(encode_frame(_HELLO)[:kept]) is None


def test_messages_of_newer_versions_are_skipped() -> None:
    """An unknown kind or an unknown field does not end the connection."""
    assert _read(_frame({"type": "from-the-future", "x": 1})) == UnknownMessage(
        "from-the-future"
    )
    newer = msgspec.to_builtins(_HELLO) | {"extra": [1, 2]}
    assert _read(_frame(newer)) == _HELLO
    with pytest.raises(FrameError):
        _read(_frame({"type": "hello", "protocol": "wrong"}))


def test_a_late_answer_never_answers_the_next_request() -> None:
    """A request is cancelled while its answer is on the way.

    The next request to the same peer must get its own answer; on the same
    connection it would read the late answer to the first request.
    """

    async def trial() -> None:
        received = asyncio.Event()
        release = asyncio.Event()

        async def handle(_: Hello, message: Message) -> Message | None:
            assert isinstance(message, ProbeRequest)
            if message.node == "slow":
                received.set()
                await release.wait()
                return ProbeResponse(alive=False)
            return ProbeResponse(alive=True)

        listener = PeerListener(NodeId("peer"), lambda secret: True, handle)
        address = await listener.listen(Address("127.0.0.1:0"))
        links = PeerLinks(lambda: _HELLO, timeout_s=20.0)
        slow = asyncio.create_task(
            links.request(address, ProbeRequest(NodeId("slow"), Address("")))
        )
        await received.wait()
        slow.cancel()
        await asyncio.gather(slow, return_exceptions=True)
        release.set()
        answer = await links.request(
            address, ProbeRequest(NodeId("quick"), Address(""))
        )
        assert answer == ProbeResponse(alive=True)
        wrong = await links.request(
            address, ProbeRequest(NodeId("quick"), Address("")), NodeId("another")
        )
        assert wrong is None
        links.close()
        listener.close()

    run_in_loop(trial)


def test_an_accepted_connection_names_the_lower_version() -> None:
    """Both sides agree on a version before they exchange other messages."""

    async def trial() -> None:
        async def handle(_: Hello, __: Message) -> Message | None:
            return None

        listener = PeerListener(NodeId("peer"), lambda secret: True, handle)
        address = await listener.listen(Address("127.0.0.1:0"))
        host, _, port = address.rpartition(":")
        for offered in (PROTOCOL_VERSION, PROTOCOL_VERSION + 1):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                encode_frame(msgspec.structs.replace(_HELLO, protocol=offered))
            )
            accepted = await read_frame(reader)
            assert accepted == Accepted(PROTOCOL_VERSION, NodeId("peer"))
            writer.close()
        listener.close()

    run_in_loop(trial)
