"""Callers that ask as the callers' page tells them to, and keep records."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

import msgspec

from zinniaspool.core.errors import Outcome
from zinniaspool.core.ids import Address
from zinniaspool.http import Headers, HttpClient, Request, TransportError
from zinniaspool_standins.histories import Ask, Ending, Operation
from zinniaspool_standins.operations import Traffic, WantedCall, make_call

__all__ = ["Caller", "Mix", "send_traffic"]

_OK = 200
_ERRORS = 400
_ENTRIES_S = 2.0
_LEAST_PAUSE_S = 0.1
_MOST_UNKNOWN = 3
_ENDING_OF = {
    Outcome.NOT_RUN.value: Ending.NOT_RUN,
    Outcome.UNKNOWN.value: Ending.UNKNOWN,
    Outcome.FAILED.value: Ending.FAILED,
}


class _Entry(msgspec.Struct):
    address: Address


class _Entries(msgspec.Struct):
    entries: list[_Entry]
    lifetime_s: float
    session: str = ""


class _Error(msgspec.Struct):
    error: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class _Asked:
    """One ask's record, and when the caller may come back."""

    ask: Ask
    retry_after_s: float | None = None


class Caller:
    """One customer's caller.

    Args:
        http: Its connections.
        credential: Shown with every request.
        first: Entry VMs that it knows from its own settings.
        source: Its random source.
        patience_s: Time from which no further ask is begun.
    """

    def __init__(
        self,
        http: HttpClient,
        credential: str,
        first: Sequence[Address],
        source: random.Random,
        patience_s: float = 20.0,
    ) -> None:
        self._http = http
        self._credential = credential
        self._first = list(first)
        self._source = source
        self._patience_s = patience_s
        self._entries: list[Address] = []
        self._fresh_until = 0.0
        self._session = ""

    async def run(self, call: WantedCall) -> Operation:
        """Ask until there is a last word, or patience ends."""
        await self._choose_entry()
        call = self._choose_key(call)
        operation = call.operation
        loop = asyncio.get_running_loop()
        ends = loop.time() + self._patience_s
        while True:
            asked = await self._ask(call)
            operation.asks.append(asked.ask)
            pause_s = _choose_pause(asked)
            if pause_s is None or loop.time() + pause_s > ends:
                return operation
            if _is_settled(operation):
                return operation
            await asyncio.sleep(pause_s)

    async def _ask(self, call: WantedCall) -> _Asked:
        entry = await self._choose_entry()
        if entry is None:
            return _Asked(Ask(Ending.CUT, detail="no entry VM answered"))
        asked = await self.ask_at(entry, call)
        if asked.ask.ending is Ending.CUT:
            # The entry VM may be gone: the answer's other addresses are for
            # this case.
            self._entries = [other for other in self._entries if other != entry]
        return asked

    async def ask_at(self, entry: Address, call: WantedCall) -> _Asked:
        """Ask one entry VM once."""
        request = Request("POST", call.path, self._make_headers(call), call.body)
        parts: list[bytes] = []
        name = ""
        try:
            async with asyncio.timeout(call.timeout_s + _ENTRIES_S):
                response = await self._http.send(
                    entry, request, call.timeout_s + _ENTRIES_S
                )
                name = response.headers.get("x-request-id") or ""
                try:
                    async for data in response.stream():
                        parts.append(data)
                except BaseException:
                    response.abort()
                    raise
        except (TransportError, TimeoutError) as error:
            body = b"".join(parts).decode(errors="replace")
            return _Asked(Ask(Ending.CUT, body, name, entry, str(error)))
        body = b"".join(parts).decode(errors="replace")
        if response.status < _ERRORS:
            return _Asked(Ask(Ending.WHOLE, body, name, entry))
        ending = _ENDING_OF.get(response.headers.get("x-outcome") or "", Ending.CUT)
        error_body = _read_error(body)
        ask = Ask(ending, body, name, entry, error_body.error)
        return _Asked(ask, error_body.retry_after_s)

    def _choose_key(self, call: WantedCall) -> WantedCall:
        """Put half of the keys into the session that came with addresses."""
        if not (call.key and self._session and self._source.random() < 1 / 2):
            return call
        return replace(call, key=f"{self._session}.{call.key}")

    def _make_headers(self, call: WantedCall) -> Headers:
        headers = Headers.of(
            content_type="application/json",
            authorization=f"Bearer {self._credential}",
            request_timeout=str(call.timeout_s),
            priority=f"u={call.urgency}",
        )
        if call.key:
            headers.add("idempotency-key", call.key)
        return headers

    async def _choose_entry(self) -> Address | None:
        now = asyncio.get_running_loop().time()
        if not self._entries or now >= self._fresh_until:
            await self._refresh_entries()
        if not self._entries:
            return None
        return self._source.choice(self._entries)

    async def _refresh_entries(self) -> None:
        known = [*self._entries, *self._source.sample(self._first, len(self._first))]
        request = Request(
            "GET",
            "/v1/entries",
            Headers.of(authorization=f"Bearer {self._credential}"),
        )
        for address in known:
            try:
                status, body = await self._http.fetch(address, request, _ENTRIES_S)
            except TransportError:
                continue
            if status != _OK:
                continue
            answer = msgspec.json.decode(body, type=_Entries)
            self._entries = [entry.address for entry in answer.entries]
            self._session = answer.session
            now = asyncio.get_running_loop().time()
            self._fresh_until = now + answer.lifetime_s
            return


