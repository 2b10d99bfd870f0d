"""The load that entry processes put on a target."""

import msgspec

__all__ = ["NO_LOAD", "TargetLoad"]


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of one or of all entry processes at a target.

    Attributes:
        requests: Requests in progress.
        unread: Prompt tokens of those requests that have had no event yet.
        pace_quarters: Factor by which the target works slower than predicted,
            in quarters, as the reporting process measures it, or measured it
            if it has no request there now; 0 if it doesn't know.
    """

    requests: int = 0
    unread: int = 0
    pace_quarters: int = 0


NO_LOAD = TargetLoad()
