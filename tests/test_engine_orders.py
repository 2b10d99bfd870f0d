"""Orders to engines leave only while their sender may still give them."""

import asyncio

from tests import fakes
from tests.fakes import FakeUpstream, run_in_loop
from zinniaspool.control.engines import EngineCalls
from zinniaspool.core.ids import Epoch, VmId
from zinniaspool.core.plans import Order, OrderKind
from zinniaspool.http import HttpClient


def test_an_order_of_a_holder_whose_lease_lapsed_does_not_leave() -> None:
    """An engine would follow two holders at once.

    A holder decides on an order and is held up before it leaves. Its lease
    lapses meanwhile and another process plans. The last look, right before
    the order leaves, finds that out.
    """

    async def trial() -> None:
        engine = await FakeUpstream([fakes.answer("ok")]).listen()
        calls = EngineCalls(HttpClient(), 1.0)
        order = Order(OrderKind.UNLOAD, VmId("v"), Epoch(3))
        sent: list[int] = []
        lease_holds = True
        calls.order(
            order,
            engine.address,
            lambda: lease_holds,
            lambda _, status: sent.append(status),
        )
        lease_holds = False
        await calls.settle()
        assert not engine.calls and not sent
        lease_holds = True
        calls.order(
            order,
            engine.address,
            lambda: lease_holds,
            lambda _, status: sent.append(status),
        )
        await calls.settle()
        assert len(engine.calls) == 1
        await asyncio.sleep(0)
        await engine.close()

    run_in_loop(trial)
