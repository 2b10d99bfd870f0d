"""Groups whose members lose the store, over the platform's protocols."""

import asyncio
from pathlib import Path

import pytest

from tests.installation import Answer, PatientInstallation, eventually, run
from zinniaspool.core.fleet import InstanceId
from zinniaspool.core.ids import Address, NodeId
from zinniaspool.http import Headers, HttpClient, Request, TransportError
from zinniaspool_standins.installation import KEY, Installation as StandIns
from zinniaspool_standins.nodes import end_nodes, make_nodes
from zinniaspool_standins.runners import Runner

MAX_SHORT_S = 4.0
"""Longest time for a short stream, in seconds."""

MAX_EXPOSURE_S = 2.0
"""Longest time in seconds for which an upstream that leaves gets requests."""


class RetainingInstallation(PatientInstallation):
    """Entry VMs whose settings have the health contract in force."""

    retains_instances = True

    async def start_stream(self) -> "asyncio.Task[Answer]":
        """Begin a stream that lasts longer than a record without its VM."""
        deadline_ms = int(self.deadline_s * 1000)
        draft = self.draft("n0", events=75, deadline_ms=deadline_ms)
        return asyncio.create_task(draft)

    async def assert_served(self, node: str) -> None:
        """Check that a caller gets a short stream as early as usual.

        All callers state the same time, since one that states far less counts
        as one that was refused before.
        """
        deadline_ms = int(self.deadline_s * 1000)
        async with asyncio.timeout(MAX_SHORT_S):
            answer = await self.draft(node, events=3, deadline_ms=deadline_ms)
        assert answer.status == 200


def find_group(made: StandIns, model: str) -> list[Runner]:
    """Return the members of a serving group, its head first."""
    head = made.heads(model)[0]
    return [made.runners[name] for name in head.members]


async def await_removal(runners: list[Runner]) -> None:
    await eventually(lambda: all(runner.removed_at for runner in runners))


def test_streams_and_groups_outlast_the_records_of_their_members() -> None:
    """A caller sees no pause while a group's VMs don't reach the store.

    The head and a member of the only large group lose the store. Their
    records expire while they run a stream; it ends there, and later requests
    are served by the same group, also after the records are back.
    """

    async def test() -> None:
        async with RetainingInstallation.running(engines=5) as made:
            await made.settle()
            groups = made.groups("large")
            head, member, _ = find_group(made, "large")
            asking = await made.start_stream()
            for runner in (head, member):
                runner.faults.cut = True
            await await_removal([head, member])
            assert not asking.done()
            for _ in range(30):
                for node in made.nodes:
                    await made.assert_served(node)
            answer = await asking
            assert answer.events == list(range(1, 76))
            assert 1 <= head.health_queries <= 8
            for runner in (head, member):
                runner.faults.cut = False
            for _ in range(10):
                await made.assert_served("n1")
            assert made.groups("large") == groups
            made.assert_sound()

    run(test)


def test_groups_go_on_while_their_members_answer_entry_processes_only() -> None:
    """Stall reports and expired records would end a group that serves.

    The head and a member of the only large group lose the store and the way
    from all control processes. The head is reported as stalled at once and
    after the records have expired; its streams go on.
    """

    async def test() -> None:
        async with RetainingInstallation.running(engines=5) as made:
            await made.settle()
            groups = made.groups("large")
            head, member, _ = find_group(made, "large")
            cut: set[Address] = {head.address, member.address}
            made.cut_controls(cut)
            asking = await made.start_stream()
            for runner in (head, member):
                runner.faults.cut = True
            (holder,) = [
                node.keeper._holder
                for node in made.nodes.values()
                if node.keeper.may_plan
            ]
            holder.check_group(InstanceId(head.members[0]), NodeId("n1"))
            await eventually(lambda: len(holder.queries.indirect) == 2)
            await await_removal([head, member])
            await asyncio.sleep(1.0)
            holder.check_group(InstanceId(head.members[0]), NodeId("n1"))
            for _ in range(20):
                for node in made.nodes:
                    await made.assert_served(node)
            answer = await asking
            assert answer.events == list(range(1, 76))
            cut.clear()
            for runner in (head, member):
                runner.faults.cut = False
            await eventually(lambda: not holder.queries.indirect)
            await made.assert_served("n1")
            assert made.groups("large") == groups
            made.assert_sound()

    run(test)


