"""Holders, engines and the store under freezes, lost messages and delays."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.holder_fakes import HolderSimulation
from zinniaspool.core.deployment import FencingSupport
from zinniaspool.core.groups.tenure import LeaseTenure, LeaseTenureLimits
from zinniaspool.core.ids import VmId

_VMS = st.sampled_from([VmId(f"d0-{k}") for k in range(5)])
_PROCESSES = st.sampled_from([0, 1])


class Holders(RuleBasedStateMachine):
    """No two serving groups share a VM, and none serves without a member.

    Two control processes hold one domain in turn. Either may be frozen
    between any two steps until after the end of its lease, and then continue
    as if it still held the lease. Orders arrive late and twice, the store is
    unreachable or loses answers after a write, and VMs fail, pause and
    restart with nothing loaded.
    """

    @initialize(fencing=st.sampled_from(FencingSupport), seed=st.integers(0, 2**16))
    def begin(self, fencing: FencingSupport, seed: int) -> None:
        self.simulation = HolderSimulation(fencing, seed)
        self.simulation.advance(60)
        assert len(self.simulation.list_serving(0)) == 3

    @rule(ticks=st.sampled_from([1, 5, 20, 45]))
    def wait(self, ticks: int) -> None:
        self.simulation.advance(ticks)

    @rule(process=_PROCESSES, steps=st.integers(0, 11), ticks=st.integers(5, 60))
    def freeze(self, process: int, steps: int, ticks: int) -> None:
        frozen = self.simulation.processes[process]
        for _ in range(steps):
            frozen.step()
        frozen.frozen = True
        self.simulation.advance(ticks)

    @rule(process=_PROCESSES)
    def thaw(self, process: int) -> None:
        self.simulation.processes[process].frozen = False
        self.simulation.advance(1)

    @rule(vm=_VMS, ticks=st.integers(0, 40))
    def kill(self, vm: VmId, ticks: int) -> None:
        self.simulation.engines[vm].alive = False
        self.simulation.advance(ticks)

    @rule(vm=_VMS)
    def restart(self, vm: VmId) -> None:
        self.simulation.engines[vm].restart()
        self.simulation.advance(1)

    @rule(vm=_VMS, paused=st.booleans(), ticks=st.integers(0, 40))
    def pause(self, vm: VmId, paused: bool, ticks: int) -> None:
        self.simulation.engines[vm].paused = paused
        self.simulation.advance(ticks)

    @rule(out=st.booleans())
    def switch_store(self, out: bool) -> None:
        self.simulation.store_out = out
        self.simulation.advance(3)

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        self.simulation.lose_answers = count
        self.simulation.advance(3)


TestHolders = Holders.TestCase
TestHolders.settings = settings(
    max_examples=40, stateful_step_count=12, deadline=None, print_blob=True
)


def test_groups_serve_on_through_a_store_outage_and_holder_loss() -> None:
    """The store is unreachable and the holder frozen; all groups still serve.

    The other process cannot acquire the lease, but publishes the engines'
    reports as a witness. A group stops serving while one of its VMs is
    paused, and serves again afterwards, without the store.
    """
    simulation = HolderSimulation(FencingSupport.IGNORED, 1)
    simulation.advance(60)
    plan = simulation.processes[0].holder.plan
    simulation.processes[1].holder.plan = plan
    simulation.store_out = True
    simulation.processes[0].frozen = True
    for _ in range(10):
        simulation.advance(10)
        assert len(simulation.list_serving(0)) == 3
    paused = plan.groups[0].vms[-1]
    simulation.engines[paused].paused = True
    simulation.advance(30)
    assert len(simulation.list_serving(0)) == 2
    simulation.engines[paused].paused = False
    simulation.advance(10)
    assert len(simulation.list_serving(0)) == 3
    assert simulation.processes[0].holder.plan == plan


def test_a_holder_stops_before_its_lease_can_expire() -> None:
    """The lease counts from its request, on the holder's clock.

    The answer comes late. The store may expire the lease three seconds after
    it handled the call, so the holder stops after half of that, counted from
    when it sent the call.
    """
    limits = LeaseTenureLimits(lease_s=3.0)
    tenure = LeaseTenure(limits, 10.0, 11.0, FencingSupport.CHECKED)
    assert tenure.may_order(11.4)
    assert not tenure.may_order(11.5)
    tenure.renew(11.4)
    assert tenure.may_order(12.8)
    assert not tenure.may_order(12.95)


def test_orders_of_a_former_holder_are_waited_out_where_fencing_is_ignored() -> None:
    limits = LeaseTenureLimits(lease_s=6.0, max_order_s=1.0)
    tenure = LeaseTenure(limits, 10.0, 10.1, FencingSupport.IGNORED)
    assert not tenure.may_order(11.0)
    assert tenure.may_order(11.2)
