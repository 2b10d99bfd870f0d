"""Tests of requests that crash the upstreams that run them."""

import asyncio
from base64 import b64encode

import pytest
from structlog.testing import capture_logs

from tests.installation import Answer, Installation, eventually, run
from zinniaspool.core.dispatch import (
    Quarantine,
    TraitStatus,
    identify_content,
)
from zinniaspool.core.fleet import HELD_PREFIX, InstanceId, InstanceIncarnation
from zinniaspool.core.ids import TraitId
from zinniaspool.gateway.calls import GatewayAttempt

_CRASH_MARK = "crash"
_MAX_RETRIES = 3
"""Times that such a request may reach upstreams after three have crashed."""


class _CrashingRequest:
    """A request that is sent repeatedly, and the crashes that it causes."""

    def __init__(self, made: Installation) -> None:
        self._made = made
        self._ids: list[str] = []
        for runner in made.runners.values():
            runner.faults.crash_on = _CRASH_MARK

    async def send(self, node: str, model: str = "small") -> Answer:
        """Send it once more, with a new id, when an upstream is available."""
        await self._made.await_served(node, model)
        self._ids.append(f"offender-{len(self._ids)}")
        body = _CRASH_MARK.encode()
        return await self._made.draft(node, model, 4, self._ids[-1], body)

    @property
    def crashes(self) -> int:
        return sum(runner.crashes for runner in self._made.runners.values())

    @property
    def arrivals(self) -> int:
        return sum(
            runner.arrivals[request]
            for runner in self._made.runners.values()
            for request in self._ids
        )

    async def send_until_three_crashed(self, nodes: tuple[str, ...]) -> None:
        """Send it to each VM in turn until three upstreams have crashed."""
        while self.crashes < 3:
            for node in nodes:
                await self.send(node)


def test_a_request_that_crashed_three_upstreams_is_not_sent_again() -> None:
    """Guards against a repeated request that ends each upstream in turn."""

    async def test() -> None:
        async with Installation.running(nodes=2, engines=9) as made:
            await made.settle()
            crashing = _CrashingRequest(made)
            await crashing.send_until_three_crashed(("n0", "n1"))
            before = crashing.arrivals
            for number in range(8):
                answer = await crashing.send(f"n{number % 2}")
                assert answer.status != 200
            assert crashing.arrivals - before <= _MAX_RETRIES
            await made.await_served("n0", "small")
            made.assert_sound()

    run(test)


def test_a_quarantine_outlasts_all_entry_processes() -> None:
    """Guards against a crash count that ends with its processes."""

    async def test() -> None:
        async with Installation.running(nodes=2, engines=9) as made:
            await made.settle()
            crashing = _CrashingRequest(made)
            await crashing.send_until_three_crashed(("n0", "n1"))
            await made.await_served("n0", "small")
            await asyncio.sleep(1.0)
            await made.kill("n0")
            await made.kill("n1")
            await made.add_node("n2")
            before = crashing.arrivals
            for _ in range(4):
                answer = await crashing.send("n2")
                assert answer.status != 200
            assert crashing.arrivals == before

    run(test)


def test_a_request_cut_where_no_upstream_ends_is_not_quarantined() -> None:
    """Guards against counting broken connections as crashes."""

    async def test() -> None:
        async with Installation.running(nodes=1, engines=9) as made:
            await made.settle()
            for runner in made.runners.values():
                runner.faults.cut_after = 1
            names: list[str] = []
            for model in ("small", "large") * 4:
                names.append(f"cut-{len(names)}")
                await made.draft("n0", model, 4, names[-1], b"asked again")
            cut_at = {instance for name in names for instance in made.runs_of(name)}
            assert len(cut_at) >= 3
            for runner in made.runners.values():
                runner.faults.cut_after = -1
            await made.await_served("n0", "small")
            answer = await made.draft("n0", "small", 4, body=b"asked again")
            assert answer.events == [1, 2, 3, 4]

    run(test)


