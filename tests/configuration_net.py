"""Many followers of the configuration over the network of ``gossip_net``."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable

from tests.gossip_net import GossipNet
from zinniaspool.core.configuration import (
    PART_PREFIX,
    ROOT_KEY,
    Announce,
    AskPeer,
    FollowAction,
    FollowMachine,
    PutInForce,
    ReadPart,
    ReadRoot,
    Root,
    decode_root,
    encode_root,
    name_parts,
    split_parts,
)
from zinniaspool.core.deployment import (
    Configuration,
    CustomerRule,
    Inventory,
    RepairWeights,
    Rules,
    Vm,
)
from zinniaspool.core.ids import (
    Address,
    CustomerId,
    FabricDomainId,
    FailureDomainId,
    NodeId,
    Revision,
    VmId,
)
from zinniaspool.core.membership import GossipMachine, Topic
from zinniaspool.core.messages.configuration import (
    decode_announcement,
    encode_announcement,
)
from zinniaspool_standins.kvstore import KeyValueState

__all__ = ["ConfigurationNet", "make_configuration"]

_WATCH_S = 20.0
_STORE_S = 0.005
_KEPT_S = 1e9


def make_configuration(
    change: int, *, customers: int = 3, vms: int = 4, domains: int = 2
) -> Configuration:
    """Return a configuration of which one customer differs by ``change``."""
    rules = tuple(
        CustomerRule(
            CustomerId(f"customer{k}"),
            (CustomerId(f"owner{change if k == change % customers else 0}"),),
        )
        for k in range(customers)
    )
    inventory = tuple(
        Vm(
            VmId(f"vm{k}"),
            Address(f"10.0.{k // 250}.{k % 250}:8000"),
            FailureDomainId(f"domain{k % 2}"),
            FabricDomainId(f"fabric{k % domains}"),
            8,
            CustomerId("owner0"),
        )
        for k in range(vms)
    )
    return Configuration(
        Inventory(inventory), Rules(rules, (), (), RepairWeights(1.0, 1.0))
    )


class ConfigurationNet(GossipNet):
    """Gossip, followers and a store with outages and slow watches."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed)
        self.store = KeyValueState()
        self.store_out = False
        self.store_cut: set[NodeId] = set()
        self.watches_hang = False
        self.calls: Counter[str] = Counter()
        self.followers: dict[NodeId, FollowMachine] = {}
        self.accepted: dict[Revision, Configuration] = {}
        self.in_force: dict[NodeId, list[Revision]] = defaultdict(list)
        self.floor: dict[NodeId, Revision] = {}
        self.acknowledged = Revision(0)

    def start(
        self,
        name: str,
        seeds: Iterable[str] = (),
        address: str | None = None,
        domain: str = "domain0",
    ) -> GossipMachine:
        """Start one process that holds nothing."""
        machine = super().start(name, seeds, address, domain)
        node = NodeId(name)
        others = [Address(seed) for seed in seeds if seed != (address or name)]
        source = random.Random(self.source.random())
        self.followers[node] = FollowMachine(node, others, source, self.now)
        self.in_force[node] = []
        self.floor[node] = self.acknowledged
        return machine

    def accept(self, configuration: Configuration) -> Revision:
        """Accept a change as an operator's command does."""
        contents = split_parts(configuration)
        found = self.store.get(ROOT_KEY)
        base = found.revision if found else Revision(0)
        names = name_parts(contents)
        for name, content in contents.items():
            self.store.swap(PART_PREFIX + names[name], content, Revision(0), None)
        root = Root(f"tag{base}", "operator", names, base)
        revision = self.store.swap(ROOT_KEY, encode_root(root), base, None)
        assert isinstance(revision, int)
        self.accepted[revision] = configuration
        return revision

    def has_everywhere(self, revision: Revision) -> bool:
        """Return whether every process has at least a revision."""
        return all(f.revision >= revision for f in self.followers.values())

    def acknowledge(self) -> None:
        """Do what ``apply --wait`` does through any node's eyes."""
        revisions = [f.revision for f in self.followers.values()]
        newest = max(revisions, default=Revision(0))
        if 2 * sum(held >= newest for held in revisions) > len(revisions):
            self.acknowledged = max(self.acknowledged, newest)

    def settle(self, node: NodeId) -> None:
        """Hand notices on to the follower and let it step."""
        machine, follower = self.machines[node], self.followers[node]
        for notice in machine.take_fresh():
            if notice.topic is Topic.CONFIGURATION:
                announcement = decode_announcement(notice.payload)
                self._do(node, follower.take_notice(announcement, self.now))
        members = machine.members()
        self._do(node, follower.step(self.now, members, joined=machine.joined))

    def _do(self, node: NodeId, actions: list[FollowAction]) -> None:
        for action in actions:
            match action:
                case Announce():
                    payload = encode_announcement(action.announcement)
                    revision = action.announcement.revision
                    self.machines[node].publish(
                        Topic.CONFIGURATION,
                        "root",
                        revision,
                        payload,
                        _KEPT_S,
                        self.now,
                    )
                case PutInForce():
                    self._check(node, action)
                case AskPeer():
                    self._ask_peer(node, action)
                case _:
                    self._call_store(node, action)

    def _announce(self, node: NodeId, action: Announce) -> None:
        payload = encode_announcement(action.announcement)
        revision = action.announcement.revision
        machine = self.machines[node]
        machine.publish(
            Topic.CONFIGURATION, "root", revision, payload, _KEPT_S, self.now
        )

    def _check(self, node: NodeId, action: PutInForce) -> None:
        earlier = self.in_force[node]
        assert not earlier or action.revision > earlier[-1], "reverted"
        assert action.revision >= self.floor[node], "older than acknowledged"
        accepted = self.accepted[action.revision]
        assert split_parts(accepted) == split_parts(action.configuration)
        earlier.append(action.revision)

    def _ask_peer(self, node: NodeId, action: AskPeer) -> None:
        follower = self.followers[node]
        target = self._find(node, action.address, action.node)
        reached = target is not None and target not in self.frozen
        answer = None
        self._count(node, action.message)
        if target is not None and reached and self.reaches(target, node):
            answer = self.followers[target].holding.answer(action.message)
            self._count(target, answer)

        def take() -> None:
            if self.followers.get(node) is follower:
                self._do(node, follower.take_peer(action, answer, self.now))

        self._after(self._delay() if answer else 1.0, lambda: self._thaw(node, take))

    def _thaw(self, node: NodeId, run: Callable[[], None]) -> None:
        if node in self.frozen:
            self._after(0.1, lambda: self._thaw(node, run))
        else:
            run()

    def _call_store(self, node: NodeId, action: FollowAction) -> None:
        follower = self.followers[node]
        self.calls[type(action).__name__] += 1

        def take() -> None:
            if self.followers.get(node) is not follower:
                return
            out = self.store_out or node in self.store_cut
            if isinstance(action, ReadPart):
                found = None if out else self.store.get(PART_PREFIX + action.part)
                content = found.value if found else None
                self._do(node, follower.take_part(action.part, content, self.now))
            elif out:
                follower.take_store_failure(self.now)
            elif isinstance(action, ReadRoot) or not self.watches_hang:
                self._take_root(node, follower)

        if not isinstance(action, ReadRoot | ReadPart):
            self._watch(node, take, self.now + _WATCH_S)
            return
        self._after(_STORE_S, lambda: self._thaw(node, take))

    def _watch(self, node: NodeId, take: Callable[[], None], ends: float) -> None:
        follower = self.followers.get(node)
        found = self.store.get(ROOT_KEY)
        out = self.store_out or node in self.store_cut
        newer = follower and found and found.revision > follower.holding.known_revision
        due = self.now >= ends or out or (newer and not self.watches_hang)
        if due:
            self._after(_STORE_S, lambda: self._thaw(node, take))
        else:
            self._after(0.05, lambda: self._watch(node, take, ends))

    def _take_root(self, node: NodeId, follower: FollowMachine) -> None:
        found = self.store.get(ROOT_KEY)
        revision = found.revision if found else Revision(0)
        root = decode_root(found.value) if found else None
        self._do(node, follower.take_root(revision, root, self.now))
