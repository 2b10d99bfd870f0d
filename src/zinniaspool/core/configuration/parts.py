"""A configuration as parts in the store under one small root.

Parts are written under the hash of their content before the root that names
them is swapped, so the root's swap is the moment at which a change of many
parts is accepted as one, and a part, once read, never goes stale.
"""

import hashlib
from collections.abc import Mapping

import msgspec

from zinniaspool.core.deployment import Configuration

__all__ = [
    "PART_PREFIX",
    "ROOT_KEY",
    "Root",
    "decode_root",
    "encode_root",
    "join_parts",
    "split_parts",
]

ROOT_KEY = "config/root"
PART_PREFIX = "config/parts/"
_HASH_CHARACTERS = 32


class Root(msgspec.Struct, frozen=True):
    """Names the parts of one configuration.

    Attributes:
        tag: Unique to the write, so that a lost answer can be settled.
        author: The operator who applied it.
        parts: Name of each part to the hash of its content.
    """

    tag: str
    author: str
    parts: dict[str, str]


def encode_root(root: Root) -> str:
    """Return a root as it stands in the store."""
    return msgspec.json.encode(root, order="sorted").decode()


def decode_root(value: str) -> Root:
    """Return the root that a value of the store holds.

    Raises:
        msgspec.MsgspecError: It holds none.
    """
    return msgspec.json.decode(value, type=Root)


def split_parts(configuration: Configuration) -> dict[str, str]:
    """Return a configuration's parts: the content of each by its hash."""
    content = msgspec.json.encode(configuration, order="sorted")
    return {_hash(content): content.decode()}


def join_parts(root: Root, contents: Mapping[str, str]) -> Configuration:
    """Return the configuration that a root's parts make.

    Raises:
        KeyError: A part is missing.
        msgspec.MsgspecError: A part does not hold what it should.
    """
    (name,) = root.parts.values()
    return msgspec.json.decode(contents[name], type=Configuration)


def _hash(content: bytes) -> str:
    return hashlib.sha256(content).hexdigest()[:_HASH_CHARACTERS]
