"""Waits until a configuration revision is active on all live nodes."""

import asyncio
from dataclasses import dataclass

import msgspec
from result import Err

from zinniaspool.cli.asking import OperatorClient
from zinniaspool.core.ids import NodeId, Revision
from zinniaspool.core.membership import MemberState
from zinniaspool.node.lag import MemberRevision

__all__ = ["Lag", "wait_for_revision"]

_POLL_INTERVAL_S = 0.5
"""Seconds between two requests for the revisions of the nodes."""


@dataclass(frozen=True, slots=True)
class Lag:
    """How far a revision has spread over the nodes.

    Attributes:
        reached: Number of live nodes on which the revision or a later one is
            active.
        behind: Live nodes on which it isn't; None if no process responded.
        unresponsive: Nodes that the responding process knows as unresponsive;
            their revision is unknown.
    """

    reached: int
    behind: tuple[NodeId, ...] | None
    unresponsive: tuple[NodeId, ...]


async def wait_for_revision(
    client: OperatorClient, revision: Revision, timeout_s: float
) -> Lag:
    """Poll until a revision is active on all live nodes or the time is up.

    Args:
        client: Sends requests to any processes of the fleet. The first
            usable response counts, since each process reports the revisions
            of all nodes.
        revision: The revision that must be active.
        timeout_s: How long to wait, in seconds.

    Returns:
        The last state of the nodes.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        lag = _compute_lag(await _fetch_revisions(client), revision)
        if lag.behind == () or loop.time() >= deadline:
            return lag
        await asyncio.sleep(_POLL_INTERVAL_S)


async def _fetch_revisions(client: OperatorClient) -> list[MemberRevision] | None:
    for response in await client.request_all("GET", "/revisions"):
        if isinstance(response.result, Err):
            continue
        try:
            return msgspec.convert(response.result.ok_value, list[MemberRevision])
        except msgspec.ValidationError:
            continue
    return None


def _compute_lag(members: list[MemberRevision] | None, revision: Revision) -> Lag:
    if members is None:
        return Lag(0, None, ())
    live = [
        member for member in members if member.state is not MemberState.UNRESPONSIVE
    ]
    behind = [member.node for member in live if (member.revision or 0) < revision]
    unresponsive = [
        member.node for member in members if member.state is MemberState.UNRESPONSIVE
    ]
    return Lag(len(live) - len(behind), tuple(behind), tuple(unresponsive))
