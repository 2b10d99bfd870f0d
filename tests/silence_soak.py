"""A randomized soak of upstreams that fall silent for a second and go on.

Run as ``python -m tests.silence_soak --seeds 50``. Each seed runs three entry
VMs and all upstreams in one loop. Silences, changes of the configuration,
stops of entry VMs in order and lost heads come in series that overlap.
Callers use their open connections until the process at the other end is gone.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from http import HTTPStatus

from tests.installation import KEY, Answer, PatientInstallation, eventually
from tests.soak_seeds import run_command_line
from zinniaspool.core.ids import Address
from zinniaspool.http import (
    Headers,
    HttpClient,
    Request,
    TransportError,
    TransportFailure,
)
from zinniaspool_standins.runners import Runner

__all__ = ["SilenceSoakError", "run_seed"]

VMS, ENGINES, PLAIN, CALLERS = 3, 15, 3, 18
FAULTS_S = 8.0
"""Time for which things break, in seconds."""

CALM_S = 5.0
"""Time after the last fault in which everything must serve again, in
seconds."""

DEADLINE_S = 8.0
"""Callers' deadline: longer than a few silences and a stream, in seconds."""

DEADLINE_SLACK_S = 0.2
MAX_EVENTS = 40
SILENCES_S = (1.0, 1.4)
MIN_ANSWERING_S = 0.6
"""Shortest time between two silences of an upstream, in seconds. A process
that stands still in all of a shorter one sees a single long silence."""

SHARES = (0.3, 0.6, 1.0)
"""Parts of the engines that fall silent together."""

END_CALLS, LEAST_SERVED = 8, 7
"""Requests of each kind to each VM at the end, and how many must be served."""

NOT_RUN = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
GIVEN_UP = (HTTPStatus.BAD_GATEWAY, HTTPStatus.GATEWAY_TIMEOUT)
MODELS = ("large", "small")
KINDS = (*MODELS, "cards", "receipts")


class SilenceSoakError(AssertionError):
    """A promise was broken; the message names the seed and what was seen."""


class _Installation(PatientInstallation):
    """Routes that wait as long as callers, and VMs that stop as late."""

    deadline_s = DEADLINE_S
    grace_s = DEADLINE_S + 2.0
    patient_routes = ("drafts", "cards", "receipts")


@dataclass(frozen=True, slots=True)
class _Loss:
    """A head that was lost for good.

    Attributes:
        members: Its group.
        at: When, in seconds of the loop's clock.
    """

    members: frozenset[str]
    at: float


class _Caller:
    """Sends requests to one VM until that is gone, then to another one."""

    def __init__(self, soak: "_Soak", source: random.Random) -> None:
        self._soak = soak
        self._source = source
        self._client = HttpClient(connect_s=0.5)
        self._front: Address | None = None

    async def send_traffic(self, until: float) -> None:
        """Send requests one after the other until a time."""
        source = self._source
        while asyncio.get_running_loop().time() < until:
            if self._front is None:
                self._front = self._soak.choose_front(source)
            kind = source.choice((*MODELS, *KINDS))
            events = source.randint(1, MAX_EVENTS)
            if not await self._soak.call(self._client, self._front, kind, events):
                self._client.close()
                self._front = None
            await asyncio.sleep(source.uniform(0.0, 0.1))
        self._client.close()


