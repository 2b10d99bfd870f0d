"""Which replica groups are complete, according to their members' reports."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from zinniaspool.core.fleet.instances import (
    LOADED_STATES,
    Instance,
    InstanceState,
    MembershipState,
)
from zinniaspool.core.ids import Epoch, GroupId, ModelName

__all__ = ["CompleteGroup", "find_complete_groups"]

_SERVING_STATES = frozenset({MembershipState.OPEN, MembershipState.CLOSING})


@dataclass(frozen=True, slots=True)
class CompleteGroup:
    """A group that has all its members and whose head serves requests.

    Attributes:
        group: The group's id.
        epoch: Its fencing token.
        model: The model that it serves.
        head: The member that receives the requests.
        members: All its members.
        is_draining: Whether it finishes its running requests and must be
            sent no new ones.
    """

    group: GroupId
    epoch: Epoch
    model: ModelName
    head: Instance
    members: tuple[Instance, ...]
    is_draining: bool = False


def find_complete_groups(
    instances: Iterable[Instance], sizes: dict[ModelName, int]
) -> list[CompleteGroup]:
    """Return the groups that serve, including those that are draining.

    A head goes on accepting requests after its group has lost a member, and
    they wait there in vain. So the head's report is not enough: each member
    must report itself that it has the model loaded for this group at this
    epoch. A group with a member that is leaving counts as draining.

    Args:
        instances: The instances to look for groups in.
        sizes: The number of VMs in a group, by model.
    """
    found: defaultdict[tuple[GroupId, Epoch], list[Instance]] = defaultdict(list)
    for instance in instances:
        membership = instance.membership
        if membership is None or membership.state not in LOADED_STATES:
            continue
        found[membership.group, membership.epoch].append(instance)
    complete = []
    for (group, epoch), members in found.items():
        head = next((member for member in members if _serves(member)), None)
        if head is None or head.model is None:
            continue
        if len(members) != sizes.get(head.model):
            continue
        # A leaving member stays until its group's requests have ended.
        is_draining = _is_closing(head) or any(
            member.state is InstanceState.LEAVING for member in members
        )
        found_group = CompleteGroup(
            group, epoch, head.model, head, tuple(members), is_draining
        )
        complete.append(found_group)
    return complete


def _serves(instance: Instance) -> bool:
    membership = instance.membership
    return (
        membership is not None
        and membership.rank == 0
        and membership.state in _SERVING_STATES
    )


def _is_closing(head: Instance) -> bool:
    membership = head.membership
    return membership is not None and membership.state is MembershipState.CLOSING
