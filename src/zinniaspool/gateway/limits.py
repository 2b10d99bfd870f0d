"""Limits that upstreams announce in their answers."""

import structlog

from zinniaspool.core.dispatch import InstanceLife, TargetState

__all__ = ["AnnouncedLimits"]

_log = structlog.get_logger(__name__)


class AnnouncedLimits:
    """The requests a second that upstreams take from all VMs together."""

    def __init__(self) -> None:
        self._known: dict[InstanceLife, float] = {}

    def __len__(self) -> int:
        return len(self._known)

    def note_answer(self, state: TargetState, per_s: float | None) -> None:
        """Take what an upstream says with an answer.

        Args:
            state: The upstream.
            per_s: Requests a second; None where it names no limit any more.
        """
        life = InstanceLife(state.target.instance, state.target.born)
        if self._known.get(life) == per_s:
            return
        _log.info("limit-announced", instance=life.instance, per_s=per_s)
        if per_s is None:
            del self._known[life]
        else:
            self._known[life] = per_s
