"""The whole path over the platform's protocols, under failures."""

import asyncio

from structlog.testing import capture_logs

from tests.installation import KEY, Installation, eventually, run
from zinniaspool.http import HttpClient, Request


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


def test_a_stream_goes_on_elsewhere_when_its_group_loses_a_vm() -> None:
    """The caller sees a short pause and every event once.

    A VM of the group goes dark in the middle of the stream. Its head keeps
    the connection and says nothing. The entry process notices that all of
    the head's streams stopped, and goes on at another group of the model.
    """

    async def test() -> None:
        async with Installation.running(engines=9) as made:
            await eventually(lambda: len(made.heads("large")) >= 2)
            await made.settle()
            before = {one.id: len(one.runs) for one in made.heads("large")}
            asking = asyncio.create_task(made.draft("n0", "large", events=40))
            await asyncio.sleep(0.4)
            head = next(
                one for one in made.heads("large") if len(one.runs) > before[one.id]
            )
            made.runners[head.members[1]].faults.dark = True
            answer = await asking
            assert answer.whole
            assert answer.events == list(range(1, 41))
            made.assert_sound()

    run(test)


def test_a_stream_ends_at_a_group_that_is_closed_in_order() -> None:
    """The caller sees no pause: nothing was lost.

    A VM of the group reports that it leaves, and the group is closed. Its
    head finishes what it has; moving the stream would cost a pause of several
    tenths of a second and have its prompt read twice.
    """

    async def test() -> None:
        async with Installation.running(engines=9) as made:
            await eventually(lambda: len(made.heads("large")) >= 2)
            await made.settle()
            before = {one.id: len(one.runs) for one in made.heads("large")}
            with capture_logs() as lines:
                asking = asyncio.create_task(made.draft("n0", "large", events=60))
                await asyncio.sleep(0.4)
                head = next(
                    one for one in made.heads("large") if len(one.runs) > before[one.id]
                )
                made.runners[head.members[1]].faults.leaving = True
                answer = await asking
            assert answer.events == list(range(1, 61))
            ended = [one for one in lines if one["event"] == "request-ended"]
            assert [one["attempts"] for one in ended] == [1]
            old = ended[0]["group"]
            await eventually(lambda: old not in made.groups("large"))
            made.assert_sound()

    run(test)


def test_a_group_that_is_closed_gets_nothing_new() -> None:
    """A caller would be refused there and sent on, for nothing."""

    async def test() -> None:
        async with Installation.running(engines=9) as made:
            await eventually(lambda: len(made.heads("large")) >= 2)
            await made.settle()
            before = {one.id: len(one.runs) for one in made.heads("large")}
            keeping = asyncio.create_task(made.draft("n0", "large", events=90))
            await asyncio.sleep(0.4)
            head = next(
                one for one in made.heads("large") if len(one.runs) > before[one.id]
            )
            made.runners[head.members[1]].faults.leaving = True
            await asyncio.sleep(0.5)
            runs = len(head.runs)
            for _ in range(6):
                assert (await made.draft("n0", "large", events=2)).status == 200
            assert len(head.runs) == runs
            assert (await keeping).whole
            made.assert_sound()

    run(test)


def test_the_pause_of_a_moved_stream_is_logged() -> None:
    """An engineer finds why the caller calls its answer late.

    The caller had events, then none for as long as it took to notice that the
    head was silent and to go on elsewhere. That is the longest pause, not one
    between two events of the same head.
    """

    async def test() -> None:
        async with Installation.running(engines=9) as made:
            await eventually(lambda: len(made.heads("large")) >= 2)
            await made.settle()
            before = {one.id: len(one.runs) for one in made.heads("large")}
            with capture_logs() as lines:
                asking = asyncio.create_task(made.draft("n0", "large", events=40))
                await asyncio.sleep(0.4)
                head = next(
                    one for one in made.heads("large") if len(one.runs) > before[one.id]
                )
                made.runners[head.members[1]].faults.dark = True
                assert (await asking).whole
            ended = [one for one in lines if one["event"] == "request-ended"]
            assert [one["attempts"] for one in ended] == [2]
            silent = next(one for one in lines if one["event"] == "target-silent")
            assert ended[0]["pause_ms"] >= silent["quiet_ms"] > 0

    run(test)


def test_a_request_that_a_head_never_answers_goes_on_elsewhere() -> None:
    """The caller would wait until it leaves, though other groups have room.

    A head takes requests and answers none, while it goes on with the streams
    that it had. Its silence cannot be seen by those. Each request's own first
    event is overdue after a few tenths of a second, and it is sent to another
    group.
    """

    async def test() -> None:
        async with Installation.running(engines=9) as made:
            await eventually(lambda: len(made.heads("large")) >= 2)
            await made.settle()
            before = {one.id: len(one.runs) for one in made.heads("large")}
            writing = asyncio.create_task(
                made.draft("n0", "large", events=120, deadline_ms=8000)
            )
            await asyncio.sleep(0.4)
            head = next(
                one for one in made.heads("large") if len(one.runs) > before[one.id]
            )
            head.faults.mute = True
            with capture_logs() as lines:
                asked = [
                    made.draft("n0", "large", events=2, deadline_ms=8000)
                    for _ in range(10)
                ]
                answers = await asyncio.gather(*asked)
            assert [one.status for one in answers] == [200] * len(answers)
            ended = [one for one in lines if one["event"] == "request-ended"]
            assert {one["attempts"] for one in ended} == {1, 2}
            assert max(one["took_ms"] for one in ended) < 4000
            assert (await writing).whole
            made.assert_sound()

    run(test)


