"""Decides when a member that does not respond is considered unresponsive."""

from dataclasses import dataclass

from zinniaspool.core.ids import NodeId

__all__ = ["SuspicionTable"]


@dataclass(slots=True)
class _OpenProbe:
    """A member that helpers are probing.

    Attributes:
        helpers_left: Number of helpers whose result is still missing.
    """

    helpers_left: int


class SuspicionTable:
    """Members that failed to respond to this process or to others.

    A single failed request is no proof: the link may be cut in one direction,
    or this process may have been frozen when the response arrived. So other
    members probe the member first, and a suspected member has ``suspicion_s``
    to refute the suspicion.

    Args:
        suspicion_s: Seconds from the suspicion of a member until it is
            considered unresponsive.
    """

    def __init__(self, suspicion_s: float) -> None:
        self._suspicion_s = suspicion_s
        self._open_probes: dict[NodeId, _OpenProbe] = {}
        self._suspected_at: dict[NodeId, float] = {}

    def __len__(self) -> int:
        return len(self._open_probes) + len(self._suspected_at)

    def is_being_probed(self, node: NodeId) -> bool:
        """Return whether helpers are probing a member."""
        return node in self._open_probes

    def start_probe(self, node: NodeId, helpers: int) -> None:
        """Record that a number of helpers probe a member."""
        self._open_probes[node] = _OpenProbe(helpers)

    def record_probe_result(self, node: NodeId, *, alive: bool) -> bool:
        """Record a helper's result; return whether all helpers have failed."""
        probe = self._open_probes.get(node)
        if probe is None:
            return False
        probe.helpers_left -= 1
        if alive:
            del self._open_probes[node]
            return False
        if probe.helpers_left:
            return False
        del self._open_probes[node]
        return True

    def suspect(self, node: NodeId, now: float) -> None:
        """Start the time that a suspected member has to refute."""
        self._suspected_at.setdefault(node, now)

    def clear(self, node: NodeId) -> None:
        """End the probe and suspicion of a member that has responded."""
        self._open_probes.pop(node, None)
        self._suspected_at.pop(node, None)

    def pop_timed_out(self, now: float) -> list[NodeId]:
        """Remove and return the suspects that did not refute in time."""
        timed_out = [
            node
            for node, since in self._suspected_at.items()
            if now - since >= self._suspicion_s
        ]
        for node in timed_out:
            del self._suspected_at[node]
        return timed_out

    def restart_all(self, now: float) -> None:
        """Restart the time of every suspect and drop all open probes.

        Called after this process itself was frozen: it has not yet read the
        refutations that arrived in the meantime.
        """
        self._open_probes.clear()
        for node in self._suspected_at:
            self._suspected_at[node] = now
