"""Waits until the live nodes have a revision in force."""

import asyncio
from dataclasses import dataclass

import msgspec

from zinniaspool.core.ids import Address, NodeId, Revision
from zinniaspool.core.membership import MemberState
from zinniaspool.http import HttpClient, Request, TransportError
from zinniaspool.node.lag import MemberRevision

__all__ = ["Lag", "wait_for_revision"]

_POLL_S = 0.5
_ANSWER_S = 10.0
_OK = 200


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


async def wait_for_revision(node: Address, revision: Revision, wait_s: float) -> Lag:
    """Ask a node until all live ones have a revision or the time is over.

    Args:
        node: Operator address of any node.
        revision: What must be in force.
        wait_s: Seconds.
    """
    loop = asyncio.get_running_loop()
    ends = loop.time() + wait_s
    http = HttpClient()
    try:
        while True:
            lag = _sum_up(await _fetch(http, node), revision)
            if lag.behind == () or loop.time() >= ends:
                return lag
            await asyncio.sleep(_POLL_S)
    finally:
        http.close()


async def _fetch(http: HttpClient, node: Address) -> list[MemberRevision] | None:
    try:
        status, body = await http.fetch(node, Request("GET", "/revisions"), _ANSWER_S)
        if status != _OK:
            return None
        return msgspec.json.decode(body, type=list[MemberRevision])
    except (TransportError, msgspec.MsgspecError):
        return None


def _sum_up(found: list[MemberRevision] | None, revision: Revision) -> Lag:
    if found is None:
        return Lag(0, None, ())
    live = [each for each in found if each.state is not MemberState.SILENT]
    behind = [each.node for each in live if (each.revision or 0) < revision]
    silent = [each.node for each in found if each.state is MemberState.SILENT]
    return Lag(len(live) - len(behind), tuple(behind), tuple(silent))
