"""The active configuration of a process and the pending one it gathers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from zinniaspool.core.configuration.parts import (
    PartHash,
    PartName,
    hash_content,
    join_parts,
)
from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.core.deployment import Configuration
from zinniaspool.core.ids import Revision
from zinniaspool.core.messages.configuration import (
    Announcement,
    ConfigurationRequest,
    ConfigurationResponse,
    PartContent,
)

__all__ = ["LocalConfiguration", "Manifest"]

_MAX_ANNOUNCED_CHANGES = 16
"""Maximum number of changed parts that an announcement names one by one; if
more changed, peers request the whole manifest."""
_MAX_RESPONSE_BYTES = 256 * 1024
"""Maximum size of the parts in one response to a peer; it occupies a link for
a few milliseconds."""


@dataclass(frozen=True, slots=True)
class Manifest:
    """The parts of one accepted configuration, without their contents.

    Attributes:
        revision: Revision of the root that names the parts.
        parts: Hash of each part's content, by the part's name.
    """

    revision: Revision
    parts: Mapping[PartName, PartHash]

    @property
    def digest(self) -> PartHash:
        """Hash of the parts' names and hashes."""
        encoded = msgspec.json.encode(dict(self.parts), order="sorted")
        return hash_content(encoded.decode())


class LocalConfiguration:
    """The active configuration of one process and the pending newer one.

    The pending configuration is activated as a whole, once its last part has
    arrived, and it never replaces one with a higher revision.

    Attributes:
        active: The configuration in effect; None before the first.
        pending: The newest known configuration while parts of it may still be
            missing; None if no newer one than the active is known.
        unreadable: Revision of the last accepted configuration that this
            version of the software could not decode; None if there was none.
    """

    def __init__(self) -> None:
        self.active: Manifest | None = None
        self.pending: Manifest | None = None
        self.unreadable: Revision | None = None
        self._previous: Manifest | None = None
        self._contents: dict[PartHash, str] = {}

    @property
    def revision(self) -> Revision:
        """The active revision; 0 for none."""
        return self.active.revision if self.active else Revision(0)

    @property
    def known_revision(self) -> Revision:
        """The newest revision whose manifest is known; 0 for none."""
        return self.pending.revision if self.pending else self.revision

    def set_pending(self, manifest: Manifest) -> bool:
        """Make a newer configuration pending; return False if not newer.

        A revision that this version could not decode is not accepted again.
        """
        # Peers may lag, and responses of the store and of peers may overtake
        # one another. Only a higher revision may win, whichever arrives
        # first; otherwise an active change would be reverted.
        if manifest.revision <= self.known_revision:
            return False
        if manifest.revision == self.unreadable:
            return False
        self.pending = manifest
        return True

    def set_pending_from_announcement(self, announcement: Announcement) -> bool:
        """Make an announced configuration pending; return False on failure.

        It fails if the base is not known here, if the announcement names no
        changes, or if the changed parts don't lead to the announced digest.
        """
        base = self._find_manifest(announcement.base)
        if base is None or not announcement.changed:
            return False
        parts = {**base.parts, **announcement.changed}
        parts = {name: part for name, part in parts.items() if part}
        manifest = Manifest(announcement.revision, parts)
        if manifest.digest != announcement.digest:
            return False
        return self.set_pending(manifest)

    def make_announcement(self) -> Announcement | None:
        """Return an announcement of the newest known configuration, if any."""
        newest = self.pending or self.active
        if newest is None:
            return None
        base = self.active if self.pending else self._previous
        changed = {} if base is None else _find_changes(base, newest)
        if base is None or len(changed) > _MAX_ANNOUNCED_CHANGES:
            return Announcement(newest.revision, newest.digest, Revision(0), {})
        return Announcement(newest.revision, newest.digest, base.revision, changed)

    def add_parts(self, parts: Iterable[PartContent]) -> None:
        """Store the contents that match their hash and ignore the others."""
        for part in parts:
            if hash_content(part.content) == part.hash:
                self._contents[part.hash] = part.content

    def list_missing_parts(self) -> list[PartHash]:
        """Return the parts that the pending configuration still lacks."""
        if self.pending is None:
            return []
        needed = dict.fromkeys(self.pending.parts.values())
        return [part for part in needed if part not in self._contents]

    def activate_pending(self) -> Configuration | None:
        """Activate the pending configuration if all its parts are present.

        Returns:
            The newly active configuration, or None if nothing changed. If
            this version of the software can't decode the accepted
            configuration, the active one stays and ``unreadable`` names the
            revision.
        """
        if self.pending is None or self.list_missing_parts():
            return None
        completed, self.pending = self.pending, None
        try:
            configuration = join_parts(completed.parts, self._contents)
        except (KeyError, *DECODE_ERRORS):
            self.unreadable = completed.revision
            return None
        self._previous, self.active = self.active, completed
        self._prune_contents()
        return configuration

    def make_response(self, request: ConfigurationRequest) -> ConfigurationResponse:
        """Return the requested parts and manifest as far as they are present.

        The parts stop at the maximum size of a response; the first one is
        included in any case.
        """
        parts: list[PartContent] = []
        remaining_bytes = _MAX_RESPONSE_BYTES
        for part in request.parts:
            content = self._contents.get(part)
            if content is None:
                continue
            remaining_bytes -= len(content)
            if remaining_bytes < 0 and parts:
                break
            parts.append(PartContent(part, content))
        manifest = None
        if request.manifest_from:
            manifest = self.pending or self.active
        if manifest is None or manifest.revision < request.manifest_from:
            return ConfigurationResponse(self.revision, parts=tuple(parts))
        return ConfigurationResponse(
            self.revision, manifest.revision, dict(manifest.parts), tuple(parts)
        )

    def _find_manifest(self, revision: Revision) -> Manifest | None:
        for manifest in (self.pending, self.active):
            if manifest is not None and manifest.revision == revision:
                return manifest
        return None

    def _prune_contents(self) -> None:
        """Keep only the contents of the active and the previous configuration.

        Peers that are one change behind still request the older parts.
        """
        kept: set[PartHash] = set()
        for manifest in (self._previous, self.active):
            if manifest is not None:
                kept.update(manifest.parts.values())
        self._contents = {
            part: content for part, content in self._contents.items() if part in kept
        }


def _find_changes(before: Manifest, after: Manifest) -> dict[PartName, PartHash]:
    """Return the hashes of changed parts, empty for a removed part."""
    changed = {
        name: part
        for name, part in after.parts.items()
        if before.parts.get(name) != part
    }
    for name in before.parts:
        if name not in after.parts:
            changed[name] = PartHash("")
    return changed
