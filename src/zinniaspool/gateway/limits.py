"""Limits that upstreams announce in their answers, and who keeps to them."""

import asyncio
from collections.abc import Callable

import structlog

from zinniaspool.core.dispatch import AnnouncedRate, TargetState
from zinniaspool.core.fleet import InstanceIncarnation
from zinniaspool.core.ids import NodeId
from zinniaspool.core.messages.fleet import UpstreamLimit
from zinniaspool.gateway.targets import TargetIndex

__all__ = ["AnnouncedLimits"]

_log = structlog.get_logger(__name__)

MOST_LIMITS = 1024
"""Upstreams whose limits are remembered."""


class AnnouncedLimits:
    """Keeps what is sent to upstreams within what they announce.

    An upstream's limit is for all VMs together. Those that share it tell each
    other what they send there.

    Args:
        node: This process's VM.
        index: The targets.
        tell_peers: Sends a note to those that share targets with this process.
    """

    def __init__(
        self,
        node: NodeId,
        index: TargetIndex,
        tell_peers: Callable[[UpstreamLimit], None],
    ) -> None:
        self._node = node
        self._index = index
        self._tell_peers = tell_peers

    def note_answer(
        self, state: TargetState, per_s: float | None, *, ran: bool
    ) -> None:
        """Take what an upstream says with an answer.

        Args:
            state: The upstream.
            per_s: Requests a second; None where it names no limit.
            ran: Whether it ran the request. A refusal may lack what answers
                have.
        """
        if per_s is None and not ran:
            return
        life = InstanceIncarnation(state.target.instance, state.target.started_at_ms)
        if self._set(life, per_s, self._node):
            self._tell(life, per_s, sent=False)

    def note_sent(self, state: TargetState) -> None:
        """Count a request of this process at an upstream."""
        if state.announced_rate is None:
            return
        state.announced_rate.record_request(state.subset_part, self._now())
        life = InstanceIncarnation(state.target.instance, state.target.started_at_ms)
        self._tell(life, state.announced_rate.per_s, sent=True)

    def hear(self, note: UpstreamLimit) -> None:
        """Take what another process was told, or has sent."""
        life = InstanceIncarnation(note.instance, note.born)
        self._set(life, note.per_s, note.node)
        rate = self._index.rates.get(life)
        if note.sent and rate is not None:
            state = self._index.find_state(note.instance)
            rate.record_request(
                1.0 if state is None else state.subset_part, self._now()
            )

    def _tell(
        self, life: InstanceIncarnation, per_s: float | None, *, sent: bool
    ) -> None:
        note = UpstreamLimit(life.instance, life.started_at_ms, per_s, sent, self._node)
        self._tell_peers(note)

    def _set(
        self, life: InstanceIncarnation, per_s: float | None, told_by: NodeId
    ) -> bool:
        """Take an upstream's limit; False where it was known."""
        rates = self._index.rates
        known = rates.get(life)
        if per_s == (None if known is None else known.per_s):
            return False
        _log.info(
            "limit-announced",
            instance=life.instance,
            per_s=per_s,
            told_by=told_by,
        )
        if per_s is None:
            del rates[life]
        elif known is not None:
            known.per_s = per_s
        else:
            rates[life] = AnnouncedRate(per_s, self._now())
        if len(rates) > MOST_LIMITS:
            del rates[next(iter(rates))]
        state = self._index.find_state(life.instance)
        if state is not None:
            state.announced_rate = rates.get(life)
        return True

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
