"""Keeps what upstreams ask in their answers: a rate, or a pause.

An upstream announces how many requests a second it accepts from all VMs
together. The processes that share it report each request to each other, so
that together they stay within the rate. A pause concerns only the VM that it
was asked of.
"""

import asyncio
from collections.abc import Callable

import structlog

from zinniaspool.core.dispatch import (
    AnnouncedRate,
    InstanceNotice,
    TargetState,
)
from zinniaspool.core.fleet import InstanceIncarnation
from zinniaspool.core.ids import NodeId, RequestId
from zinniaspool.core.messages.fleet import PausedInstance, UpstreamLimit
from zinniaspool.gateway.cold import ColdTracker
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["BackpressureTracker"]

_log = structlog.get_logger(__name__)

MAX_UNKNOWN_HEADERS = 64
"""Header names without a known meaning that are logged, once each."""


class BackpressureTracker:
    """Keeps what each upstream has asked of this process.

    Args:
        node: This process's VM.
        index: The targets.
        cold: Limits the requests to cold upstreams.
        send_to_peers: Sends a report to the processes that share targets with
            this one.
        send_to: Sends a report to the process of one VM.

    Attributes:
        withheld_count: Requests that were not sent, since their upstreams had
            asked for a pause after they were chosen.
    """

    def __init__(
        self,
        node: NodeId,
        index: TargetIndex,
        cold: ColdTracker,
        send_to_peers: Callable[[UpstreamLimit], None],
        send_to: Callable[[NodeId, PausedInstance], None],
    ) -> None:
        self.withheld_count = 0
        self._node = node
        self._index = index
        self._cold = cold
        self._send_to_peers = send_to_peers
        self._send_to = send_to
        self._unknown_headers: set[str] = set()

    def record_answer(
        self,
        state: TargetState,
        notice: InstanceNotice,
        *,
        has_run: bool,
        relay: NodeId | None = None,
    ) -> None:
        """Record what an upstream's answer asks.

        Args:
            state: The upstream's target.
            notice: What the answer asks.
            has_run: Whether the upstream ran the request. A refusal may lack
                the limit that other answers announce.
            relay: The VM that the answer came through. A pause is asked of it,
                since the request came from its address.
        """
        incarnation = state.target.incarnation
        if notice.pause_s is not None:
            self._record_pause(incarnation, notice.pause_s)
            if relay is not None:
                self._send_to(relay, PausedInstance(*incarnation, notice.pause_s))
        if notice.limit_per_s is None and not has_run:
            return
        if self._set_limit(incarnation, notice.limit_per_s, self._node):
            self._send_report(incarnation, notice.limit_per_s, sent=False)

    def record_unknown_headers(self, names: list[str]) -> None:
        """Log names of answers' headers without a known meaning, once each."""
        for name in names:
            if name in self._unknown_headers:
                continue
            if len(self._unknown_headers) < MAX_UNKNOWN_HEADERS:
                self._unknown_headers.add(name)
                _log.info("header-unknown", header=name)

    def record_request(self, state: TargetState) -> None:
        """Count and report a request of this process at an upstream."""
        self._cold.record_request(state)
        if state.backpressure is None or state.backpressure.rate is None:
            return
        rate = state.backpressure.rate
        rate.record_request(state.subset_part, self._now())
        self._send_report(state.target.incarnation, rate.per_s, sent=True)

    def handle_peer_report(self, report: UpstreamLimit) -> None:
        """Handle a peer's report of a rate limit or of a request."""
        incarnation = InstanceIncarnation(report.instance, report.born)
        self._set_limit(incarnation, report.per_s, report.node)
        known = self._index.backpressure.get(incarnation)
        if report.sent and known is not None and known.rate is not None:
            state = self._index.find_state(report.instance)
            known.rate.record_request(
                1.0 if state is None else state.subset_part, self._now()
            )

    def handle_pause_report(self, report: PausedInstance) -> None:
        """Handle a pause asked of this VM for the request of another one."""
        incarnation = InstanceIncarnation(report.instance, report.born)
        self._record_pause(incarnation, report.pause_s)

    def is_paused(self, incarnation: InstanceIncarnation) -> bool:
        """Return whether an upstream has asked this VM for a pause."""
        known = self._index.backpressure.get(incarnation)
        return known is not None and self._now() < known.paused_until

    def may_send(self, incarnation: InstanceIncarnation, request: RequestId) -> bool:
        """Return whether a request may be sent to an upstream.

        It is asked when the request's bytes would be written, which may be
        some time after the upstream was chosen.
        """
        if not self.is_paused(incarnation):
            return True
        self.withheld_count += 1
        _log.info(
            "request-withheld",
            instance=incarnation.instance,
            born=incarnation.started_at_ms or 0,
            request=request,
            reason="pause",
        )
        return False

    def _record_pause(self, incarnation: InstanceIncarnation, pause_s: float) -> None:
        known = self._index.remember_backpressure(incarnation)
        until = self._now() + pause_s
        if self._now() >= known.paused_until:
            _log.info("pause-requested", instance=incarnation.instance, pause_s=pause_s)
        known.paused_until = max(known.paused_until, until)

    def _send_report(
        self, incarnation: InstanceIncarnation, per_s: float | None, *, sent: bool
    ) -> None:
        report = UpstreamLimit(
            incarnation.instance, incarnation.started_at_ms, per_s, sent, self._node
        )
        self._send_to_peers(report)

    def _set_limit(
        self, incarnation: InstanceIncarnation, per_s: float | None, reported_by: NodeId
    ) -> bool:
        """Set an upstream's rate limit; return False if it was known."""
        known = self._index.backpressure.get(incarnation)
        rate = None if known is None else known.rate
        if per_s == (None if rate is None else rate.per_s):
            return False
        _log.info(
            "limit-announced",
            instance=incarnation.instance,
            per_s=per_s,
            told_by=reported_by,
        )
        if per_s is not None and rate is not None:
            rate.per_s = per_s
            return True
        self._index.remember_backpressure(incarnation).rate = (
            None if per_s is None else AnnouncedRate(per_s, self._now())
        )
        return True

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
