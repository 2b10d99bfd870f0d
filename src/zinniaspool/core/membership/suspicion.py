"""When a member that does not answer is held silent."""

from dataclasses import dataclass

from zinniaspool.core.ids import NodeId

__all__ = ["SuspicionTable"]


@dataclass(slots=True)
class _Doubt:
    helpers_left: int


class SuspicionTable:
    """Members whose answers failed to come, here or by others' word.

    A failed question alone is no proof: the link may be cut one way, or this
    process itself may have been frozen while the answer came. So others are
    asked to try, and a suspect has ``suspicion_s`` to contradict.

    Args:
        suspicion_s: Time between suspicion and silence.
    """

    def __init__(self, suspicion_s: float) -> None:
        self._suspicion_s = suspicion_s
        self._doubts: dict[NodeId, _Doubt] = {}
        self._suspected_at: dict[NodeId, float] = {}

    def __len__(self) -> int:
        return len(self._doubts) + len(self._suspected_at)

    def is_doubted(self, node: NodeId) -> bool:
        """Return whether others are being asked about a member."""
        return node in self._doubts

    def doubt(self, node: NodeId, helpers: int) -> None:
        """Note that a number of helpers are asked about a member."""
        self._doubts[node] = _Doubt(helpers)

    def take_reply(self, node: NodeId, *, alive: bool) -> bool:
        """Take a helper's word; True when the last one found no answer."""
        doubt = self._doubts.get(node)
        if doubt is None:
            return False
        doubt.helpers_left -= 1
        if alive:
            del self._doubts[node]
            return False
        if doubt.helpers_left:
            return False
        del self._doubts[node]
        return True

    def suspect(self, node: NodeId, now: float) -> None:
        """Start a suspect's time to contradict."""
        self._suspected_at.setdefault(node, now)

    def clear(self, node: NodeId) -> None:
        """End doubt and suspicion: the member was heard."""
        self._doubts.pop(node, None)
        self._suspected_at.pop(node, None)

    def take_ended(self, now: float) -> list[NodeId]:
        """Return the suspects whose time to contradict is over."""
        ended = [
            node
            for node, since in self._suspected_at.items()
            if now - since >= self._suspicion_s
        ]
        for node in ended:
            del self._suspected_at[node]
        return ended

    def restart(self, now: float) -> None:
        """Give every suspect its whole time again, and drop open doubts.

        Called when this process itself stood still: the contradictions that
        came meanwhile are still unread.
        """
        self._doubts.clear()
        for node in self._suspected_at:
            self._suspected_at[node] = now
