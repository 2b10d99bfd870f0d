"""Detects crashed upstreams and quarantines what crashes them.

All entry processes learn of each crash, so that requests which have something
in common can't crash one upstream after another, whichever VMs they come to.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable
from dataclasses import dataclass, field
from math import inf

import structlog

from zinniaspool.core.dispatch import (
    Quarantine,
    TargetState,
    TraitKind,
    Verdict,
    find_kind,
)
from zinniaspool.core.fleet import InstanceIncarnation, ProbeOutcome
from zinniaspool.core.ids import Address, NodeId, TraitId
from zinniaspool.core.messages import Message
from zinniaspool.core.messages.fleet import (
    AnswerReport,
    CrashHistory,
    CrashReport,
    PastCrash,
    StalledTarget,
)
from zinniaspool.gateway.calls import GatewayAttempt, GatewayCall
from zinniaspool.gateway.moves import Rerouter
from zinniaspool.gateway.records import QuarantineRecordStore
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["CrashDetector"]

_log = structlog.get_logger(__name__)

MAX_PROBES = 2
"""Connections that are tried to find out whether an upstream has ended. The
first packet of a connection may be lost."""

MAX_CHECK_WAIT_S = 0.7
"""Longest wait of a request for the result of these, in seconds."""

ENDED_BACKOFF_S = 4.0
"""Backoff of an upstream that has ended, in seconds. By its end the instance
record has expired, or names another incarnation."""

MIN_WRITING_S = 0.5  # seconds
MIN_WRITING_READS = 4
"""Time since an attempt's first event, and reads with events, after which the
attempt can't be what crashes its upstream. Upstreams crash when they begin to
write; streams that have gone on for longer were lost with them. Time alone
doesn't show that: a VM that was frozen reads late what was sent before."""


@dataclass(slots=True)
class _Suspects:
    """The traits of the attempts that were lost at an upstream.

    Attributes:
        traits: The traits.
        trials: Those that were on trial there.
    """

    traits: set[TraitId] = field(default_factory=set)
    trials: set[TraitId] = field(default_factory=set)


