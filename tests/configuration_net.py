"""Simulation of many configuration followers over a faulty network."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable

from tests.gossip_net import GossipNetwork
from zinniaspool.core.configuration import (
    PART_PREFIX,
    ROOT_KEY,
    ActivateConfiguration,
    Announce,
    FollowAction,
    FollowStateMachine,
    ReadPart,
    ReadRoot,
    Root,
    SendPeerRequest,
    decode_root,
    encode_root,
    hash_parts,
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
from zinniaspool.core.membership import GossipStateMachine, Topic
from zinniaspool.core.messages.configuration import (
    decode_announcement,
    encode_announcement,
)
from zinniaspool_standins.kvstore import KeyValueState

__all__ = ["ConfigurationNetwork", "make_configuration"]

_WATCH_S = 20.0
"""Seconds after which a watch of the store ends."""
_STORE_CALL_S = 0.005
"""Seconds that a call to the store takes."""
_NOTICE_LIFETIME_S = 1e9
"""Longer than any simulation runs."""


def make_configuration(
    change: int, *, customers: int = 3, vms: int = 4, domains: int = 2
) -> Configuration:
    """Return a configuration in which one customer depends on ``change``."""
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


class ConfigurationNetwork(GossipNetwork):
    """Gossip, followers and a store with outages and hanging watches.

    Attributes:
        store: The store's contents.
        store_is_down: Whether calls to the store fail in all processes.
        cut_off_from_store: Processes in which calls to the store fail.
        watches_hang: Whether watches of the store never respond.
        calls: Number of store calls by the name of their action.
        followers: State machine of each process.
        accepted: Each accepted configuration by its revision.
        activated: Revisions that each process has activated, in order.
        min_revision: Revision acknowledged when each process started; the
            process must not activate an older one.
        acknowledged: Newest revision reported as active to an operator.
    """

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed)
        self.store = KeyValueState()
        self.store_is_down = False
        self.cut_off_from_store: set[NodeId] = set()
        self.watches_hang = False
        self.calls: Counter[str] = Counter()
        self.followers: dict[NodeId, FollowStateMachine] = {}
        self.accepted: dict[Revision, Configuration] = {}
        self.activated: dict[NodeId, list[Revision]] = defaultdict(list)
        self.min_revision: dict[NodeId, Revision] = {}
        self.acknowledged = Revision(0)

    def start(
        self,
        name: str,
        seeds: Iterable[str] = (),
        address: str | None = None,
        domain: str = "domain0",
    ) -> GossipStateMachine:
        """Start one process that has no configuration."""
        machine = super().start(name, seeds, address, domain)
        node = NodeId(name)
        others = [Address(seed) for seed in seeds if seed != (address or name)]
        rng = random.Random(self.rng.random())
        self.followers[node] = FollowStateMachine(node, others, rng, self.now)
        self.activated[node] = []
        self.min_revision[node] = self.acknowledged
        return machine

    def accept(self, configuration: Configuration) -> Revision:
        """Accept a change in the way of an operator's command."""
        contents = split_parts(configuration)
        found = self.store.get(ROOT_KEY)
        base = found.revision if found else Revision(0)
        names = hash_parts(contents)
        for name, content in contents.items():
            self.store.swap(PART_PREFIX + names[name], content, Revision(0), None)
        root = Root(f"tag{base}", "operator", names, base)
        revision = self.store.swap(ROOT_KEY, encode_root(root), base, None)
        assert isinstance(revision, int)
        self.accepted[revision] = configuration
        return revision

    def is_active_everywhere(self, revision: Revision) -> bool:
        """Return whether all processes have activated at least a revision."""
        return all(
            follower.revision >= revision for follower in self.followers.values()
        )

    def acknowledge(self) -> None:
        """Acknowledge the newest revision that a majority has activated.

        The command ``apply --wait`` does the same from the view of one node.
        """
        revisions = [follower.revision for follower in self.followers.values()]
        newest = max(revisions, default=Revision(0))
        if 2 * sum(revision >= newest for revision in revisions) > len(revisions):
            self.acknowledged = max(self.acknowledged, newest)

    def process_updates(self, node: NodeId) -> None:
        """Pass new notices to the follower and advance it."""
        machine, follower = self.machines[node], self.followers[node]
        for notice in machine.drain_new_notices():
            if notice.topic is Topic.CONFIGURATION:
                announcement = decode_announcement(notice.payload)
                self._perform(
                    node, follower.handle_announcement(announcement, self.now)
                )
        members = machine.list_members()
        self._perform(node, follower.step(self.now, members, joined=machine.joined))

    def _perform(self, node: NodeId, actions: list[FollowAction]) -> None:
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
                        _NOTICE_LIFETIME_S,
                        self.now,
                    )
                case ActivateConfiguration():
                    self._check_activation(node, action)
                case SendPeerRequest():
                    self._request_from_peer(node, action)
                case _:
                    self._call_store(node, action)

    def _announce(self, node: NodeId, action: Announce) -> None:
        payload = encode_announcement(action.announcement)
        revision = action.announcement.revision
        machine = self.machines[node]
        machine.publish(
            Topic.CONFIGURATION, "root", revision, payload, _NOTICE_LIFETIME_S, self.now
        )

    def _check_activation(self, node: NodeId, action: ActivateConfiguration) -> None:
        activated = self.activated[node]
        assert not activated or action.revision > activated[-1], "reverted"
        assert action.revision >= self.min_revision[node], "older than acknowledged"
        accepted = self.accepted[action.revision]
        assert split_parts(accepted) == split_parts(action.configuration)
        activated.append(action.revision)

    def _request_from_peer(self, node: NodeId, action: SendPeerRequest) -> None:
        follower = self.followers[node]
        target = self._find_reached(node, action.address, action.node)
        reached = target is not None and target not in self.frozen
        response = None
        self._count_sent(node, action.message)
        if target is not None and reached and self.can_reach(target, node):
            response = self.followers[target].local.make_response(action.message)
            self._count_sent(target, response)

        def deliver() -> None:
            if self.followers.get(node) is follower:
                self._perform(
                    node, follower.handle_peer_response(action, response, self.now)
                )

        self._call_after(
            self._draw_delay() if response else 1.0,
            lambda: self._call_unless_frozen(node, deliver),
        )

    def _call_unless_frozen(self, node: NodeId, run: Callable[[], None]) -> None:
        if node in self.frozen:
            self._call_after(0.1, lambda: self._call_unless_frozen(node, run))
        else:
            run()

    def _call_store(self, node: NodeId, action: FollowAction) -> None:
        follower = self.followers[node]
        self.calls[type(action).__name__] += 1

        def deliver() -> None:
            if self.followers.get(node) is not follower:
                return
            is_unreachable = self.store_is_down or node in self.cut_off_from_store
            if isinstance(action, ReadPart):
                found = (
                    None
                    if is_unreachable
                    else self.store.get(PART_PREFIX + action.part)
                )
                content = found.value if found else None
                self._perform(
                    node, follower.handle_part(action.part, content, self.now)
                )
            elif is_unreachable:
                follower.handle_store_failure(self.now)
            elif isinstance(action, ReadRoot) or not self.watches_hang:
                self._deliver_root(node, follower)

        if not isinstance(action, ReadRoot | ReadPart):
            self._watch(node, deliver, self.now + _WATCH_S)
            return
        self._call_after(_STORE_CALL_S, lambda: self._call_unless_frozen(node, deliver))

    def _watch(self, node: NodeId, deliver: Callable[[], None], end_at: float) -> None:
        follower = self.followers.get(node)
        found = self.store.get(ROOT_KEY)
        is_unreachable = self.store_is_down or node in self.cut_off_from_store
        newer = follower and found and found.revision > follower.local.known_revision
        due = self.now >= end_at or is_unreachable or (newer and not self.watches_hang)
        if due:
            self._call_after(
                _STORE_CALL_S, lambda: self._call_unless_frozen(node, deliver)
            )
        else:
            self._call_after(0.05, lambda: self._watch(node, deliver, end_at))

    def _deliver_root(self, node: NodeId, follower: FollowStateMachine) -> None:
        found = self.store.get(ROOT_KEY)
        revision = found.revision if found else Revision(0)
        root = decode_root(found.value) if found else None
        self._perform(node, follower.handle_root(revision, root, self.now))
