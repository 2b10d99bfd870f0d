"""Waits until the live nodes have a revision in force."""

import asyncio
from dataclasses import dataclass

import msgspec
from result import Err

from zinniaspool.cli.asking import AskedProcesses
from zinniaspool.core.ids import NodeId, Revision
from zinniaspool.core.membership import MemberState
from zinniaspool.node.lag import MemberRevision

__all__ = ["Lag", "wait_for_revision"]

_POLL_S = 0.5
"""Seconds between questions to a fleet that is waited for; chosen."""


@dataclass(frozen=True, slots=True)
class Lag:
    """Who has a revision in force.

    Attributes:
        reached: How many nodes have it.
        behind: Live nodes that don't, by name; None when nobody answered.
        silent: Nodes that answer nobody: nothing is known of them.
    """

    reached: int
    behind: tuple[NodeId, ...] | None
    silent: tuple[NodeId, ...]


async def wait_for_revision(
    asked: AskedProcesses, revision: Revision, longest_s: float
) -> Lag:
    """Ask until all live nodes have a revision or the time is over.

    Args:
        asked: Any processes; the first that answers speaks for the fleet.
        revision: What must be in force.
        longest_s: Seconds.
    """
    loop = asyncio.get_running_loop()
    ends = loop.time() + longest_s
    while True:
        lag = _sum_up(await _fetch(asked), revision)
        if lag.behind == () or loop.time() >= ends:
            return lag
        await asyncio.sleep(_POLL_S)


async def _fetch(asked: AskedProcesses) -> list[MemberRevision] | None:
    for each in await asked.ask("GET", "/revisions"):
        if isinstance(each.answer, Err):
            continue
        try:
            return msgspec.convert(each.answer.ok_value, list[MemberRevision])
        except msgspec.ValidationError:
            continue
    return None


def _sum_up(found: list[MemberRevision] | None, revision: Revision) -> Lag:
    if found is None:
        return Lag(0, None, ())
    live = [each for each in found if each.state is not MemberState.UNRESPONSIVE]
    behind = [each.node for each in live if (each.revision or 0) < revision]
    silent = [each.node for each in found if each.state is MemberState.UNRESPONSIVE]
    return Lag(len(live) - len(behind), tuple(behind), tuple(silent))
