"""What processes say to each other about the configuration."""

import msgspec

from zinniaspool.core.ids import PartHash, PartName, Revision

__all__ = [
    "Announcement",
    "ConfigurationAnswer",
    "ConfigurationAsk",
    "PartContent",
    "decode_announcement",
    "encode_announcement",
]


class Announcement(msgspec.Struct, frozen=True, array_like=True):
    """Says that a revision was accepted, and how it differs from its base.

    Attributes:
        revision: The accepted revision.
        digest: Hash of its parts' names and hashes.
        base: The revision that it replaced.
        changed: The parts that differ from the base's; an empty hash for
            one that was removed. Empty when they would take too much room:
            they are then asked for.
    """

    revision: Revision
    digest: PartHash
    base: Revision
    changed: dict[PartName, PartHash]


class ConfigurationAsk(msgspec.Struct, frozen=True, tag="configuration-ask"):
    """Asks what a peer holds.

    Attributes:
        manifest_from: The names of a configuration's parts are wanted if
            its revision is at least this; 0 when they are not wanted.
        parts: The parts that are wanted.
    """

    manifest_from: Revision = Revision(0)
    parts: tuple[PartHash, ...] = ()


class PartContent(msgspec.Struct, frozen=True, array_like=True):
    """One part; its hash is checked by whoever gets it."""

    hash: PartHash
    content: str


class ConfigurationAnswer(msgspec.Struct, frozen=True, tag="configuration-answer"):
    """What the asked peer holds.

    Attributes:
        in_force: The revision in force there; 0 for none.
        manifest_revision: Revision of ``manifest``; 0 for none.
        manifest: Each part's hash.
        parts: Those of the wanted parts that fit in one message.
    """

    in_force: Revision
    manifest_revision: Revision = Revision(0)
    manifest: dict[PartName, PartHash] = {}
    parts: tuple[PartContent, ...] = ()


_decoder = msgspec.msgpack.Decoder(Announcement)


def encode_announcement(announcement: Announcement) -> bytes:
    """Return an announcement as a notice's payload."""
    return msgspec.msgpack.encode(announcement)


def decode_announcement(payload: bytes) -> Announcement:
    """Return the announcement in a notice's payload.

    Raises:
        msgspec.MsgspecError: It holds none.
    """
    return _decoder.decode(payload)
