"""What the holder finds out about instances before the store knows."""

import msgspec

from zinniaspool.core.fleet.instances import InstanceId

__all__ = ["NO_VERDICT", "Verdict"]


class Verdict(msgspec.Struct, frozen=True):
    """What the holder tells of instances whose entries say something else.

    Attributes:
        lost: They answer nobody, though their entries live.
        kept: They answer and hold their group, though their entries lapsed:
            they are cut off from the store alone.
    """

    lost: frozenset[InstanceId] = frozenset()
    kept: frozenset[InstanceId] = frozenset()


NO_VERDICT = Verdict()
