"""One unreadable entry stands in the store when all processes are killed."""

import asyncio
import json
import os
import sys
from base64 import b64encode
from pathlib import Path

from harness import (
    BROKEN,
    HELD,
    NOT_RUN,
    OK_STATUS,
    SMALL_CONTRACTS,
    Answer,
    Caller,
    Deployment,
    Record,
    deploy,
    describe_draft,
    list_events,
    run_case,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTRACTS = (*SMALL_CONTRACTS, "health", "pool", "places", "pressure")
"""Those of the deployment whose page names such entries."""
RECOVER_S = 15.0
"""Its bound `recover-s`."""
JUDGED_S = 8.0
CALLERS = 9
DOWN_S = 0.9
"""How long the processes are gone, as with `kill_all` in a site file."""
EVENTS = 10


def make_foreign_entry() -> str:
    """Return an entry of another writer, whose service isn't named here."""
    entry = {
        "service": "cold-storage",
        "address": "127.0.0.9:" + "8" * 5000,
        "zone": "hall-a",
        "version": "v1",
        "slots": 1,
        "state": "ready",
        "cold-left-ms": 0,
        "seq-no": 0,
    }
    return b64encode(json.dumps(entry).encode()).decode()


async def ask(caller: Caller, kind: int) -> tuple[Answer, bool]:
    """Send one request; return its answer and whether it was served."""
    if kind == 0:
        answer = await caller.call(
            "POST", "/cards/a", {"x-zinniaspool-deadline-ms": "1500"}, b"card"
        )
        return answer, answer.status == OK_STATUS and answer.complete
    if kind == 1:
        answer = await caller.call(
            "GET", "/receipts/a", {"x-zinniaspool-deadline-ms": "2000"}
        )
        return answer, answer.status == OK_STATUS and answer.complete
    answer = await caller.call(
        "POST", "/drafts/a", describe_draft("small", EVENTS, 4000), b"draft"
    )
    served = answer.complete and list_events(answer.body) == list(range(1, EVENTS + 1))
    return answer, answer.status == OK_STATUS and served


async def send_for(
    made: Deployment, record: Record, name: str, seconds: float
) -> tuple[int, int]:
    """Have callers ask for a while; return how many requests were served."""
    ends = record.now() + seconds
    counts = [0, 0]

    async def go_on(number: int) -> None:
        caller = Caller(
            record, made.vms[number % len(made.vms)].front, f"{name}{number}"
        )
        while record.now() < ends:
            _, served = await ask(caller, number % 3)
            counts[0] += 1
            counts[1] += served
            await asyncio.sleep(0.2)
        caller.close()

    await asyncio.gather(*(go_on(number) for number in range(CALLERS)))
    return counts[0], counts[1]


async def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).with_name("record.txt"))
    made = Deployment(CONTRACTS)
    async with deploy(made, vms=3, engines=7, plain=2):
        for _ in range(100):
            if made.heads("small") and made.heads("large"):
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(2.0)
        sent, served = await send_for(made, record, "before", 5.0)
        record.write(f"before: {sent} requests, {served} served")
        if served < 0.9 * sent:
            return NOT_RUN
        if TROUBLE:
            made.store.put("servers/w-77", make_foreign_entry())
            record.write("an entry of another writer stands at servers/w-77")
        sent, served = await send_for(made, record, "beside", 5.0)
        record.write(f"beside the entry: {sent} requests, {served} served")
        await asyncio.gather(*(vm.kill() for vm in made.vms))
        record.write("final fault: all processes are killed")
        await asyncio.sleep(DOWN_S)
        for vm in made.vms:
            made.write_settings(vm, first=False)
            for role in ("entry", "control"):
                await vm.start(role)
        record.write("the machines are back")
        sent, served = await send_for(made, record, "early", RECOVER_S)
        record.write(f"until recover-s: {sent} requests, {served} served")
        sent, served = await send_for(made, record, "late", JUDGED_S)
        record.write(f"later than recover-s: {sent} requests, {served} served")
        for runner in made.runners.values():
            record.write(f"run at {runner.id}: {len(runner.runs)}")
        broken = served < sent / 4
        record.write(f"RECOVER {'broken' if broken else 'held'}")
        return BROKEN if broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(main))
