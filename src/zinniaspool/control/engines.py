"""Calls to one domain's engines: reports and orders, one of each at a time."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping

import msgspec
import structlog

from zinniaspool.core.ids import Address, VmId
from zinniaspool.core.plans import EngineReport, Order
from zinniaspool.http import Headers, HttpClient, Request, TransportError

__all__ = ["EngineCalls"]

_log = structlog.get_logger(__name__)
_OK = 200
"""HTTP status."""
_JSON = Headers.of(content_type="application/json")


class EngineCalls:
    """Asks engines for reports and sends them orders, without waiting.

    A VM that does not answer delays no other VM's report: each call runs on
    its own, and a VM has at most one of each kind under way.

    Args:
        http: Connections to engines.
        call_s: Longest time that a call may take; an order that has not
            left by then is never sent.
    """

    def __init__(self, http: HttpClient, call_s: float) -> None:
        self._http = http
        self._call_s = call_s
        self._asking: set[VmId] = set()
        self._ordering: set[VmId] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def ask(
        self,
        addresses: Mapping[VmId, Address],
        take: Callable[[EngineReport, float], None],
        miss: Callable[[VmId], None],
    ) -> None:
        """Ask each engine that is not being asked for its report.

        Args:
            addresses: Where the engines listen.
            take: Gets a report and when it was asked for.
            miss: Gets a VM that did not answer.
        """
        for vm, address in addresses.items():
            if vm not in self._asking:
                self._asking.add(vm)
                self._start(self._ask(vm, address, take, miss))

    def order(
        self,
        order: Order,
        address: Address,
        may_send: Callable[[], bool],
        sent: Callable[[Order, int], None],
    ) -> None:
        """Send an order unless one is under way to the same VM.

        Args:
            order: What.
            address: Where the engine listens.
            may_send: Asked right before the order leaves.
            sent: Gets the answer's status.
        """
        if order.vm not in self._ordering:
            self._ordering.add(order.vm)
            self._start(self._order(order, address, may_send, sent))

    async def settle(self) -> None:
        """Wait until the orders under way have ended."""
        while self._ordering:
            await asyncio.wait(set(self._tasks))

    def close(self) -> None:
        """Give up what is under way."""
        for task in self._tasks:
            task.cancel()

    def _start(self, call: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask(
        self,
        vm: VmId,
        address: Address,
        take: Callable[[EngineReport, float], None],
        miss: Callable[[VmId], None],
    ) -> None:
        asked_at = asyncio.get_running_loop().time()
        try:
            report = await self._fetch_report(address)
        finally:
            self._asking.discard(vm)
        if report is None or report.vm != vm:
            miss(vm)
            return
        take(report, asked_at)

    async def _fetch_report(self, address: Address) -> EngineReport | None:
        try:
            status, body = await self._http.fetch(
                address, Request("GET", "/report"), self._call_s
            )
            if status != _OK:
                return None
            return msgspec.json.decode(body, type=EngineReport)
        except (TransportError, msgspec.MsgspecError):
            return None

    async def _order(
        self,
        order: Order,
        address: Address,
        may_send: Callable[[], bool],
        sent: Callable[[Order, int], None],
    ) -> None:
        request = Request("POST", "/orders", _JSON, msgspec.json.encode(order))
        try:
            if not may_send():
                return
            status, _ = await self._http.fetch(address, request, self._call_s)
        except TransportError as error:
            _log.warning("order-unanswered", vm=order.vm, error=str(error))
            return
        finally:
            self._ordering.discard(order.vm)
        sent(order, status)
