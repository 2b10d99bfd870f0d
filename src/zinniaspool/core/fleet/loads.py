"""The load that entry processes put on a target."""

import msgspec

__all__ = ["NO_LOAD", "TargetLoad"]


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of one or of all entry processes at a target.

    Attributes:
        requests: Requests in progress.
        unread: Prompt tokens of those requests that have had no event yet.
    """

    requests: int = 0
    unread: int = 0


NO_LOAD = TargetLoad()