def test_a_request_that_waits_where_another_one_crashes_is_answered() -> None:
    """Guards against quarantining contents that shared crashed upstreams."""

    async def test() -> None:
        async with Installation.running(nodes=1, engines=9) as made:
            await made.settle()
            crashing = _CrashingRequest(made)
            first = await made.draft("n0", "small", 4, body=b"beside")
            assert first.whole
            with capture_logs() as lines:
                while crashing.crashes < 3:
                    beside = [
                        asyncio.create_task(
                            made.draft("n0", "small", 30, body=b"beside")
                        )
                        for _ in range(3)
                    ]
                    await crashing.send("n0")
                    await asyncio.gather(*beside)
                await made.await_served("n0", "small")
                answer = await made.draft("n0", "small", 4, body=b"beside")
            assert answer.events == [1, 2, 3, 4]
            quarantined = [line for line in lines if line["event"] == "requests-held"]
            assert len(quarantined) == 1

    run(test)


def test_an_attempt_that_is_read_late_is_still_suspected() -> None:
    """Guards against taking an attempt at a frozen VM for one that goes on."""

    async def test() -> None:
        async with Installation.running(nodes=1, engines=9) as made:
            await made.settle()
            for runner in made.runners.values():
                runner.faults.cut_after = 2
            detector = made.nodes["n0"].gateway._crash_detector
            traits: list[TraitId] = []
            handle = detector.handle_lost_attempt

            async def handle_late(attempt: GatewayAttempt) -> None:
                attempt.writing_since -= 4.0
                await handle(attempt)
                for suspects in detector._suspects.values():
                    traits.extend(suspects.traits)

            detector.handle_lost_attempt = handle_late  # type: ignore[method-assign]
            await made.draft("n0", "small", 4, parts=("5c1e", "91bd"))
            assert TraitId("part-5c1e") in traits

    run(test)


def test_all_processes_avoid_an_upstream_that_one_saw_crash() -> None:
    """Guards against each process losing requests of its own to find out."""

    async def test() -> None:
        async with Installation.running(nodes=2, engines=9) as made:
            await made.settle()
            crashing = _CrashingRequest(made)
            for runner in made.runners.values():
                runner.times.back_s = 30.0
            incarnations = {head.id: head.born for head in made.heads("small")}
            await crashing.send("n0")
            index = made.nodes["n1"].gateway._index
            states = [
                index.find_state(InstanceId(name))
                for name, born in incarnations.items()
                if made.runners[name].born != born
            ]
            assert states

            def are_avoided() -> bool:
                now = asyncio.get_running_loop().time()
                return not any(
                    state is not None and state.is_usable(now) for state in states
                )

            await eventually(are_avoided, 0.5)

    run(test)


def test_a_crashed_head_is_reported_to_the_holder() -> None:
    """Guards against a group that isn't repaired until its record expires."""

    async def test() -> None:
        async with Installation.running(nodes=2, engines=9) as made:
            await made.settle()
            crashing = _CrashingRequest(made)
            for runner in made.runners.values():
                runner.times.back_s, runner.times.heartbeat_s = 30.0, 30.0
            groups = made.groups("small")
            with capture_logs() as lines:
                await crashing.send("n0")
                await made.await_served("n0", "small")
                await eventually(lambda: made.groups("small") - groups, 3.0)
            suspicions = [line for line in lines if line["event"] == "group-suspected"]
            assert suspicions

    run(test)


def test_crashes_in_an_outage_of_the_store_are_known_after_it() -> None:
    """Guards against dropping a record because the store was down."""

    async def test() -> None:
        async with Installation.running(nodes=2, engines=9) as made:
            await made.settle()
            crashing = _CrashingRequest(made)
            made.store.faults.down = "busy"
            await crashing.send("n0", "small")
            await crashing.send("n1", "large")
            if crashing.crashes < 3:
                await crashing.send("n0", "large")
            assert crashing.crashes >= 3
            await asyncio.sleep(0.5)
            made.store.faults.down = ""
            await asyncio.sleep(3.0)
            await made.kill("n0")
            await made.kill("n1")
            await made.add_node("n2")
            before = crashing.arrivals
            for _ in range(3):
                await crashing.send("n2")
            assert crashing.arrivals == before

    run(test)


_REPEATED_BODY = b"asked again"
_RECORD = HELD_PREFIX + identify_content("POST", "/drafts/one", "care", _REPEATED_BODY)
_RECORDED = b64encode(b'{"node":"n9","crashed":["i-97","i-98","i-99"]}').decode()


