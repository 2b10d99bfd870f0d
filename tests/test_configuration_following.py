"""Followers over a faulty network and store: nothing accepted is reverted."""

from functools import partial

import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tests.configuration_net import ConfigurationNet, make_configuration
from zinniaspool.core.configuration.holding import Holding, Manifest
from zinniaspool.core.configuration.parts import (
    ROOT_KEY,
    PartHash,
    PartName,
    Root,
    encode_root,
    hash_content,
    name_parts,
    split_parts,
)
from zinniaspool.core.configuration.votes import StartVote
from zinniaspool.core.ids import NodeId, Revision
from zinniaspool.core.messages.configuration import (
    Announcement,
    ConfigurationRequest,
    ConfigurationResponse,
    PartContent,
)

_NODES = [f"n{k}" for k in range(6)]
_SEEDS = _NODES[:3]
_IN_FORCE_S = 9.0
_SETTLE_S = 60.0


def _start_net(seed: int, nodes: int = 6) -> ConfigurationNet:
    net = ConfigurationNet(seed)
    net.accept(make_configuration(0))
    for k in range(nodes):
        net.start(f"n{k}", _SEEDS, domain=f"domain{k % 2}")
    net.run_until(lambda: net.has_everywhere(Revision(1)), 30.0)
    return net


def _cut_off(net: ConfigurationNet, *names: str) -> None:
    inside = {NodeId(name) for name in names}
    net.reaches = lambda a, b: (a in inside) == (b in inside)