@dataclass
class _Soak:
    made: _Installation
    seed: int
    faults: list[str] = field(default_factory=list)
    seen: list[str] = field(default_factory=list)
    losses: list[_Loss] = field(default_factory=list)
    ends: Counter[str] = field(default_factory=Counter)
    answered_from: dict[str, float] = field(default_factory=dict)
    sent: int = 0

    # Requests.

    def choose_front(self, source: random.Random) -> Address:
        node = source.choice(list(self.made.nodes.values()))
        assert node.file.caller_address is not None
        return node.file.caller_address

    async def call(
        self, client: HttpClient, front: Address, kind: str, events: int
    ) -> bool:
        """Send one request and check its answer; False where none arrived."""
        self.sent += 1
        name = f"soak-{self.sent}"
        began = asyncio.get_running_loop().time()
        answer = await self._ask(client, front, name, kind, events)
        if answer.status:
            self.ends[str(answer.status) if answer.whole else "cut"] += 1
        if kind in MODELS:
            self._check_stream(name, answer, events, began)
        else:
            self._check_plain(name, kind, answer)
        if answer.whole and answer.status in NOT_RUN and self.made.runs_of(name):
            self.seen.append(f"{name}: refused as not run, but ran")
        return answer.status != 0

    async def _ask(
        self, client: HttpClient, front: Address, name: str, kind: str, events: int
    ) -> Answer:
        headers = Headers.of(
            host="care.example",
            authorization=f"Token {KEY}",
            x_zinniaspool_request_id=name,
            x_zinniaspool_deadline_ms=str(int(DEADLINE_S * 1000)),
        )
        path = f"/{kind}/1"
        if kind in MODELS:
            path = "/drafts/1"
            headers.add("x-zinniaspool-model", kind)
            headers.add("x-zinniaspool-token-count", f"100,{events}")
        method = "GET" if kind == "receipts" else "POST"
        try:
            response = await client.send(
                front, Request(method, path, headers), DEADLINE_S + 1.0
            )
        except TransportError as error:
            is_unsent = error.failure is TransportFailure.NOT_SENT
            self.ends["unsent" if is_unsent else "unanswered"] += 1
            return Answer(0, whole=False)
        parts = []
        try:
            async for part in response.stream():
                parts.append(part)
        except TransportError:
            return Answer(response.status, response.headers, b"".join(parts), False)
        return Answer(response.status, response.headers, b"".join(parts))

    def _check_stream(
        self, name: str, answer: Answer, events: int, began: float
    ) -> None:
        if answer.status != HTTPStatus.OK:
            return
        if answer.events != list(range(1, len(answer.events) + 1)):
            self.seen.append(f"{name}: events {answer.events}")
        if answer.whole and len(answer.events) == events:
            return
        took_s = asyncio.get_running_loop().time() - began
        if took_s < DEADLINE_S - DEADLINE_SLACK_S and not self._broke_off(name, began):
            got = f"{len(answer.events)} of {events}"
            self.seen.append(f"{name}: lost with {got} events after {took_s:.2f} s")

    def _broke_off(self, name: str, began: float) -> bool:
        """Whether the upstream that wrote last to a stream was lost."""

        def find_time(runner: str) -> float:
            return self.made.runners[runner].wrote_at.get(name, 0.0)

        last = max(self.made.runs_of(name), key=find_time, default="")
        return any(last in loss.members and loss.at > began for loss in self.losses)

    def _check_plain(self, name: str, kind: str, answer: Answer) -> None:
        if answer.status == HTTPStatus.OK:
            if answer.whole and answer.body != f"answer to {name}".encode():
                self.seen.append(f"{name}: another's answer")
            if not answer.whole:
                self.seen.append(f"{name}: cut off")
        elif answer.status in GIVEN_UP:
            self.seen.append(f"{name}: {answer.status} though no upstream was lost")
        if kind == "cards" and len(self.made.runs_of(name)) > 1:
            self.seen.append(f"{name}: ran more than once")

    # Faults.

    async def break_things(self, until: float) -> None:
        source = random.Random(f"faults-{self.seed}")
        choices: list[Callable[[random.Random], Awaitable[None]]] = [
            self.silence_engines,
            self.silence_engines,
            self.silence_plain,
            self.change_configuration,
            self.restart_vm,
            self.lose_head,
        ]
        running = []
        while asyncio.get_running_loop().time() < until:
            chosen = source.choice(choices)
            self.faults.append(chosen.__name__)
            # What one fault draws doesn't depend on how others proceed.
            own = random.Random(source.random())
            running.append(asyncio.ensure_future(chosen(own)))
            await asyncio.sleep(source.uniform(0.1, 1.5))
        await asyncio.gather(*running)

    async def silence(self, upstreams: Iterable[Runner], source: random.Random) -> None:
        async def silence_one(upstream: Runner) -> None:
            seconds = source.uniform(*SILENCES_S)
            loop = asyncio.get_running_loop()
            silent_from = self.answered_from.get(upstream.id, 0.0) + MIN_ANSWERING_S
            await asyncio.sleep(silent_from - loop.time())
            if upstream.faults.silent:
                return
            upstream.faults.silent = True
            await asyncio.sleep(seconds)
            upstream.faults.silent = False
            self.answered_from[upstream.id] = loop.time()

        # A silence that overlaps another one would be shortened by its end.
        answering = [one for one in upstreams if not one.faults.silent]
        await asyncio.gather(*map(silence_one, answering))

    async def silence_engines(self, source: random.Random) -> None:
        runners = self.made.runners.values()
        engines = [one for one in runners if one.domain is not None]
        count = round(source.choice(SHARES) * len(engines))
        await self.silence(source.sample(engines, count), source)

    async def silence_plain(self, source: random.Random) -> None:
        runners = self.made.runners.values()
        await self.silence([one for one in runners if one.domain is None], source)

    async def change_configuration(self, source: random.Random) -> None:
        for _ in range(source.randint(1, 3)):
            self.made.configure()
            await asyncio.sleep(source.uniform(0.1, 0.5))

    async def restart_vm(self, source: random.Random) -> None:
        if len(self.made.nodes) < VMS:
            return
        name = source.choice(list(self.made.nodes))
        await self.made.stop(name)
        await asyncio.sleep(source.uniform(0.1, 0.5))
        await self.made.add_node(name)

    async def lose_head(self, source: random.Random) -> None:
        heads = self.made.heads(source.choice(MODELS))
        if not heads:
            return
        head = source.choice(heads)
        now = asyncio.get_running_loop().time()
        self.losses.append(_Loss(frozenset(head.members), now))
        head.faults.dark = True
        await asyncio.sleep(source.uniform(0.5, 2.0))
        self.made.replace_runner(head)

    async def check_end(self) -> None:
        """Check what must hold once nothing is broken any more."""
        self.seen += [text for one in self.made.runners.values() for text in one.broken]
        if len(self.made.nodes) < VMS:
            self.seen.append("a VM isn't back at the end")
        for name in self.made.nodes:
            for kind in KINDS:
                served = sum(
                    await asyncio.gather(
                        *(self._is_served(name, kind) for _ in range(END_CALLS))
                    )
                )
                if served < LEAST_SERVED:
                    self.seen.append(f"{name} served {served} {kind} at the end")

    async def _is_served(self, node: str, kind: str) -> bool:
        if kind in MODELS:
            answer = await self.made.draft(node, kind, 5)
        else:
            method = "GET" if kind == "receipts" else "POST"
            answer = await self.made.ask(node, f"/{kind}/1", method)
        return answer.status == HTTPStatus.OK and answer.whole


