"""Requests that crash the upstreams that run them."""

import asyncio

from tests.installation import Answer, Installation, run

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

    async def ask(self, node: str) -> Answer:
        """Come once more, under a new id, when there is an upstream for it."""
        await self._made.await_served(node, "small")
        self._ids.append(f"offender-{len(self._ids)}")
        body = _MARK.encode()
        return await self._made.draft(node, "small", 4, self._ids[-1], body)

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
            assert offender.arrivals - before <= _MOST_RETRIES

    run(test)
