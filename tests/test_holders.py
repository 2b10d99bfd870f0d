"""Holders, engines and the store under freezes, lapses, losses and delays."""

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from tests.holder_fakes import Bench
from zinniaspool.core.deployment import FencingSupport
from zinniaspool.core.groups.tenure import Tenure, TenureLimits
from zinniaspool.core.ids import VmId

_VMS = st.sampled_from([VmId(f"d0-{k}") for k in range(5)])
_PROCESSES = st.sampled_from([0, 1])


class Holders(RuleBasedStateMachine):
    """No two served groups share a VM; none serves with a member missing.

    Two control processes hold one domain in turn. Either may be frozen
    between any two steps, past its lease, and wake up believing that it
    holds. Orders arrive late and twice, the store goes out or loses answers
    after the write, VMs die, pause and come back with nothing.
    """

    @initialize(fencing=st.sampled_from(FencingSupport), seed=st.integers(0, 2**16))
    def begin(self, fencing: FencingSupport, seed: int) -> None:
        self.bench = Bench(fencing, seed)
        self.bench.advance(60)
        assert len(self.bench.serving(0)) == 3

    @rule(ticks=st.sampled_from([1, 5, 20, 45]))
    def wait(self, ticks: int) -> None:
        self.bench.advance(ticks)

    @rule(process=_PROCESSES, steps=st.integers(0, 11), ticks=st.integers(5, 60))
    def freeze(self, process: int, steps: int, ticks: int) -> None:
        frozen = self.bench.processes[process]
        for _ in range(steps):
            frozen.step()
        frozen.frozen = True
        self.bench.advance(ticks)

    @rule(process=_PROCESSES)
    def thaw(self, process: int) -> None:
        self.bench.processes[process].frozen = False
        self.bench.advance(1)

    @rule(vm=_VMS, ticks=st.integers(0, 40))
    def kill(self, vm: VmId, ticks: int) -> None:
        self.bench.engines[vm].alive = False
        self.bench.advance(ticks)

    @rule(vm=_VMS)
    def restart(self, vm: VmId) -> None:
        self.bench.engines[vm].restart()
        self.bench.advance(1)

    @rule(vm=_VMS, paused=st.booleans(), ticks=st.integers(0, 40))
    def pause(self, vm: VmId, paused: bool, ticks: int) -> None:
        self.bench.engines[vm].paused = paused
        self.bench.advance(ticks)

    @rule(out=st.booleans())
    def switch_store(self, out: bool) -> None:
        self.bench.store_out = out
        self.bench.advance(3)

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        self.bench.lose_answers = count
        self.bench.advance(3)


TestHolders = Holders.TestCase
TestHolders.settings = settings(
    max_examples=40, stateful_step_count=12, deadline=None, print_blob=True
)


def test_groups_serve_on_through_a_store_outage_and_holder_loss() -> None:
    """The store is out and the holder frozen: callers notice nothing.

    The other process cannot take the lease, and witnesses what the engines
    report. A VM that pauses stops its group; once it is back the group
    serves again, without the store.
    """
    bench = Bench(FencingSupport.IGNORED, 1)
    bench.advance(60)
    plan = bench.processes[0].holder.plan
    bench.processes[1].holder.plan = plan
    bench.store_out = True
    bench.processes[0].frozen = True
    for _ in range(10):
        bench.advance(10)
        assert len(bench.serving(0)) == 3
    paused = plan.groups[0].vms[-1]
    bench.engines[paused].paused = True
    bench.advance(30)
    assert len(bench.serving(0)) == 2
    bench.engines[paused].paused = False
    bench.advance(10)
    assert len(bench.serving(0)) == 3
    assert bench.processes[0].holder.plan == plan


def test_a_holder_stops_before_its_lease_can_lapse() -> None:
    """The lease counts from when it was asked for, on the holder's clock.

    The answer came late. The store may lapse the lease three seconds after
    it took the call, so half of that after the call was made is the end.
    """
    limits = TenureLimits(lease_s=3.0)
    tenure = Tenure(limits, 10.0, 11.0, FencingSupport.CHECKED)
    assert tenure.may_order(11.4)
    assert not tenure.may_order(11.5)
    tenure.renew(11.4)
    assert tenure.may_order(12.8)
    assert not tenure.may_order(12.95)


def test_orders_of_a_former_holder_are_waited_out_where_fencing_is_ignored() -> None:
    limits = TenureLimits(lease_s=6.0, order_s=1.0)
    tenure = Tenure(limits, 10.0, 10.1, FencingSupport.IGNORED)
    assert not tenure.may_order(11.0)
    assert tenure.may_order(11.2)
