"""The operators' configuration: its parts, and how processes follow it.

Operators accept a configuration by writing its parts and one root that names
them to the store. Every process follows the accepted root and activates each
new configuration as a whole.
"""

from zinniaspool.core.configuration.differences import (
    DifferenceKind,
    PartDifference,
    compare_parts,
)
from zinniaspool.core.configuration.following import (
    ActivateConfiguration,
    Announce,
    FollowAction,
    FollowLimits,
    FollowStateMachine,
    ReadPart,
    ReadRoot,
    SendPeerRequest,
    WatchRoot,
)
from zinniaspool.core.configuration.parts import (
    HISTORY_PREFIX,
    PART_PREFIX,
    ROOT_KEY,
    PartHash,
    PartName,
    Root,
    decode_root,
    encode_root,
    hash_content,
    hash_parts,
    join_parts,
    make_history_key,
    split_parts,
)

__all__ = [
    "HISTORY_PREFIX",
    "PART_PREFIX",
    "ROOT_KEY",
    "ActivateConfiguration",
    "Announce",
    "DifferenceKind",
    "FollowAction",
    "FollowLimits",
    "FollowStateMachine",
    "PartDifference",
    "PartHash",
    "PartName",
    "ReadPart",
    "ReadRoot",
    "Root",
    "SendPeerRequest",
    "WatchRoot",
    "compare_parts",
    "decode_root",
    "encode_root",
    "hash_content",
    "hash_parts",
    "join_parts",
    "make_history_key",
    "split_parts",
]
