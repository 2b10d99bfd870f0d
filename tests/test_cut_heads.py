"""Answers that end within their head."""

import asyncio
import random
from collections import Counter
from itertools import pairwise
from pathlib import Path

import pytest
from result import Err

from tests.fakes import FakeUpstream
from tests.installation import Answer, Installation, eventually, run
from tests.silent_processes import Caller
from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.formation import GroupOrder, OrderAction, OrderOutcome
from zinniaspool.core.ids import (
    Address,
    Epoch,
    GroupId,
    Revision,
)
from zinniaspool.core.storage import KeyWrite, StoreFault
from zinniaspool.gateway.moves import RETRY_INTERVAL_S
from zinniaspool.http import (
    Exchange,
    Headers,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)
from zinniaspool.platform.kvstore import KvStore
from zinniaspool.platform.orders import EngineClient
from zinniaspool_standins.headcuts import HeadCut, HeadEnd, make_head
from zinniaspool_standins.installation import SIZES, make_rules
from zinniaspool_standins.nodes import end_nodes, make_nodes
from zinniaspool_standins.runners import Runner

pytestmark = pytest.mark.processes

EVENTS = 10
PAUSE_S = 0.6
"""Time for which all targets of a model are avoided, in seconds."""

FRAMED = make_head(200, Headers.of(x_seal="s-1", content_length="12"))
HEADS = {
    "framed": FRAMED,
    "chunked": make_head(200, Headers.of(transfer_encoding="chunked")),
    "unframed": make_head(200, Headers.of(connection="close")),
    "bodiless": make_head(204, Headers.of(x_seal="s-1")),
    "after an interim one": make_head(103, Headers.of(link="x")) + FRAMED,
    "refusal": make_head(503, Headers.of(x_not_executed="1", content_length="0")),
}


class _CutAnswers:
    """Answers ``/`` whole, and ``/N`` with the first N bytes of a head.

    Attributes:
        count: Bytes that are sent for any other path.
    """

    def __init__(self, head: bytes, end: HeadEnd) -> None:
        self.count = 0
        self._head, self._end = head, end

    async def __call__(self, exchange: Exchange, _: Headers) -> None:
        path = exchange.request.path
        if path == "/":
            await exchange.respond(200, Headers(), b"ok")
            return
        count = int(path[1:]) if path[1:].isdigit() else self.count
        transport = exchange._channel._transport  # type: ignore[attr-defined]
        await HeadCut(self._head, count, self._end).send(transport)


@pytest.mark.parametrize("end", [HeadEnd.END, HeadEnd.RESET])
@pytest.mark.parametrize("allow_unframed", [False, True])
@pytest.mark.parametrize("head", HEADS.values(), ids=HEADS.keys())
def test_a_head_that_is_cut_at_any_byte_is_no_answer(
    head: bytes, allow_unframed: bool, end: HeadEnd
) -> None:
    """Guards against part of a head that is passed on as a whole answer.

    Each position is tried on a new connection and on one that has had an
    answer, which must not be used again.
    """

    async def fetch(upstream: FakeUpstream, count: int, *, is_kept: bool) -> None:
        client = HttpClient(allow_unframed=allow_unframed)
        if is_kept:
            await client.fetch(upstream.address, Request("GET", "/"), 5.0)
        with pytest.raises(TransportError) as caught:
            await client.fetch(upstream.address, Request("GET", f"/{count}"), 5.0)
        assert caught.value.failure is TransportFailure.CUT, count
        assert client.opened_connections == 1
        assert not any(client._idle.values())

    async def test() -> None:
        upstream = await FakeUpstream([_CutAnswers(head, end)]).listen()
        for is_kept in (False, True):
            counts = range(len(head))
            await asyncio.gather(
                *(fetch(upstream, count, is_kept=is_kept) for count in counts)
            )
        await upstream.close()

    run(test)


def test_part_of_a_head_is_no_answer_to_the_product_s_own_calls() -> None:
    """Guards against a write, an order or a query that is taken as done."""
    order = GroupOrder(InstanceId("i-1"), OrderAction.LEAVE, GroupId("g1"), Epoch(1))

    async def test() -> None:
        answers = _CutAnswers(FRAMED, HeadEnd.END)
        upstream = await FakeUpstream([answers]).listen()
        store = KvStore(HttpClient(), upstream.address)
        engines = EngineClient(HttpClient())
        unknown = Err(StoreFault.UNKNOWN)
        written = [KeyWrite("zinnia/a", b"1")]
        for answers.count in range(0, len(FRAMED), 3):
            assert await store.get("zinnia/a") == unknown
            assert await store.read("zinnia/") == unknown
            assert await store.watch("", Revision(1), 0.1) == unknown
            assert await store.commit([("zinnia/a", Revision(0))], written) == unknown
            assert await store.grant(1.0) == unknown
            sent = await engines.send_order(upstream.address, order)
            assert sent is OrderOutcome.UNANSWERED
            cut = Err(TransportFailure.CUT)
            assert await engines.query_status(upstream.address, 1.0) == cut
            health = engines.query_health(upstream.address, order.instance, "/h", 1.0)
            assert await health == cut
        await upstream.close()

    run(test)


