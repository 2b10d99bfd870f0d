"""What processes have at a target."""

import msgspec

__all__ = ["NO_LOAD", "TargetLoad"]


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """What one or all processes have at a target.

    Attributes:
        requests: Requests in progress.
        unread: Prompt tokens of those that have had no event yet.
    """

    requests: int = 0
    unread: int = 0


NO_LOAD = TargetLoad()
