"""Requests that crash the upstreams that run them."""

import asyncio
from base64 import b64encode

import pytest
from structlog.testing import capture_logs

from tests.installation import Answer, Installation, eventually, run
from zinniaspool.core.dispatch import (
    HOLD_S,
    Quarantine,
    Verdict,
    identify_content,
)
from zinniaspool.core.fleet import HELD_PREFIX, InstanceId, InstanceLife
from zinniaspool.core.ids import ContentId

_MARK = "crash"
_MOST_RETRIES = 3
"""Times that such a request may reach upstreams after three have crashed."""


class _Offender:
    """A request that comes again and again, and what it does."""

    def __init__(self, made: Installation) -> None:
        self._made = made
        self._ids: list[str] = []
        for one in made.runners.values():
            one.faults.crash_on = _MARK

    async def ask(self, node: str, model: str = "small") -> Answer:
        """Come once more, under a new id, when there is an upstream for it."""
        await self._made.await_served(node, model)
        self._ids.append(f"offender-{len(self._ids)}")
        body = _MARK.encode()
        return await self._made.draft(node, model, 4, self._ids[-1], body)

    @property
    def crashes(self) -> int:
        return sum(one.crashes for one in self._made.runners.values())

    @property
    def arrivals(self) -> int:
        return sum(
            one.arrivals[request]
            for one in self._made.runners.values()
            for request in self._ids
        )

    async def ask_until_three_crashed(self, nodes: tuple[str, ...]) -> None:
        """Come at each VM in turn until three upstreams have crashed."""
        while self.crashes < 3:
            for node in nodes:
                await self.ask(node)


def test_a_request_that_crashed_three_upstreams_is_sent_no_more() -> None:
    """Guards against a repeat that ends one upstream after another."""

    async def test() -> None:
        async with Installation.running(nodes=2, engines=9) as made:
            await made.settle()
            offender = _Offender(made)
            await offender.ask_until_three_crashed(("n0", "n1"))
            before = offender.arrivals
            for number in range(8):
                answer = await offender.ask(f"n{number % 2}")
                assert answer.status != 200
            assert offender.arrivals - before <= _MOST_RETRIES
            await made.await_served("n0", "small")
            made.assert_sound()

    run(test)


def test_such_a_request_is_known_after_all_entry_processes_were_killed() -> None:
    """Guards against a count that is lost with the processes that kept it."""

    async def test() -> None:
        async with Installation.running(nodes=2, engines=9) as made:
            await made.settle()
            offender = _Offender(made)
            await offender.ask_until_three_crashed(("n0", "n1"))
            await made.await_served("n0", "small")
            await asyncio.sleep(1.0)
            await made.kill("n0")
            await made.kill("n1")
            await made.add_node("n2")
            before = offender.arrivals
            for _ in range(4):
                answer = await offender.ask("n2")
                assert answer.status != 200
            assert offender.arrivals == before

    run(test)


def test_a_request_cut_where_no_upstream_ends_is_not_held_back() -> None:
    """Guards against connections that break being taken for crashes."""

    async def test() -> None:
        async with Installation.running(nodes=1, engines=9) as made:
            await made.settle()
            for one in made.runners.values():
                one.faults.cut_after = 1
            names: list[str] = []
            for model in ("small", "large") * 4:
                names.append(f"cut-{len(names)}")
                await made.draft("n0", model, 4, names[-1], b"asked again")
            cut_at = {one for name in names for one in made.runs_of(name)}
            assert len(cut_at) >= 3
            for one in made.runners.values():
                one.faults.cut_after = -1
            await made.await_served("n0", "small")
            answer = await made.draft("n0", "small", 4, body=b"asked again")
            assert answer.events == [1, 2, 3, 4]

    run(test)


def test_a_request_that_waits_where_another_one_crashes_is_answered() -> None:
    """Guards against holding back what only shared crashed upstreams."""

    async def test() -> None:
        async with Installation.running(nodes=1, engines=9) as made:
            await made.settle()
            offender = _Offender(made)
            first = await made.draft("n0", "small", 4, body=b"beside")
            assert first.whole
            with capture_logs() as lines:
                while offender.crashes < 3:
                    beside = [
                        asyncio.create_task(
                            made.draft("n0", "small", 30, body=b"beside")
                        )
                        for _ in range(3)
                    ]
                    await offender.ask("n0")
                    await asyncio.gather(*beside)
                await made.await_served("n0", "small")
                answer = await made.draft("n0", "small", 4, body=b"beside")
            assert answer.events == [1, 2, 3, 4]
            held = [one for one in lines if one["event"] == "content-held"]
            assert len(held) == 1

    run(test)


def test_all_processes_leave_an_upstream_that_one_saw_crash() -> None:
    """Guards against each process finding out by requests of its own."""

    async def test() -> None:
        async with Installation.running(nodes=2, engines=9) as made:
            await made.settle()
            offender = _Offender(made)
            for one in made.runners.values():
                one.times.back_s = 30.0
            lives = {one.id: one.born for one in made.heads("small")}
            await offender.ask("n0")
            index = made.nodes["n1"].gateway._index
            states = [
                index.find_state(InstanceId(name))
                for name, born in lives.items()
                if made.runners[name].born != born
            ]
            assert states

            def are_left_alone() -> bool:
                now = asyncio.get_running_loop().time()
                return not any(one is not None and one.usable(now) for one in states)

            await eventually(are_left_alone, 0.5)

    run(test)


