"""Reports answers that were cut, in the own log and in those of other VMs."""

import asyncio
from collections.abc import Callable

import structlog

from zinniaspool.core.ids import NodeId
from zinniaspool.core.messages.fleet import CutAnswer
from zinniaspool.gateway.calls import GatewayCall
from zinniaspool.gateway.lateness import LoopLateness

__all__ = ["CutAnswerReporter", "list_keys", "log_peer_report"]

_log = structlog.get_logger(__name__)

MAX_REPORTS_PER_S = 20
"""Reports that are sent to other VMs in a second. While upstreams fail, many
answers may be cut; each is in the own log."""


class CutAnswerReporter:
    """Logs answers that this process cuts, and reports them to other VMs.

    Args:
        node: This process's VM.
        lateness: By how much this process was late.
        send: Sends a report to other VMs.
    """

    def __init__(
        self,
        node: NodeId,
        lateness: LoopLateness,
        send: Callable[[CutAnswer], None],
    ) -> None:
        self._node = node
        self._lateness = lateness
        self._send = send
        self._second = self._sent = 0

    def measure_lateness(self, call: GatewayCall) -> int:
        """Return by how much the process was late during a request at most.

        Returns:
            Milliseconds.
        """
        return int(self._lateness.measure_longest(call.received_at) * 1000)

    def report(self, call: GatewayCall, after_stop_ms: int) -> None:
        """Report an answer that is cut now.

        Args:
            call: Its request.
            after_stop_ms: Time from the stop signal to its arrival, in
                milliseconds; -1 without one.
        """
        now = asyncio.get_running_loop().time()
        report = CutAnswer(
            self._node,
            call.terms.id,
            call.route.name,
            call.stopped_by,
            int((now - call.received_at) * 1000),
            after_stop_ms,
            call.last_event_id or 0,
            self.measure_lateness(call),
            call.describe_attempts(),
            -1 if call.longest_s is None else int(call.longest_s * 1000),
            -1 if call.stop_forecast is None else int(call.stop_forecast.left_s * 1000),
        )
        _log.warning(
            "answer-cut",
            **list_keys(report),
            allowed_tokens=call.terms.max_output_tokens,
        )
        if self._may_send(now):
            self._send(report)

    def _may_send(self, now: float) -> bool:
        if int(now) != self._second:
            self._second, self._sent = int(now), 0
        self._sent += 1
        return self._sent <= MAX_REPORTS_PER_S


def log_peer_report(report: CutAnswer) -> None:
    """Log an answer that another VM cut."""
    _log.warning("peer-cut-answer", **list_keys(report), vm=report.node)


def list_keys(report: CutAnswer) -> dict[str, object]:
    """Return a report's keys in the log, what decides first."""
    # Collected logs are cut after 200 characters.
    return {
        "request": report.request,
        "fit_ms": f"{report.longest_ms}/{report.left_ms}",
        "attempts": report.attempts,
        "by": report.by,
        "last_event": report.last_event,
        "loop_late_ms": report.loop_late_ms,
        "after_ms": report.after_ms,
        "after_stop_ms": report.after_stop_ms,
        "route": report.route,
    }
