"""Has all processes know which upstreams leave, by what they answer.

An upstream says in its answers that it leaves, often before its record in the
store does, and at times instead of that. The process that has such an answer
reports it to all other entry processes and to the holder, from which processes
that start later learn it.
"""

import asyncio
from collections.abc import Callable

import structlog

from zinniaspool.core.fleet import InstanceIncarnation, LeavingSource
from zinniaspool.core.ids import Address, NodeId, RequestId
from zinniaspool.core.messages.fleet import LeavingInstance
from zinniaspool.fleet import LEAVING_SPREAD_S, FleetView

__all__ = ["DeliveryGuard", "LeavingReporter"]

_log = structlog.get_logger(__name__)


class LeavingReporter:
    """Reports upstreams that leave, and withholds requests from them.

    Args:
        node: This process's VM.
        fleet_view: Knows which upstreams leave.
        send_to_all: Sends a report to all other entry processes.
        send_to_holder: Sends a report to the holder.

    Attributes:
        withheld_count: Requests that were not sent, since their upstreams had
            begun to leave after they were chosen.
    """

    def __init__(
        self,
        node: NodeId,
        fleet_view: FleetView,
        send_to_all: Callable[[LeavingInstance], None],
        send_to_holder: Callable[[LeavingInstance], None],
    ) -> None:
        self.withheld_count = 0
        self._node = node
        self._fleet_view = fleet_view
        self._send_to_all = send_to_all
        self._send_to_holder = send_to_holder
        self._holder_start = ""
        fleet_view.on_nodes.append(self._handle_nodes)

    def record_answer(self, incarnation: InstanceIncarnation) -> None:
        """Record an answer of an upstream that says that it leaves."""
        if self._fleet_view.record_leaving(incarnation, LeavingSource.ANSWER):
            report = LeavingInstance(*incarnation, self._node)
            self._send_to_all(report)
            self._send_to_holder(report)

    def handle_peer_report(self, report: LeavingInstance) -> None:
        """Handle the report of another entry process."""
        self._fleet_view.apply_leaving_report(report, LeavingSource.PEER)

    def may_send(self, incarnation: InstanceIncarnation, request: RequestId) -> bool:
        """Return whether a request may be sent to an upstream.

        It is asked when the request's bytes would be written, which may be
        some time after the upstream was chosen.
        """
        since_s = self._fleet_view.measure_leaving(incarnation)
        if since_s is None:
            return True
        self.withheld_count += 1
        # Later than that, the upstream should not have been chosen.
        log = _log.info if since_s <= LEAVING_SPREAD_S else _log.warning
        log(
            "request-withheld",
            instance=incarnation.instance,
            born=incarnation.started_at_ms or 0,
            request=request,
            reason="leaving",
            since_ms=int(since_s * 1000),
        )
        return False

    def _handle_nodes(self) -> None:
        """Report what upstreams have answered here to a new holder.

        The reports to the holder before it may have ended with that one.
        """
        holder = self._fleet_view.holder
        if holder is None or holder.start == self._holder_start:
            return
        self._holder_start = holder.start
        for run in self._fleet_view.leaving:
            if run.source is not LeavingSource.ANSWER:
                continue
            if not self._fleet_view.has_ended(*run.incarnation):
                self._send_to_holder(LeavingInstance(*run.incarnation, self._node))


class DeliveryGuard:
    """Gives up the requests that don't reach an upstream that leaves.

    No request is sent there any more. What the network still holds back after
    a while would arrive when the upstream may get none.

    Args:
        fleet_view: Knows which upstreams leave.
        abort_own: Ends the connections to an address whose last request has
            not arrived there, and returns their number.
        abort_carried: Does so for the tunnels to a run of an upstream.
    """

    def __init__(
        self,
        fleet_view: FleetView,
        abort_own: Callable[[Address], int],
        abort_carried: Callable[[InstanceIncarnation], int],
    ) -> None:
        self._fleet_view = fleet_view
        self._abort_own = abort_own
        self._abort_carried = abort_carried
        fleet_view.on_leaving.append(self._handle_leaving)

    def _handle_leaving(self, incarnation: InstanceIncarnation) -> None:
        known = self._fleet_view.instances.get(incarnation.instance)
        if known is not None:
            asyncio.get_running_loop().call_later(
                LEAVING_SPREAD_S, self._abort_undelivered, incarnation, known.address
            )

    def _abort_undelivered(
        self, incarnation: InstanceIncarnation, address: Address
    ) -> None:
        if self._fleet_view.has_ended(*incarnation):
            # Another process may have its address.
            return
        own, carried = self._abort_own(address), self._abort_carried(incarnation)
        if own or carried:
            _log.warning(
                "requests-undelivered",
                instance=incarnation.instance,
                born=incarnation.started_at_ms or 0,
                own=own,
                carried=carried,
            )