def test_the_holder_is_told_of_a_head_that_crashed() -> None:
    """Guards against a group that stays unrepaired until its entry lapses."""

    async def test() -> None:
        async with Installation.running(nodes=2, engines=9) as made:
            await made.settle()
            offender = _Offender(made)
            for one in made.runners.values():
                one.times.back_s, one.times.heartbeat_s = 30.0, 30.0
            groups = made.groups("small")
            with capture_logs() as lines:
                await offender.ask("n0")
                await made.await_served("n0", "small")
                await eventually(lambda: made.groups("small") - groups, 3.0)
            told = [one for one in lines if one["event"] == "group-suspected"]
            assert told

    run(test)


def test_crashes_in_an_outage_of_the_store_are_known_after_it() -> None:
    """Guards against a record that is given up since the store was away."""

    async def test() -> None:
        async with Installation.running(nodes=2, engines=9) as made:
            await made.settle()
            offender = _Offender(made)
            made.store.faults.down = "busy"
            await offender.ask("n0", "small")
            await offender.ask("n1", "large")
            if offender.crashes < 3:
                await offender.ask("n0", "large")
            assert offender.crashes >= 3
            await asyncio.sleep(0.5)
            made.store.faults.down = ""
            await asyncio.sleep(3.0)
            await made.kill("n0")
            await made.kill("n1")
            await made.add_node("n2")
            before = offender.arrivals
            for _ in range(3):
                await offender.ask("n2")
            assert offender.arrivals == before

    run(test)


_ASKED_AGAIN = b"asked again"
_RECORD = HELD_PREFIX + identify_content("POST", "/drafts/one", "care", _ASKED_AGAIN)
_RECORDED = b64encode(b'{"node":"n9","crashed":["i-97","i-98","i-99"]}').decode()


def test_a_record_holds_a_request_back_until_it_is_removed() -> None:
    """Guards against an operator who cannot let a request through."""

    async def test() -> None:
        async with Installation.running(nodes=2) as made:
            await made.settle()
            made.store.put(_RECORD, _RECORDED)
            await asyncio.sleep(1.0)
            for node in made.nodes:
                answer = await made.draft(node, "small", 2, body=_ASKED_AGAIN)
                assert answer.status == 503
                assert answer.headers.get("x-error-kind") == "quarantined"
                assert answer.headers.get("retry-after") == "600"
            made.store.remove(_RECORD)
            await asyncio.sleep(1.0)
            for node in made.nodes:
                answer = await made.draft(node, "small", 2, body=_ASKED_AGAIN)
                assert answer.status == 200

    run(test)


def test_a_record_of_what_was_just_answered_is_removed() -> None:
    """Guards against holding back what one process knows to be sound."""

    async def test() -> None:
        async with Installation.running(nodes=2) as made:
            await made.settle()
            answer = await made.draft("n0", "small", 2, body=_ASKED_AGAIN)
            assert answer.status == 200
            made.store.put(_RECORD, _RECORDED)
            await asyncio.sleep(1.5)
            for node in made.nodes:
                answer = await made.draft(node, "small", 2, body=_ASKED_AGAIN)
                assert answer.status == 200
                assert not made.nodes[node].gateway._belief.held

    run(test)


_CONTENT = ContentId("c0")


def _life(number: int, born: int = 0) -> InstanceLife:
    return InstanceLife(InstanceId(f"i-{number}"), born)


def _crash_three(quarantine: Quarantine, now: float) -> list[Verdict]:
    return [quarantine.note_crash(_CONTENT, _life(k), now) for k in range(3)]


def test_the_third_crash_holds_a_content_back() -> None:
    quarantine = Quarantine()
    assert _crash_three(quarantine, 1.0) == [Verdict.OPEN, Verdict.OPEN, Verdict.HELD]
    assert quarantine.is_held(_CONTENT, 1.0)
    assert not quarantine.is_held(ContentId("other"), 1.0)


def test_one_crash_told_by_several_processes_counts_once() -> None:
    """Guards against counting a crash once for each VM that tells of it."""
    quarantine = Quarantine()
    verdicts = [quarantine.note_crash(_CONTENT, _life(1), 1.0) for _ in range(5)]
    assert verdicts == [Verdict.OPEN] * 5


def test_lives_of_one_instance_count_apart() -> None:
    """Guards against an upstream that starts again under its id unnoticed."""
    quarantine = Quarantine()
    for born in range(3):
        quarantine.note_crash(_CONTENT, _life(1, born), 1.0)
    assert quarantine.is_held(_CONTENT, 1.0)


@pytest.mark.parametrize("answered_at", [0.5, 2.0])
def test_an_answer_clears_a_content(answered_at: float) -> None:
    """Guards against holding back for long what upstreams answer.

    Many upstreams may end at once for another reason while each has a
    request that comes often.
    """
    quarantine = Quarantine()
    if answered_at < 1.0:
        quarantine.note_answer(_CONTENT, answered_at)
        assert _crash_three(quarantine, 1.0)[-1] is Verdict.CLEARED
    else:
        _crash_three(quarantine, 1.0)
        assert quarantine.note_answer(_CONTENT, answered_at)
    assert not quarantine.is_held(_CONTENT, answered_at + 1.0)
    assert not quarantine.is_near(_CONTENT)


def test_a_content_is_let_go_after_its_time() -> None:
    quarantine = Quarantine()
    _crash_three(quarantine, 1.0)
    assert quarantine.is_held(_CONTENT, HOLD_S)
    assert not quarantine.is_held(_CONTENT, HOLD_S + 2.0)


def test_crashes_long_apart_do_not_add_up() -> None:
    quarantine = Quarantine()
    for number in range(5):
        now = number * (HOLD_S / 1.5)
        assert quarantine.note_crash(_CONTENT, _life(number), now) is Verdict.OPEN