class CrashDetector:
    """Finds out what the requests have in common that crash upstreams.

    A lost attempt alone shows little, since a connection may break by itself.
    If no process listens at the upstream's address any more, the upstream has
    ended, which speaks against all traits of the attempts lost there.

    Args:
        node: This process's VM.
        quarantine: Decides which traits are quarantined.
        records: Keeps quarantined traits in the store.
        index: The targets.
        rerouter: Interrupts attempts.
        send_to_all: Sends a message to all other entry processes.
        send_to_holder: Sends a message to the holder.
        probe: Finds out whether an upstream can be connected to, from this VM
            or another one. That this VM alone is refused shows no crash.

    Attributes:
        on_refused: Called with each target that refuses connections.
        crash_count: How often this process found that an upstream had ended.
        trial_count: Requests that this process sent to upstreams as trials.
        quarantine: Decides which traits are quarantined.
    """

    def __init__(
        self,
        node: NodeId,
        quarantine: Quarantine,
        records: QuarantineRecordStore,
        index: TargetIndex,
        rerouter: Rerouter,
        send_to_all: Callable[[Message], None],
        send_to_holder: Callable[[Message], None],
        probe: Callable[[Address], Awaitable[ProbeOutcome]],
    ) -> None:
        self.on_refused: list[Callable[[TargetState], None]] = []
        self.crash_count = 0
        self.trial_count = 0
        self.quarantine = quarantine
        self._node = node
        self._records = records
        self._rerouter = rerouter
        self._index = index
        self._send_to_all = send_to_all
        self._send_to_holder = send_to_holder
        self._probe = probe
        self._suspects: dict[InstanceIncarnation, _Suspects] = {}
        self._checks: dict[InstanceIncarnation, asyncio.Task[None]] = {}

    def judge(self, call: GatewayCall) -> Verdict:
        """Return what is known of a request's traits."""
        return self.quarantine.judge(call.traits, self._now())

    def record_trial(
        self, call: GatewayCall, trait: TraitId, state: TargetState
    ) -> None:
        """Record that a suspected request is sent to its upstream."""
        self.trial_count += 1
        self.quarantine.record_trial(trait, self._now())
        _log.info(
            "trial-begun",
            request=call.terms.id,
            trait=trait,
            instance=state.target.instance,
        )

    def cancel_trial(self, trait: TraitId) -> None:
        """Record that no upstream ran a suspected request."""
        self.quarantine.cancel_trial(trait, self._now())

    async def handle_lost_attempt(self, attempt: GatewayAttempt) -> None:
        """Find out whether the upstream of a lost attempt has crashed.

        Waits for the result if one more crash may suspect the request, so that
        it isn't sent to another upstream before that is known.
        """
        call, state = attempt.call, attempt.state
        incarnation = state.target.incarnation
        if attempt.sent_at > self._index.ended_at.get(incarnation, inf):
            # It was sent after the upstream had ended.
            return
        suspects = self._suspects.setdefault(incarnation, _Suspects())
        if not _goes_on(attempt, self._now()):
            suspects.traits.update(call.traits)
            if attempt.trial is not None:
                suspects.trials.add(attempt.trial)
        check = self._start_check(incarnation, state)
        if self.quarantine.is_near_suspicion(call.traits):
            await asyncio.wait([check], timeout=MAX_CHECK_WAIT_S)

    async def await_check(self, incarnation: InstanceIncarnation, until: float) -> None:
        """Wait until it is known whether an upstream has ended.

        Args:
            incarnation: The upstream; nothing is waited for if it isn't being
                checked.
            until: Latest end of the wait, in seconds.
        """
        check = self._checks.get(incarnation)
        if check is None:
            return
        left_s = max(0.0, until - self._now())
        await asyncio.wait([check], timeout=min(MAX_CHECK_WAIT_S, left_s))

    def check_target(self, state: TargetState) -> None:
        """Find out whether an upstream that doesn't answer has ended."""
        incarnation = state.target.incarnation
        if incarnation not in self._index.ended_at:
            self._start_check(incarnation, state)

    def record_progress(self, attempt: GatewayAttempt, now: float) -> None:
        """Record that a stream has gone on; after a while it is an answer."""
        if not attempt.is_answer and _goes_on(attempt, now):
            self.record_answer(attempt)

    def record_answer(self, attempt: GatewayAttempt) -> None:
        """Record that an attempt has answered its request."""
        if attempt.is_answer:
            return
        attempt.is_answer = True
        began_at = attempt.writing_since if attempt.has_event else attempt.sent_at
        traits = attempt.call.traits
        cleared = self.quarantine.record_answer(traits, began_at, self._now())
        if cleared:
            self._clear(cleared)

    def handle_crash_report(self, report: CrashReport) -> None:
        """Handle another process's report that an upstream crashed."""
        incarnation = InstanceIncarnation(report.instance, report.born)
        self._record_ended(incarnation)
        traits = [*report.contents, *report.traits]
        self._record_crash(incarnation, traits, report.trials, found_here=False)

    def handle_answer_report(self, report: AnswerReport) -> None:
        """Handle another process's report of answers to suspected traits."""
        now = self._now()
        ages_ms = report.ages_ms or [0] * len(report.traits)
        for trait, age_ms in zip(report.traits, ages_ms, strict=False):
            self.quarantine.record_answer([trait], now - age_ms / 1000, now)
            if not self.quarantine.is_quarantined(trait, now):
                self._records.cancel_writes([trait])

    def make_history(self) -> CrashHistory:
        """Return what a process that has just started needs of the crashes."""
        now = self._now()
        return CrashHistory(
            [
                PastCrash(
                    crash.incarnation.instance,
                    crash.incarnation.started_at_ms,
                    int((now - crash.at) * 1000),
                    sorted(crash.traits),
                    sorted(crash.trials),
                )
                for crash in self.quarantine.list_shared_crashes()
            ]
        )

    def apply_history(self, history: CrashHistory) -> None:
        """Apply the crashes of before this process started."""
        now = self._now()
        for crash in history.crashes:
            self._record_crash(
                InstanceIncarnation(crash.instance, crash.born),
                crash.traits,
                crash.trials,
                found_here=False,
                crashed_at=now - crash.age_ms / 1000,
            )

    def apply_records(
        self, added: frozenset[TraitId], removed: frozenset[TraitId]
    ) -> None:
        """Apply changes of the quarantine records in the store.

        Args:
            added: Traits that have a record from now on.
            removed: Traits that no longer have one.
        """
        now = self._now()
        for trait in removed:
            self.quarantine.release(trait)
        self._records.cancel_writes(removed)
        for trait in added:
            record = self._records.find(trait)
            crashed = [] if record is None else record.crashed
            trials = 0 if record is None else record.trials
            known = self.quarantine.is_quarantined(trait, now)
            if not self.quarantine.apply_record(trait, crashed, trials, now):
                self._clear([trait])
                continue
            if record is not None and record.node == self._node:
                self.quarantine.schedule_retrials(trait, now)
            if not known:
                self._enforce_quarantine(trait)

    def _start_check(
        self, incarnation: InstanceIncarnation, state: TargetState
    ) -> "asyncio.Task[None]":
        check = self._checks.get(incarnation)
        if check is None:
            check = asyncio.create_task(self._check(incarnation, state))
            self._checks[incarnation] = check
        return check

    async def _check(
        self, incarnation: InstanceIncarnation, state: TargetState
    ) -> None:
        outcome = ProbeOutcome.NO_ANSWER
        for _ in range(MAX_PROBES):
            if outcome is ProbeOutcome.NO_ANSWER:
                outcome = await self._probe(state.target.address)
        del self._checks[incarnation]
        suspects = self._suspects.pop(incarnation, _Suspects())
        if outcome is not ProbeOutcome.REFUSED:
            return
        self.crash_count += 1
        self._record_ended(incarnation)
        for notify in self.on_refused:
            notify(state)
        # Otherwise the holder would learn of the crash seconds later, when the
        # instance record expires.
        self._send_to_holder(StalledTarget(incarnation.instance, self._node))
        traits = sorted(suspects.traits)
        _log.warning(
            "upstream-crashed",
            instance=incarnation.instance,
            traits=",".join(traits),
            trials=",".join(sorted(suspects.trials)),
        )
        if not traits:
            return
        self._report_crash(incarnation, traits, sorted(suspects.trials))
        self._record_crash(incarnation, traits, suspects.trials, found_here=True)

    def _report_crash(
        self,
        incarnation: InstanceIncarnation,
        traits: list[TraitId],
        trials: list[TraitId],
    ) -> None:
        def is_content(trait: TraitId) -> bool:
            return find_kind(trait) is TraitKind.CONTENT

        self._send_to_all(
            CrashReport(
                incarnation.instance,
                incarnation.started_at_ms,
                [trait for trait in traits if is_content(trait)],
                self._node,
                [trait for trait in traits if not is_content(trait)],
                trials,
            )
        )

    def _record_ended(self, incarnation: InstanceIncarnation) -> None:
        """Record that an upstream has ended, and avoid it for a while."""
        now = self._now()
        self._index.record_ended(incarnation, now)
        state = self._index.find_state(incarnation.instance)
        if (
            state is not None
            and state.target.started_at_ms == incarnation.started_at_ms
        ):
            state.backoff_until = max(state.backoff_until, now + ENDED_BACKOFF_S)
            state.awaited_until = now

    def _record_crash(
        self,
        incarnation: InstanceIncarnation,
        traits: Iterable[TraitId],
        trials: Collection[TraitId],
        *,
        found_here: bool,
        crashed_at: float | None = None,
    ) -> None:
        findings = self.quarantine.record_crash(
            incarnation, traits, trials, self._now(), crashed_at
        )
        released = [*findings.doubtful, *findings.explained]
        if released:
            _log.info("requests-cleared", traits=",".join(released))
            self._records.remove(released)
        for trait in findings.quarantined:
            self._records.add(trait, found_here=found_here)
            self._enforce_quarantine(trait)

    def _enforce_quarantine(self, trait: TraitId) -> None:
        _log.warning(
            "requests-held",
            trait=trait,
            crashed=",".join(self.quarantine.list_crashed_instances(trait)),
            trials=self.quarantine.count_trials(trait),
        )
        self._rerouter.interrupt_trait(trait)

    def _clear(self, traits: list[TraitId]) -> None:
        """Have all processes count no crash against traits any more.

        They were answered since, or something else explains the crashes.
        """
        _log.info("requests-cleared", traits=",".join(traits))
        self._records.remove(traits)
        now = self._now()
        answered = [self.quarantine.find_answer_time(trait) for trait in traits]
        ages_ms = [0 if at is None else int((now - at) * 1000) for at in answered]
        self._send_to_all(AnswerReport(traits, self._node, ages_ms))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _goes_on(attempt: GatewayAttempt, now: float) -> bool:
    """Return whether an attempt has been written for long enough."""
    has_reads = attempt.event_reads >= MIN_WRITING_READS
    return has_reads and now - attempt.writing_since >= MIN_WRITING_S