def test_a_group_is_formed_again_after_a_loss() -> None:
    """New requests are refused for a moment, then served again.

    The head falls silent; the holder asks the group's VMs, one does not
    answer, and the others form a group with a VM that stood by.
    """

    async def test() -> None:
        async with Installation.running(engines=6) as made:
            await made.settle()
            head, before = made.heads("large")[0], made.groups("large")
            asking = asyncio.create_task(made.draft("n0", "large", events=100))
            await asyncio.sleep(0.3)
            made.runners[head.members[1]].faults.dark = True
            await eventually(lambda: made.groups("large") - before, 8.0)
            asking.cancel()
            await made.settle()
            made.assert_sound()

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


def test_a_stream_cut_in_an_event_goes_on_without_a_gap() -> None:
    async def test() -> None:
        async with Installation.running(engines=9) as made:
            await eventually(lambda: len(made.heads("large")) >= 2)
            await made.settle()
            cut = made.heads("large")[0]
            cut.faults.cut_after = 5
            for _ in range(4):
                answer = await made.draft("n0", "large", events=9)
                assert answer.events == list(range(1, 10))
                assert answer.whole

    run(test)


def test_requests_are_served_while_the_store_is_down() -> None:
    """Callers notice nothing.

    The store answers nobody for longer than entries last, and entries lapse
    meanwhile. Their owners live: nothing is given up until they had time to
    write their entries again.
    """

    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            heads = set(made.heads("large"))
            made.store.faults.down = "busy"
            for one in made.runners.values():
                made.store.remove(f"servers/{one.id}")
                one._written = ""
                one.faults.cut = True
            for _ in range(10):
                assert (await made.draft("n0", events=2)).status == 200
                await asyncio.sleep(0.1)
            made.store.faults.down = ""
            await asyncio.sleep(0.5)
            for one in made.runners.values():
                one.faults.cut = False
            for _ in range(10):
                assert (await made.draft("n1", events=2)).status == 200
                await asyncio.sleep(0.1)
            assert heads & set(made.heads("large"))
            made.assert_sound()

    run(test)


def test_a_process_that_the_store_turns_away_learns_from_its_peers() -> None:
    """A caller with a revoked key would be served by one VM for seconds.

    The store turns one VM away and serves the others. A key is revoked
    meanwhile; the VM hears of it from the process that it follows.
    """

    async def test() -> None:
        async with Installation.running(nodes=3) as made:
            await made.settle()
            made.store.faults.down = "reset"
            made.store.faults.only = [made.nodes["n2"].file.store_address]
            await asyncio.sleep(0.5)
            made.keys = ["another"]
            made.configure()
            await asyncio.sleep(1.5)
            for node in made.nodes:
                assert (await made.ask(node, "/cards/1", key=KEY)).status == 401
                assert (await made.ask(node, "/cards/1", key="another")).status == 200

    run(test)


def test_another_process_plans_when_the_holder_is_gone() -> None:
    """A VM lost just after the holder is replaced all the same."""

    async def test() -> None:
        async with Installation.running(nodes=3, engines=6) as made:
            await made.settle()
            holder = next(
                name for name, node in made.nodes.items() if node.keeper.holds
            )
            await made.kill(holder)
            head, before = made.heads("large")[0], made.groups("large")
            made.runners[head.members[2]].faults.dark = True
            await eventually(lambda: made.groups("large") - before, 12.0)
            made.assert_sound()

    run(test)


def test_orders_without_an_answer_form_groups_all_the_same() -> None:
    """Orders get lost or are carried out late; groups are whole when open."""

    async def test() -> None:
        async with Installation.running(nodes=0) as made:
            for one in made.runners.values():
                one.faults.unanswered_orders = 2
            await made.add_node("n0")
            await made.settle()
            await asyncio.sleep(1.5)
            made.assert_sound()

    run(test)


def test_a_write_whose_answer_is_lost_is_read_back() -> None:
    async def test() -> None:
        async with Installation.running(nodes=0) as made:
            made.store.faults.lose_answers = 3
            await made.add_node("n0")
            await made.settle()
            made.assert_sound()

    run(test)


