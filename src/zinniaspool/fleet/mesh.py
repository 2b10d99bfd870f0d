"""Processes tell each other what the store told one of them.

One process, the holder of the plans, watches the store; the others ask it for
changes. A fleet in which each process watches for itself would spend its calls
on telling everyone the same, and processes that the store turns away would
learn nothing.
"""

import asyncio
import secrets

from zinniaspool.core.fleet.messages import (
    FleetNews,
    FleetWatch,
    NewsItem,
)
from zinniaspool.core.ids import Address, FailureDomainId, Incarnation, NodeId
from zinniaspool.core.messages import PROTOCOL_VERSION, Hello, Message
from zinniaspool.fleet.belief import FleetBelief
from zinniaspool.peers import PeerHandler, PeerLinks, PeerListener

__all__ = ["FleetMesh"]

ANSWER_S = 0.9
"""Longest wait for a peer, in seconds; a question itself waits for under half
of this."""

NOTE_S = 0.3
"""Longest wait for a note to leave, in seconds: a later one is worthless."""


class FleetMesh:
    """This process's side of it: answers others, asks others.

    Args:
        node: This process's VM.
        domain: Its failure domain.
        belief: What it knows.
        handler: Takes messages that are no questions for news.
    """

    def __init__(
        self,
        node: NodeId,
        domain: FailureDomainId,
        belief: FleetBelief,
        handler: PeerHandler,
    ) -> None:
        self._node = node
        self._belief = belief
        self._handler = handler
        self._source = f"{node}-{secrets.token_hex(4)}"
        hello = Hello(PROTOCOL_VERSION, node, Incarnation(0), domain, "")
        self._asking = PeerLinks(lambda: hello, ANSWER_S)
        self._telling = PeerLinks(lambda: hello, NOTE_S)
        self._listener = PeerListener(node, lambda _: True, self._take)
        self._news = asyncio.Event()
        belief.on_change.append(self._wake)

    async def listen(self, address: Address) -> None:
        """Answer others from now on."""
        await self._listener.listen(address)

    def close(self) -> None:
        """Close all connections."""
        self._listener.close()
        self._asking.close()
        self._telling.close()

    async def ask(self, address: Address, watch: FleetWatch) -> FleetNews | None:
        """Ask a process for news; None where no answer came."""
        answer = await self._asking.ask(address, watch)
        return answer if isinstance(answer, FleetNews) else None

    async def tell(self, address: Address, message: Message) -> bool:
        """Send a note that has no answer; False when it could not leave."""
        return await self._telling.send(address, message)

    async def _take(self, hello: Hello, message: Message) -> Message | None:
        if isinstance(message, FleetWatch):
            return await self._answer(message)
        return await self._handler(hello, message)

    async def _answer(self, watch: FleetWatch) -> FleetNews:
        mirror = self._belief.mirror
        known = watch.source == self._source and watch.serial
        if known and mirror.serial == watch.serial:
            await self._wait_for_news(min(watch.wait_s, ANSWER_S / 2))
        serial = watch.serial if known else 0
        items = [
            NewsItem(key, None if item is None else item.value, revision)
            for key, item, revision in mirror.list_since(serial)
        ]
        now = asyncio.get_running_loop().time()
        return FleetNews(
            self._source,
            mirror.serial,
            not known,
            items,
            mirror.as_of,
            self._belief.age(now),
        )

    async def _wait_for_news(self, wait_s: float) -> None:
        news = self._news
        try:
            async with asyncio.timeout(wait_s):
                await news.wait()
        except TimeoutError:
            return

    def _wake(self) -> None:
        # A new event for each change, so that whoever waits sees its own.
        self._news.set()
        self._news = asyncio.Event()
