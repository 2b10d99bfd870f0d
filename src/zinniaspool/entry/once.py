"""Calls that run at most once, by their idempotency keys."""

import asyncio
from dataclasses import dataclass

from result import Err, Ok, Result

from zinniaspool.core.errors import ErrorKind, Fault
from zinniaspool.core.ids import IdempotencyKey
from zinniaspool.core.messages import ForwardedAnswer, ForwardedCall
from zinniaspool.core.requests.claims import (
    SLOT_COUNT,
    SlotOwner,
    find_slot,
)
from zinniaspool.core.requests.keys import (
    KeyTable,
    compute_fingerprint,
    hash_key,
)
from zinniaspool.core.requests.sessions import (
    Session,
    SessionAge,
    classify_age,
    encode_session,
    parse_key,
)
from zinniaspool.entry.calls import CallRunner, WantedCall
from zinniaspool.entry.claims import ClaimKeeper
from zinniaspool.entry.forwarding import CallForwarder, Owner
from zinniaspool.entry.handover import AnswerHandover
from zinniaspool.entry.keyed import KeyedCall, KeyedEnd, KeyedRuns, refuse_keyed
from zinniaspool.entry.sinks import (
    EndedCall,
    KeptAnswer,
)
from zinniaspool.http import Exchange
from zinniaspool.peers import PeerLinks
from zinniaspool.store import StoreFault

__all__ = ["OnceCalls", "OnceLimits", "OnceState"]

_EXPIRE_EVERY_S = 5.0
"""Seconds between sweeps of expired keys; chosen."""
_MOST_OWNERS_TRIED = 3
"""Owners that a key is followed to before the outcome is unknown."""
_FORGED = "Idempotency-Key: its session was not given out by this system"
_MALFORMED = "Idempotency-Key: 1-255 visible ASCII, no quotes inside, or SESSION.TEXT"


@dataclass(frozen=True, slots=True)
class OnceLimits:
    """Times of keyed calls.

    Attributes:
        session_s: How long a session's keys may be new.
        repeat_wait_s: Longest wait of a repeat for the running request.
    """

    session_s: float = 600.0
    repeat_wait_s: float = 10.0


@dataclass(frozen=True, slots=True)
class OnceState:
    """Keyed calls here, for the state dump.

    Attributes:
        remembered: Keys that are remembered.
        running: Calls that run.
        forwarded: Calls that run for other processes.
        slots: Slots of claims that this process owns.
    """

    remembered: int
    running: int
    forwarded: int
    slots: list[int]


