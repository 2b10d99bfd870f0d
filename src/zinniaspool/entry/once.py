"""Calls with an idempotency key, each of which runs at most once.

Only one process may run the call of a key. A key of a session names that
process. Any other key belongs to a slot of claims, and the slot's owner runs
the call. This module finds the process, runs the call in it or forwards the
call to it, and answers the caller.
"""

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
from zinniaspool.entry.calls import CallerRequest, CallRunner
from zinniaspool.entry.claims import ClaimStore
from zinniaspool.entry.forwarding import CallForwarder, Owner
from zinniaspool.entry.handover import AnswerHandover
from zinniaspool.entry.keyed import (
    KeyedCall,
    KeyedCallRunner,
    KeyedOutcome,
    refuse_keyed,
)
from zinniaspool.entry.sinks import CallOutcome, StoredAnswer
from zinniaspool.http import Exchange
from zinniaspool.peers import PeerLinks
from zinniaspool.store import StoreFault

__all__ = ["KeyedCallHandler", "KeyedCallLimits", "KeyedCallState"]

_EXPIRE_EVERY_S = 5.0
"""Seconds between removals of expired keys."""
_MAX_OWNERS_TRIED = 3
"""Owners of a slot to try before a call is refused as not run."""
_FORGED_SESSION_DETAIL = "Idempotency-Key: its session was not given out by this system"
_MALFORMED_KEY_DETAIL = (
    "Idempotency-Key: 1-255 visible ASCII, no quotes inside, or SESSION.TEXT"
)


@dataclass(frozen=True, slots=True)
class KeyedCallLimits:
    """Time limits of keyed calls.

    Attributes:
        session_s: Seconds after the issue of a session in which its new keys
            are accepted.
        repeat_wait_s: Maximum seconds that a repeat waits for its request,
            which is still running.
    """

    session_s: float = 600.0
    repeat_wait_s: float = 10.0


@dataclass(frozen=True, slots=True)
class KeyedCallState:
    """State of this process's keyed calls, for the state dump.

    Attributes:
        remembered: Number of keys that this process remembers.
        running: Number of keyed calls that are running.
        forwarded: Number of calls that other processes forwarded and that
            have not been answered.
        slots: Slots of claims that this process owns, as far as it knows.
    """

    remembered: int
    running: int
    forwarded: int
    slots: list[int]


