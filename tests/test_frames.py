"""What peers may send: messages, those of newer versions, and anything."""

import asyncio

import msgspec
import pytest
from hypothesis import given, strategies as st

from tests.fakes import run_in_loop
from zinniaspool.core.ids import Address, FailureDomainId, Incarnation, NodeId
from zinniaspool.core.messages import PROTOCOL_VERSION, Accepted, Hello, Message
from zinniaspool.core.messages.membership import Probe, Probed
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
def test_whatever_a_peer_sends_is_a_message_or_a_frame_error(data: bytes) -> None:
    """No bytes raise anything else or yield a half message."""
    try:
        found = _read(data)
    except FrameError:
        return
    assert found is None or isinstance(found, Message | UnknownMessage)


@given(st.integers(0, 40))
def test_a_frame_cut_anywhere_is_no_message(kept: int) -> None:
    assert _read(encode_frame(_HELLO)[:kept]) is None


def test_messages_of_newer_versions_are_passed_over() -> None:
    """An unknown kind and an unknown field end no connection."""
    assert _read(_frame({"type": "from-the-future", "x": 1})) == UnknownMessage(
        "from-the-future"
    )
    newer = msgspec.to_builtins(_HELLO) | {"extra": [1, 2]}
    assert _read(_frame(newer)) == _HELLO
    with pytest.raises(FrameError):
        _read(_frame({"type": "hello", "protocol": "wrong"}))


def test_an_answer_that_was_given_up_never_answers_the_next_question() -> None:
    """A question is cancelled while its answer is on the way.

    The next question to the same peer must get its own answer; on the same
    connection it would read the late answer of the first.
    """

    async def trial() -> None:
        asked = asyncio.Event()
        release = asyncio.Event()

        async def handle(_: Hello, message: Message) -> Message | None:
            assert isinstance(message, Probe)
            if message.node == "slow":
                asked.set()
                await release.wait()
                return Probed(alive=False)
            return Probed(alive=True)

        listener = PeerListener(NodeId("peer"), lambda secret: True, handle)
        address = await listener.listen(Address("127.0.0.1:0"))
        links = PeerLinks(lambda: _HELLO, timeout_s=20.0)
        slow = asyncio.create_task(
            links.ask(address, Probe(NodeId("slow"), Address("")))
        )
        await asked.wait()
        slow.cancel()
        await asyncio.gather(slow, return_exceptions=True)
        release.set()
        answer = await links.ask(address, Probe(NodeId("quick"), Address("")))
        assert answer == Probed(alive=True)
        wrong = await links.ask(
            address, Probe(NodeId("quick"), Address("")), NodeId("another")
        )
        assert wrong is None
        links.close()
        listener.close()

    run_in_loop(trial)


def test_an_accepted_connection_names_the_lower_version() -> None:
    """The versions of both sides are settled before anything else is said."""

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