def _choose_pause(asked: _Asked) -> float | None:
    """Return how long to wait before asking again; None to stop.

    Every operation here may be asked again after a cut: the idempotent ones
    by their nature, the others because they bring their key.
    """
    ending = asked.ask.ending
    if ending in (Ending.WHOLE, Ending.FAILED):
        return None
    if ending is Ending.CUT:
        return _LEAST_PAUSE_S
    if asked.retry_after_s is None:
        return None
    return max(_LEAST_PAUSE_S, asked.retry_after_s)


def _is_settled(operation: Operation) -> bool:
    """Whether asking again has told nothing new often enough."""
    last = [ask.ending for ask in operation.asks[-_MOST_UNKNOWN:]]
    return last == [Ending.UNKNOWN] * _MOST_UNKNOWN


def _read_error(body: str) -> _Error:
    try:
        return msgspec.json.decode(body, type=_Error)
    except msgspec.MsgspecError:
        return _Error()


@dataclass(frozen=True, slots=True)
class Mix:
    """One customer's traffic.

    Attributes:
        customer: Its name.
        caller: Asks for it.
        model: The model it calls.
        service: The service and path of calls that may not be repeated.
        at_once: Calls in progress at a time.
        max_tokens: Length of a model's answers.
        pause_s: Longest pause between two calls of one worker.
        first_number: Of its calls; a number used before is a key used
            before.
        timeout_s: Deadline of each ask.
    """

    customer: str
    caller: Caller
    model: str
    service: str
    at_once: int = 4
    max_tokens: int = 12
    pause_s: float = 0.05
    first_number: int = 0
    timeout_s: float = 10.0


async def send_traffic(
    mixes: Sequence[Mix], source: random.Random, stopped: Callable[[], bool]
) -> list[Operation]:
    """Send mixed calls until told to stop, and let those in progress end."""
    operations: list[Operation] = []
    async with asyncio.TaskGroup() as tasks:
        for mix in mixes:
            for worker in range(mix.at_once):
                tasks.create_task(_send_mix(mix, worker, source, stopped, operations))
    return operations


async def _send_mix(
    mix: Mix,
    worker: int,
    source: random.Random,
    stopped: Callable[[], bool],
    operations: list[Operation],
) -> None:
    number = mix.first_number + worker
    while not stopped():
        traffic = source.choice(list(Traffic))
        repeated = traffic is not Traffic.NON_IDEMPOTENT
        target = mix.model if repeated else mix.service
        call = make_call(
            traffic, number, mix.customer, target, mix.max_tokens, mix.timeout_s
        )
        number += mix.at_once
        operations.append(call.operation)
        await mix.caller.run(call)
        await asyncio.sleep(source.random() * mix.pause_s)
