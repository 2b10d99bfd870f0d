"""Which replica groups are whole, by what their members say themselves."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from zinniaspool.core.fleet.instances import (
    Instance,
    InstanceState,
    MembershipState,
)
from zinniaspool.core.ids import Epoch, GroupId, ModelName

__all__ = ["WholeGroup", "find_whole_groups"]

_HOLDING = frozenset(
    {MembershipState.READY, MembershipState.OPEN, MembershipState.CLOSING}
)
_SERVING = frozenset({MembershipState.OPEN, MembershipState.CLOSING})


@dataclass(frozen=True, slots=True)
class WholeGroup:
    """A group whose members are all there, and whose head serves.

    Attributes:
        group: Its name.
        epoch: Its fencing number.
        model: What it serves.
        head: The member that takes requests.
        members: All of them.
        ending: Whether it finishes what runs and is to get nothing new.
    """

    group: GroupId
    epoch: Epoch
    model: ModelName
    head: Instance
    members: tuple[Instance, ...]
    ending: bool = False


def find_whole_groups(
    instances: Iterable[Instance], sizes: dict[ModelName, int]
) -> list[WholeGroup]:
    """Return the groups that serve, those that end in order among them.

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
        head = next((one for one in members if _serves(one)), None)
        if head is None or head.model is None:
            continue
        if len(members) != sizes.get(head.model):
            continue
        # A member that leaves stays until its group's requests have ended.
        ending = _is_closing(head) or any(
            one.state is InstanceState.LEAVING for one in members
        )
        found_group = WholeGroup(group, epoch, head.model, head, tuple(members), ending)
        whole.append(found_group)
    return whole


def _serves(instance: Instance) -> bool:
    held = instance.membership
    return held is not None and held.rank == 0 and held.state in _SERVING


def _is_closing(head: Instance) -> bool:
    held = head.membership
    return held is not None and held.state is MembershipState.CLOSING