async def start_two_heads(made: Installation) -> list[Runner]:
    """Wait for two groups of the small model; return their heads."""
    await made.settle()
    await eventually(lambda: len(made.find_pool("n0", "small")) == 2)
    return made.heads("small")


def is_whole(answer: Answer) -> bool:
    events = list(range(1, EVENTS + 1))
    return answer.status == 200 and answer.whole and answer.events == events


def test_a_lost_request_waits_for_the_only_other_target() -> None:
    """Guards against a 502 while seconds are left and a target pauses."""

    async def check() -> None:
        async with Installation.running(nodes=1, engines=7) as made:
            cut, other = await start_two_heads(made)
            state = made.find_pool("n0", "small").get(InstanceId(other.id))
            assert state is not None
            cut.faults.cut_heads = 1
            state.backoff_until = asyncio.get_running_loop().time() + 0.4
            answer = await made.draft("n0", "small", EVENTS)
            assert is_whole(answer), answer

    run(check)


def test_a_lost_request_goes_on_once_a_target_s_pause_ends() -> None:
    """Guards against a 502 where all targets are avoided for a moment."""

    async def check() -> None:
        async with Installation.running(nodes=1, engines=7) as made:
            heads = await start_two_heads(made)
            for head in heads:
                head.faults.cut_heads = 1
            asking = asyncio.create_task(made.draft("n0", "small", EVENTS, "r-lost"))
            await eventually(lambda: made.runs_of("r-lost"))
            pause_ends = asyncio.get_running_loop().time() + PAUSE_S
            for state in made.find_pool("n0", "small"):
                state.backoff_until = pause_ends
            for head in heads:
                head.faults.cut_heads = int(head.id in made.runs_of("r-lost"))
            assert is_whole(await asking)
            assert asyncio.get_running_loop().time() > pause_ends
            assert set(made.runs_of("r-lost")) == {head.id for head in heads}

    run(check)


def test_a_lost_request_is_sent_to_the_only_target_again() -> None:
    """Guards against a 502 while the only target answers other requests."""

    async def check() -> None:
        async with Installation.running(nodes=1, engines=5) as made:
            await made.settle()
            (only,) = made.heads("small")
            only.faults.cut_heads = 1
            assert is_whole(await made.draft("n0", "small", EVENTS, "r-lost"))
            assert made.runs_of("r-lost") == [only.id, only.id]

    run(check)


def test_each_attempt_at_the_same_target_comes_after_a_pause() -> None:
    """Guards against a third attempt in the moment that lost the second."""

    async def check() -> None:
        async with Installation.running(nodes=1, engines=5) as made:
            routes = make_rules(0, [])["routes"]
            made.configure(routes=[{**one, "max-attempts": 3} for one in routes])
            await made.settle()
            (only,) = made.heads("small")
            only.faults.cut_heads = 2
            assert is_whole(await made.draft("n0", "small", EVENTS, "r-lost"))
            came = [at for request, at in only.arrivals_at if request == "r-lost"]
            pauses = [later - at for at, later in pairwise(came)]
            assert len(pauses) == 2 and min(pauses) >= RETRY_INTERVAL_S, pauses

    run(check)


def test_a_lost_stream_goes_on_at_the_only_target() -> None:
    """Guards against a stream that is cut while its target answers others."""

    async def check() -> None:
        async with Installation.running(nodes=1, engines=5) as made:
            await made.settle()
            (only,) = made.heads("small")
            only.faults.cut_after = 4
            asking = asyncio.create_task(made.draft("n0", "small", EVENTS, "r-part"))
            await eventually(lambda: "r-part" in only.wrote_at)
            await asyncio.sleep(3.5 * only.times.pass_s)
            only.faults.cut_after = -1
            assert is_whole(await asking)
            assert made.runs_of("r-part") == [only.id, only.id]

    run(check)


@pytest.mark.parametrize("is_open", [True, False])
def test_a_caller_is_answered_while_it_can_retry(is_open: bool) -> None:
    """Guards against waiting for targets until no time is left."""

    async def check() -> None:
        async with Installation.running(nodes=1, engines=5) as made:
            await made.settle()
            (only,) = made.heads("small")
            (state,) = made.find_pool("n0", "small")
            only.faults.cut_heads = 1
            loop = asyncio.get_running_loop()
            sent_at = loop.time()
            asking = asyncio.create_task(made.draft("n0", "small", EVENTS, "r-lost"))
            await eventually(lambda: made.runs_of("r-lost"))
            state.backoff_until = sent_at + 10.0
            state.evacuated = not is_open
            answer = await asking
            took_s = loop.time() - sent_at
            assert answer.status == 502 and answer.whole
            assert made.runs_of("r-lost") == [only.id]
            assert took_s < (2.0 if is_open else 0.5)

    run(check)


