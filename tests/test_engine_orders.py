"""Tests that an order leaves only while its sender may still send orders."""

import asyncio

from tests import fakes
from tests.fakes import FakeUpstream, run_in_loop
from zinniaspool.control.engines import EngineCalls
from zinniaspool.core.ids import Epoch, VmId
from zinniaspool.core.plans import Order, OrderKind
from zinniaspool.http import HttpClient


def test_an_order_of_a_holder_whose_lease_lapsed_does_not_leave() -> None:
    """Without the check an engine would follow the orders of two holders.

    A holder decides on an order and is delayed before the order leaves.
    Meanwhile its lease expires and another process plans. The last check,
    right before the order leaves, detects that.
    """

    async def trial() -> None:
        engine = await FakeUpstream([fakes.answer("ok")]).listen()
        calls = EngineCalls(HttpClient(), 1.0)
        order = Order(OrderKind.UNLOAD, VmId("v"), Epoch(3))
        sent: list[int] = []
        lease_holds = True
        calls.send_order(
            order,
            engine.address,
            lambda: lease_holds,
            lambda _, status: sent.append(status),
        )
        lease_holds = False
        await calls.wait_for_orders()
        assert not engine.calls and not sent
        lease_holds = True
        calls.send_order(
            order,
            engine.address,
            lambda: lease_holds,
            lambda _, status: sent.append(status),
        )
        await calls.wait_for_orders()
        assert len(engine.calls) == 1
        await asyncio.sleep(0)
        await engine.close()

    run_in_loop(trial)
