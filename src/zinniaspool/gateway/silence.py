"""Detects heads that have stalled, and reports them.

The requests at a stalled head are rerouted. The holder of the plans can check
the group's VMs, and the processes that share the head avoid it.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

import structlog

from zinniaspool.core.dispatch import (
    StallLimits,
    TargetPool,
    TargetState,
    back_off,
    clear_disproved_stall,
    compute_stall_timeout,
    find_stall_times,
    is_lost,
    suspect,
)
from zinniaspool.core.ids import NodeId
from zinniaspool.core.messages.fleet import StalledTarget, StallEvidence
from zinniaspool.gateway.calls import RerouteCause
from zinniaspool.gateway.moves import RerouteCondition, Rerouter
from zinniaspool.gateway.targets import TargetIndex
from zinniaspool.telemetry import StallTally

__all__ = ["StallDetector", "StallLinks"]

_log = structlog.get_logger(__name__)

MIN_CHECK_INTERVAL_S = 0.02
"""Shortest time between two checks for stalled targets, in seconds: a small
part of the pause that a stream may have."""

MAX_CHECK_INTERVAL_S = 0.1
"""Longest time between two checks, in seconds. A request that was sent after a
check may be overdue before all requests that the check knew."""

READ_PAUSE_S = 0.002
READ_TURNS = 4
"""Pause before a target counts as stalled, in seconds, and the turns of the
event loop after it. An entry VM has half a core, so that its processes are
late by 5 to 30 ms now and then, with events unread meanwhile. They are read
in this pause; a read passes through three turns. Without it, one in 1,000
streams was rerouted from healthy heads in the model of passes, with a delay of
each process every 0.1 s."""

PEER_REPORT_LIFETIME_S = 0.3
"""Time for which a peer's report that a head stalled may be disproved by an
event, in seconds. The longest pass takes about as long."""

MIN_DISPROVING_S = 0.03
"""Time by which an event must be newer than the last one of the peer that
reports a stall, in seconds, to disprove the report. Events of one pass reach
two processes at times that differ by the network's spread and the delay of a
process."""

FORMER_PATH_S = 3.0
"""Time after a change of this VM's path for which the silence of requests that
were sent before shows nothing about their target, in seconds. Those that can
be sent again have been answered or rerouted by then."""


@dataclass(frozen=True, slots=True)
class StallLinks:
    """What a stall detector uses of its process.

    Attributes:
        send_to_holder: Sends a message to the holder.
        send_to_peers: Sends a message to the processes that share targets with
            this one.
        send_to_peer: Sends a message to one of them.
        probe: Finds out whether a target refuses connections; if it does,
            ``StallDetector.handle_refusal`` is called.
    """

    send_to_holder: Callable[[StalledTarget], None]
    send_to_peers: Callable[[StalledTarget], None]
    send_to_peer: Callable[[NodeId, StalledTarget], None]
    probe: Callable[[TargetState], None]


@dataclass(frozen=True, slots=True)
class _PeerReport:
    """A peer's report on a head with streams of this process.

    Attributes:
        state: The head.
        node: The peer's VM.
        last_event_at: The peer's last event from it, in seconds.
        expires_at: Time until which an event may disprove it, in seconds.
    """

    state: TargetState
    node: NodeId
    last_event_at: float
    expires_at: float


class StallDetector:
    """Detects stalled targets and reroutes the requests there.

    Args:
        node: This process's VM.
        index: The targets.
        rerouter: Interrupts attempts whose requests must leave a target.
        links: Sends reports and probes targets.

    Attributes:
        tally: Counts stalls and false alarms.
    """

    def __init__(
        self, node: NodeId, index: TargetIndex, rerouter: Rerouter, links: StallLinks
    ) -> None:
        self.tally = StallTally()
        self._node = node
        self._index = index
        self._rerouter = rerouter
        self._links = links
        self._limits = StallLimits()
        self._stalled: dict[TargetState, StallEvidence] = {}
        self._refused: set[TargetState] = set()
        self._peer_reports: list[_PeerReport] = []
        self._path_changed_at = -inf

    async def run(self) -> None:
        """Check for stalled targets until cancelled."""
        loop = asyncio.get_running_loop()
        next_at = 0.0
        while True:
            now = loop.time()
            next_at = min(
                next_at, now + MAX_CHECK_INTERVAL_S, self._rerouter.find_next_overdue()
            )
            due = max(now + MIN_CHECK_INTERVAL_S, next_at)
            await asyncio.sleep(due - now)
            # The check runs as of the time at which it was due. If it is late,
            # this process was delayed, and events may lie unread.
            next_at = await self._check(due)

    async def _check(self, due: float) -> float:
        """Handle stalled targets; return when the next one may stall."""
        times = self._find_stall_times(due)
        if any(at <= due and state not in self._stalled for _, state, at in times):
            await _read_arrived_events()
            times = self._find_stall_times(due)
        self._find_disproved()
        for pool, state, at in times:
            if at <= due:
                self._handle_stall(pool, state, due)
        for state in self._rerouter.reroute_overdue(due, self._path_changed_at):
            if suspect(state, self._limits, due):
                self._report_stall(state, due, StallEvidence.WAITING)
        return min((at for _, _, at in times), default=inf)

    def _find_stall_times(
        self, now: float
    ) -> list[tuple[TargetPool, TargetState, float]]:
        return [
            (pool, state, at)
            for pool in self._index.list_pools()
            for state, at in find_stall_times(pool, self._limits, now)
        ]

    def _handle_stall(self, pool: TargetPool, state: TargetState, now: float) -> None:
        if state.removed:
            self._rerouter.reroute_from(state, RerouteCause.STALLED)
            return
        if self._is_on_former_path(state, now):
            self._rerouter.reroute_from(state, RerouteCause.PATH_CHANGED)
            # The next check would find the same silence.
            state.last_event_at = now
            return
        evidence = StallEvidence.STREAMS if state.streaming else StallEvidence.WAITING
        if state in self._refused:
            evidence = StallEvidence.REFUSED
        if now >= state.backoff_until:
            self._record_stall(state, now, evidence)
            back_off(state, self._limits, now)
            if evidence is StallEvidence.REFUSED:
                state.awaited_until = now
            gap_s = pool.predict_gap(state, now)
            self._report_stall(
                state,
                now,
                evidence,
                gap_s,
                predicted_ms=int(gap_s * 1000),
                timeout_ms=int(
                    compute_stall_timeout(pool, state, self._limits, now) * 1000
                ),
            )
            self._links.probe(state)
        # Without a stream, the requests there may just wait for the prompts of
        # others. If all targets are full, rerouting them would only have their
        # prompts read twice.
        condition = RerouteCondition.FREE_SLOT
        if state.streaming:
            condition = RerouteCondition.ON_TIME
            if state in self._refused or is_lost(state, self._limits, now):
                condition = RerouteCondition.ANY_TARGET
        self._rerouter.reroute_from(state, RerouteCause.STALLED, condition)

    def _is_on_former_path(self, state: TargetState, now: float) -> bool:
        """Return whether a target may be silent because the path has changed.

        It is if a request there was sent on the path of before, which may hold
        its connection open for long.
        """
        if now > self._path_changed_at + FORMER_PATH_S:
            return False
        return self._rerouter.has_older_attempt(state, self._path_changed_at)

    def _record_stall(
        self, state: TargetState, now: float, evidence: StallEvidence
    ) -> None:
        if state in self._stalled:
            return
        self._stalled[state] = evidence
        quiet_s = now - state.last_event_at if state.streaming else None
        self.tally.add_found(state.target.model or "", evidence.value, quiet_s)

    def _find_disproved(self) -> None:
        """Find stalled targets and reported ones that have had events since.

        An event resets the count of stalls (``TargetPool.record_event``).
        """
        for state in list(self._stalled):
            if state.removed:
                del self._stalled[state]
            elif not state.consecutive_stalls:
                self._record_false_alarm(state, self._node)
        self._refused = {state for state in self._refused if not state.removed}
        if self._peer_reports:
            self._answer_peer_reports(asyncio.get_running_loop().time())

    def _answer_peer_reports(self, now: float) -> None:
        """Inform peers whose reports have been disproved by events."""
        waiting = []
        for report in self._peer_reports:
            state = report.state
            if state.removed or state.consecutive_stalls or now > report.expires_at:
                continue
            if state.last_event_at < report.last_event_at + MIN_DISPROVING_S:
                waiting.append(report)
                continue
            answer = StalledTarget(
                state.target.instance, self._node, StallEvidence.ALIVE
            )
            self._links.send_to_peer(report.node, answer)
        self._peer_reports = waiting

    def _record_false_alarm(self, state: TargetState, reported_by: NodeId) -> None:
        evidence = self._stalled.pop(state)
        self.tally.add_false_alarm(state.target.model or "")
        _log.info(
            "target-alive",
            instance=state.target.instance,
            group=state.target.group or "",
            evidence=evidence.value,
            told_by=reported_by,
        )

    def handle_refusal(self, state: TargetState) -> None:
        """Handle that a target refuses connections.

        Its process has ended, or it is leaving and finishes its requests. So
        streams that had an event with the last pass are left there. If the
        next one doesn't come, they are rerouted at once.
        """
        if state.target.group is None or state.removed or state in self._refused:
            return
        self._refused.add(state)
        now = asyncio.get_running_loop().time()
        self._report_stall(state, now, StallEvidence.REFUSED)
        if state in self._stalled:
            self._rerouter.reroute_from(state, RerouteCause.REFUSED)
        elif not state.streaming:
            self._rerouter.reroute_from(
                state, RerouteCause.REFUSED, RerouteCondition.FREE_SLOT
            )

    def handle_path_change(self) -> None:
        """Use all targets again when this VM's path to them has changed.

        What showed them as stalled or failing was the path. Requests at
        stalled targets are sent again on the new one.
        """
        self._path_changed_at = asyncio.get_running_loop().time()
        for state in self._index:
            state.clear_failures()
        stalled, self._stalled = self._stalled, {}
        self._refused.clear()
        for state in stalled:
            self._rerouter.reroute_from(state, RerouteCause.PATH_CHANGED)

    def handle_peer_report(self, report: StalledTarget) -> None:
        """Handle a report that another process found a target stalled."""
        now = asyncio.get_running_loop().time()
        state = self._index.find_state(report.instance)
        if state is None:
            return
        if report.evidence is StallEvidence.ALIVE:
            if state in self._stalled and clear_disproved_stall(state, now):
                self._record_false_alarm(state, report.node)
            return
        if report.evidence is StallEvidence.REFUSED and state.local_requests:
            self._links.probe(state)
        elif state.streaming and report.quiet_ms is not None:
            last_event_at = now - report.quiet_ms / 1000
            expires_at = now + PEER_REPORT_LIFETIME_S
            self._peer_reports.append(
                _PeerReport(state, report.node, last_event_at, expires_at)
            )
        if not suspect(state, self._limits, now):
            return
        _log.info(
            "target-told-silent",
            instance=report.instance,
            told_by=report.node,
            evidence=report.evidence.value if report.evidence else "",
            quiet_ms=report.quiet_ms or 0,
            own=state.local_requests,
        )
        self._rerouter.reroute_from(
            state, RerouteCause.PEER_REPORT, RerouteCondition.FREE_SLOT
        )

    def _report_stall(
        self,
        state: TargetState,
        now: float,
        evidence: StallEvidence,
        gap_s: float = inf,
        **inputs: int,
    ) -> None:
        """Report a stalled head to the holder and to peers.

        The holder can query the group's VMs. Peers that have only waiting
        requests at the target would send more requests there: only streams
        show a stall at once.

        Args:
            state: The head.
            now: Seconds.
            evidence: What shows that it has stalled.
            gap_s: Predicted time between two of its events, in seconds.
            inputs: What else the decision was made from, for the log.
        """
        quiet_ms = int((now - state.last_event_at) * 1000)
        _log.warning(
            "target-silent",
            instance=state.target.instance,
            group=state.target.group or "",
            evidence=evidence.value,
            own=state.local_requests,
            writing=state.streaming,
            quiet_ms=quiet_ms,
            **inputs,
        )
        if state.target.group is None:
            return
        report = StalledTarget(state.target.instance, self._node, evidence, quiet_ms)
        self._links.send_to_holder(report)
        is_refused = evidence is StallEvidence.REFUSED
        due_at = state.last_event_at + gap_s
        if is_refused or (state.streaming and self._has_other_event(state, due_at)):
            self._links.send_to_peers(report)

    def _has_other_event(self, stalled: TargetState, since: float) -> bool:
        """Return whether a stream of another target has had an event since.

        If this VM loses its path to the upstreams, all events end at that
        moment, some time before the stalled target's next one was due. Reports
        of this process would then make its peers avoid all targets.
        """
        return any(
            state.last_event_at > since
            for state in self._index.list_busy_states()
            if state is not stalled and state.streaming
        )


async def _read_arrived_events() -> None:
    """Let this process read the events that have arrived."""
    await asyncio.sleep(READ_PAUSE_S)
    for _ in range(READ_TURNS):
        await asyncio.sleep(0)