class OnceCalls:
    """Runs each keyed call at most once and answers its repeats.

    Args:
        own: This process.
        runner: Runs calls.
        keeper: Writes claims.
        forwarder: Has calls run by other processes.
        links: Connections to peers.
        table: The keys remembered here.
        handover: Keeps answers beyond a planned stop.
        limits: Times.
    """

    def __init__(
        self,
        own: SlotOwner,
        runner: CallRunner,
        keeper: ClaimKeeper,
        forwarder: CallForwarder,
        links: PeerLinks,
        table: KeyTable[EndedCall],
        handover: AnswerHandover,
        limits: OnceLimits,
    ) -> None:
        self._own = own
        self._keeper = keeper
        self._forwarder = forwarder
        self._links = links
        self._table = table
        self._handover = handover
        self._limits = limits
        self._runs = KeyedRuns(runner, keeper, table, handover, limits.repeat_wait_s)
        self._forwarded: dict[str, asyncio.Task[None]] = {}

    def make_session(self) -> str:
        """Return a session of which callers can make keys from now on."""
        issued = int(asyncio.get_running_loop().time())
        return encode_session(Session(self._own.node, self._own.incarnation, issued))

    async def answer(
        self, exchange: Exchange, wanted: WantedCall, key: str
    ) -> Result[None, Fault]:
        """Answer a call with a key, by whichever process may run it."""
        parsed = parse_key(key)
        if parsed is None:
            return Err(Fault(ErrorKind.MALFORMED_REQUEST, _MALFORMED))
        if parsed.session is None:
            return await self._answer_own_key(exchange, self._note(wanted, parsed.key))
        if self._is_own(parsed.session):
            return await self._answer_session_key(exchange, wanted, parsed.key)
        session = parsed.session
        owner = self._forwarder.find(session.node, session.incarnation)
        if owner is None:
            return Err(Fault(ErrorKind.KEY_OWNER_GONE))
        answer = await self._forwarder.ask(owner, wanted, parsed.key)
        if answer is not None and answer.owned:
            return await _give_forwarded(exchange, answer)
        if _is_late(wanted):
            return Err(Fault(ErrorKind.DEADLINE_PASSED))
        return Err(Fault(ErrorKind.KEY_OWNER_GONE))

    def take_forwarded(self, message: ForwardedCall) -> None:
        """Take a call that another process forwards."""
        if message.id not in self._forwarded:
            task = asyncio.create_task(self._run_forwarded(message))
            self._forwarded[message.id] = task
            task.add_done_callback(lambda _: self._forwarded.pop(message.id))

    async def run(self) -> None:
        """Forget keys in their time, until cancelled."""
        while True:
            await asyncio.sleep(_EXPIRE_EVERY_S)
            for key in self._table.expire(asyncio.get_running_loop().time()):
                self._keeper.forget(find_slot(key), key)
            self._keeper.drop_archives()

    def describe(self) -> OnceState:
        """Return the state of the keyed calls."""
        slots = [slot for slot in range(SLOT_COUNT) if self._keeper.is_own(slot)]
        running, forwarded = len(self._runs), len(self._forwarded)
        return OnceState(len(self._table), running, forwarded, slots)

    async def leave(self) -> None:
        """Begin nothing more for others, and leave the answers to them."""
        self._keeper.leave()
        await self._handover.leave(self._table.list_outcomes())

    async def drain(self) -> None:
        """Wait for the calls that run on without their callers."""
        await self._runs.drain()
        await asyncio.gather(*self._forwarded.values(), return_exceptions=True)
        await self._handover.leave(self._table.list_outcomes())

    # Which process runs it.

    def _is_own(self, session: Session) -> bool:
        own = (self._own.node, self._own.incarnation)
        return (session.node, session.incarnation) == own

    def _note(self, wanted: WantedCall, key: IdempotencyKey) -> KeyedCall:
        hashed = hash_key(wanted.customer, key)
        fingerprint = compute_fingerprint(wanted.path, wanted.body)
        return KeyedCall(wanted, key, hashed, fingerprint, find_slot(hashed))

    async def _answer_session_key(
        self, exchange: Exchange | None, wanted: WantedCall, key: IdempotencyKey
    ) -> Result[None, Fault]:
        ended = await self._end_session_key(exchange, wanted, key)
        return await _give(exchange, wanted, ended)

    async def _end_session_key(
        self, exchange: Exchange | None, wanted: WantedCall, key: IdempotencyKey
    ) -> KeyedEnd:
        parsed = parse_key(key)
        assert parsed is not None and parsed.session is not None
        now = asyncio.get_running_loop().time()
        age = classify_age(parsed.session, now, self._limits.session_s)
        if age is SessionAge.FORGED:
            return refuse_keyed(ErrorKind.MALFORMED_REQUEST, _FORGED)
        noted = self._note(wanted, key)
        if age is SessionAge.OVER and noted.hash not in self._table:
            # Its keys are forgotten from now on, so that this one may have
            # run: only a fresh session's unknown key is surely new.
            return refuse_keyed(ErrorKind.ANSWER_EXPIRED)
        until = parsed.session.issued + self._limits.session_s + 1.0
        call = KeyedCall(
            wanted, key, noted.hash, noted.fingerprint, slot=None, until=until
        )
        return await self._runs.end(exchange, call)

    async def _answer_own_key(
        self, exchange: Exchange, call: KeyedCall
    ) -> Result[None, Fault]:
        assert call.slot is not None
        for _ in range(_MOST_OWNERS_TRIED):
            owner = await self._choose_owner(call.slot)
            if isinstance(owner, StoreFault):
                return Err(Fault(ErrorKind.STORE_UNAVAILABLE))
            if owner is None:
                given = await self._runs.end(exchange, call)
                if self._is_elsewhere(given, call.slot):
                    continue
                return await _give(exchange, call.wanted, given)
            answer = await self._forwarder.ask(owner, call.wanted, call.key)
            if answer is not None and answer.owned:
                return await _give_forwarded(exchange, answer)
            if answer is None and _is_late(call.wanted):
                return Err(Fault(ErrorKind.DEADLINE_PASSED))
            if answer is None or self._forwarder.is_leaving(owner):
                # Its owner may have claimed it and run it. Taking the slot
                # over reads the claims and fences that owner off, so this
                # process then knows, and refuses what was begun.
                gone = SlotOwner(owner.node, owner.incarnation, owner.address)
                self._keeper.take(call.slot, gone)
            self._keeper.forget_owner(call.slot)
        return Err(Fault(ErrorKind.STORE_UNAVAILABLE))

    def _is_elsewhere(self, given: KeyedEnd, slot: int) -> bool:
        fault = given.ended.fault
        refused = fault is not None and fault.kind is ErrorKind.STORE_UNAVAILABLE
        return refused and self._keeper.is_others(slot)

    async def _choose_owner(self, slot: int) -> Owner | None | StoreFault:
        """Return the process to ask; None for this one."""
        if self._keeper.is_own(slot):
            return None
        found = await self._keeper.find_owner(slot)
        if isinstance(found, StoreFault):
            return found
        if found is None or self._is_own(Session(found.node, found.incarnation, 0)):
            self._keeper.take(slot, found)
            return None
        owner = Owner(found.node, found.incarnation, found.address)
        if self._forwarder.is_over(owner):
            self._keeper.take(slot, found)
            return None
        return owner

    async def _run_forwarded(self, message: ForwardedCall) -> None:
        answer = await self._end_forwarded(message)
        await self._links.send(message.reply_to, answer)

    async def _end_forwarded(self, message: ForwardedCall) -> ForwardedAnswer:
        parsed = parse_key(message.key)
        now = asyncio.get_running_loop().time()
        wanted = WantedCall(
            message.id,
            message.customer,
            message.path,
            message.body,
            now + message.timeout_s,
            message.urgency,
        )
        if parsed is None or message.incarnation != self._own.incarnation:
            return ForwardedAnswer(message.id, owned=False)
        if parsed.session is not None:
            if not self._is_own(parsed.session):
                return ForwardedAnswer(message.id, owned=False)
            given = await self._end_session_key(None, wanted, parsed.key)
            return _make_forwarded(message, given.ended)
        call = self._note(wanted, parsed.key)
        assert call.slot is not None
        if not self._keeper.is_own(call.slot):
            return ForwardedAnswer(message.id, owned=False)
        given = await self._runs.end(None, call)
        if self._is_elsewhere(given, call.slot):
            return ForwardedAnswer(message.id, owned=False)
        return _make_forwarded(message, given.ended)


