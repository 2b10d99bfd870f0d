"""The platform's programs while its store fails or their holder goes."""

import asyncio

from tests.installation import KEY, Installation, eventually, run


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
                name for name, node in made.nodes.items() if node.keeper.may_plan
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


def test_a_lost_vm_is_replaced_while_the_store_is_down_for_all() -> None:
    """Callers of the model would be refused for as long as the store is away.

    The store answers nobody, then a VM of a group goes dark. Every VM says
    that the store is down, so nobody can have taken over: the holder goes on,
    asks the engines themselves, and tells the others of the new group.
    """

    async def test() -> None:
        async with Installation.running(nodes=3, engines=6) as made:
            await made.settle()
            await eventually(
                lambda: any(n.keeper.may_plan for n in made.nodes.values())
            )
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
            await eventually(
                lambda: any(n.keeper.may_plan for n in made.nodes.values())
            )
            cut = next(
                name for name, node in made.nodes.items() if node.keeper.may_plan
            )
            made.store.faults.down = "silent"
            made.store.faults.only = [made.nodes[cut].file.store_address]
            seen = []

            def others_hold() -> bool:
                holding = [n for n, node in made.nodes.items() if node.keeper.may_plan]
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
            await eventually(
                lambda: any(n.keeper.may_plan for n in made.nodes.values())
            )
            holder = next(n for n, node in made.nodes.items() if node.keeper.may_plan)
            made.freeze_control(holder)
            await asyncio.sleep(0.05)
            made.keys = ["another"]
            made.configure()
            await asyncio.sleep(1.7)
            for node in made.nodes:
                if node != holder:
                    assert (await made.ask(node, "/cards/1", key=KEY)).status == 401

    run(test)
