"""Keyed calls run at most once, whichever entry process is asked.

What ran is counted by the upstream, and every answer by the caller.
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
from zinniaspool.entry.calls import WantedCall
from zinniaspool.http import Exchange, Headers, Request

_BODY = b'{"pitch": 7}'
_ANSWER = b'"filed"'


class _Caller(Exchange):
    """An exchange that keeps what it is given."""

    def __init__(self) -> None:
        self.request = Request("POST", "/")
        self.status = 0
        self.body = b""

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        self.status, self.body = status, body


@dataclass
class _Asked:
    body: bytes = b""
    fault: ErrorKind | None = None


@dataclass
class _Trial:
    cluster: Cluster
    asked: int = 0
    answers: list[_Asked] = field(default_factory=list)

    @property
    def runs(self) -> int:
        return len(self.cluster.upstream.calls)

    async def ask(
        self, node: Node, key: str, body: bytes = _BODY, timeout_s: float = 5.0
    ) -> _Asked:
        self.asked += 1
        deadline = asyncio.get_running_loop().time() + timeout_s
        request = RequestId(f"r{self.asked}")
        path = "/v1/services/dispatch/send"
        wanted = WantedCall(request, CUSTOMER, path, body, deadline, 3)
        caller = _Caller()
        ended = await node.once.answer(caller, wanted, key)
        fault = ended.err()
        asked = _Asked(caller.body, None if fault is None else fault.kind)
        self.answers.append(asked)
        return asked


@asynccontextmanager
async def _start(*behaviours: fakes.Behaviour) -> AsyncIterator[_Trial]:
    acts = list(behaviours) or [fakes.answer("filed")]
    upstream = await FakeUpstream(acts).listen()
    cluster = Cluster(upstream)
    try:
        yield _Trial(cluster)
    finally:
        for node in cluster.nodes.values():
            node.keeper.close()
        await upstream.close()


_Scene = Callable[[], Awaitable[None]]


def _scene(scene: _Scene) -> Callable[[], None]:
    def run() -> None:
        run_in_loop(scene)

    run.__name__ = scene.__name__
    run.__doc__ = scene.__doc__
    return run


@_scene
async def test_a_repeat_gets_the_first_answer_from_any_entry() -> None:
    async with _start() as trial:
        first, second = trial.cluster.start("a"), trial.cluster.start("b")
        session_key = first.once.make_session() + ".1"
        for key in ("own-key", session_key):
            for node in (first, second, first):
                assert await trial.ask(node, key) == _Asked(_ANSWER)
            other = await trial.ask(second, key, b"another body")
            assert other.fault is ErrorKind.KEY_REUSED
        assert trial.runs == 2


@_scene
async def test_a_key_is_the_same_with_quotes_and_without() -> None:
    """A caller repeats its call by a client that spells the key otherwise.

    It gets the first answer. A session's key needs no store in either
    spelling, also where another process hands it on.
    """
    async with _start() as trial:
        first, second = trial.cluster.start("a"), trial.cluster.start("b")
        for key in ("own-key", '"own-key"'):
            assert await trial.ask(first, key) == _Asked(_ANSWER)
        trial.cluster.store.out = True
        session_key = first.once.make_session() + ".1"
        for key in (f'"{session_key}"', session_key):
            for node in (first, second):
                assert await trial.ask(node, key) == _Asked(_ANSWER)
        assert trial.runs == 2
        for key in ('"', '""', '""own-key""', '"own-key'):
            refused = await trial.ask(first, key)
            assert refused.fault is ErrorKind.MALFORMED_REQUEST, key


@_scene
async def test_the_same_key_at_two_entries_at_once_runs_once() -> None:
    """Both callers read the one answer, or that the request is running.

    Twenty askers hand one key to two entry processes while no slot has an
    owner: both may try to take it, and one swap decides.
    """
    async with _start() as trial:
        nodes = [trial.cluster.start("a"), trial.cluster.start("b")]
        asks = [trial.ask(nodes[n % 2], "one-key") for n in range(20)]
        answers = await asyncio.gather(*asks)
        assert trial.runs == 1
        assert _Asked(_ANSWER) in answers
        kinds = {answer.fault for answer in answers}
        assert kinds <= {None, ErrorKind.KEY_OWNER_GONE}


@pytest.mark.parametrize("own_key", [True, False])
def test_after_a_crash_of_its_owner_a_key_never_runs_again(own_key: bool) -> None:
    """The caller reads that the outcome is unknown, from every entry.

    The owner has claimed the key and sent the request, and is killed before
    its answer comes. Another entry process takes the slot over, or knows
    that the session's process is gone.
    """

    async def scene() -> None:
        async with _start(fakes.hang) as trial:
            owner = trial.cluster.start("a")
            key = "own-key" if own_key else owner.once.make_session() + ".1"
            asking = asyncio.create_task(trial.ask(owner, key))
            await trial.cluster.upstream.called.wait()
            trial.cluster.kill("a")
            other, again = trial.cluster.start("b"), trial.cluster.start("a")
            for node in (other, again, other):
                asked = await trial.ask(node, key)
                assert asked.fault is ErrorKind.KEY_OWNER_GONE
            assert trial.runs == 1
            asking.cancel()

    run_in_loop(scene)


@_scene
async def test_a_frozen_owner_begins_nothing_after_its_slot_is_taken() -> None:
    """The frozen process's caller reads "not run", and it is not run.

    The owner is frozen with its claim on the way to the store. Others find
    it silent, take the slot over and run the key themselves; then it wakes
    and its swap fails.
    """
    async with _start() as trial:
        frozen, other = trial.cluster.start("a"), trial.cluster.start("b")
        await trial.ask(frozen, "warm-up")
        slot_key = "one-key"
        store = trial.cluster.store
        store.held = asyncio.Event()
        asking = asyncio.create_task(trial.ask(frozen, slot_key))
        await store.holding.wait()
        held, store.held = store.held, None
        frozen.state = MemberState.UNRESPONSIVE
        assert await trial.ask(other, slot_key) == _Asked(_ANSWER)
        runs = trial.runs
        frozen.state = MemberState.READY
        held.set()
        late = await asking
        assert late == _Asked(_ANSWER) or late.fault is ErrorKind.STORE_UNAVAILABLE
        assert trial.runs == runs == 2


@_scene
async def test_an_outage_of_the_store_refuses_new_keys_and_no_sessions() -> None:
    """Callers with a session are served; others read "not run".

    The same keys run, once, when the store is back.
    """
    async with _start() as trial:
        node = trial.cluster.start("a")
        session_key = node.once.make_session() + ".1"
        trial.cluster.store.out = True
        assert await trial.ask(node, session_key) == _Asked(_ANSWER)
        refused = await trial.ask(node, "own-key")
        assert refused.fault is ErrorKind.STORE_UNAVAILABLE
        assert trial.runs == 1
        trial.cluster.store.out = False
        for _ in range(2):
            assert await trial.ask(node, "own-key") == _Asked(_ANSWER)
        assert trial.runs == 2


@_scene
async def test_a_large_answer_reaches_its_caller_and_is_not_kept() -> None:
    """The first caller reads all of it; a repeat reads that it is gone.

    It is larger than what is kept for repeats, and comes straight from the
    owner or by way of another process. An empty answer must reach nobody.
    """
    large = "x" * 300_000
    async with _start(fakes.answer(large)) as trial:
        owner, other = trial.cluster.start("a"), trial.cluster.start("b")
        session = owner.once.make_session()
        for number, node in enumerate((owner, other)):
            first = await trial.ask(node, f"{session}.{number}")
            assert first.body.decode() == f'"{large}"'
            repeat = await trial.ask(node, f"{session}.{number}")
            assert repeat == _Asked(b"", ErrorKind.ANSWER_EXPIRED)
        both = await asyncio.gather(
            *(trial.ask(owner, f"{session}.both") for _ in range(2))
        )
        assert [asked.body.decode() for asked in both] == [f'"{large}"', ""]
        assert both[1].fault is ErrorKind.ANSWER_EXPIRED
        assert trial.runs == 3


@_scene
async def test_a_claim_whose_answer_is_lost_is_read_back() -> None:
    async with _start() as trial:
        node = trial.cluster.start("a")
        trial.cluster.store.lose_answers = 1
        assert await trial.ask(node, "own-key") == _Asked(_ANSWER)
        assert trial.runs == 1


@_scene
async def test_a_claim_that_is_late_is_given_up_and_not_run() -> None:
    """The caller reads "not run" at its deadline, and that stays true.

    The store answers only after the caller's time is over, and the claim
    has then taken effect; the same key may still run when it comes again.
    """
    async with _start() as trial:
        node = trial.cluster.start("a")
        store = trial.cluster.store
        store.held = held = asyncio.Event()
        refused = await trial.ask(node, "own-key", timeout_s=0.1)
        assert refused.fault is ErrorKind.STORE_UNAVAILABLE
        store.held = None
        held.set()
        assert await trial.ask(node, "own-key") == _Asked(_ANSWER)
        assert trial.runs == 1


@_scene
async def test_a_request_that_was_refused_unrun_may_come_again() -> None:
    async with _start(fakes.refuse, fakes.answer("filed")) as trial:
        node = trial.cluster.start("a")
        refused = await trial.ask(node, "own-key")
        assert refused.fault is ErrorKind.UPSTREAM_REFUSED
        assert await trial.ask(node, "own-key") == _Asked(_ANSWER)


@_scene
async def test_a_lost_answer_is_told_to_every_repeat() -> None:
    async with _start(fakes.cut, fakes.answer("filed")) as trial:
        node = trial.cluster.start("a")
        for _ in range(2):
            asked = await trial.ask(node, "own-key")
            assert asked.fault is ErrorKind.UPSTREAM_LOST
        assert trial.runs == 1


@_scene
async def test_a_caller_that_left_gets_its_answer_when_it_asks_again() -> None:
    """The work goes on without its caller, who then reads its answer.

    Cancelling it would leave nobody knowing whether it was done.
    """
    release = asyncio.Event()

    async def wait(exchange: Exchange, echo: Headers) -> None:
        await release.wait()
        await fakes.answer("filed")(exchange, echo)

    async with _start(wait) as trial:
        node = trial.cluster.start("a")
        leaving = asyncio.create_task(trial.ask(node, "own-key"))
        await trial.cluster.upstream.called.wait()
        leaving.cancel()
        in_progress = await trial.ask(node, "own-key", timeout_s=0.05)
        assert in_progress.fault is ErrorKind.KEY_IN_PROGRESS
        release.set()
        assert await trial.ask(node, "own-key") == _Asked(_ANSWER)
        assert trial.runs == 1


@_scene
async def test_a_sessions_keys_are_new_for_its_lifetime_only() -> None:
    """A key that may have been forgotten is never taken for a new one."""
    async with _start() as trial:
        node = trial.cluster.start("a", session_s=100.0)
        now = int(asyncio.get_running_loop().time())
        old = encode_session(Session(node.name, node.incarnation, now - 200))
        forged = encode_session(Session(node.name, node.incarnation, now + 200))
        expired = await trial.ask(node, old + ".1")
        assert expired.fault is ErrorKind.ANSWER_EXPIRED
        for key in (forged + ".1", forged, "zs1-%%.1", "a b"):
            asked = await trial.ask(node, key)
            assert asked.fault is ErrorKind.MALFORMED_REQUEST, key
        assert trial.runs == 0


@_scene
async def test_a_leaving_owner_hands_its_slots_and_answers_on() -> None:
    """Repeats get the first answer, also when its process has left.

    The owner answers until it begins nothing more. Then it leaves its
    answers in the store, others take its slots over, and it ends.
    """
    async with _start() as trial:
        leaving, other = trial.cluster.start("a"), trial.cluster.start("b")
        await trial.ask(leaving, "first")
        leaving.state = MemberState.LEAVING
        assert await trial.ask(other, "first") == _Asked(_ANSWER)
        await leaving.once.leave()
        for node in (other, leaving, other):
            assert await trial.ask(node, "first") == _Asked(_ANSWER)
        assert await trial.ask(leaving, "second") == _Asked(_ANSWER)
        await leaving.once.drain()
        trial.cluster.kill("a")
        assert await trial.ask(other, "first") == _Asked(_ANSWER)
        reused = await trial.ask(other, "first", b"another body")
        assert reused.fault is ErrorKind.KEY_REUSED
        assert trial.runs == 2


@_scene
async def test_an_owner_that_cannot_be_reached_is_fenced_off() -> None:
    """A cut between two entry processes costs the answer, never a double.

    The other process takes the slot over: what was begun is told as
    unknown, what is new runs.
    """
    async with _start() as trial:
        owner, other = trial.cluster.start("a"), trial.cluster.start("b")
        await trial.ask(owner, "own-key")
        trial.cluster.unreachable.add("a")
        asked = await trial.ask(other, "own-key")
        assert asked.fault is ErrorKind.KEY_OWNER_GONE
        assert trial.runs == 1
