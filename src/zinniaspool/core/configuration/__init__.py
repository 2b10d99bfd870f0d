"""The operators' configuration: its parts, their order, what is in force."""

from zinniaspool.core.configuration.parts import (
    PART_PREFIX,
    ROOT_KEY,
    Root,
    decode_root,
    encode_root,
    join_parts,
    split_parts,
)

__all__ = [
    "PART_PREFIX",
    "ROOT_KEY",
    "Root",
    "decode_root",
    "encode_root",
    "join_parts",
    "split_parts",
]
