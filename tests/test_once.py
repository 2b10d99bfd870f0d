"""Tests that a keyed call runs at most once, at whichever entry process.

The upstream counts the calls that ran, and the caller checks every answer.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from tests import fakes
from tests.fakes import FakeUpstream, run_in_loop
from tests.once_nodes import CUSTOMER, Cluster, Node
from zinniaspool.core.errors import ErrorKind
from zinniaspool.core.ids import RequestId
from zinniaspool.core.membership import MemberState
from zinniaspool.core.requests.sessions import Session, encode_session
from zinniaspool.entry.calls import CallerRequest
from zinniaspool.http import Exchange, Headers, Request

_BODY = b'{"pitch": 7}'
_ANSWER = b'"filed"'


class _Caller(Exchange):
    """An exchange that records the answer that it receives."""

    def __init__(self) -> None:
        self.request = Request("POST", "/")
        self.status = 0
        self.body = b""

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        self.status, self.body = status, body


@dataclass
class _Reply:
    body: bytes = b""
    fault: ErrorKind | None = None


@dataclass
class _Trial:
    cluster: Cluster
    call_count: int = 0
    replies: list[_Reply] = field(default_factory=list)

    @property
    def runs(self) -> int:
        return len(self.cluster.upstream.calls)

    async def call(
        self, node: Node, key: str, body: bytes = _BODY, timeout_s: float = 5.0
    ) -> _Reply:
        self.call_count += 1
        deadline = asyncio.get_running_loop().time() + timeout_s
        request_id = RequestId(f"r{self.call_count}")
        path = "/v1/services/dispatch/send"
        request = CallerRequest(request_id, CUSTOMER, path, body, deadline, 3)
        caller = _Caller()
        ended = await node.handler.answer(caller, request, key)
        fault = ended.err()
        reply = _Reply(caller.body, None if fault is None else fault.kind)
        self.replies.append(reply)
        return reply


@asynccontextmanager
async def _start(*behaviours: fakes.Behaviour) -> AsyncIterator[_Trial]:
    acts = list(behaviours) or [fakes.answer("filed")]
    upstream = await FakeUpstream(acts).listen()
    cluster = Cluster(upstream)
    try:
        yield _Trial(cluster)
    finally:
        for node in cluster.nodes.values():
            node.claim_store.close()
        await upstream.close()


_Scenario = Callable[[], Awaitable[None]]


def _in_event_loop(scenario: _Scenario) -> Callable[[], None]:
    def run() -> None:
        run_in_loop(scenario)

    run.__name__ = scenario.__name__
    run.__doc__ = scenario.__doc__
    return run


@_in_event_loop
async def test_a_repeat_gets_the_first_answer_from_any_entry() -> None:
    async with _start() as trial:
        first, second = trial.cluster.start("a"), trial.cluster.start("b")
        session_key = first.handler.issue_session() + ".1"
        for key in ("own-key", session_key):
            for node in (first, second, first):
                assert await trial.call(node, key) == _Reply(_ANSWER)
            other = await trial.call(second, key, b"another body")
            assert other.fault is ErrorKind.KEY_REUSED
        assert trial.runs == 2


@_in_event_loop
async def test_a_key_is_the_same_with_quotes_and_without() -> None:
    """Repeats by clients that quote the key differently get the first answer.

    A key of a session needs no store in either form, also where another
    process forwards the call.
    """
    async with _start() as trial:
        first, second = trial.cluster.start("a"), trial.cluster.start("b")
        for key in ("own-key", '"own-key"'):
            assert await trial.call(first, key) == _Reply(_ANSWER)
        trial.cluster.store.unavailable = True
        session_key = first.handler.issue_session() + ".1"
        for key in (f'"{session_key}"', session_key):
            for node in (first, second):
                assert await trial.call(node, key) == _Reply(_ANSWER)
        assert trial.runs == 2
        for key in ('"', '""', '""own-key""', '"own-key'):
            refused = await trial.call(first, key)
            assert refused.fault is ErrorKind.MALFORMED_REQUEST, key


@_in_event_loop
async def test_the_same_key_at_two_entries_at_once_runs_once() -> None:
    """Concurrent calls with one key at two entry processes run once.

    Twenty callers use one key while its slot has no owner. Both processes may
    try to acquire the slot, and one swap decides. Each caller reads the
    answer or that the outcome is unknown.
    """
    async with _start() as trial:
        nodes = [trial.cluster.start("a"), trial.cluster.start("b")]
        calls = [trial.call(nodes[n % 2], "one-key") for n in range(20)]
        replies = await asyncio.gather(*calls)
        assert trial.runs == 1
        assert _Reply(_ANSWER) in replies
        kinds = {reply.fault for reply in replies}
        assert kinds <= {None, ErrorKind.KEY_OWNER_GONE}


@pytest.mark.parametrize("own_key", [True, False])
def test_after_a_crash_of_its_owner_a_key_never_runs_again(own_key: bool) -> None:
    """The caller reads from every entry that the outcome is unknown.

    The owner is killed after it claimed the key and sent the request, but
    before the answer arrives. Another entry process acquires the slot, or
    knows that the session's process has ended.
    """

    async def scenario() -> None:
        async with _start(fakes.hang) as trial:
            owner = trial.cluster.start("a")
            key = "own-key" if own_key else owner.handler.issue_session() + ".1"
            calling = asyncio.create_task(trial.call(owner, key))
            await trial.cluster.upstream.called.wait()
            trial.cluster.kill("a")
            other, again = trial.cluster.start("b"), trial.cluster.start("a")
            for node in (other, again, other):
                reply = await trial.call(node, key)
                assert reply.fault is ErrorKind.KEY_OWNER_GONE
            assert trial.runs == 1
            calling.cancel()

    run_in_loop(scenario)


@_in_event_loop
async def test_a_frozen_owner_begins_nothing_after_its_slot_is_taken() -> None:
    """A call that a frozen owner reports as "not run" is not run.

    The owner is frozen while its claim is on the way to the store. Another
    process sees it as unresponsive, acquires the slot and runs the call.
    Then the owner resumes, and its swap fails.
    """
    async with _start() as trial:
        frozen, other = trial.cluster.start("a"), trial.cluster.start("b")
        await trial.call(frozen, "warm-up")
        slot_key = "one-key"
        store = trial.cluster.store
        store.swap_gate = asyncio.Event()
        calling = asyncio.create_task(trial.call(frozen, slot_key))
        await store.swap_blocked.wait()
        gate, store.swap_gate = store.swap_gate, None
        frozen.state = MemberState.UNRESPONSIVE
        assert await trial.call(other, slot_key) == _Reply(_ANSWER)
        runs = trial.runs
        frozen.state = MemberState.READY
        gate.set()
        late = await calling
        assert late == _Reply(_ANSWER) or late.fault is ErrorKind.STORE_UNAVAILABLE
        assert trial.runs == runs == 2


@_in_event_loop
async def test_an_outage_of_the_store_refuses_new_keys_and_no_sessions() -> None:
    """Calls with a session's key are served; others read "not run".

    The refused keys run once as soon as the store is available again.
    """
    async with _start() as trial:
        node = trial.cluster.start("a")
        session_key = node.handler.issue_session() + ".1"
        trial.cluster.store.unavailable = True
        assert await trial.call(node, session_key) == _Reply(_ANSWER)
        refused = await trial.call(node, "own-key")
        assert refused.fault is ErrorKind.STORE_UNAVAILABLE
        assert trial.runs == 1
        trial.cluster.store.unavailable = False
        for _ in range(2):
            assert await trial.call(node, "own-key") == _Reply(_ANSWER)
        assert trial.runs == 2


@_in_event_loop
async def test_a_large_answer_reaches_its_caller_and_is_not_kept() -> None:
    """The first caller reads all of it; a repeat reads that it has expired.

    The answer is larger than what is stored for repeats, and reaches the
    caller from the owner directly or through another process. No caller may
    receive an empty answer instead.
    """
    large = "x" * 300_000
    async with _start(fakes.answer(large)) as trial:
        owner, other = trial.cluster.start("a"), trial.cluster.start("b")
        session = owner.handler.issue_session()
        for number, node in enumerate((owner, other)):
            first = await trial.call(node, f"{session}.{number}")
            assert first.body.decode() == f'"{large}"'
            repeat = await trial.call(node, f"{session}.{number}")
            assert repeat == _Reply(b"", ErrorKind.ANSWER_EXPIRED)
        both = await asyncio.gather(
            *(trial.call(owner, f"{session}.both") for _ in range(2))
        )
        assert [reply.body.decode() for reply in both] == [f'"{large}"', ""]
        assert both[1].fault is ErrorKind.ANSWER_EXPIRED
        assert trial.runs == 3


@_in_event_loop
async def test_a_claim_whose_answer_is_lost_is_read_back() -> None:
    async with _start() as trial:
        node = trial.cluster.start("a")
        trial.cluster.store.lose_answers = 1
        assert await trial.call(node, "own-key") == _Reply(_ANSWER)
        assert trial.runs == 1


@_in_event_loop
async def test_a_late_claim_is_cancelled_and_not_run() -> None:
    """The caller reads "not run" at its deadline, and that stays true.

    The store responds only after the deadline, and the claim has taken
    effect by then. A repeat with the same key may still run.
    """
    async with _start() as trial:
        node = trial.cluster.start("a")
        store = trial.cluster.store
        store.swap_gate = gate = asyncio.Event()
        refused = await trial.call(node, "own-key", timeout_s=0.1)
        assert refused.fault is ErrorKind.STORE_UNAVAILABLE
        store.swap_gate = None
        gate.set()
        assert await trial.call(node, "own-key") == _Reply(_ANSWER)
        assert trial.runs == 1


@_in_event_loop
async def test_a_request_that_was_refused_unrun_may_be_repeated() -> None:
    async with _start(fakes.refuse, fakes.answer("filed")) as trial:
        node = trial.cluster.start("a")
        refused = await trial.call(node, "own-key")
        assert refused.fault is ErrorKind.UPSTREAM_REFUSED
        assert await trial.call(node, "own-key") == _Reply(_ANSWER)


@_in_event_loop
async def test_a_lost_answer_is_reported_to_every_repeat() -> None:
    async with _start(fakes.cut, fakes.answer("filed")) as trial:
        node = trial.cluster.start("a")
        for _ in range(2):
            reply = await trial.call(node, "own-key")
            assert reply.fault is ErrorKind.UPSTREAM_LOST
        assert trial.runs == 1


@_in_event_loop
async def test_a_caller_that_left_gets_its_answer_when_it_calls_again() -> None:
    """A call runs on without its caller, which reads the answer later.

    If the call were cancelled, its outcome would be unknown.
    """
    release = asyncio.Event()

    async def wait(exchange: Exchange, echo: Headers) -> None:
        await release.wait()
        await fakes.answer("filed")(exchange, echo)

    async with _start(wait) as trial:
        node = trial.cluster.start("a")
        leaving = asyncio.create_task(trial.call(node, "own-key"))
        await trial.cluster.upstream.called.wait()
        leaving.cancel()
        in_progress = await trial.call(node, "own-key", timeout_s=0.05)
        assert in_progress.fault is ErrorKind.KEY_IN_PROGRESS
        release.set()
        assert await trial.call(node, "own-key") == _Reply(_ANSWER)
        assert trial.runs == 1


@_in_event_loop
async def test_a_sessions_keys_are_new_for_its_lifetime_only() -> None:
    """A key that may have been removed never counts as a new one."""
    async with _start() as trial:
        node = trial.cluster.start("a", session_s=100.0)
        now = int(asyncio.get_running_loop().time())
        old = encode_session(Session(node.name, node.incarnation, now - 200))
        forged = encode_session(Session(node.name, node.incarnation, now + 200))
        expired = await trial.call(node, old + ".1")
        assert expired.fault is ErrorKind.ANSWER_EXPIRED
        for key in (forged + ".1", forged, "zs1-%%.1", "a b"):
            reply = await trial.call(node, key)
            assert reply.fault is ErrorKind.MALFORMED_REQUEST, key
        assert trial.runs == 0


@_in_event_loop
async def test_a_leaving_owner_hands_its_slots_and_answers_on() -> None:
    """Repeats get the first answer, also after its process has left.

    The owner answers until it stops claiming keys. Then it writes its
    outcomes to the store, other processes acquire its slots, and it ends.
    """
    async with _start() as trial:
        leaving, other = trial.cluster.start("a"), trial.cluster.start("b")
        await trial.call(leaving, "first")
        leaving.state = MemberState.LEAVING
        assert await trial.call(other, "first") == _Reply(_ANSWER)
        await leaving.handler.hand_over()
        for node in (other, leaving, other):
            assert await trial.call(node, "first") == _Reply(_ANSWER)
        assert await trial.call(leaving, "second") == _Reply(_ANSWER)
        await leaving.handler.drain()
        trial.cluster.kill("a")
        assert await trial.call(other, "first") == _Reply(_ANSWER)
        reused = await trial.call(other, "first", b"another body")
        assert reused.fault is ErrorKind.KEY_REUSED
        assert trial.runs == 2


@_in_event_loop
async def test_an_owner_that_cannot_be_reached_is_fenced_off() -> None:
    """A broken link between entry processes never makes a call run twice.

    The other process acquires the slot. The outcome of a call that was begun
    is reported as unknown, so its answer is lost, and new calls run.
    """
    async with _start() as trial:
        owner, other = trial.cluster.start("a"), trial.cluster.start("b")
        await trial.call(owner, "own-key")
        trial.cluster.unreachable.add("a")
        reply = await trial.call(other, "own-key")
        assert reply.fault is ErrorKind.KEY_OWNER_GONE
        assert trial.runs == 1
