"""Stand-in runners keep their entries and groups through pauses."""

import asyncio
import signal
from pathlib import Path

import pytest

from tests.installation import KEY, Installation, eventually, run
from zinniaspool.http import Headers, HttpClient, Request
from zinniaspool_standins.hosts import RunnerHost, make_hosted_runners
from zinniaspool_standins.pagestore import PageStore


@pytest.mark.processes
def test_entries_outlast_a_pause_and_expire_after_the_end(tmp_path: Path) -> None:
    """Guards against pauses that the platform would show as lost runners."""

    async def test() -> None:
        store = PageStore()
        runners = make_hosted_runners("c", "cards", None, 2)
        keys = [f"servers/{one.id}" for one in runners]
        host = RunnerHost("plain", runners, store, tmp_path)
        await host.start()
        try:
            await eventually(lambda: all(map(store.get, keys)))
            revision = store.revision
            await host.pause(1.4)
            await asyncio.sleep(0.5)
            assert store.revision == revision
            host.send(signal.SIGKILL)
            await eventually(lambda: not any(map(store.get, keys)))
        finally:
            await host.end()

    run(test)


def test_a_head_makes_no_pass_while_a_member_is_silent() -> None:
    """Guards against groups that run faster than their slowest member."""

    async def test() -> None:
        async with Installation.running(nodes=1, engines=5, plain=1) as made:
            await made.settle()
            head = made.heads("large")[0]
            headers = Headers.of(
                authorization=f"Token {KEY}",
                x_zinniaspool_request_id="direct",
                x_zinniaspool_model="large",
                x_zinniaspool_token_count="100,10",
            )
            client = HttpClient()
            member = made.runners[head.members[-1]]
            member.faults.silent = True
            request = Request("POST", "/drafts/1", headers)
            sending = asyncio.create_task(client.send(head.address, request, 4.0))
            await asyncio.sleep(0.4)
            assert head.runs[-1].request == "direct"
            assert not sending.done()
            member.faults.silent = False
            response = await sending
            assert (await response.read()).count(b"id: ") == 10
            client.close()

    run(test)
