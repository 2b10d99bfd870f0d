"""Applies the request rates that upstreams announce in their answers.

An upstream announces how many requests a second it accepts from all VMs
together. The processes that share it report each request to each other, so
that together they stay within the rate.
"""

import asyncio
from collections.abc import Callable

import structlog

from zinniaspool.core.dispatch import AnnouncedRate, TargetState
from zinniaspool.core.fleet import InstanceIncarnation
from zinniaspool.core.ids import NodeId
from zinniaspool.core.messages.fleet import UpstreamLimit
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["AnnouncedLimits"]

_log = structlog.get_logger(__name__)

MAX_LIMITS = 1024
"""Upstreams whose rate limits are remembered."""


class AnnouncedLimits:
    """Keeps the announced rate of each upstream, and counts requests there.

    Args:
        node: This process's VM.
        index: The targets.
        send_to_peers: Sends a report to the processes that share targets with
            this one.
    """

    def __init__(
        self,
        node: NodeId,
        index: TargetIndex,
        send_to_peers: Callable[[UpstreamLimit], None],
    ) -> None:
        self._node = node
        self._index = index
        self._send_to_peers = send_to_peers

    def record_answer(
        self, state: TargetState, per_s: float | None, *, has_run: bool
    ) -> None:
        """Record the rate limit in an upstream's answer.

        Args:
            state: The upstream's target.
            per_s: Requests a second; None if the answer announces no limit.
            has_run: Whether the upstream ran the request. A refusal may lack
                the limit that other answers announce.
        """
        if per_s is None and not has_run:
            return
        incarnation = InstanceIncarnation(
            state.target.instance, state.target.started_at_ms
        )
        if self._set_limit(incarnation, per_s, self._node):
            self._send_report(incarnation, per_s, sent=False)

    def record_request(self, state: TargetState) -> None:
        """Count and report a request of this process at an upstream."""
        if state.announced_rate is None:
            return
        state.announced_rate.record_request(state.subset_part, self._now())
        incarnation = InstanceIncarnation(
            state.target.instance, state.target.started_at_ms
        )
        self._send_report(incarnation, state.announced_rate.per_s, sent=True)

    def handle_peer_report(self, report: UpstreamLimit) -> None:
        """Handle a peer's report of a rate limit or of a request."""
        incarnation = InstanceIncarnation(report.instance, report.born)
        self._set_limit(incarnation, report.per_s, report.node)
        rate = self._index.announced_rates.get(incarnation)
        if report.sent and rate is not None:
            state = self._index.find_state(report.instance)
            rate.record_request(
                1.0 if state is None else state.subset_part, self._now()
            )

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
        rates = self._index.announced_rates
        known = rates.get(incarnation)
        if per_s == (None if known is None else known.per_s):
            return False
        _log.info(
            "limit-announced",
            instance=incarnation.instance,
            per_s=per_s,
            told_by=reported_by,
        )
        if per_s is None:
            del rates[incarnation]
        elif known is not None:
            known.per_s = per_s
        else:
            rates[incarnation] = AnnouncedRate(per_s, self._now())
        if len(rates) > MAX_LIMITS:
            del rates[next(iter(rates))]
        state = self._index.find_state(incarnation.instance)
        if state is not None:
            state.announced_rate = rates.get(incarnation)
        return True

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
