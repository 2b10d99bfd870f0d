"""The ways in which an upstream can be told to fail.

``POST /faults`` takes any of the fields of :class:`UpstreamFaults`; those
left out stay as they are.
"""

from typing import Any

import msgspec

__all__ = ["UpstreamFaults", "switch_faults"]


class UpstreamFaults(msgspec.Struct, forbid_unknown_fields=True):
    """What an engine or a plain service does wrong.

    Attributes:
        paused: Everything but ``/faults`` and ``/history`` hangs.
        straggle: Factor on every step's time.
        leaving: A plain service's answers say ``X-Leaving``.
        refuse: Requests are refused as not run.
        drop: Connections are cut before the request runs.
        cut_after: Tokens after which an answer's connection is cut; with as
            many as asked for, the request runs whole and its answer is
            lost. A plain service's calls count as one token. Negative for
            none.
        late_s: Time that an answer is held after its request ran.
        crossed: An answer carries the name and the content of another one.
        failing: Requests run and are answered with a failure.
        requests: How many of the next requests meet the faults above from
            ``refuse`` on; negative for all.
        die: The process ends at once.
    """

    paused: bool = False
    straggle: float = 1.0
    leaving: bool = False
    refuse: bool = False
    drop: bool = False
    cut_after: int = -1
    late_s: float = 0.0
    crossed: bool = False
    failing: bool = False
    requests: int = -1
    die: bool = False

    def meet(self) -> "UpstreamFaults":
        """Return the faults that the next request meets."""
        if self.requests == 0:
            return UpstreamFaults(
                paused=self.paused, straggle=self.straggle, leaving=self.leaving
            )
        if self.requests > 0:
            self.requests -= 1
        return msgspec.structs.replace(self)


def switch_faults(current: UpstreamFaults, body: bytes) -> UpstreamFaults:
    """Return the faults after a call of ``POST /faults``.

    Raises:
        msgspec.MsgspecError: The body names no fault, or gives it a value
            of another type.
    """
    changes = msgspec.json.decode(body, type=dict[str, Any])
    fields = msgspec.structs.asdict(current) | changes
    return msgspec.convert(fields, UpstreamFaults)
