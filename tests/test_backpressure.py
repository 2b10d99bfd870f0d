"""Tests of upstreams that ask for a pause or announce that they leave."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import pytest
from structlog.testing import capture_logs

from tests.installation import Answer, Installation, run
from zinniaspool.core.dispatch import (
    AdmissionController,
    AdmissionRequest,
    Backpressure,
    InstanceNotice,
    Refusal,
    Target,
    TargetPool,
    TicketState,
)
from zinniaspool.core.fleet import InstanceId, InstanceIncarnation, TargetLoad
from zinniaspool.core.ids import Address, CustomerId, FailureDomainId, GroupId
from zinniaspool.http import Headers
from zinniaspool.platform.wire import list_unknown_headers, parse_notice
from zinniaspool_standins.runners import Runner


@pytest.mark.parametrize(
    ("status", "header", "parsed"),
    [
        (503, "3", 3.0),
        (503, "0.4", 0.4),
        (503, "-1", None),
        (503, "soon", None),
        (503, "inf", None),
        (500, "3", None),
        (421, "3", None),
    ],
)
def test_a_pause_is_parsed_if_it_is_valid(
    status: int, header: str, parsed: float | None
) -> None:
    assert parse_notice(status, Headers.of(retry_after=header)).pause_s == parsed


def test_an_answer_of_another_instance_asks_nothing_for_this_one() -> None:
    """Guards against an instance avoided because its address was reused."""
    headers = Headers.of(server_leaving="1", server_limit="1")
    assert parse_notice(421, headers) == InstanceNotice()
    assert parse_notice(200, headers) == InstanceNotice(1.0, None, True)


def test_headers_without_a_known_meaning_are_listed() -> None:
    """Guards against a new header of upstreams that no log line shows."""
    headers = Headers.of(server_leaving="1", server_mood="low", content_type="x")
    assert list_unknown_headers(headers) == ["server-mood"]


async def _list_plain(made: Installation) -> list[Runner]:
    await made.settle()
    return [runner for runner in made.runners.values() if runner.service == "cards"]


def test_log_lines_show_what_an_upstream_asked() -> None:
    """Guards against a pause or a leaving upstream that no log line shows."""

    async def test() -> None:
        async with Installation.running(nodes=1, plain=2) as made:
            paused, leaving = await _list_plain(made)
            paused.faults.pause_s, leaving.faults.says_leaving = 1.0, True
            with capture_logs() as lines:
                for _ in range(6):
                    await made.ask("n0", "/receipts/one")
            asked = {(line["event"], line.get("instance")) for line in lines}
            assert ("pause-requested", paused.id) in asked
            assert ("instance-leaving", leaving.id) in asked

    run(test)


def _make_paused_pool() -> TargetPool:
    """Return a pool whose only target has asked for a pause until 3.0."""
    head = Target(InstanceId("i"), Address("10.0.0.1:1"), FailureDomainId("a"), 8)
    asked = {InstanceIncarnation(head.instance, None): Backpressure(paused_until=3.0)}
    pool = TargetPool(FailureDomainId("a"), random.Random(1), asked)
    pool.update([replace(head, group=GroupId("g1"))], 0.0)
    return pool


def test_a_pause_outlasts_the_group_of_its_upstream() -> None:
    """Guards against a newly formed group whose head gets requests at once."""
    pool = _make_paused_pool()
    (state,) = pool
    pool.update([replace(state.target, group=GroupId("g2"))], 0.0)
    assert pool.choose(2.9) is None
    assert pool.choose(3.0) is not None


def test_requests_do_not_wait_for_a_pause_that_outlasts_their_wait() -> None:
    """Guards against callers that wait although the refusal is certain."""
    pool = _make_paused_pool()
    (state,) = pool
    paused, state.backpressure = state.backpressure, None
    state.peer_load = TargetLoad(state.target.slots)
    admission = AdmissionController(pool, random.Random(1))
    request = AdmissionRequest(CustomerId("c"), 1, -1.0, 2.0)
    admission.admit_waiting(0.0)
    queued = admission.submit(request, 0.0)
    assert not isinstance(queued, Refusal)
    state.backpressure = paused
    assert admission.admit_waiting(0.1) == [queued]
    assert queued.state is TicketState.ENDED


def test_callers_come_back_after_a_pause_and_not_all_at_once() -> None:
    """Guards against a retry time before the pause ends, or a rush."""
    admission = AdmissionController(_make_paused_pool(), random.Random(1))
    request = AdmissionRequest(CustomerId("c"), 1, -1.0, 2.0)
    told_s = [admission.refuse(request, 0.0).retry_after_s for _ in range(20)]
    assert min(told_s) >= 3.0
    assert len(set(told_s)) > 10


_PAUSE_S = 2.0
_LONG_PAUSE_S = 8.0
_GRACE_S = 0.5
"""Time after a request for a pause in which requests may still arrive."""

_MAX_IN_PAUSE = 2
"""Requests of one VM that may arrive in the rest of a pause."""

_DRAIN_S = 2.0
"""Time after an answer that says so until a leaving upstream gets nothing."""


def _count_most_in_pause(runner: Runner) -> int:
    """Return the most requests that arrived in one pause."""
    return max(
        sum(begin + _GRACE_S < time <= begin + _PAUSE_S for time in runner.arrived)
        for begin in runner.paused
    )


async def _send_for(
    seconds: float, send: Callable[[], Awaitable[Answer]]
) -> list[Answer]:
    """Send a request every 50 ms; return the answers."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    pending: list[asyncio.Future[Answer]] = []
    while loop.time() < ends_at:
        pending.append(asyncio.ensure_future(send()))
        await asyncio.sleep(0.05)
    return await asyncio.gather(*pending)