def test_a_record_quarantines_a_request_until_it_is_removed() -> None:
    """Guards against an operator who can't release a request."""

    async def test() -> None:
        async with Installation.running(nodes=2) as made:
            await made.settle()
            made.store.put(_RECORD, _RECORDED)
            await asyncio.sleep(1.0)
            for node in made.nodes:
                answer = await made.draft(node, "small", 2, body=_REPEATED_BODY)
                assert answer.status == 503
                assert answer.headers.get("x-error-kind") == "quarantined"
                assert answer.headers.get("retry-after") == "600"
            made.store.remove(_RECORD)
            await asyncio.sleep(1.0)
            for node in made.nodes:
                answer = await made.draft(node, "small", 2, body=_REPEATED_BODY)
                assert answer.status == 200

    run(test)


def test_a_record_of_a_just_answered_content_is_removed() -> None:
    """Guards against quarantining what one process knows to be harmless."""

    async def test() -> None:
        async with Installation.running(nodes=2) as made:
            await made.settle()
            answer = await made.draft("n0", "small", 2, body=_REPEATED_BODY)
            assert answer.status == 200
            made.store.put(_RECORD, _RECORDED)
            await asyncio.sleep(1.5)
            for node in made.nodes:
                answer = await made.draft(node, "small", 2, body=_REPEATED_BODY)
                assert answer.status == 200
                assert not made.nodes[node].gateway._fleet_view.quarantined

    run(test)


_CONTENT = TraitId("c0")
_HOLD_S = 600.0


def _make_incarnation(number: int, born: int = 0) -> InstanceIncarnation:
    return InstanceIncarnation(InstanceId(f"i-{number}"), born)


def _crash(quarantine: Quarantine, number: int, now: float, born: int = 0) -> bool:
    """Let an upstream crash; return whether that quarantined the content."""
    incarnation = _make_incarnation(number, born)
    findings = quarantine.record_crash(incarnation, [_CONTENT], [], now)
    return findings.quarantined == [_CONTENT]


def _crash_three(quarantine: Quarantine, now: float) -> list[bool]:
    return [_crash(quarantine, number, now) for number in range(3)]


def test_the_third_crash_quarantines_a_content() -> None:
    quarantine = Quarantine()
    assert _crash_three(quarantine, 1.0) == [False, False, True]
    assert quarantine.is_quarantined(_CONTENT, 1.0)
    assert not quarantine.is_quarantined(TraitId("other"), 1.0)


def test_one_crash_reported_by_several_processes_counts_once() -> None:
    """Guards against counting a crash once for each VM that reports it."""
    quarantine = Quarantine()
    assert not any(_crash(quarantine, 1, 1.0) for _ in range(5))
    assert not quarantine.is_quarantined(_CONTENT, 1.0)


def test_incarnations_of_one_instance_count_separately() -> None:
    """Guards against missing an upstream that restarts under its id."""
    quarantine = Quarantine()
    for born in range(3):
        _crash(quarantine, 1, 1.0, born)
    assert quarantine.is_quarantined(_CONTENT, 1.0)


@pytest.mark.parametrize("answered_at", [0.5, 2.0])
def test_an_answer_clears_a_content(answered_at: float) -> None:
    """Guards against a long quarantine of contents that upstreams answer.

    Many upstreams may end at once for another reason, while each of them has a
    request that comes often.
    """
    quarantine = Quarantine()
    if answered_at < 1.0:
        quarantine.record_answer([_CONTENT], answered_at, answered_at)
        assert not any(_crash_three(quarantine, 1.0))
    else:
        _crash_three(quarantine, 1.0)
        cleared = quarantine.record_answer([_CONTENT], answered_at, answered_at)
        assert cleared == [_CONTENT]
    now = answered_at + 1.0
    assert not quarantine.is_quarantined(_CONTENT, now)
    assert quarantine.judge([_CONTENT], now).status is TraitStatus.CLEAR


def test_a_quarantine_ends_after_its_time() -> None:
    quarantine = Quarantine()
    _crash_three(quarantine, 1.0)
    assert quarantine.is_quarantined(_CONTENT, _HOLD_S)
    assert not quarantine.is_quarantined(_CONTENT, _HOLD_S + 2.0)


def test_crashes_long_apart_do_not_add_up() -> None:
    quarantine = Quarantine()
    for number in range(5):
        now = number * (_HOLD_S / 1.5)
        assert not _crash(quarantine, number, now)
        assert not quarantine.is_quarantined(_CONTENT, now)
