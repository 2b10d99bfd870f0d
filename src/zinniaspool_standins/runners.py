"""Stand-in of the platform's runners: they join, open, stream and fail.

Each listens on an address of its own and keeps its entry in the stand-in of
the store. A head streams only while all members of its group are there, as
the platform's engines do; otherwise it stands still and then breaks.
"""

import asyncio
import contextlib
import random
import re
import socket
from base64 import b64encode
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from math import inf
from typing import Any, Protocol

import msgspec

from zinniaspool.core.ids import Address, split_address
from zinniaspool.http import Exchange, Headers, HttpServer, TransportError
from zinniaspool_standins.coldness import Coldness
from zinniaspool_standins.cuts import CuttableLoop
from zinniaspool_standins.headcuts import HeadCut, HeadEnd, make_head
from zinniaspool_standins.leaving import LeavingLog
from zinniaspool_standins.noise import Noise, NoiseKind
from zinniaspool_standins.serving import answer_json

__all__ = [
    "HEARTBEATS",
    "EntryStore",
    "Runner",
    "RunnerFaults",
    "RunnerTimes",
    "SeenRun",
    "Work",
]

HEARTBEATS = 3
"""Missed heartbeats after which an entry expires."""

HEALTH_PATH = "/healthz"
"""Where runners answer health queries, by the stand-ins' rules."""

_WANTED_EVENTS = re.compile(r"[?&]events=([0-9]+)")
"""Where a stream's request has how many events it will have, by the stand-ins'
rules; otherwise it has as many as it may."""

RUN_ONCE = "/cards/"
"""Paths whose requests may run once only, by the stand-ins' rules."""


class EntryStore(Protocol):
    """Where runners keep their entries."""

    def put(self, key: str, value: str) -> object:
        """Write a key without condition."""

    def remove(self, key: str) -> None:
        """Remove a key."""


class Work(Protocol):
    """A stream's request at its head."""

    async def wait_for_pass(self) -> None:
        """Wait for the end of the next pass that yields tokens of it."""
        ...


class RunnerFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What a runner does wrong.

    Attributes:
        dark: It answers nobody and writes nothing.
        silent: It answers nobody until this ends, and then goes on.
        cut: It does not reach the store, and serves.
        parts: It leaves without announcing it: it removes its entry, answers
            health queries with 503, and serves.
        false_health: It answers health queries as healthy, whatever its state.
        no_status: It answers no status query.
        refuse: It says that it has not run what it is sent.
        fail: It answers 500.
        cut_after: Events after which it resets a stream in mid-event, or ends
            an unframed one in order there.
        cut_part: Part of its streams that it resets in their first event.
        cut_heads: So many of its next answers end within their head.
        head_bytes: Bytes of such a head that are sent; negative for a random
            number.
        head_end: What becomes of the connection then, as a :class:`HeadEnd`
            has it.
        noise: What it sends without end instead of an answer, as a
            :class:`NoiseKind` has it; empty for none.
        extra: Each plain answer comes a second time, where the next is due.
        unframed: Its answers have no length and end with the connection.
        mute: It runs requests and answers nothing.
        unanswered_orders: So many of the next orders are carried out a second
            later and never answered.
        leaving: It reports that it leaves.
        pause_s: It refuses and asks for a pause of so many seconds; 0: not.
        says_leaving: Its answers say that it leaves; its entry does not.
        announced: It leaves as announced: all its answers say so, also those
            to health and status queries, and so does its entry.
        limit_per_s: Requests a second that its answers say it takes; negative
            for no limit.
        crash_on: It ends when it begins to run a request with this in its
            body; empty for none.
        crash_on_parts: It ends when it begins to write an answer to a request
            whose prompt has one of these parts before its last part.
        pace: Its passes take so many times as long, and it reports that.
    """

    dark: bool = False
    silent: bool = False
    cut: bool = False
    parts: bool = False
    false_health: bool = False
    no_status: bool = False
    refuse: bool = False
    fail: bool = False
    cut_after: int = -1
    cut_part: float = 0.0
    cut_heads: int = 0
    head_bytes: int = -1
    head_end: str = HeadEnd.END.value
    noise: str = ""
    extra: bool = False
    unframed: bool = False
    mute: bool = False
    unanswered_orders: int = 0
    leaving: bool = False
    pause_s: float = 0.0
    says_leaving: bool = False
    announced: bool = False
    limit_per_s: float = -1.0
    crash_on: str = ""
    crash_on_parts: tuple[str, ...] = ()
    pace: float = 1.0


class RunnerTimes(msgspec.Struct):
    """How long things take, in seconds; short, for tests.

    Attributes:
        cold_s: How long it is cold after a start during traffic.
        cold_limit: Requests within a second that it survives while it is cold;
            0 if any number.
        lag_s: Shortest and longest time that a stream's answer is on its way;
            it is drawn for each stream.
    """

    heartbeat_s: float = 0.4
    load_s: float = 1.0
    warm_s: float = 0.2
    held_s: float = 0.05
    form_s: float = 0.05
    pass_s: float = 0.03
    stall_s: float = 2.0
    back_s: float = 0.6
    cold_s: float = 0.0
    cold_limit: int = 0
    lag_s: tuple[float, float] = (0.0, 0.0)


class _SteadyWork:
    """Has passes of the same time, however many others there are.

    Args:
        runner: The head.
    """

    def __init__(self, runner: "Runner") -> None:
        self._runner = runner

    async def wait_for_pass(self) -> None:
        """Wait for the end of the next pass."""
        await asyncio.sleep(self._runner.times.pass_s * self._runner.faults.pace)


class _UnframedAnswer:
    """An answer that has no length and ends where its connection ends."""

    def __init__(self, exchange: Exchange) -> None:
        self._transport = exchange._channel._transport  # type: ignore[attr-defined]

    async def respond(self, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        await self.start(200, headers)
        await self.write(body)
        await self.finish()

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head."""
        closing = Headers([*headers.raw(), (b"connection", b"close")])
        await self.write(make_head(status, closing))

    async def write(self, data: bytes) -> None:
        """Send part of the body."""
        self._transport.write(data)

    async def finish(self) -> None:
        """End the connection in order."""
        self._transport.close()


class _StreamAnswer(Protocol):
    """An answer that is sent in parts."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head."""
        ...

    async def write(self, data: bytes) -> None:
        """Send part of the body."""
        ...

    async def finish(self) -> None:
        """End the answer."""
        ...