def _is_late(wanted: WantedCall) -> bool:
    return asyncio.get_running_loop().time() >= wanted.deadline


async def _give(
    exchange: Exchange | None, wanted: WantedCall, given: KeyedEnd
) -> Result[None, Fault]:
    if given.ended.fault is not None:
        return Err(given.ended.fault)
    if exchange is None or given.passed_on:
        return Ok(None)
    assert given.ended.answer is not None
    if given.ended.answer.body is None:
        # The one caller that it was passed on to has it; a repeat that
        # waited meanwhile must not take an empty body for the answer.
        return Err(Fault(ErrorKind.ANSWER_EXPIRED))
    await given.ended.answer.send(exchange, wanted.id)
    return Ok(None)


def _make_forwarded(message: ForwardedCall, ended: EndedCall) -> ForwardedAnswer:
    if ended.fault is not None:
        fault = ended.fault
        return ForwardedAnswer(
            message.id, owned=True, error=fault.kind, retry_after=fault.retry_after
        )
    answer = ended.answer
    assert answer is not None
    if answer.body is None:
        return ForwardedAnswer(message.id, owned=True, error=ErrorKind.ANSWER_EXPIRED)
    return ForwardedAnswer(
        message.id, True, answer.status, answer.content_type, answer.body
    )


async def _give_forwarded(
    exchange: Exchange, answer: ForwardedAnswer
) -> Result[None, Fault]:
    if answer.error is not None:
        return Err(Fault(answer.error, retry_after=answer.retry_after))
    kept = KeptAnswer(answer.status, answer.content_type, answer.body)
    await kept.send(exchange, answer.id)
    return Ok(None)
