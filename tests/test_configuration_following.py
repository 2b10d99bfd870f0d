"""Followers over a faulty network and store never revert a change."""

from functools import partial

import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tests.configuration_net import ConfigurationNetwork, make_configuration
from zinniaspool.core.configuration.holding import LocalConfiguration, Manifest
from zinniaspool.core.configuration.parts import (
    ROOT_KEY,
    PartHash,
    PartName,
    Root,
    encode_root,
    hash_content,
    hash_parts,
    split_parts,
)
from zinniaspool.core.configuration.votes import StartupVote
from zinniaspool.core.ids import NodeId, Revision
from zinniaspool.core.messages.configuration import (
    Announcement,
    ConfigurationRequest,
    ConfigurationResponse,
    PartContent,
)

_NODES = [f"n{k}" for k in range(6)]
_SEEDS = _NODES[:3]
_ACTIVATION_TIMEOUT_S = 9.0
_RECOVERY_TIMEOUT_S = 60.0


def _start_net(seed: int, nodes: int = 6) -> ConfigurationNetwork:
    net = ConfigurationNetwork(seed)
    net.accept(make_configuration(0))
    for k in range(nodes):
        net.start(f"n{k}", _SEEDS, domain=f"domain{k % 2}")
    net.run_until(lambda: net.is_active_everywhere(Revision(1)), 30.0)
    return net


def _cut_off(net: ConfigurationNetwork, *names: str) -> None:
    inside = {NodeId(name) for name in names}
    net.can_reach = lambda a, b: (a in inside) == (b in inside)


class FollowingRules(RuleBasedStateMachine):
    """Changes, restarts, partitions, freezes and outages in any order.

    The simulated network checks each activated configuration: it was accepted
    and is complete, it is newer than the previous one of the process, and in
    a restarted process it is not older than the acknowledged one.
    """

    @initialize(seed=st.integers(0, 10_000))
    def start(self, seed: int) -> None:
        self.net = _start_net(seed)
        self.changes = 0

    @rule()
    def accept(self) -> None:
        self.changes += 1
        self.net.accept(make_configuration(self.changes))
        self.net.run(0.5)

    @rule(name=st.sampled_from(_NODES))
    def restart(self, name: str) -> None:
        self.net.start(name, _SEEDS, domain=f"domain{int(name[1:]) % 2}")
        self.net.frozen.discard(NodeId(name))
        self.net.run(0.5)

    @rule(names=st.sets(st.sampled_from(_NODES), min_size=1, max_size=4))
    def cut(self, names: set[str]) -> None:
        _cut_off(self.net, *names)

    @rule(names=st.sets(st.sampled_from(_NODES), min_size=1, max_size=4))
    def cut_one_way(self, names: set[str]) -> None:
        self.net.can_reach = lambda a, b: not (a in names and b not in names)

    @rule()
    def heal(self) -> None:
        self.net.can_reach = lambda _, __: True

    @rule(name=st.sampled_from(_NODES))
    def freeze(self, name: str) -> None:
        self.net.frozen ^= {NodeId(name)}

    @rule(is_down=st.booleans())
    def switch_store(self, is_down: bool) -> None:
        self.net.store_is_down = is_down

    @rule(names=st.sets(st.sampled_from(_NODES), max_size=3), hang=st.booleans())
    def hinder_store(self, names: set[str], hang: bool) -> None:
        self.net.cut_off_from_store = {NodeId(name) for name in names}
        self.net.watches_hang = hang

    @rule()
    def acknowledge(self) -> None:
        self.net.acknowledge()

    @rule(seconds=st.sampled_from([0.3, 2.0, 8.0]))
    def wait(self, seconds: float) -> None:
        self.net.run(seconds)

    @rule(loss=st.sampled_from([0.0, 0.2]))
    def lose(self, loss: float) -> None:
        self.net.loss_probability = loss

    @invariant()
    def clocks_run(self) -> None:
        if hasattr(self, "net"):
            self.net.run(0.1)

    def teardown(self) -> None:
        """After all faults have ended, every process has the last change."""
        if not hasattr(self, "net"):
            return
        net = self.net
        net.can_reach = lambda _, __: True
        net.frozen.clear()
        net.store_is_down = net.watches_hang = False
        net.cut_off_from_store = set()
        net.loss_probability = 0.0
        newest = max(net.accepted)
        net.run_until(lambda: net.is_active_everywhere(newest), _RECOVERY_TIMEOUT_S)


