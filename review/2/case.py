"""A planned stop cuts streams that its VM accepted after the stop signal."""

import asyncio
import os
import signal
import sys
from pathlib import Path

from harness import (
    BROKEN,
    GRACE_S,
    HELD,
    NOT_RUN,
    OK_STATUS,
    Answer,
    Caller,
    Deployment,
    Record,
    deploy,
    describe_draft,
    list_events,
    run_case,
)

from zinniaspool_standins.installation import make_rules

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIMEOUT_MS = 8000
"""The route's `timeout-ms`, and the callers' deadline: those of the sheets."""
LOSS_SLACK_S = 0.2
"""The bound `loss-slack-ms` of the small deployments."""
EXCUSED_S = 3.0
"""Time after SIGTERM up to which a long request may be cut."""
EVENTS = 140
"""A stream of 4.2 s at the stand-in's 30 ms a pass."""
SENT_AT_S = (0.5, 1.5, 2.5, 3.3, 3.6, 3.9, 4.2, 4.5, 4.7, 5.0, 5.5)
"""When callers send, in seconds after SIGTERM. All of them have the VM's
address from before, and keep it for three lifetimes of two seconds."""


class Call:
    """One request, and when it was sent after SIGTERM."""

    def __init__(self, after_s: float, answer: Answer) -> None:
        self.after_s = after_s
        self.answer = answer

    @property
    def is_whole(self) -> bool:
        """Whether the caller got a whole answer, also a refusal."""
        answer = self.answer
        if not answer.complete:
            return False
        events = list(range(1, EVENTS + 1))
        return answer.status != OK_STATUS or list_events(answer.body) == events

    @property
    def is_lost(self) -> bool:
        """Whether LOST counts it: no excuse of the rule applies."""
        took_s = self.answer.ended_at - self.answer.sent_at
        if self.is_whole or took_s * 1000 >= TIMEOUT_MS:
            return False
        return took_s > LOSS_SLACK_S and self.after_s > EXCUSED_S


def configure(made: Deployment) -> None:
    """Write rules whose streams may take eight seconds."""
    routes = make_rules(1, made.keys)["routes"]
    for route in routes:
        if route["kind"] == "stream":
            route["timeout-ms"] = TIMEOUT_MS
    made.configure(routes=routes)


async def main() -> int:
    """Run the case."""
    record = Record(Path(__file__).with_name("record.txt"))
    made = Deployment()
    async with deploy(made, vms=3, engines=8, plain=2):
        configure(made)
        for _ in range(100):
            if made.heads("small") and made.heads("large"):
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(3.0)
        vm = made.vms[0]
        callers = [Caller(record, vm.front, f"c{n}") for n in range(len(SENT_AT_S))]
        fields = {"x-zinniaspool-deadline-ms": "2000"}
        first = await asyncio.gather(
            *(one.call("GET", "/receipts/a", fields) for one in callers)
        )
        if not all(answer.status == OK_STATUS and answer.complete for answer in first):
            return NOT_RUN
        stopped_at = record.now()
        if TROUBLE:
            record.write(f"SIGTERM to {vm.name}")
            vm.send(signal.SIGTERM)

        async def send_at(caller: Caller, after_s: float) -> Call:
            await asyncio.sleep(stopped_at + after_s - record.now())
            return Call(after_s, await ask(caller, EVENTS))

        async def end_after_grace() -> None:
            await asyncio.sleep(GRACE_S)
            if TROUBLE:
                vm.send(signal.SIGKILL)

        *calls, _ = await asyncio.gather(
            *(send_at(one, at) for one, at in zip(callers, SENT_AT_S, strict=True)),
            end_after_grace(),
        )
        for call in calls:
            answer = call.answer
            record.write(
                f"{answer.request}: sent {call.after_s} s after SIGTERM, ended after "
                f"{answer.ended_at - answer.sent_at:.2f} s, status {answer.status}, "
                f"{len(list_events(answer.body))} of {EVENTS} events, "
                f"whole {call.is_whole}, LOST {call.is_lost}"
            )
        for runner in made.runners.values():
            for run in runner.runs:
                record.write(f"run {run.request} at {runner.id}")
        broken = any(call.is_lost for call in calls)
        record.write(f"LOST {'broken' if broken else 'held'}")
        return BROKEN if broken else HELD


async def ask(caller: Caller, events: int) -> Answer:
    """Send a request for a stream."""
    fields = describe_draft("small", events, TIMEOUT_MS)
    return await caller.call("POST", "/drafts/a", fields, b"draft")


if __name__ == "__main__":
    sys.exit(run_case(main))
