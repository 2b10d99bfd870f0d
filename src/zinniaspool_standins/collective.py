"""The links of a group's first VM to the group's other VMs.

A replica computes each token on all its VMs: with one gone its answers end,
and with one frozen or slow they stand still or slow down. The first VM's
engine hears a beat from each other VM and acts on what it hears.
"""

import asyncio
from dataclasses import dataclass
from urllib.parse import quote

from zinniaspool.core.ids import Address, GroupId, VmId
from zinniaspool.http import HttpClient, Request, TransportError

__all__ = ["BEAT_S", "BrokenGroupError", "Collective"]

BEAT_S = 0.05
_STALE_S = 0.4
_LINK_S = 1.0
_RETRY_S = 0.05
_OK = 200


class BrokenGroupError(Exception):
    """A VM of the group went while a request ran."""


@dataclass(slots=True)
class _Member:
    linked: bool = False
    beat_at: float = 0.0
    straggle: float = 1.0


class Collective:
    """The other VMs of the group as their beats show them.

    Args:
        http: Carries the beats.
        peers: Where each VM's engine listens.
    """

    def __init__(self, http: HttpClient, peers: dict[VmId, Address]) -> None:
        self.breaks = 0
        self._http = http
        self._peers = peers
        self._members: dict[VmId, _Member] = {}
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def linked(self) -> bool:
        """Whether every other VM is there."""
        return all(member.linked for member in self._members.values())

    @property
    def straggle(self) -> float:
        """Factor by which the slowest other VM slows a step."""
        factors = [member.straggle for member in self._members.values()]
        return max(factors, default=1.0)

    def form(self, group: GroupId, members: tuple[VmId, ...]) -> None:
        """Link to the members; a group formed before is broken."""
        self.dissolve()
        for vm in members:
            address = self._peers.get(vm)
            if address is not None:
                member = self._members[vm] = _Member()
                self._tasks.append(
                    asyncio.create_task(self._keep_link(address, group, member))
                )

    def dissolve(self) -> None:
        """Drop all links."""
        self.breaks += 1
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        self._members.clear()

    async def wait_step(self, breaks: int) -> None:
        """Wait until every other VM takes part in the next step.

        Args:
            breaks: The count of breaks when the request began.

        Raises:
            BrokenGroupError: The group broke since then.
        """
        loop = asyncio.get_running_loop()
        while True:
            if self.breaks != breaks or not self.linked:
                raise BrokenGroupError
            oldest = loop.time() - _STALE_S
            if all(member.beat_at >= oldest for member in self._members.values()):
                return
            await asyncio.sleep(BEAT_S)

    async def _keep_link(
        self, address: Address, group: GroupId, member: _Member
    ) -> None:
        target = f"/collective?group={quote(group, safe='')}"
        while True:
            try:
                await self._hear_beats(address, target, member)
            except TransportError:
                pass
            if member.linked:
                member.linked = False
                self.breaks += 1
            await asyncio.sleep(_RETRY_S)

    async def _hear_beats(self, address: Address, target: str, member: _Member) -> None:
        response = await self._http.send(
            address, Request("GET", target), _LINK_S, fresh=True
        )
        try:
            if response.status != _OK:
                return
            async for data in response.stream():
                member.straggle = float(data.split()[-1])
                member.beat_at = asyncio.get_running_loop().time()
                member.linked = True
        finally:
            response.abort()