async def _play(seed: int) -> _Soak:
    async with _Installation.running(nodes=VMS, engines=ENGINES, plain=PLAIN) as made:
        await made.settle()
        await eventually(lambda: min(len(made.heads(model)) for model in MODELS) >= 2)
        soak = _Soak(made, seed)
        until = asyncio.get_running_loop().time() + FAULTS_S
        callers = [
            _Caller(soak, random.Random(f"caller-{number}-{seed}"))
            for number in range(CALLERS)
        ]
        await asyncio.gather(
            soak.break_things(until),
            *(caller.send_traffic(until + CALM_S / 2) for caller in callers),
        )
        await asyncio.sleep(CALM_S / 2)
        await soak.check_end()
        return soak


def run_seed(seed: int) -> str:
    """Play one seed and return what was counted.

    Raises:
        SilenceSoakError: A promise was broken.
    """
    soak = asyncio.run(_play(seed))
    if soak.seen:
        seen = f"{len(soak.seen)} faults, {soak.seen[:5]}"
        raise SilenceSoakError(f"seed {seed}: {seen} after {soak.faults}")
    ends = ", ".join(f"{count} {end}" for end, count in sorted(soak.ends.items()))
    return f"{soak.sent} sent ({ends}), {len(soak.faults)} faults"


if __name__ == "__main__":
    run_command_line(run_seed)