def test_a_history_that_is_dropped_is_read_anew() -> None:
    async def test() -> None:
        async with Installation.running() as made:
            await made.settle()
            made.store.faults.down = "busy"
            await asyncio.sleep(0.3)
            made.keys = ["another"]
            made.configure()
            made.store.drop_history()
            made.store.faults.down = ""
            await asyncio.sleep(2.0)
            for node in made.nodes:
                assert (await made.ask(node, "/cards/1", key="another")).status == 200

    run(test)


def test_a_process_without_a_configuration_says_not_ready() -> None:
    """A 404 would tell the caller not to come back."""

    async def test() -> None:
        async with Installation.running(nodes=0) as made:
            made.store.faults.down = "silent"
            await made.add_node("n0")
            await asyncio.sleep(0.3)
            answer = await made.ask("n0", "/drafts/one")
            assert answer.status == 503
            assert answer.headers.get("retry-after")

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


def test_a_lost_vm_is_replaced_while_the_store_is_down_for_all() -> None:
    """Callers of the model would be refused for as long as the store is away.

    The store answers nobody, then a VM of a group goes dark. Every VM says
    that the store is down, so nobody can have taken over: the holder goes on,
    asks the engines themselves, and tells the others of the new group.
    """

    async def test() -> None:
        async with Installation.running(nodes=3, engines=6) as made:
            await made.settle()
            await eventually(lambda: any(n.keeper.holds for n in made.nodes.values()))
            made.store.faults.down = "busy"
            await asyncio.sleep(2.5)
            head, before = made.heads("large")[0], made.groups("large")
            asking = asyncio.create_task(made.draft("n0", "large", events=100))
            await asyncio.sleep(0.3)
            made.runners[head.members[1]].faults.dark = True
            await eventually(lambda: made.groups("large") - before, 6.0)
            asking.cancel()
            async with asyncio.timeout(1.5):
                await made.settle()
            assert made.store.faults.down
            made.store.faults.down = ""
            await asyncio.sleep(1.5)
            assert (await made.draft("n1", "large", events=3)).status == 200
            made.assert_sound()

    run(test)


def test_a_holder_that_alone_is_cut_from_the_store_is_replaced() -> None:
    """Two processes must not plan at the same time.

    The store turns the holder's VM away and serves the others. One of them
    reaches the store, so that the holder stops, and another takes over.
    """

    async def test() -> None:
        async with Installation.running(nodes=3) as made:
            await made.settle()
            await eventually(lambda: any(n.keeper.holds for n in made.nodes.values()))
            cut = next(name for name, node in made.nodes.items() if node.keeper.holds)
            made.store.faults.down = "silent"
            made.store.faults.only = [made.nodes[cut].file.store_address]
            seen = []

            def others_hold() -> bool:
                holding = [n for n, node in made.nodes.items() if node.keeper.holds]
                seen.append(len(holding))
                return bool(holding) and cut not in holding

            await eventually(others_hold, 8.0)
            assert max(seen) <= 1
            made.assert_sound()

    run(test)


def test_a_process_that_starts_in_an_outage_learns_from_its_peers() -> None:
    """Callers sent to a VM that was just replaced would be refused.

    The store is down, and a VM starts that knows nothing. Any peer's copy,
    however old, tells it the rules and the fleet.
    """

    async def test() -> None:
        async with Installation.running(nodes=2) as made:
            await made.settle()
            made.store.faults.down = "silent"
            await asyncio.sleep(2.0)
            await made.add_node("late")
            for _ in range(30):
                answer = await made.draft("late", events=2)
                if answer.status == 200:
                    break
                await asyncio.sleep(0.1)
            assert answer.status == 200

    run(test)


def test_a_change_is_in_force_in_time_though_the_holder_just_went_silent() -> None:
    """Callers with a revoked key would be served for longer than allowed.

    The holder's VM stands still without a word, right before a key is
    revoked. The others wait for its answer in vain; each must turn to the
    store soon enough, also an entry process that follows its VM's control
    process, which follows the holder.
    """

    async def test() -> None:
        async with Installation.running(nodes=3) as made:
            await made.settle()
            await eventually(lambda: any(n.keeper.holds for n in made.nodes.values()))
            holder = next(n for n, node in made.nodes.items() if node.keeper.holds)
            made.freeze_control(holder)
            await asyncio.sleep(0.05)
            made.keys = ["another"]
            made.configure()
            await asyncio.sleep(1.7)
            for node in made.nodes:
                if node != holder:
                    assert (await made.ask(node, "/cards/1", key=KEY)).status == 401

    run(test)


def test_a_head_that_answers_nothing_does_not_keep_its_callers() -> None:
    """The caller would leave after two seconds without a first event.

    A head takes requests and says nothing, while all VMs of its group answer
    the holder: no group is given up. The request goes to another group.
    """

    async def test() -> None:
        async with Installation.running(engines=9) as made:
            await eventually(lambda: len(made.heads("large")) >= 2)
            await made.settle()
            mute = made.heads("large")[0]
            mute.faults.mute = True
            for _ in range(6):
                answer = await made.draft("n0", "large", events=3)
                assert (answer.status, answer.events) == (200, [1, 2, 3])

    run(test)