class KeyedCallHandler:
    """Runs each keyed call at most once and answers its repeats.

    Args:
        local_owner: This process, as an owner of slots.
        runner: Runs calls, regardless of their keys.
        claim_store: Writes claims.
        forwarder: Forwards calls to other processes.
        links: Connections to peers.
        table: The keys that this process remembers.
        handover: Stores outcomes for other processes at a planned stop.
        limits: Time limits.
    """

    def __init__(
        self,
        local_owner: SlotOwner,
        runner: CallRunner,
        claim_store: ClaimStore,
        forwarder: CallForwarder,
        links: PeerLinks,
        table: KeyTable[CallOutcome],
        handover: AnswerHandover,
        limits: KeyedCallLimits,
    ) -> None:
        self._local_owner = local_owner
        self._claim_store = claim_store
        self._forwarder = forwarder
        self._links = links
        self._table = table
        self._handover = handover
        self._limits = limits
        self._runner = KeyedCallRunner(
            runner, claim_store, table, handover, limits.repeat_wait_s
        )
        self._forwarded: dict[str, asyncio.Task[None]] = {}

    def issue_session(self) -> str:
        """Return a new session from which callers can form keys."""
        issued = int(asyncio.get_running_loop().time())
        return encode_session(
            Session(self._local_owner.node, self._local_owner.incarnation, issued)
        )

    async def answer(
        self, exchange: Exchange, request: CallerRequest, key: str
    ) -> Result[None, Fault]:
        """Have a call run by the process that may run it, and answer it.

        Args:
            exchange: The exchange with the caller.
            request: The call.
            key: Value of the call's ``Idempotency-Key`` header.
        """
        parsed = parse_key(key)
        if parsed is None:
            return Err(Fault(ErrorKind.MALFORMED_REQUEST, _MALFORMED_KEY_DETAIL))
        if parsed.session is None:
            return await self._answer_plain_key(
                exchange, self._make_keyed_call(request, parsed.key)
            )
        if self._is_local(parsed.session):
            return await self._answer_session_key(exchange, request, parsed.key)
        session = parsed.session
        owner = self._forwarder.find_owner(session.node, session.incarnation)
        if owner is None:
            return Err(Fault(ErrorKind.KEY_OWNER_GONE))
        answer = await self._forwarder.forward(owner, request, parsed.key)
        if answer is not None and answer.owned:
            return await _send_forwarded_answer(exchange, answer)
        if _is_past_deadline(request):
            return Err(Fault(ErrorKind.DEADLINE_PASSED))
        return Err(Fault(ErrorKind.KEY_OWNER_GONE))

    def handle_forwarded(self, message: ForwardedCall) -> None:
        """Start to run a call that another process forwarded.

        A message that is received again while its call is running has no
        effect.
        """
        if message.id not in self._forwarded:
            task = asyncio.create_task(self._answer_forwarded(message))
            self._forwarded[message.id] = task
            task.add_done_callback(lambda _: self._forwarded.pop(message.id))

    async def run(self) -> None:
        """Remove expired keys and their claims every few seconds."""
        while True:
            await asyncio.sleep(_EXPIRE_EVERY_S)
            for key in self._table.expire(asyncio.get_running_loop().time()):
                self._claim_store.discard(find_slot(key), key)
            self._claim_store.drop_archives()

    def describe(self) -> KeyedCallState:
        """Return the state of the keyed calls."""
        slots = [slot for slot in range(SLOT_COUNT) if self._claim_store.is_local(slot)]
        running, forwarded = len(self._runner), len(self._forwarded)
        return KeyedCallState(len(self._table), running, forwarded, slots)

    async def hand_over(self) -> None:
        """Stop claiming keys, and store the outcomes for the next owners."""
        self._claim_store.stop_claiming()
        await self._handover.store_outcomes(self._table.list_outcomes())

    async def drain(self) -> None:
        """Wait for the running calls, also those whose callers have left.

        Their outcomes are then stored for the next owners, too.
        """
        await self._runner.drain()
        await asyncio.gather(*self._forwarded.values(), return_exceptions=True)
        await self._handover.store_outcomes(self._table.list_outcomes())

    # Choice of the process that runs a call.

    def _is_local(self, session: Session) -> bool:
        local = (self._local_owner.node, self._local_owner.incarnation)
        return (session.node, session.incarnation) == local

    def _make_keyed_call(
        self, request: CallerRequest, key: IdempotencyKey
    ) -> KeyedCall:
        hashed = hash_key(request.customer, key)
        fingerprint = compute_fingerprint(request.path, request.body)
        return KeyedCall(request, key, hashed, fingerprint, find_slot(hashed))

    async def _answer_session_key(
        self, exchange: Exchange | None, request: CallerRequest, key: IdempotencyKey
    ) -> Result[None, Fault]:
        result = await self._run_session_key(exchange, request, key)
        return await _send_outcome(exchange, request, result)

    async def _run_session_key(
        self, exchange: Exchange | None, request: CallerRequest, key: IdempotencyKey
    ) -> KeyedOutcome:
        parsed = parse_key(key)
        assert parsed is not None and parsed.session is not None
        now = asyncio.get_running_loop().time()
        age = classify_age(parsed.session, now, self._limits.session_s)
        if age is SessionAge.FORGED:
            return refuse_keyed(ErrorKind.MALFORMED_REQUEST, _FORGED_SESSION_DETAIL)
        keyed = self._make_keyed_call(request, key)
        if age is SessionAge.OVER and keyed.hash not in self._table:
            # The keys of an expired session may have been removed, so this
            # call may have run. A key that is not remembered is certain to
            # be new only while its session is fresh.
            return refuse_keyed(ErrorKind.ANSWER_EXPIRED)
        until = parsed.session.issued + self._limits.session_s + 1.0
        call = KeyedCall(
            request, key, keyed.hash, keyed.fingerprint, slot=None, remember_until=until
        )
        return await self._runner.run(exchange, call)

    async def _answer_plain_key(
        self, exchange: Exchange, call: KeyedCall
    ) -> Result[None, Fault]:
        assert call.slot is not None
        for _ in range(_MAX_OWNERS_TRIED):
            owner = await self._find_remote_owner(call.slot)
            if isinstance(owner, StoreFault):
                return Err(Fault(ErrorKind.STORE_UNAVAILABLE))
            if owner is None:
                result = await self._runner.run(exchange, call)
                if self._has_lost_slot(result, call.slot):
                    continue
                return await _send_outcome(exchange, call.request, result)
            answer = await self._forwarder.forward(owner, call.request, call.key)
            if answer is not None and answer.owned:
                return await _send_forwarded_answer(exchange, answer)
            if answer is None and _is_past_deadline(call.request):
                return Err(Fault(ErrorKind.DEADLINE_PASSED))
            if answer is None or self._forwarder.is_leaving(owner):
                # The owner may have claimed the key and run the call. The
                # acquisition of the slot reads the claims and fences off
                # that owner. This process then knows which calls were begun
                # and refuses to run them again.
                previous_owner = SlotOwner(owner.node, owner.incarnation, owner.address)
                self._claim_store.acquire(call.slot, previous_owner)
            self._claim_store.forget_owner(call.slot)
        return Err(Fault(ErrorKind.STORE_UNAVAILABLE))

    def _has_lost_slot(self, result: KeyedOutcome, slot: int) -> bool:
        fault = result.outcome.fault
        refused = fault is not None and fault.kind is ErrorKind.STORE_UNAVAILABLE
        return refused and self._claim_store.is_remote(slot)

    async def _find_remote_owner(self, slot: int) -> Owner | None | StoreFault:
        """Return the slot's owner, or None if it is this process.

        If the slot has no owner, its owner has ended, or the store names this
        process, then this process starts to acquire the slot and counts as
        its owner.
        """
        if self._claim_store.is_local(slot):
            return None
        found = await self._claim_store.find_owner(slot)
        if isinstance(found, StoreFault):
            return found
        if found is None or self._is_local(Session(found.node, found.incarnation, 0)):
            self._claim_store.acquire(slot, found)
            return None
        owner = Owner(found.node, found.incarnation, found.address)
        if self._forwarder.has_ended(owner):
            self._claim_store.acquire(slot, found)
            return None
        return owner

    async def _answer_forwarded(self, message: ForwardedCall) -> None:
        answer = await self._run_forwarded(message)
        await self._links.send(message.reply_to, answer)

    async def _run_forwarded(self, message: ForwardedCall) -> ForwardedAnswer:
        parsed = parse_key(message.key)
        now = asyncio.get_running_loop().time()
        request = CallerRequest(
            message.id,
            message.customer,
            message.path,
            message.body,
            now + message.timeout_s,
            message.urgency,
        )
        if parsed is None or message.incarnation != self._local_owner.incarnation:
            return ForwardedAnswer(message.id, owned=False)
        if parsed.session is not None:
            if not self._is_local(parsed.session):
                return ForwardedAnswer(message.id, owned=False)
            result = await self._run_session_key(None, request, parsed.key)
            return _make_forwarded_answer(message, result.outcome)
        call = self._make_keyed_call(request, parsed.key)
        assert call.slot is not None
        if not self._claim_store.is_local(call.slot):
            return ForwardedAnswer(message.id, owned=False)
        result = await self._runner.run(None, call)
        if self._has_lost_slot(result, call.slot):
            return ForwardedAnswer(message.id, owned=False)
        return _make_forwarded_answer(message, result.outcome)


