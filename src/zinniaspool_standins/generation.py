"""How an engine runs requests: slots, steps, tokens and failures."""

import asyncio
from dataclasses import dataclass

import msgspec

from zinniaspool.http import Exchange, Headers
from zinniaspool_standins.batching import Batch, read_urgency
from zinniaspool_standins.collective import BrokenGroupError, Collective
from zinniaspool_standins.faults import UpstreamFaults
from zinniaspool_standins.load import LaggedLoad
from zinniaspool_standins.prefixes import PrefixCache
from zinniaspool_standins.runs import RunLog, RunRecord, RunState
from zinniaspool_standins.tokens import (
    DONE_EVENT,
    GenerateCall,
    make_event,
    make_text,
)

__all__ = ["Generator", "Speed", "refuse_as_not_run"]

_BATCH_COST = 0.02
_NAMES = ("x-request-id", "x-attempt")


@dataclass(frozen=True, slots=True)
class Speed:
    """How fast an engine is.

    Attributes:
        token_s: Time of one step with one request.
        prefill_s: Time for each block of the prompt that is not cached.
    """

    token_s: float
    prefill_s: float


@dataclass(slots=True)
class _Run:
    call: GenerateCall
    record: RunRecord
    faults: UpstreamFaults
    breaks: int


@dataclass(frozen=True, slots=True)
class _Named:
    """What an answer says: whose it is and what was generated."""

    request: str
    attempt: str
    call: GenerateCall


async def refuse_as_not_run(exchange: Exchange, leaving: bool = False) -> None:
    """Answer that the request was not run and will not be."""
    headers = Headers.of(content_type="application/json", x_not_run="1")
    for name in _NAMES:
        # A refusal that names its request cannot be taken for another's.
        value = exchange.request.headers.get(name)
        if value is not None:
            headers.add(name, value)
    if leaving:
        headers.add("x-leaving", "1")
    await exchange.respond(409, headers, b"null")


class Generator:
    """Runs ``POST /generate`` on one engine.

    Args:
        log: Gets every run.
        batch: The slots.
        load: Gets every change of the load.
        cache: Prefixes that need no prefill.
        collective: The group's other VMs.
        speed: How long things take.
    """

    def __init__(
        self,
        log: RunLog,
        batch: Batch,
        load: LaggedLoad,
        cache: PrefixCache,
        collective: Collective,
        speed: Speed,
    ) -> None:
        self.straggle = 1.0
        self._log = log
        self._batch = batch
        self._load = load
        self._cache = cache
        self._collective = collective
        self._speed = speed
        self._slot_freed = asyncio.Event()
        self._last: _Named | None = None

    async def generate(self, exchange: Exchange, faults: UpstreamFaults) -> None:
        """Wait for a slot, run a request and answer it."""
        headers = exchange.request.headers
        number = self._batch.submit(read_urgency(headers.get("priority")))
        if number is None:
            await refuse_as_not_run(exchange)
            return
        try:
            self._note_load()
            await self._wait_for_slot(number)
            await self._run(exchange, faults)
        finally:
            self._batch.end(number)
            self._note_load()
            freed, self._slot_freed = self._slot_freed, asyncio.Event()
            freed.set()

    async def _wait_for_slot(self, number: int) -> None:
        while not self._batch.runs(number):
            await self._slot_freed.wait()

    async def _run(self, exchange: Exchange, faults: UpstreamFaults) -> None:
        headers = exchange.request.headers
        body = exchange.request.body
        call = msgspec.json.decode(body, type=GenerateCall)
        record = self._log.begin(
            RunRecord(
                headers.get("x-request-id") or "",
                headers.get("x-attempt") or "",
                body.decode(),
                exchange.request.path,
                int(headers.get("last-event-id") or 0),
            )
        )
        run = _Run(call, record, faults, self._collective.breaks)
        try:
            await self._answer(exchange, run)
        except BrokenGroupError:
            self._log.end(record, RunState.FAILED)
            exchange.abort()
        finally:
            if record.state is RunState.STARTED:
                self._log.end(record, RunState.CANCELLED)

    async def _answer(self, exchange: Exchange, run: _Run) -> None:
        await self._prefill(exchange, run)
        named = self._name_answer(run)
        headers = self._make_headers(named)
        if run.call.stream:
            await self._stream(exchange, headers, run, named.call)
            return
        await self._step_through(run)
        if self._cuts_at(run, run.call.max_tokens):
            self._log.end(run.record, RunState.FINISHED)
            exchange.abort()
            return
        self._log.end(run.record, RunState.FINISHED)
        await asyncio.sleep(run.faults.late_s)
        headers.add("content-type", "application/json")
        if run.faults.failing:
            await exchange.respond(500, headers, b"null")
            return
        body = {"text": make_text(named.call), "request": named.request}
        await exchange.respond(200, headers, msgspec.json.encode(body))

    async def _stream(
        self, exchange: Exchange, headers: Headers, run: _Run, call: GenerateCall
    ) -> None:
        headers.add("content-type", "text/event-stream")
        await exchange.start(500 if run.faults.failing else 200, headers)
        for k in range(run.record.first_token, call.max_tokens):
            await self._take_step(run)
            if self._cuts_at(run, k):
                self._log.end(run.record, RunState.FAILED)
                exchange.abort()
                return
            await exchange.write(make_event(call, k))
        self._log.end(run.record, RunState.FINISHED)
        if self._cuts_at(run, call.max_tokens):
            exchange.abort()
            return
        await asyncio.sleep(run.faults.late_s)
        await exchange.write(DONE_EVENT)
        await exchange.finish()

    async def _step_through(self, run: _Run) -> None:
        for k in range(run.call.max_tokens):
            await self._take_step(run)
            if self._cuts_at(run, k):
                raise BrokenGroupError

    async def _take_step(self, run: _Run) -> None:
        crowd = 1 + _BATCH_COST * (self._batch.running - 1)
        slowest = max(self.straggle, self._collective.straggle)
        await asyncio.sleep(self._speed.token_s * crowd * slowest)
        await self._collective.wait_step(run.breaks)

    async def _prefill(self, exchange: Exchange, run: _Run) -> None:
        salt = exchange.request.headers.get("x-cache-salt") or ""
        now = asyncio.get_running_loop().time()
        missing = self._cache.admit(run.call.prompt, salt, now)
        await asyncio.sleep(self._speed.prefill_s * missing)

    def _name_answer(self, run: _Run) -> _Named:
        own = _Named(run.record.request, run.record.attempt, run.call)
        crossed = self._last or _Named("crossed", "1", GenerateCall("op-crossed."))
        self._last = own
        return crossed if run.faults.crossed else own

    def _make_headers(self, named: _Named) -> Headers:
        load = self._load.tell(asyncio.get_running_loop().time())
        return Headers.of(
            x_request_id=named.request,
            x_attempt=named.attempt,
            x_load_running=str(load.running),
            x_load_waiting=str(load.waiting),
        )

    def _note_load(self) -> None:
        now = asyncio.get_running_loop().time()
        self._load.record(self._batch.running, self._batch.waiting, now)

    def _cuts_at(self, run: _Run, tokens: int) -> bool:
        after = run.faults.cut_after
        if after < 0:
            return False
        return tokens == min(after, run.call.max_tokens)