FollowingRules.TestCase.settings = settings(
    max_examples=50,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestFollowing = FollowingRules.TestCase


def test_a_change_is_active_everywhere_within_the_bound() -> None:
    net = _start_net(1, nodes=24)
    for change in range(1, 5):
        revision = net.accept(make_configuration(change))
        net.run_until(
            partial(net.is_active_everywhere, revision), _ACTIVATION_TIMEOUT_S
        )


def test_only_the_parts_that_changed_are_read_and_few_processes_read_them() -> None:
    """Two watchers in each failure domain read one part from the store."""
    net = _start_net(2, nodes=24)
    net.run(5.0)
    net.calls.clear()
    revision = net.accept(make_configuration(1, customers=3))
    net.run_until(lambda: net.is_active_everywhere(revision), _ACTIVATION_TIMEOUT_S)
    assert net.calls["ReadPart"] <= 2 * 2
    assert net.calls["WatchRoot"] <= 2 * 2


@pytest.mark.parametrize("stale", [1, 2])
def test_a_start_in_an_outage_beside_stale_peers_is_not_ready(stale: int) -> None:
    """Guards against a restarted process that reverts its own last change.

    The process had activated and acknowledged change 2. The store fails, and
    a partition has left some peers with change 1. The process restarts and
    reaches only these peers. If it accepted their configuration, it would
    revert change 2, so it stays not ready until it reaches the others.
    """
    net = _start_net(3)
    outdated = [f"n{k}" for k in range(5, 5 - stale, -1)]
    _cut_off(net, *outdated)
    net.cut_off_from_store = {NodeId(name) for name in outdated}
    change = net.accept(make_configuration(1))
    net.run(9.0)
    net.acknowledge()
    assert net.acknowledged == change
    net.store_is_down = True
    _cut_off(net, *outdated, "n0")
    net.start("n0", _SEEDS)
    net.run(40.0)
    assert net.followers[NodeId("n0")].revision == 0
    net.can_reach = lambda _, __: True
    net.run_until(lambda: net.is_active_everywhere(change), _RECOVERY_TIMEOUT_S)


def test_members_without_a_configuration_do_not_vote() -> None:
    """Two of three members respond, but one restarted without its state."""
    net = _start_net(3, nodes=4)
    others = [
        member
        for member in net.machines[NodeId("n0")].list_members()
        if member.node != "n0"
    ]
    vote = StartupVote([])
    vote.choose_voters(others, 3, 0.0, net.rng)
    vote.record_vote(NodeId("n1"), Revision(1))
    vote.record_vote(NodeId("n2"), Revision(0))
    assert vote.decide() is None
    vote.record_vote(NodeId("n3"), Revision(2))
    assert vote.decide() == 2


def test_a_start_in_an_outage_gets_the_newest_from_its_peers() -> None:
    """The store is down; a new process gets change 1 from its peers."""
    net = _start_net(4)
    change = net.accept(make_configuration(1))
    net.run_until(lambda: net.is_active_everywhere(change), _ACTIVATION_TIMEOUT_S)
    net.store_is_down = True
    net.start("n4", _SEEDS)
    net.run_until(lambda: net.is_active_everywhere(change), _RECOVERY_TIMEOUT_S)


def test_all_processes_restarted_in_an_outage_are_not_ready_until_it_ends() -> None:
    """No process has a configuration, so all must wait for the store."""
    net = _start_net(5)
    net.store_is_down = True
    for k in range(6):
        net.start(f"n{k}", _SEEDS, domain=f"domain{k % 2}")
    net.run(30.0)
    assert all(follower.revision == 0 for follower in net.followers.values())
    net.store_is_down = False
    net.run_until(lambda: net.is_active_everywhere(Revision(1)), _RECOVERY_TIMEOUT_S)


def test_every_process_restarted_in_turn_under_changes_keeps_the_newest() -> None:
    net = _start_net(6)
    for k in range(6):
        revision = net.accept(make_configuration(k + 1))
        net.start(f"n{k}", _SEEDS, domain=f"domain{k % 2}")
        net.run_until(partial(net.is_active_everywhere, revision), _RECOVERY_TIMEOUT_S)


def test_hanging_watches_delay_a_change_by_one_poll_at_most() -> None:
    """Every watch hangs, and the processes that poll the store find a change.

    A watch that never responds looks like a store without changes. The
    timeout of the watch and the slow polls of all other processes bound the
    delay.
    """
    net = _start_net(7)
    net.watches_hang = True
    revision = net.accept(make_configuration(1))
    net.run_until(lambda: net.is_active_everywhere(revision), 150.0)


def test_a_recovered_store_is_not_called_by_all_at_once() -> None:
    """After a long outage, few processes call the store in any one second.

    All processes see the same outage. Their pauses are random over up to
    15 s, so that only a few of 20 processes call in the same second.
    """
    net = _start_net(8, nodes=20)
    net.store_is_down = True
    net.run(60.0)
    peaks = []
    for _ in range(20):
        net.calls.clear()
        net.run(1.0)
        peaks.append(net.calls.total())
    net.store_is_down = False
    for _ in range(20):
        net.calls.clear()
        net.run(1.0)
        peaks.append(net.calls.total())
    assert max(peaks) <= 10


@pytest.mark.bounds
def test_a_whole_fleet_starting_at_once_makes_few_store_calls() -> None:
    """64 processes start without a configuration, and few of them read parts.

    Each knows too few others at first and could consider itself a watcher. If
    all of them read all 52 parts, there would be over 50 calls a process.
    """
    net = ConfigurationNetwork(1)
    first = net.accept(make_configuration(0, customers=30, vms=600, domains=20))
    for k in range(64):
        net.start(f"n{k}", _SEEDS, domain=f"domain{k % 5}")
    peaks = []
    while not net.is_active_everywhere(first):
        before = net.calls.total()
        net.run(1.0)
        peaks.append(net.calls.total() - before)
    assert net.calls.total() <= 15 * 64
    assert max(peaks) <= 8 * 64


def test_unavailable_parts_are_requested_less_and_less_often() -> None:
    """A root names a part that neither the store nor any process has.

    The old configuration stays active, and the calls fall to a few a minute
    for each process.
    """
    net = _start_net(9)
    contents = split_parts(make_configuration(1))
    names = {**hash_parts(contents), PartName("customer/lost"): PartHash("lost")}
    root = Root("tag", "operator", names, Revision(1))
    found = net.store.get(ROOT_KEY)
    assert found is not None
    net.store.swap(ROOT_KEY, encode_root(root), found.revision, None)
    net.run(120.0)
    net.calls.clear()
    net.run(60.0)
    assert net.calls["ReadPart"] <= 10 * 6
    assert all(
        follower.revision == found.revision for follower in net.followers.values()
    )


def _make_local(*changes: int) -> LocalConfiguration:
    local = LocalConfiguration()
    for change in changes:
        _activate(local, change)
    return local


def _activate(local: LocalConfiguration, change: int) -> None:
    contents = split_parts(make_configuration(change))
    names = hash_parts(contents)
    local.set_pending(Manifest(Revision(change), names))
    local.add_parts(
        PartContent(names[name], content) for name, content in contents.items()
    )
    local.activate_pending()


def test_an_older_configuration_never_replaces_a_newer_one() -> None:
    local = _make_local(1, 3)
    _activate(local, 2)
    assert local.revision == 3
    assert local.pending is None


def test_a_change_is_activated_only_with_its_last_part() -> None:
    local = _make_local(1)
    contents = split_parts(make_configuration(2))
    local.set_pending(Manifest(Revision(2), hash_parts(contents)))
    missing = local.list_missing_parts()
    assert 0 < len(missing) < len(contents)
    assert local.activate_pending() is None
    assert local.revision == 1
    bad = PartContent(missing[0], "not what its hash says")
    local.add_parts([bad])
    assert local.list_missing_parts() == missing
    local.add_parts(
        PartContent(hash_content(content), content) for content in contents.values()
    )
    assert local.activate_pending() == make_configuration(2)


def test_an_announced_difference_is_checked_against_the_digest() -> None:
    """A difference that does not lead to the announced digest is not used."""
    local = _make_local(1)
    changed = {PartName("customer/new"): PartHash("00")}
    wrong = Announcement(Revision(2), PartHash("other"), Revision(1), changed)
    assert not local.set_pending_from_announcement(wrong)
    assert local.pending is None


def test_an_undecodable_configuration_leaves_the_old_one_active() -> None:
    """A part of a newer version arrives, and its revision is reported."""
    local = _make_local(1)
    contents = {PartName("fleet/rules"): '{"rules": 1}'}
    names = hash_parts(contents)
    local.set_pending(Manifest(Revision(2), names))
    local.add_parts(
        PartContent(names[name], content) for name, content in contents.items()
    )
    assert local.activate_pending() is None
    assert (local.revision, local.unreadable) == (1, 2)
    _activate(local, 3)
    assert local.revision == 3


def test_peers_get_the_requested_parts_that_are_present() -> None:
    local = _make_local(1)
    assert local.active is not None
    parts = tuple(local.active.parts.values())
    answer = local.make_response(
        ConfigurationRequest(Revision(1), (*parts, PartHash("x")))
    )
    assert {part.hash for part in answer.parts} == set(parts)
    assert answer.manifest == local.active.parts
    assert local.make_response(
        ConfigurationRequest(Revision(2))
    ) == ConfigurationResponse(Revision(1))
