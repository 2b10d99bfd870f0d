"""Which replica groups are whole, by what their members say themselves."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from zinniaspool.core.fleet import Instance, InstanceState, MembershipState
from zinniaspool.core.ids import Epoch, GroupId, ModelName

__all__ = ["WholeGroup", "find_whole_groups"]

_HOLDING = frozenset({MembershipState.READY, MembershipState.OPEN})


@dataclass(frozen=True, slots=True)
class WholeGroup:
    """A group whose members are all there, and which is open."""

    group: GroupId
    epoch: Epoch
    model: ModelName
    head: Instance
    members: tuple[Instance, ...]


def find_whole_groups(
    instances: Iterable[Instance], sizes: dict[ModelName, int]
) -> list[WholeGroup]:
    """Return the groups that can serve.

    A head goes on taking requests after it has lost a member, and they wait
    there for nothing. So a head's word is not enough: each member must say
    itself that it holds this group at this epoch, and none may be leaving.
    """
    found: defaultdict[tuple[GroupId, Epoch], list[Instance]] = defaultdict(list)
    for one in instances:
        held = one.membership
        if held is None or held.state not in _HOLDING:
            continue
        found[held.group, held.epoch].append(one)
    whole = []
    for (group, epoch), members in found.items():
        head = next((one for one in members if _is_open(one)), None)
        if head is None or head.model is None:
            continue
        if len(members) != sizes.get(head.model):
            continue
        if any(one.state is InstanceState.LEAVING for one in members):
            continue
        whole.append(WholeGroup(group, epoch, head.model, head, tuple(members)))
    return whole


def _is_open(instance: Instance) -> bool:
    held = instance.membership
    return held is not None and held.rank == 0 and held.state is MembershipState.OPEN
