"""The configuration that a process holds, and the newer one it gathers."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec

from zinniaspool.core.configuration.parts import (
    PartHash,
    PartName,
    hash_content,
    join_parts,
)
from zinniaspool.core.deployment import Configuration
from zinniaspool.core.ids import Revision
from zinniaspool.core.messages.configuration import (
    Announcement,
    ConfigurationRequest,
    ConfigurationResponse,
    PartContent,
)

__all__ = ["Holding", "Manifest"]

_MOST_CHANGED = 16
"""Parts that an answer names one by one; more are told as a whole."""
_MOST_ANSWER_BYTES = 256 * 1024
"""Bytes of one answer between peers, a few milliseconds of a link."""


@dataclass(frozen=True, slots=True)
class Manifest:
    """The parts of one accepted configuration, without their contents."""

    revision: Revision
    parts: Mapping[PartName, PartHash]

    @property
    def digest(self) -> PartHash:
        """Hash of the parts' names and hashes."""
        encoded = msgspec.json.encode(dict(self.parts), order="sorted")
        return hash_content(encoded.decode())


class Holding:
    """What is in force in a process, and what is to be.

    A newer configuration comes in force as a whole, when its last part is
    there, and never in place of one with a higher revision.
    """

    def __init__(self) -> None:
        self.in_force: Manifest | None = None
        self.wanted: Manifest | None = None
        self.unreadable: Revision | None = None
        self._before: Manifest | None = None
        self._contents: dict[PartHash, str] = {}

    @property
    def revision(self) -> Revision:
        """The revision in force; 0 for none."""
        return self.in_force.revision if self.in_force else Revision(0)

    @property
    def known_revision(self) -> Revision:
        """The newest revision whose parts are known by name; 0 for none."""
        return self.wanted.revision if self.wanted else self.revision

    def want(self, manifest: Manifest) -> bool:
        """Take a newer configuration's names; False when it is no newer."""
        # Peers may lag and the answers of the store and of peers cross:
        # whatever came first, only the higher revision may win, or a change
        # in force would be turned back.
        if manifest.revision <= self.known_revision:
            return False
        if manifest.revision == self.unreadable:
            return False
        self.wanted = manifest
        return True

    def want_announced(self, announcement: Announcement) -> bool:
        """Take what an announcement says; False when it can't be used."""
        base = self._find(announcement.base)
        if base is None or not announcement.changed:
            return False
        parts = {**base.parts, **announcement.changed}
        parts = {name: part for name, part in parts.items() if part}
        manifest = Manifest(announcement.revision, parts)
        if manifest.digest != announcement.digest:
            return False
        return self.want(manifest)

    def announce(self) -> Announcement | None:
        """Return what to tell others of what is known here."""
        newest = self.wanted or self.in_force
        if newest is None:
            return None
        base = self.in_force if self.wanted else self._before
        changed = {} if base is None else _find_changes(base, newest)
        if base is None or len(changed) > _MOST_CHANGED:
            return Announcement(newest.revision, newest.digest, Revision(0), {})
        return Announcement(newest.revision, newest.digest, base.revision, changed)

    def add_parts(self, parts: Iterable[PartContent]) -> None:
        """Take contents, unless they are not what their hash says."""
        for part in parts:
            if hash_content(part.content) == part.hash:
                self._contents[part.hash] = part.content

    def list_missing(self) -> list[PartHash]:
        """Return the parts that the wanted configuration still lacks."""
        if self.wanted is None:
            return []
        needed = dict.fromkeys(self.wanted.parts.values())
        return [part for part in needed if part not in self._contents]

    def settle(self) -> Configuration | None:
        """Put the wanted configuration in force once it is whole.

        Returns:
            The configuration that is now in force; None when nothing
            changed, also when this version can't read what was accepted:
            what is in force then stays, and ``unreadable`` names it.
        """
        if self.wanted is None or self.list_missing():
            return None
        wanted, self.wanted = self.wanted, None
        try:
            configuration = join_parts(wanted.parts, self._contents)
        except (KeyError, msgspec.MsgspecError):
            self.unreadable = wanted.revision
            return None
        self._before, self.in_force = self.in_force, wanted
        self._prune()
        return configuration

    def answer(self, ask: ConfigurationRequest) -> ConfigurationResponse:
        """Return what a peer asks for, as far as it is held."""
        parts: list[PartContent] = []
        room = _MOST_ANSWER_BYTES
        for part in ask.parts:
            content = self._contents.get(part)
            if content is None:
                continue
            room -= len(content)
            if room < 0 and parts:
                break
            parts.append(PartContent(part, content))
        manifest = None
        if ask.manifest_from:
            manifest = self.wanted or self.in_force
        if manifest is None or manifest.revision < ask.manifest_from:
            return ConfigurationResponse(self.revision, parts=tuple(parts))
        return ConfigurationResponse(
            self.revision, manifest.revision, dict(manifest.parts), tuple(parts)
        )

    def _find(self, revision: Revision) -> Manifest | None:
        for manifest in (self.wanted, self.in_force):
            if manifest is not None and manifest.revision == revision:
                return manifest
        return None

    def _prune(self) -> None:
        """Keep the contents of this configuration and the one before.

        Peers that are one change behind still ask for the older parts.
        """
        kept: set[PartHash] = set()
        for manifest in (self._before, self.in_force):
            if manifest is not None:
                kept.update(manifest.parts.values())
        self._contents = {
            part: content for part, content in self._contents.items() if part in kept
        }


def _find_changes(before: Manifest, after: Manifest) -> dict[PartName, PartHash]:
    changed = {
        name: part
        for name, part in after.parts.items()
        if before.parts.get(name) != part
    }
    for name in before.parts:
        if name not in after.parts:
            changed[name] = PartHash("")
    return changed
