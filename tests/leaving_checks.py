"""What soaks check of upstreams that ask for pauses."""

from collections.abc import Mapping, Sequence

from zinniaspool_standins.leaving import LeavingLog

__all__ = ["ASKED_PAUSE_S", "describe_pauses"]

ASKED_PAUSE_S, GRACE_S = 2.0, 0.5
"""Length of the pauses, and time in which requests may still arrive, in
seconds."""

MAX_IN_PAUSE = 2
"""Requests of one VM that may arrive in the rest of a pause."""


def describe_pauses(
    upstream: str, log: LeavingLog, restarts: Mapping[str, Sequence[float]]
) -> list[str]:
    """Return a line for each pause that a VM hasn't kept to.

    Args:
        upstream: The upstream's name.
        log: What it asked for, and what came.
        restarts: When VMs were started again, which then know nothing.
    """
    found = []
    for vm, at in log.pauses:
        late = [
            one.at - at
            for one in log.arrivals
            if one.vm == vm
            and GRACE_S < one.at - at <= ASKED_PAUSE_S
            and not any(at < again <= one.at for again in restarts.get(vm, ()))
        ]
        if len(late) > MAX_IN_PAUSE:
            after = ", ".join(f"{after_s:.2f}" for after_s in late)
            found.append(f"{upstream}: requests of {vm} {after} s into a pause")
    return found
