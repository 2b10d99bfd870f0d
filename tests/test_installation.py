"""The whole path over the platform's protocols, under failures."""

import asyncio

from structlog.testing import capture_logs

from tests.installation import Installation, eventually, run
from zinniaspool.http import HttpClient, Request
from zinniaspool_standins.installation import make_rules


def test_a_stream_is_answered_whole_and_the_key_stays_here() -> None:
    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            answer = await made.draft("n0", events=12)
            assert (answer.status, answer.events) == (200, list(range(1, 13)))
            assert answer.headers.get("x-zinniaspool-server-seal")
            runs = [run for one in made.runners.values() for run in one.runs]
            assert {run.customer for run in runs} == {"care"}
            assert {run.credential for run in runs} == {""}
            assert all(0 < run.deadline_ms <= 4000 for run in runs)
            made.assert_sound()

    run(test)


def test_what_the_rules_do_not_allow_is_refused() -> None:
    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            assert (await made.ask("n0", "/drafts/one", key="other")).status == 401
            assert (await made.ask("n0", "/drafts/one", key=None)).status == 401
            assert (await made.ask("n0", "/nowhere/one")).status == 404

    run(test)


def test_an_unknown_key_is_refused_where_requests_need_none() -> None:
    """A revoked key would go on working on routes without a need for keys."""

    async def test() -> None:
        async with Installation.running() as made:
            routes = make_rules(made.version, made.keys)["routes"]
            made.configure(routes=[{**one, "allow-anonymous": True} for one in routes])
            await made.settle()
            assert (await made.ask("n0", "/receipts/1", key=None)).status == 200
            assert (await made.ask("n0", "/receipts/1")).status == 200
            assert (await made.ask("n0", "/receipts/1", key="other")).status == 401
            runs = [run for one in made.runners.values() for run in one.runs]
            assert not [run for run in runs if run.request == f"r-{made.requests}"]

    run(test)


def test_callers_are_told_of_ready_processes_only() -> None:
    """A caller that is sent to a stopping VM would lose its connection."""

    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            node = made.nodes["n0"]
            await eventually(lambda: len(node.gateway.list_addresses()) == 2)
            made.nodes["n1"].gateway.stop()
            await eventually(lambda: len(node.gateway.list_addresses()) == 1)
            address = node.file.directory_address
            assert address is not None
            client = HttpClient()
            target = "/v1/resolve?name=care.example&region=north&zone=hall-a"
            status, body = await client.fetch(address, Request("GET", target), 1.0)
            assert status == 200
            assert str(node.file.caller_address).encode() in body
            client.close()

    run(test)


def test_a_call_that_may_run_once_is_never_sent_twice() -> None:
    """The caller is told that the outcome is unknown.

    The upstream takes the request and answers nothing. Another one could
    answer at once, but nobody knows whether the first has run it.
    """

    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            for one in made.runners.values():
                one.faults.mute = True
            answer = await made.ask("n0", "/cards/1", request_id="once")
            assert answer.status == 504
            assert len(made.runs_of("once")) == 1

    run(test)


def test_a_refusal_says_not_run_only_where_that_is_true() -> None:
    """The caller repeats what was refused; nothing of it may run."""

    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            for one in made.runners.values():
                one.faults.refuse = one.service == "cards"
            answer = await made.ask("n0", "/cards/1", request_id="refused")
            assert answer.status == 503
            assert answer.headers.get("retry-after")
            assert made.runs_of("refused") == []

    run(test)


def test_what_there_is_no_slot_for_is_refused_at_once_and_has_not_run() -> None:
    """Callers of a full model are told when to come back, within moments.

    Many more streams are asked for than the groups have slots. Those with a
    place are answered whole; the others are refused, and nothing of them has
    reached a runner.
    """

    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            with capture_logs() as lines:
                asked = [
                    asyncio.create_task(
                        made.draft("n0", "large", events=60, request_id=f"many-{n}")
                    )
                    for n in range(60)
                ]
                answers = await asyncio.gather(*asked)
            refused = [n for n, one in enumerate(answers) if one.status == 503]
            assert refused and len(refused) < len(answers)
            for number in refused:
                assert float(answers[number].headers.get("retry-after") or 0) > 0
                assert made.runs_of(f"many-{number}") == []
            whole = [one for one in answers if one.status == 200]
            assert all(one.events == list(range(1, 61)) for one in whole)
            told = [one for one in lines if one["event"] == "request-not-admitted"]
            assert len(told) == len(refused)
            assert all(one["took_ms"] < 1500 for one in told)
            made.assert_sound()

    run(test)


def test_an_idempotent_call_is_tried_at_a_second_upstream() -> None:
    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            plain = [one for one in made.runners.values() if one.service == "cards"]
            plain[0].faults.fail = True
            answers = [await made.ask("n0", "/receipts/1", "GET") for _ in range(10)]
            assert {answer.status for answer in answers} == {200}

    run(test)


def test_an_answer_too_many_reaches_nobody() -> None:
    """The next caller on the connection would read another's answer.

    An upstream sends its answer twice. The second one lies on the kept
    connection, where the next request's answer is due.
    """

    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            for one in made.runners.values():
                one.faults.extra = True
            for number in range(8):
                name = f"mine-{number}"
                answer = await made.ask("n0", "/cards/1", request_id=name)
                assert answer.body == f"answer to {name}".encode()

    run(test)


def test_a_planned_stop_cuts_nothing() -> None:
    """A stream that runs when the stop signal comes ends whole."""

    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            asking = asyncio.create_task(made.draft("n0", events=50))
            await asyncio.sleep(0.3)
            made.nodes["n0"].gateway.stop()
            answer = await asking
            assert answer.whole
            assert answer.events == list(range(1, 51))

    run(test)


def test_a_caller_that_leaves_ends_the_work() -> None:
    """Nobody would read what the engine goes on to write."""

    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            asking = asyncio.create_task(made.draft("n0", events=100))
            await asyncio.sleep(0.4)
            asking.cancel()
            await asyncio.sleep(0.3)
            assert made.nodes["n0"].gateway.running == 0

    run(test)
