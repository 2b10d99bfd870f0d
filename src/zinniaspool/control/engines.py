"""Calls to the engines of one fabric domain.

Each engine has at most one poll of its report and one order in progress.
"""

import asyncio
from collections.abc import Callable, Coroutine, Mapping

import msgspec
import structlog

from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.ids import Address, VmId
from zinniaspool.core.plans import EngineReport, Order
from zinniaspool.http import Headers, HttpClient, Request, TransportError

__all__ = ["EngineCalls"]

_log = structlog.get_logger(__name__)
_OK = 200
"""HTTP status of a successful call."""
_JSON = Headers.of(content_type="application/json")


class EngineCalls:
    """Polls engines for reports and sends them orders, in the background.

    Each call runs in its own task, so that a VM that does not answer does not
    delay the reports of other VMs. A VM has at most one call of each kind in
    progress.

    Args:
        http: Connections to engines.
        call_timeout_s: Longest time that a call may take, in seconds. An order
            that has not left by then is never sent.
    """

    def __init__(self, http: HttpClient, call_timeout_s: float) -> None:
        self._http = http
        self._call_timeout_s = call_timeout_s
        self._polling: set[VmId] = set()
        self._ordering: set[VmId] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def poll_reports(
        self,
        addresses: Mapping[VmId, Address],
        on_report: Callable[[EngineReport, float], None],
        on_no_report: Callable[[VmId], None],
    ) -> None:
        """Request a report from each engine without a poll in progress.

        Args:
            addresses: Addresses of the engines by VM.
            on_report: Called with a report and the time of its request.
            on_no_report: Called with a VM that did not answer.
        """
        for vm, address in addresses.items():
            if vm not in self._polling:
                self._polling.add(vm)
                self._start(self._poll_report(vm, address, on_report, on_no_report))

    def send_order(
        self,
        order: Order,
        address: Address,
        may_send: Callable[[], bool],
        on_answer: Callable[[Order, int], None],
    ) -> None:
        """Send an order unless one to the same VM is in progress.

        Args:
            order: The order.
            address: Address of the engine.
            may_send: Checked right before the order leaves; the order is not
                sent if it returns False.
            on_answer: Called with the order and the status of its answer.
        """
        if order.vm not in self._ordering:
            self._ordering.add(order.vm)
            self._start(self._send_order(order, address, may_send, on_answer))

    async def wait_for_orders(self) -> None:
        """Wait until no order is in progress."""
        while self._ordering:
            await asyncio.wait(set(self._tasks))

    def close(self) -> None:
        """Cancel all calls in progress."""
        for task in self._tasks:
            task.cancel()

    def _start(self, call: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _poll_report(
        self,
        vm: VmId,
        address: Address,
        on_report: Callable[[EngineReport, float], None],
        on_no_report: Callable[[VmId], None],
    ) -> None:
        requested_at = asyncio.get_running_loop().time()
        try:
            report = await self._fetch_report(address)
        finally:
            self._polling.discard(vm)
        if report is None or report.vm != vm:
            on_no_report(vm)
            return
        on_report(report, requested_at)

    async def _fetch_report(self, address: Address) -> EngineReport | None:
        try:
            status, body = await self._http.fetch(
                address, Request("GET", "/report"), self._call_timeout_s
            )
            if status != _OK:
                return None
            return msgspec.json.decode(body, type=EngineReport)
        except (TransportError, *DECODE_ERRORS):
            return None

    async def _send_order(
        self,
        order: Order,
        address: Address,
        may_send: Callable[[], bool],
        on_answer: Callable[[Order, int], None],
    ) -> None:
        request = Request("POST", "/orders", _JSON, msgspec.json.encode(order))
        try:
            if not may_send():
                return
            status, _ = await self._http.fetch(address, request, self._call_timeout_s)
        except TransportError as error:
            _log.warning("order-unanswered", vm=order.vm, error=str(error))
            return
        finally:
            self._ordering.discard(order.vm)
        on_answer(order, status)