def _is_past_deadline(request: CallerRequest) -> bool:
    return asyncio.get_running_loop().time() >= request.deadline


async def _send_outcome(
    exchange: Exchange | None, request: CallerRequest, result: KeyedOutcome
) -> Result[None, Fault]:
    if result.outcome.fault is not None:
        return Err(result.outcome.fault)
    if exchange is None or result.delivery_started:
        return Ok(None)
    assert result.outcome.answer is not None
    if result.outcome.answer.body is None:
        # The body was too large to store, and only the first caller has
        # received it. A repeat that waited for the running call must not
        # receive an empty body as the answer.
        return Err(Fault(ErrorKind.ANSWER_EXPIRED))
    await result.outcome.answer.send(exchange, request.id)
    return Ok(None)


def _make_forwarded_answer(
    message: ForwardedCall, outcome: CallOutcome
) -> ForwardedAnswer:
    if outcome.fault is not None:
        fault = outcome.fault
        return ForwardedAnswer(
            message.id, owned=True, error=fault.kind, retry_after=fault.retry_after
        )
    answer = outcome.answer
    assert answer is not None
    if answer.body is None:
        return ForwardedAnswer(message.id, owned=True, error=ErrorKind.ANSWER_EXPIRED)
    return ForwardedAnswer(
        message.id, True, answer.status, answer.content_type, answer.body
    )


async def _send_forwarded_answer(
    exchange: Exchange, answer: ForwardedAnswer
) -> Result[None, Fault]:
    if answer.error is not None:
        return Err(Fault(answer.error, retry_after=answer.retry_after))
    stored = StoredAnswer(answer.status, answer.content_type, answer.body)
    await stored.send(exchange, answer.id)
    return Ok(None)