class _LaggedAnswer:
    """An answer whose parts are on their way for some time.

    Args:
        answer: Sends the parts when they arrive.
        lag_s: This time, in seconds.
    """

    def __init__(self, answer: _StreamAnswer, lag_s: float) -> None:
        self._answer = answer
        self._lag_s = lag_s
        self._parts: asyncio.Queue[tuple[float, Coroutine[Any, Any, None]]] = (
            asyncio.Queue()
        )
        self._carrying = asyncio.create_task(self._carry())

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head."""
        self._send(self._answer.start(status, headers))

    async def write(self, data: bytes) -> None:
        """Send part of the body."""
        self._send(self._answer.write(data))

    async def finish(self) -> None:
        """End the answer, and wait until all of it has arrived."""
        self._send(self._answer.finish())
        await self._parts.join()
        self._carrying.cancel()

    def close(self) -> None:
        """Drop what is still on its way."""
        self._carrying.cancel()
        while not self._parts.empty():
            self._parts.get_nowait()[1].close()

    def _send(self, part: Coroutine[Any, Any, None]) -> None:
        due = asyncio.get_running_loop().time() + self._lag_s
        self._parts.put_nowait((due, part))

    async def _carry(self) -> None:
        while True:
            due, part = await self._parts.get()
            try:
                await asyncio.sleep(due - asyncio.get_running_loop().time())
                with contextlib.suppress(TransportError):
                    await part
            finally:
                part.close()
                self._parts.task_done()


@dataclass(frozen=True, slots=True)
class SeenRun:
    """A request that began to run, as the runner saw it."""

    request: str
    runner: str
    customer: str
    credential: str
    resumed_after: int
    deadline_ms: int
    once: bool


@dataclass(eq=False)
class Runner:
    """One runner.

    Attributes:
        id: This start's id.
        service: What it answers for.
        address: Where it listens.
        zone: Where it is.
        domain: Its fabric domain, or None for a plain service.
        store: Where its entry lies.
        others: All runners of its process by id, for its group's sake.
        arrived: When requests came, in seconds of the loop's clock.
        arrivals_at: Their ids, each with that time.
        begun: Streams of which it has made an event, each once.
        wrote_at: When it last wrote an event of each request, in seconds of
            the loop's clock.
        part_crashes: Parts of prompts on which it ended, each with the time.
        health_queries: How many health queries came.
        removed_at: When it last removed its entry, in seconds of the loop's
            clock.
        noises: Its endless answers.
        cut: Requests whose answers ended within their head, in order.
        paused: When it asked for a pause, in seconds of the loop's clock.
        crashes: How often it ended by itself.
        coldness: Whether it is cold, and what came meanwhile.
        leaving: What it said of its leaving, and what reached it.
        runs_before: The same for the runs before under the same id.
    """

    id: str
    service: str
    address: Address
    zone: str
    domain: str | None
    store: EntryStore
    others: dict[str, "Runner"]
    sizes: dict[str, int]
    times: RunnerTimes = field(default_factory=RunnerTimes)
    faults: RunnerFaults = field(default_factory=RunnerFaults)
    runs: list[SeenRun] = field(default_factory=list)
    arrivals: Counter[str] = field(default_factory=Counter)
    arrived: list[float] = field(default_factory=list)
    arrivals_at: list[tuple[str, float]] = field(default_factory=list)
    begun: set[str] = field(default_factory=set)
    wrote_at: dict[str, float] = field(default_factory=dict)
    part_crashes: list[tuple[str, float]] = field(default_factory=list)
    health_queries: int = 0
    removed_at: float = 0.0
    noises: list[Noise] = field(default_factory=list)
    cut: list[str] = field(default_factory=list)
    paused: list[float] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    model: str = ""
    staged: list[str] = field(default_factory=list)
    group: dict[str, Any] | None = None
    members: list[str] = field(default_factory=list)
    been_ready: set[tuple[str, int, tuple[str, ...]]] = field(default_factory=set)
    born: int = 1_700_000_000_000
    streams: int = 0
    crashes: int = 0
    coldness: Coldness = field(default_factory=Coldness)
    leaving: LeavingLog = field(default_factory=LeavingLog)
    runs_before: list[LeavingLog] = field(default_factory=list)
    _down: bool = False
    _server: HttpServer | None = None
    _epoch: int = 0
    _written: str = ""
    _silent: float = 0.0
    _crashing: "asyncio.Task[None] | None" = None
    _works: dict[Exchange, Work] = field(default_factory=dict)
    _lagged: dict[Exchange, _LaggedAnswer] = field(default_factory=dict)
    _last_answers: dict[object, bytes] = field(default_factory=dict)

    async def run(self) -> None:
        """Listen and keep the entry, until cancelled."""
        await self._listen()
        while True:
            if not self._down:
                self._keep_entry()
            await asyncio.sleep(self.times.heartbeat_s / 8)

    async def _listen(self) -> None:
        self._server = HttpServer(self._handle)
        await self._server.listen(self.address)

    async def crash(self) -> None:
        """End at once, and come back as an empty one on the same host.

        Several requests may let it end at the same moment; it ends once.
        """
        assert self._server is not None
        if self._down:
            return
        self.crashes += 1
        self._down = True
        self.restart()
        await self._server.drain(0.0)
        host, port = split_address(self.address)
        with socket.socket() as kept:
            # Connections are refused, and the port is free for nobody else.
            kept.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            kept.bind((host, port))
            await asyncio.sleep(self.times.back_s)
        await self._listen()
        self._down = False

    async def leave(self, serves_s: float) -> None:
        """Leave as announced: serve on for a while, end requests, and end.

        Args:
            serves_s: For how long it serves on, in seconds.
        """
        self.faults.announced = True
        await asyncio.sleep(serves_s)
        while self.streams:  # noqa: ASYNC110
            await asyncio.sleep(self.times.pass_s)
        assert self._server is not None
        self._down = True
        self._remove_entry()
        await self._server.drain(0.5)

    async def come_back(self) -> None:
        """Start again under the same id and at the same address."""
        self.faults = RunnerFaults()
        self.restart()
        await self._listen()
        self._down = False

    def restart(self) -> None:
        """Start again under the same id, knowing nothing of before."""
        self.runs_before.append(self.leaving)
        self.leaving = LeavingLog()
        self.born += 1
        self.model, self.group, self.members = "", None, []
        self.orders.clear()
        self._epoch = 0
        self._last_answers.clear()
        if self.times.cold_s:
            self.coldness.begin(self.times.cold_s)

    # The entry.

    def write_again(self) -> None:
        """Write the entry anew, since the store may have an older one."""
        self._written = ""

    def _keep_entry(self) -> None:
        if self.faults.parts:
            self._remove_entry()
            return
        if self.faults.dark or self.faults.cut:
            self._silent += self.times.heartbeat_s / 8
            if self._silent > HEARTBEATS * self.times.heartbeat_s:
                self._remove_entry()
            return
        self._silent = 0.0
        described = self._describe()
        left_ms = described.pop("cold-left-ms")
        # The time left alone is no reason to write the entry anew.
        kept = msgspec.json.encode([described, self.coldness.spells]).decode()
        if kept != self._written:
            self._written = kept
            entry = msgspec.json.encode({**described, "cold-left-ms": left_ms})
            value = b64encode(entry).decode()
            self.store.put(f"servers/{self.id}", value)
            if described["state"] == "draining" and self.leaving.recorded_at is None:
                self.leaving.recorded_at = asyncio.get_running_loop().time()

    def _remove_entry(self) -> None:
        if self._written:
            self._written = ""
            self.removed_at = asyncio.get_running_loop().time()
            self.store.remove(f"servers/{self.id}")

    def _describe(self) -> dict[str, Any]:
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self._is_leaving() else "ready",
            "cold-left-ms": self.coldness.count_left_ms(),
            "seq-no": len(self.orders),
            "born": self.born,
        }
        if self.domain is not None:
            models = [{"name": self.model, "version": 1}] if self.model else []
            entry |= {"domain": self.domain, "staged": self.staged, "models": models}
            if self.group is not None:
                entry["group"] = self.group
        return entry

    def _is_leaving(self) -> bool:
        return self.faults.leaving or self.faults.announced

    def _add_notices(self, exchange: Exchange, answer: Headers) -> Headers:
        """Add to an answer's headers that it leaves, if it does."""
        if self.faults.says_leaving or self.faults.announced:
            now = asyncio.get_running_loop().time()
            self.leaving.note_said(_find_vm(exchange), now)
            answer.add("server-leaving", "1")
        return answer

    # Calls.

    async def _handle(self, exchange: Exchange) -> None:
        if self.faults.dark:
            await asyncio.sleep(60.0)
        await self._wait_while_silent()
        path = exchange.request.path
        if path == HEALTH_PATH:
            await self._answer_health(exchange)
        elif path == "/v1/report":
            if self.faults.no_status:
                await asyncio.sleep(60.0)
            report = {**self._describe(), "waiting": 0, "running": 0}
            report["pace"] = self.faults.pace
            await answer_json(
                exchange, 200, report, self._add_notices(exchange, Headers())
            )
        elif path == "/v1/order":
            await self._take_order(exchange)
        else:
            await self._serve(exchange)

    async def _answer_health(self, exchange: Exchange) -> None:
        self.health_queries += 1
        expected = exchange.request.headers.get("x-zinniaspool-expect-instance")
        if expected not in (self.id, None):
            await exchange.respond(421, Headers(), b"")
            return
        leaves = self.faults.parts or self._is_leaving()
        status = 503 if leaves and not self.faults.false_health else 200
        headers = Headers.of(x_zinniaspool_instance_id=self.id)
        await exchange.respond(status, self._add_notices(exchange, headers), b"")

    async def _take_order(self, exchange: Exchange) -> None:
        order = msgspec.json.decode(exchange.request.body)
        if self.faults.unanswered_orders:
            self.faults.unanswered_orders -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(1.0, self._carry_out, order)
            await asyncio.sleep(60.0)
        await answer_json(exchange, self._carry_out(order), {})

    def _carry_out(self, order: dict[str, Any]) -> int:
        self.orders.append(order)
        op = order["op"]
        if op == "stage":
            self._later(self.times.load_s, self._finish_staging, order["model"])
            return 202
        if op == "join":
            return self._join(order)
        held = self.group
        if held is None or (held["name"], held["epoch"]) != (
            order["group"],
            order["epoch"],
        ):
            # Leaving a group that it is not in is done already.
            return 200 if op == "leave" else 409
        if op == "open":
            if held["state"] != "ready" or held["rank"]:
                return 200 if held["state"] == "open" else 409
            self._later(self.times.form_s, self._open, held)
            return 202
        if op == "close":
            held["state"] = "closing"
            self._end_closing()
            return 202
        self.group = None
        return 200

    def _join(self, order: dict[str, Any]) -> int:
        key = (order["group"], order["epoch"])
        if order["epoch"] < self._epoch:
            return 412
        if self.group is not None and (self.group["name"], self.group["epoch"]) == key:
            return 200
        self._check_free(order)
        self._epoch = order["epoch"]
        took = self.times.load_s
        if self.model == order["model"]:
            took = self.times.held_s
        elif order["model"] in self.staged:
            took = self.times.warm_s
        self.model, self.members = order["model"], order["members"]
        self.staged = [self.model]
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": self.members.index(self.id),
            "state": "joining",
        }
        self._later(took, self._become_ready, self.group)
        return 202

    def _become_ready(self, group: dict[str, Any]) -> None:
        if self.group is group:
            group["state"] = "ready"
            self.been_ready.add((group["name"], group["epoch"], tuple(self.members)))

    def _open(self, group: dict[str, Any]) -> None:
        if self.group is not group:
            return
        group["state"] = "open"
        key = (group["name"], group["epoch"], tuple(self.members))
        for one in self.members:
            member = self.others.get(one)
            if member is not None and key not in member.been_ready:
                self.broken.append(f"{group['name']} opens without {one}")

    def _end_closing(self) -> None:
        """Be ready again once the last stream of a closing group has ended."""
        closing = self.group is not None and self.group["state"] == "closing"
        if closing and not self.streams and self.group is not None:
            self.group["state"] = "ready"

    def _finish_staging(self, model: str) -> None:
        self.staged = [model]

    def _later(self, seconds: float, act: Any, *arguments: Any) -> None:
        asyncio.get_running_loop().call_later(seconds, act, *arguments)

    def _check_free(self, order: dict[str, Any]) -> None:
        """Note a join while the head of the last group still serves."""
        if self.group is None or not self.members:
            return
        head = self.others.get(self.members[0])
        if head is None or head.faults.dark or head.group is None:
            return
        same = head.group["name"] == self.group["name"]
        if same and head.group["state"] == "open":
            self.broken.append(f"{self.id} joins {order['group']} from an open group")

    # Requests.

    async def _serve(self, exchange: Exchange) -> None:
        headers = exchange.request.headers
        request = headers.get("x-zinniaspool-request-id") or ""
        self.arrivals[request] += 1
        now = asyncio.get_running_loop().time()
        self.arrived.append(now)
        self.arrivals_at.append((request, now))
        if headers.get("x-zinniaspool-expect-instance") not in (self.id, None):
            await exchange.respond(421, Headers(), b"")
            return
        self.leaving.note_arrival(request, _find_vm(exchange), now)
        if self.coldness.record_request() > (self.times.cold_limit or inf):
            if self._crashing is None or self._crashing.done():
                self._crashing = asyncio.create_task(self.crash())
            await asyncio.sleep(60.0)
        is_model = headers.get("x-zinniaspool-model") is not None
        opened = self.group is not None and self.group["state"] == "open"
        refuses = self.faults.refuse or self.faults.pause_s > 0
        if refuses or (is_model and not opened):
            refusal = Headers.of(x_zinniaspool_not_executed="1")
            self._add_notices(exchange, refusal)
            if self.faults.pause_s > 0:
                refusal.add("retry-after", f"{self.faults.pause_s:g}")
                self.paused.append(asyncio.get_running_loop().time())
                self.leaving.pauses.append((_find_vm(exchange), self.paused[-1]))
            await exchange.respond(503, refusal, b"")
            return
        self._note_run(request, headers, exchange.request.path)
        if self._crashes_on(exchange) and not self._down:
            await asyncio.sleep(self.times.pass_s * self.faults.pace)
            if self._crashing is None or self._crashing.done():
                now = asyncio.get_running_loop().time()
                crashing = self._find_crashing_parts(exchange)
                self.part_crashes += [(part, now) for part in crashing]
                self._crashing = asyncio.create_task(self.crash())
            await asyncio.sleep(60.0)
        if self.faults.mute:
            await asyncio.sleep(60.0)
        if self.faults.noise:
            noise = Noise(NoiseKind(self.faults.noise))
            self.noises.append(noise)
            await noise.send(exchange._channel._transport)  # type: ignore[attr-defined]
            exchange.abort()
            return
        answer = Headers.of(
            x_zinniaspool_request_id=request,
            x_zinniaspool_server_seal=f"seal-{self.id}",
            x_zinniaspool_runner_load="1,0,8",
        )
        self._add_notices(exchange, answer)
        if self.faults.limit_per_s >= 0:
            answer.add("server-limit", f"{self.faults.limit_per_s:g}")
        if self.faults.cut_heads:
            self.faults.cut_heads -= 1
            self.cut.append(request)
            await asyncio.sleep(self.times.pass_s)
            await self._cut_head(exchange, answer)
        elif self.faults.fail:
            await exchange.respond(500, answer, b"it failed")
        elif is_model:
            self.streams += 1
            try:
                await self._stream(exchange, answer, headers)
            finally:
                self.streams -= 1
                if exchange in self._lagged:
                    self._lagged.pop(exchange).close()
                self._works.pop(exchange, None)
                self._end_closing()
        else:
            await self._answer_plainly(exchange, answer, request)

    async def _cut_head(self, exchange: Exchange, answer: Headers) -> None:
        whole = Headers([*answer.raw(), (b"content-length", b"42")])
        cut = HeadCut(
            make_head(200, whole), self.faults.head_bytes, HeadEnd(self.faults.head_end)
        )
        await cut.send(exchange._channel._transport)  # type: ignore[attr-defined]
        exchange.abort()

    def _crashes_on(self, exchange: Exchange) -> bool:
        marker = self.faults.crash_on.encode()
        if marker and marker in exchange.request.body:
            return True
        return bool(self._find_crashing_parts(exchange))

    def _find_crashing_parts(self, exchange: Exchange) -> set[str]:
        prompt = exchange.request.headers.get("x-zinniaspool-prefix-hash") or ""
        shared = {entry.partition(":")[0] for entry in prompt.split(",")[:-1]}
        return shared.intersection(self.faults.crash_on_parts)

    async def _answer_plainly(
        self, exchange: Exchange, answer: Headers, request: str
    ) -> None:
        body = f"answer to {request}".encode()
        if self.faults.unframed:
            await _UnframedAnswer(exchange).respond(answer, body)
            return
        channel = exchange._channel
        if self.faults.extra and channel in self._last_answers:
            # The answer before comes once more, where this one is due.
            transport = channel._transport  # type: ignore[attr-defined]
            transport.write(self._last_answers[channel])
        self._last_answers[channel] = (
            f"HTTP/1.1 200 OK\r\nx-zinniaspool-request-id: {request}\r\n"
            f"x-zinniaspool-server-seal: seal-{self.id}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        ).encode() + body
        await exchange.respond(200, answer, body)

    async def _stream(
        self,
        exchange: Exchange,
        answer: Headers,
        asked: Headers,
    ) -> None:
        tokens = (asked.get("x-zinniaspool-token-count") or "0,10").split(",")
        last = self._count_events(int(tokens[1]))
        if wanted := _WANTED_EVENTS.search(exchange.request.target):
            last = min(last, int(wanted[1]))
        first = int(asked.get("last-event-id") or 0) + 1
        answer.add("content-type", "text/event-stream")
        begun = False
        unframed = self.faults.unframed
        is_cut = random.random() < self.faults.cut_part
        request = asked.get("x-zinniaspool-request-id") or ""
        sent: _StreamAnswer = _UnframedAnswer(exchange) if unframed else exchange
        lag_s = random.uniform(*self.times.lag_s)
        if lag_s:
            sent = lagged = _LaggedAnswer(sent, lag_s)
            self._lagged[exchange] = lagged
        self._works[exchange] = self._begin_work(asked)
        for number in range(first, last + 1):
            if not await self._make_pass(exchange):
                return
            if not begun:
                self._note_begun(request)
                await sent.start(200, answer)
                begun = True
            self.wrote_at[request] = asyncio.get_running_loop().time()
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            if is_cut or number == self.faults.cut_after:
                await sent.write(event[:8])
                if unframed:
                    await sent.finish()
                else:
                    exchange.abort()
                return
            await sent.write(event)
        await sent.finish()

    def _begin_work(self, _: Headers) -> Work:
        """Take a stream's request; return what waits for its passes."""
        return _SteadyWork(self)

    def _count_events(self, tokens: int) -> int:
        """Return how many events a stream of some tokens has."""
        return tokens

    async def _make_pass(self, exchange: Exchange) -> bool:
        """Wait for one pass of the group; False where the work is cut off."""
        await (self._works.get(exchange) or _SteadyWork(self)).wait_for_pass()
        await self._wait_while_silent(with_members=True)
        group, stood_s = self.group, 0.0
        while self.faults.dark or not self._is_whole(group):
            if stood_s > self.times.stall_s:
                if group is not None:
                    group["state"] = "broken"
                exchange.abort()
                return False
            await asyncio.sleep(self.times.pass_s * self.faults.pace)
            stood_s += self.times.pass_s
        return True

    async def _wait_while_silent(self, *, with_members: bool = False) -> None:
        silent = self._is_silent(with_members=with_members)
        while silent:
            await asyncio.sleep(self.times.pass_s)
            silent = self._is_silent(with_members=with_members)

    def _is_silent(self, *, with_members: bool) -> bool:
        if self.faults.silent or not with_members or self.group is None:
            return self.faults.silent
        members = [self.others.get(one) for one in self.members]
        return any(one is not None and one.faults.silent for one in members)

    def _is_whole(self, group: dict[str, Any] | None) -> bool:
        if group is None:
            return False
        for one in self.members:
            member = self.others.get(one)
            if member is None or member.faults.dark or member.group is None:
                return False
            if member.group["name"] != group["name"]:
                return False
        return True

    def _note_begun(self, request: str) -> None:
        self.begun.add(request)

    def _note_run(self, request: str, headers: Headers, path: str) -> None:
        self.runs.append(
            SeenRun(
                request,
                self.id,
                headers.get("x-zinniaspool-tenant") or "",
                headers.get("authorization") or "",
                int(headers.get("last-event-id") or 0),
                int(headers.get("x-zinniaspool-deadline-ms") or 0),
                path.startswith(RUN_ONCE),
            )
        )
        key_of = self.group
        if headers.get("x-zinniaspool-model") is None or key_of is None:
            return
        key = (key_of["name"], key_of["epoch"], tuple(self.members))
        if len(self.members) != self.sizes.get(self.model):
            self.broken.append(f"{key_of['name']} runs without its size")
        for one in self.members:
            member = self.others.get(one)
            if member is not None and key not in member.been_ready:
                self.broken.append(f"{key_of['name']} runs without {one}")


def _find_vm(exchange: Exchange) -> str:
    """Return the VM that a connection came from.

    Upstreams in a process of their own know its address alone.
    """
    loop = asyncio.get_running_loop()
    transport = exchange._channel._transport  # type: ignore[attr-defined]
    if transport is None:
        return ""
    if isinstance(loop, CuttableLoop):
        return loop.find_source(transport)
    return str(transport.get_extra_info("peername")[0])