class FollowingMachine(RuleBasedStateMachine):
    """Changes, restarts, partitions, freezes and outages in any order.

    The network itself checks each configuration as it comes in force: it
    was accepted, whole, later than what the process had, and for a process
    that started anew no older than what had been acknowledged.
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
        self.net.reaches = lambda a, b: not (a in names and b not in names)

    @rule()
    def heal(self) -> None:
        self.net.reaches = lambda _, __: True

    @rule(name=st.sampled_from(_NODES))
    def freeze(self, name: str) -> None:
        self.net.frozen ^= {NodeId(name)}

    @rule(out=st.booleans())
    def switch_store(self, out: bool) -> None:
        self.net.store_out = out

    @rule(names=st.sets(st.sampled_from(_NODES), max_size=3), hang=st.booleans())
    def hinder_store(self, names: set[str], hang: bool) -> None:
        self.net.store_cut = {NodeId(name) for name in names}
        self.net.watches_hang = hang

    @rule()
    def acknowledge(self) -> None:
        self.net.acknowledge()

    @rule(seconds=st.sampled_from([0.3, 2.0, 8.0]))
    def wait(self, seconds: float) -> None:
        self.net.run(seconds)

    @rule(loss=st.sampled_from([0.0, 0.2]))
    def lose(self, loss: float) -> None:
        self.net.loss = loss

    @invariant()
    def clocks_run(self) -> None:
        if hasattr(self, "net"):
            self.net.run(0.1)

    def teardown(self) -> None:
        """Whatever came before, a healthy fleet has the last change."""
        if not hasattr(self, "net"):
            return
        net = self.net
        net.reaches = lambda _, __: True
        net.frozen.clear()
        net.store_out = net.watches_hang = False
        net.store_cut = set()
        net.loss = 0.0
        newest = max(net.accepted)
        net.run_until(lambda: net.has_everywhere(newest), _SETTLE_S)


FollowingMachine.TestCase.settings = settings(
    max_examples=50,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestFollowing = FollowingMachine.TestCase


def test_a_change_is_in_force_everywhere_within_the_bound() -> None:
    net = _start_net(1, nodes=24)
    for change in range(1, 5):
        revision = net.accept(make_configuration(change))
        net.run_until(partial(net.has_everywhere, revision), _IN_FORCE_S)


def test_only_the_parts_that_changed_are_read_and_few_processes_read_them() -> None:
    """The store is asked by two watchers a failure domain, for one part."""
    net = _start_net(2, nodes=24)
    net.run(5.0)
    net.calls.clear()
    revision = net.accept(make_configuration(1, customers=3))
    net.run_until(lambda: net.has_everywhere(revision), _IN_FORCE_S)
    assert net.calls["ReadPart"] <= 2 * 2
    assert net.calls["WatchRoot"] <= 2 * 2


@pytest.mark.parametrize("stale", [1, 2])
def test_a_start_in_an_outage_beside_stale_peers_is_not_ready(stale: int) -> None:
    """A process that had change 2 restarts, and meets only those without it.

    The store goes out, and a partition has left some peers with change 1.
    Taking their word would turn back change 2, which the process had in
    force and had said so; so it stays not ready until it meets the rest.
    """
    net = _start_net(3)
    behind = [f"n{k}" for k in range(5, 5 - stale, -1)]
    _cut_off(net, *behind)
    net.store_cut = {NodeId(name) for name in behind}
    change = net.accept(make_configuration(1))
    net.run(9.0)
    net.acknowledge()
    assert net.acknowledged == change
    net.store_out = True
    _cut_off(net, *behind, "n0")
    net.start("n0", _SEEDS)
    net.run(40.0)
    assert net.followers[NodeId("n0")].revision == 0
    net.reaches = lambda _, __: True
    net.run_until(lambda: net.has_everywhere(change), _SETTLE_S)


def test_members_that_hold_nothing_do_not_vouch() -> None:
    """Two of three answer, but one has itself restarted with nothing."""
    net = _start_net(3, nodes=4)
    others = [m for m in net.machines[NodeId("n0")].members() if m.node != "n0"]
    vote = StartVote([])
    vote.choose(others, 3, 0.0, net.source)
    vote.take(NodeId("n1"), Revision(1))
    vote.take(NodeId("n2"), Revision(0))
    assert vote.decide() is None
    vote.take(NodeId("n3"), Revision(2))
    assert vote.decide() == 2


def test_a_start_in_an_outage_takes_the_newest_from_its_peers() -> None:
    """Peers hold change 1 and the store is out: the new process has it too."""
    net = _start_net(4)
    change = net.accept(make_configuration(1))
    net.run_until(lambda: net.has_everywhere(change), _IN_FORCE_S)
    net.store_out = True
    net.start("n4", _SEEDS)
    net.run_until(lambda: net.has_everywhere(change), _SETTLE_S)


def test_all_processes_restarted_in_an_outage_are_not_ready_until_it_ends() -> None:
    """Nobody remembers anything: serving must wait for the store."""
    net = _start_net(5)
    net.store_out = True
    for k in range(6):
        net.start(f"n{k}", _SEEDS, domain=f"domain{k % 2}")
    net.run(30.0)
    assert all(f.revision == 0 for f in net.followers.values())
    net.store_out = False
    net.run_until(lambda: net.has_everywhere(Revision(1)), _SETTLE_S)


def test_every_process_restarted_in_turn_under_changes_keeps_the_newest() -> None:
    net = _start_net(6)
    for k in range(6):
        revision = net.accept(make_configuration(k + 1))
        net.start(f"n{k}", _SEEDS, domain=f"domain{k % 2}")
        net.run_until(partial(net.has_everywhere, revision), _SETTLE_S)


def test_hanging_watches_delay_a_change_by_a_check_in_at_most() -> None:
    """Every watch hangs: processes that look for themselves find the change.

    A watch that never answers looks like a store without changes. Its own
    time limit and the slow looks of all others bound the delay.
    """
    net = _start_net(7)
    net.watches_hang = True
    revision = net.accept(make_configuration(1))
    net.run_until(lambda: net.has_everywhere(revision), 150.0)


def test_the_store_coming_back_is_not_asked_by_all_at_once() -> None:
    """After a long outage calls in any second stay few beside the fleet.

    All processes see the same outage. Their pauses are drawn at random over
    up to 15 s, so that of 20 processes only a few ask in the same second.
    """
    net = _start_net(8, nodes=20)
    net.store_out = True
    net.run(60.0)
    peaks = []
    for _ in range(20):
        net.calls.clear()
        net.run(1.0)
        peaks.append(net.calls.total())
    net.store_out = False
    for _ in range(20):
        net.calls.clear()
        net.run(1.0)
        peaks.append(net.calls.total())
    assert max(peaks) <= 10


@pytest.mark.bounds
def test_a_whole_fleet_starting_at_once_asks_the_store_little() -> None:
    """64 processes start with nothing; parts are read by few of them.

    Each knows too few others at first and could take itself for a watcher.
    Were all to read all 52 parts, there would be over 50 calls a process.
    """
    net = ConfigurationNet(1)
    first = net.accept(make_configuration(0, customers=30, vms=600, domains=20))
    for k in range(64):
        net.start(f"n{k}", _SEEDS, domain=f"domain{k % 5}")
    peaks = []
    while not net.has_everywhere(first):
        before = net.calls.total()
        net.run(1.0)
        peaks.append(net.calls.total() - before)
    assert net.calls.total() <= 15 * 64
    assert max(peaks) <= 8 * 64


def test_parts_that_are_nowhere_are_asked_for_less_and_less() -> None:
    """A root names a part that was lost: the old configuration stays.

    Every process lacks the part, and so do the peers and the store. What is
    in force stays, and the calls fall to a few a minute for each process.
    """
    net = _start_net(9)
    contents = split_parts(make_configuration(1))
    names = {**name_parts(contents), PartName("customer/lost"): PartHash("lost")}
    root = Root("tag", "operator", names, Revision(1))
    found = net.store.get(ROOT_KEY)
    assert found is not None
    net.store.swap(ROOT_KEY, encode_root(root), found.revision, None)
    net.run(120.0)
    net.calls.clear()
    net.run(60.0)
    assert net.calls["ReadPart"] <= 10 * 6
    assert all(f.revision == found.revision for f in net.followers.values())


def _hold(*changes: int) -> Holding:
    holding = Holding()
    for change in changes:
        _offer(holding, change)
    return holding


def _offer(holding: Holding, change: int) -> None:
    contents = split_parts(make_configuration(change))
    names = name_parts(contents)
    holding.want(Manifest(Revision(change), names))
    holding.add_parts(PartContent(names[n], c) for n, c in contents.items())
    holding.settle()


def test_an_older_configuration_never_replaces_a_newer_one() -> None:
    holding = _hold(1, 3)
    _offer(holding, 2)
    assert holding.revision == 3
    assert holding.wanted is None


def test_a_change_comes_in_force_only_with_its_last_part() -> None:
    holding = _hold(1)
    contents = split_parts(make_configuration(2))
    holding.want(Manifest(Revision(2), name_parts(contents)))
    missing = holding.list_missing()
    assert 0 < len(missing) < len(contents)
    assert holding.settle() is None
    assert holding.revision == 1
    bad = PartContent(missing[0], "not what its hash says")
    holding.add_parts([bad])
    assert holding.list_missing() == missing
    holding.add_parts(PartContent(hash_content(c), c) for c in contents.values())
    assert holding.settle() == make_configuration(2)


def test_an_announced_difference_is_checked_against_the_whole() -> None:
    """A difference that does not lead to the announced whole is not used."""
    holding = _hold(1)
    changed = {PartName("customer/new"): PartHash("00")}
    wrong = Announcement(Revision(2), PartHash("other"), Revision(1), changed)
    assert not holding.want_announced(wrong)
    assert holding.wanted is None


def test_what_this_version_cannot_read_leaves_the_old_in_force() -> None:
    """A newer version's part comes: the old stays, and the dump names it."""
    holding = _hold(1)
    contents = {PartName("fleet/rules"): '{"rules": 1}'}
    names = name_parts(contents)
    holding.want(Manifest(Revision(2), names))
    holding.add_parts(PartContent(names[n], c) for n, c in contents.items())
    assert holding.settle() is None
    assert (holding.revision, holding.unreadable) == (1, 2)
    _offer(holding, 3)
    assert holding.revision == 3


def test_peers_get_what_they_ask_for_as_far_as_it_is_held() -> None:
    holding = _hold(1)
    assert holding.in_force is not None
    parts = tuple(holding.in_force.parts.values())
    answer = holding.answer(ConfigurationRequest(Revision(1), (*parts, PartHash("x"))))
    assert {part.hash for part in answer.parts} == set(parts)
    assert answer.manifest == holding.in_force.parts
    assert holding.answer(ConfigurationRequest(Revision(2))) == ConfigurationResponse(
        Revision(1)
    )