@pytest.mark.parametrize("fault", ["parts", "restart", "no_status"])
def test_an_upstream_that_leaves_silently_gets_no_late_request(fault: str) -> None:
    """It serves for three seconds after it has removed its record.

    Its health answer says that it leaves, or is positive by mistake while its
    status shows another incarnation or is missing.
    """

    async def test() -> None:
        async with RetainingInstallation.running(engines=6) as made:
            await eventually(lambda: len(made.heads("large")) >= 1)
            await made.settle()
            head = find_group(made, "small")[0]
            if fault == "parts":
                head.faults.parts = True
            else:
                head.faults.cut = head.faults.false_health = True
                head.faults.no_status = fault == "no_status"
                if fault == "restart":
                    head.restart()
            await await_removal([head])
            ends = head.removed_at + MAX_EXPOSURE_S + 2.0
            while asyncio.get_running_loop().time() < ends:
                await made.draft("n0", "small", events=1)
                await made.draft("n1", "small", events=1)
            late = [at for at in head.arrived if at > head.removed_at + MAX_EXPOSURE_S]
            assert late == []
            made.assert_sound()

    run(test)


async def draft(front: Address, request: str) -> int:
    """Send a stream's request; return the answer's status, 0 for none."""
    headers = Headers.of(
        host="care.example",
        authorization=f"Token {KEY}",
        x_zinniaspool_request_id=request,
        x_zinniaspool_deadline_ms="3000",
        x_zinniaspool_model="small",
        x_zinniaspool_token_count="100,2",
    )
    client = HttpClient(connect_s=0.5)
    try:
        response = await client.send(front, Request("POST", "/drafts/1", headers), 5.0)
        await response.read()
        return response.status
    except TransportError:
        return 0
    finally:
        client.close()


async def await_served(front: Address) -> None:
    for _ in range(200):
        if await draft(front, "start") == 200:
            return
        await asyncio.sleep(0.1)
    raise AssertionError("not served in time")


@pytest.mark.processes
def test_the_deployed_programs_retain_a_group_and_drop_it(tmp_path: Path) -> None:
    """Guards against a switch or a message that only the tests' wiring has.

    Two entry VMs run the real programs with the health contract in their
    settings. A group's members lose the store and it serves on; then its head
    begins to leave, and gets no request two seconds later.
    """

    async def test() -> None:
        async with StandIns.running(nodes=0, engines=5) as made:
            nodes = await make_nodes(made, tmp_path, 2, ["health"])
            try:
                for node in nodes:
                    await await_served(node.front)
                members = find_group(made, "small")
                groups = made.groups("small")
                for runner in members:
                    runner.faults.cut = True
                await await_removal(members)
                for number in range(40):
                    status = await draft(nodes[number % 2].front, f"r-{number}")
                    assert status == 200
                    await asyncio.sleep(0.05)
                assert made.groups("small") == groups
                members[0].faults.parts = True
                began = asyncio.get_running_loop().time()
                while asyncio.get_running_loop().time() < began + 4.0:
                    await draft(nodes[0].front, "late")
                    await draft(nodes[1].front, "late")
                assert members[0].arrived[-1] < began + MAX_EXPOSURE_S
                assert [one.broken for one in made.runners.values() if one.broken] == []
            finally:
                await end_nodes(nodes)

    asyncio.run(test())
    logs = [log.read_text() for log in tmp_path.glob("*control.log")]
    ends = [
        line for log in logs for line in log.splitlines() if "retention-ended" in line
    ]
    assert any("reason=unhealthy" in line for line in ends), ends
