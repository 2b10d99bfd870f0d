"""The messages about the configuration."""

import msgspec

from zinniaspool.core.ids import PartHash, PartName, Revision

__all__ = [
    "Announcement",
    "ConfigurationRequest",
    "ConfigurationResponse",
    "PartContent",
    "decode_announcement",
    "encode_announcement",
]


class Announcement(msgspec.Struct, frozen=True, array_like=True):
    """Announces an accepted revision and how it differs from its base.

    Attributes:
        revision: The accepted revision.
        digest: Hash of its parts' names and hashes.
        base: The revision that it replaced.
        changed: The parts that differ from the base's, with an empty hash
            for a part that was removed. Empty if the parts would take too
            much room; receivers then request them.
    """

    revision: Revision
    digest: PartHash
    base: Revision
    changed: dict[PartName, PartHash]


class ConfigurationRequest(msgspec.Struct, frozen=True, tag="configuration-ask"):
    """Requests a peer's manifest or parts of the configuration.

    Attributes:
        manifest_from: The manifest is wanted if its revision is at least
            this; 0 if it is not wanted.
        parts: The hashes of the parts that are wanted.
    """

    manifest_from: Revision = Revision(0)
    parts: tuple[PartHash, ...] = ()


class PartContent(msgspec.Struct, frozen=True, array_like=True):
    """One part; the receiver checks its hash."""

    hash: PartHash
    content: str


class ConfigurationResponse(msgspec.Struct, frozen=True, tag="configuration-answer"):
    """The answer to a configuration request.

    Attributes:
        in_force: The revision that is active at the peer; 0 for none.
        manifest_revision: Revision of ``manifest``; 0 for none.
        manifest: The hash of each part, by the part's name.
        parts: Those of the wanted parts that fit into one message.
    """

    in_force: Revision
    manifest_revision: Revision = Revision(0)
    manifest: dict[PartName, PartHash] = {}
    parts: tuple[PartContent, ...] = ()


_decoder = msgspec.msgpack.Decoder(Announcement)


def encode_announcement(announcement: Announcement) -> bytes:
    """Encode an announcement as the payload of a notice."""
    return msgspec.msgpack.encode(announcement)


def decode_announcement(payload: bytes) -> Announcement:
    """Decode the announcement in the payload of a notice.

    Raises:
        msgspec.MsgspecError: The payload is not an announcement.
    """
    return _decoder.decode(payload)
