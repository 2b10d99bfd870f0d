"""Finds groups that serve though no plan names them.

A holder that ended with an unwritten plan, or that formed groups while the
store was down, leaves such groups. They are sound, so the next holder takes
them over. What is not a whole group that serves is released.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from zinniaspool.core.fleet import (
    EngineSpec,
    Instance,
    Membership,
    MembershipState,
)
from zinniaspool.core.formation.lifecycle import SERVING_STATES
from zinniaspool.core.formation.records import GroupRecord
from zinniaspool.core.ids import Epoch, FabricDomainId, GroupId, ServiceName

__all__ = ["find_serving_groups"]

_Member = tuple[Instance, Membership]
_GroupKey = tuple[FabricDomainId, ServiceName, GroupId, Epoch]


def find_serving_groups(
    instances: Iterable[Instance],
    engines: Mapping[ServiceName, EngineSpec],
    may_adopt: Callable[[Instance, Membership], bool],
) -> list[tuple[FabricDomainId, GroupRecord]]:
    """Return the whole groups whose heads serve, with their fabric domains.

    Args:
        instances: The instances; those of other services are ignored.
        engines: The engines of the services whose groups are formed.
        may_adopt: Returns whether an instance is a member of a group that no
            plan names, and that it has not been ordered to leave.
    """
    members: defaultdict[_GroupKey, list[_Member]] = defaultdict(list)
    for instance in instances:
        membership, domain = instance.membership, instance.fabric_domain
        if membership is None or domain is None or instance.service not in engines:
            continue
        if may_adopt(instance, membership):
            key = domain, instance.service, membership.group, membership.epoch
            members[key].append((instance, membership))
    found = []
    for (domain, service, group, epoch), of_group in members.items():
        of_group.sort(key=lambda member: member[1].rank)
        if _is_serving_whole(of_group, engines[service]):
            head, _ = of_group[0]
            assert head.model is not None
            names = tuple(member.id for member, _ in of_group)
            record = GroupRecord(group, epoch, service, head.model, names)
            found.append((domain, record))
    return found


def _is_serving_whole(members: list[_Member], engine: EngineSpec) -> bool:
    """Return whether members, ordered by their ranks, are a whole group."""
    head, membership = members[0]
    model = None if head.model is None else engine.find_model(head.model)
    if model is None or membership.state not in SERVING_STATES:
        return False
    if [member.rank for _, member in members] != list(range(model.size)):
        return False
    return all(
        instance.model == head.model and member.state is MembershipState.READY
        for instance, member in members[1:]
    )