def test_a_paused_upstream_gets_no_requests() -> None:
    """Guards against requests at an upstream that has asked for a pause."""

    async def test() -> None:
        async with Installation.running(nodes=1, plain=2) as made:
            paused, _ = await _list_plain(made)
            paused.faults.pause_s = _PAUSE_S
            answers = await _send_for(5.0, lambda: made.ask("n0", "/receipts/one"))
            assert len(paused.paused) >= 2
            assert _count_most_in_pause(paused) <= _MAX_IN_PAUSE
            assert {answer.status for answer in answers} == {200}

    run(test)


@dataclass(frozen=True, slots=True)
class _Asked:
    """A request, the upstreams that it may be sent to, and its answer."""

    request: str
    most: int
    answer: Answer


async def _ask_in_turn_and_at_once(made: Installation, node: str) -> list[_Asked]:
    """Send requests of both plain routes to a VM: six in turn, six at once."""

    async def ask(path: str, method: str, most: int) -> _Asked:
        made.requests += 1
        name = f"plain-{made.requests}"
        answer = await made.ask(node, path, method, request_id=name)
        return _Asked(name, most, answer)

    routes = (("/cards/1", "POST", 1), ("/receipts/1", "GET", 2))
    in_turn = [await ask(*route) for _ in range(3) for route in routes]
    at_once = await asyncio.gather(*(ask(*route) for _ in range(3) for route in routes))
    return in_turn + at_once


def _has_any(runner: Runner, asked: list[_Asked]) -> bool:
    return any(one.request in runner.arrivals for one in asked)


class _ManyRetries(Installation):
    """Retries that few requests can't use up."""

    retry_slack = 10_000.0


@pytest.mark.parametrize("nodes", [1, 2])
def test_a_request_is_refused_after_all_upstreams_that_it_may_have(nodes: int) -> None:
    """Guards against a 503 while a request may still go to an open upstream.

    Two of three upstreams pause, which a VM learns by their refusals. Each of
    them is one of the upstreams that a request may be sent to.
    """

    async def test() -> None:
        async with _ManyRetries.running(nodes=nodes, plain=3) as made:
            *pausing, still_open = await _list_plain(made)
            for runner in pausing:
                runner.faults.pause_s = _LONG_PAUSE_S
            for node in made.nodes:
                asked = await _ask_in_turn_and_at_once(made, node)
                while not all(_has_any(runner, asked) for runner in pausing):
                    asked += await _ask_in_turn_and_at_once(made, node)
                for one in asked:
                    refused = sum(one.request in runner.arrivals for runner in pausing)
                    reached = refused + (one.request in still_open.arrivals)
                    assert reached <= one.most
                    if one.answer.status != 200:
                        assert (one.answer.status, refused) == (503, one.most)
                known = await _ask_in_turn_and_at_once(made, node)
                assert {one.answer.status for one in known} == {200}

    run(test)


def test_a_service_whose_upstreams_all_pause_refuses_until_then() -> None:
    """Guards against a pause that ends where no other upstream is left.

    Callers are told when the first pause ends, not to come back sooner.
    """

    async def test() -> None:
        async with Installation.running(nodes=1, plain=2) as made:
            plain = await _list_plain(made)
            for runner in plain:
                runner.faults.pause_s = _PAUSE_S
            answers = await _send_for(4.0, lambda: made.ask("n0", "/receipts/one"))
            for runner in plain:
                assert _count_most_in_pause(runner) <= _MAX_IN_PAUSE
            assert {answer.status for answer in answers} == {503}
            told_s = [float(one.headers.get("retry-after") or 0) for one in answers[:9]]
            assert min(told_s) >= _PAUSE_S - 9 * 0.05 - 0.2

    run(test)


def test_a_pause_outlasts_the_events_of_streams_that_go_on() -> None:
    """Guards against a pause that the next event of a running stream ends."""

    async def test() -> None:
        async with Installation.running(nodes=1, engines=9) as made:
            await made.settle()
            streams = [
                asyncio.ensure_future(made.draft("n0", "small", 200, deadline_ms=9000))
                for _ in range(3)
            ]
            await asyncio.sleep(0.3)
            paused = max(made.heads("small"), key=lambda head: head.streams)
            assert paused.streams
            paused.faults.pause_s = _PAUSE_S
            await _send_for(3.0, lambda: made.draft("n0", "small", 2))
            assert paused.paused
            assert _count_most_in_pause(paused) <= _MAX_IN_PAUSE
            assert {answer.status for answer in await asyncio.gather(*streams)} == {200}

    run(test)


def test_an_upstream_that_says_it_leaves_gets_nothing_new() -> None:
    """Guards against requests to a leaving upstream that only answers name."""

    async def test() -> None:
        async with Installation.running(nodes=1, plain=2) as made:
            leaving, _ = await _list_plain(made)
            leaving.faults.says_leaving = True
            began = asyncio.get_running_loop().time()
            answers = await _send_for(4.0, lambda: made.ask("n0", "/receipts/one"))
            assert [at for at in leaving.arrived if at > began + _DRAIN_S] == []
            assert {answer.status for answer in answers} == {200}

    run(test)