PLAY_S, CUT_PAUSE_S = 8.0, 0.2
"""How long callers send requests, and the pause between two cut heads."""

CALLERS, LEAST_CUTS = 8, 8
MAX_FAILED_S = 1.0
"""Longest time until a caller learns that its run-once request was lost."""

MAX_ATTEMPTS = 2


class _CutFleet:
    """Entry VMs as processes, of whose upstreams some answers are cut.

    Args:
        made: The store and the upstreams.
        source: Chooses requests and cuts.
    """

    def __init__(self, made: Installation, source: random.Random) -> None:
        self._made, self._source = made, source
        self._answers: dict[str, Answer] = {}
        self._failed_s: dict[str, float] = {}

    async def cut_heads(self) -> None:
        """Have one answer after the other end within its head."""
        while True:
            serving = [*self._made.heads("large"), *self._made.heads("small")]
            plain = [one for one in self._made.runners.values() if one.domain is None]
            runner = self._source.choice([*serving, *plain])
            runner.faults.head_end = self._source.choice(list(HeadEnd)).value
            runner.faults.cut_heads = 1
            await asyncio.sleep(CUT_PAUSE_S)
            runner.faults.cut_heads = 0

    async def send_requests(self, front: Address, name: str) -> None:
        """Send requests for a while, on new and on kept connections."""
        loop, source = asyncio.get_running_loop(), self._source
        caller = Caller(front, source.choice(["large", "small"]))
        ends, number = loop.time() + PLAY_S, 0
        while loop.time() < ends:
            number += 1
            route = source.choice(["drafts", "receipts", "cards"])
            request, sent_at = f"{route}-{name}-{number}", loop.time()
            if route == "drafts":
                answer = await caller.draft(request, EVENTS)
            else:
                method = "POST" if route == "cards" else "GET"
                answer = await caller.ask(request, method, f"/{route}/1")
            self._answers[request] = answer
            if answer.status != 200:
                self._failed_s[request] = loop.time() - sent_at
            if source.random() < 1 / 2:
                caller.close()
        caller.close()

    def check(self) -> None:
        """Check all answers, and how often requests ran."""
        runners = self._made.runners.values()
        cuts = Counter(request for one in runners for request in one.cut)
        runs = Counter(run.request for one in runners for run in one.runs)
        assert sum(cuts.values()) >= LEAST_CUTS
        for request, answer in self._answers.items():
            is_once = request.startswith("cards")
            told = f"{request} cut {cuts[request]} times, ran {runs[request]}: {answer}"
            assert runs[request] <= (1 if is_once else MAX_ATTEMPTS), told
            if cuts[request] >= (1 if is_once else MAX_ATTEMPTS):
                assert answer.status == 502 and answer.whole, told
                assert not is_once or self._failed_s[request] < MAX_FAILED_S, told
                continue
            if answer.status == 503:
                # The only target may be silent for a moment.
                assert not runs[request] and answer.headers.get("retry-after"), told
                continue
            is_own = answer.body == f"answer to {request}".encode()
            assert is_own or is_whole(answer), told
            assert answer.headers.get("x-zinniaspool-server-seal"), told


@pytest.mark.parametrize(("seed", "engines"), [(1, 5), (2, 12)])
def test_cut_heads_cost_callers_no_answer(
    tmp_path: Path, seed: int, engines: int
) -> None:
    """Guards against short answers that look whole, and needless errors.

    Entry VMs run as processes. Now and then the head of an answer is cut at a
    random byte. With five engines each model has one target.
    """

    async def check() -> None:
        source = random.Random(seed)
        async with Installation.running(nodes=0, engines=engines, plain=3) as made:
            nodes = await make_nodes(made, tmp_path, 2)
            try:
                await await_served([node.front for node in nodes])
                fleet = _CutFleet(made, source)
                cutting = asyncio.create_task(fleet.cut_heads())
                await asyncio.gather(
                    *(
                        fleet.send_requests(nodes[number % 2].front, f"c{number}")
                        for number in range(CALLERS)
                    )
                )
                cutting.cancel()
            finally:
                await end_nodes(nodes)
            made.assert_sound()
            fleet.check()

    run(check)


async def await_served(fronts: list[Address]) -> None:
    """Wait until all VMs serve each kind of request."""

    async def is_served(caller: Caller) -> bool:
        answers = [
            await caller.draft("settle", 1),
            await caller.ask("settle", "GET", "/receipts/1"),
        ]
        return all(answer.status == 200 for answer in answers)

    for front in fronts:
        for model in SIZES:
            caller = Caller(front, model)
            for _ in range(100):
                if await is_served(caller):
                    break
                await asyncio.sleep(0.1)
            caller.close()
