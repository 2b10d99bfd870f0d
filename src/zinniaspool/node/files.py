"""Files whose changes take effect without a restart."""

import asyncio
import hashlib
import hmac
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Generic, Protocol, TypeVar

import msgspec
import structlog

__all__ = ["CredentialFile", "FileReloader", "PeerSecrets", "Reloadable"]

_log = structlog.get_logger(__name__)
_SCHEME = "bearer"

_T = TypeVar("_T")


class Reloadable(Protocol):
    """Something that is read from files and can be read again."""

    @property
    def paths(self) -> tuple[Path, ...]:
        """The files."""
        ...

    def load(self) -> None:
        """Read the files and use what they hold.

        Raises:
            OSError: A file cannot be read.
            ValueError: A file holds nothing usable.
        """
        ...


class FileReloader:
    """Loads files again once they have changed.

    A file that is replaced by one that cannot be used leaves in force what
    was loaded before: half a file, seen while it is being written, must not
    lock everybody out.

    Args:
        every_s: Seconds between two looks.
    """

    def __init__(self, every_s: float) -> None:
        self._every_s = every_s
        self._seen: dict[Reloadable, list[tuple[int, int, int]]] = {}
        self._due = asyncio.Event()

    def add(self, source: Reloadable) -> None:
        """Watch the files of something that is loaded already."""
        self._seen[source] = _describe_files(source)

    def look_now(self) -> None:
        """Look at once, as an operator's signal asks."""
        self._due.set()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self._due.clear()
            self.look()
            try:
                async with asyncio.timeout(self._every_s):
                    await self._due.wait()
            except TimeoutError:
                continue

    def look(self) -> None:
        """Load again what has changed since the last look."""
        for source, before in list(self._seen.items()):
            now = _describe_files(source)
            if now == before:
                continue
            self._seen[source] = now
            files = ",".join(path.name for path in source.paths)
            try:
                source.load()
            except (OSError, ValueError, msgspec.MsgspecError) as error:
                # The kind of error alone: its text may quote the file.
                _log.error(
                    "credentials-unreadable", files=files, error=type(error).__name__
                )
                continue
            _log.info("credentials-changed", files=files)


class CredentialFile(Generic[_T]):
    """Who holds which credential, by a file.

    Args:
        path: The file.
        decode: Returns the holder of each credential in the file's bytes.

    Raises:
        OSError: The file cannot be read.
        ValueError: The file holds nothing usable.
    """

    def __init__(self, path: Path, decode: Callable[[bytes], Mapping[str, _T]]) -> None:
        self.paths = (path,)
        self._decode = decode
        self._holders: list[tuple[bytes, _T]] = []
        self.load()

    def load(self) -> None:
        """Read the file again."""
        found = self._decode(self.paths[0].read_bytes())
        if "" in found:
            raise ValueError("an empty credential")
        self._holders = [(_digest(text), holder) for text, holder in found.items()]

    def find(self, authorization: str | None) -> _T | None:
        """Return who holds the credential of an Authorization header."""
        scheme, _, credential = (authorization or "").partition(" ")
        if scheme.lower() != _SCHEME:
            return None
        asked = _digest(credential.strip())
        holder = None
        # Every entry is compared, each in constant time, so that the time
        # taken tells nothing about how close a guess is.
        for digest, candidate in self._holders:
            if hmac.compare_digest(digest, asked):
                holder = candidate
        return holder


class PeerSecrets:
    """The secrets by which processes of one fleet know each other.

    One a line. The first is shown and all are accepted, so that a new one
    is brought in by three changes of the file: added last, moved to the
    front, the old one taken out.

    Args:
        path: The file.

    Raises:
        OSError: The file cannot be read.
        ValueError: The file holds no secret.
    """

    def __init__(self, path: Path) -> None:
        self.paths = (path,)
        self._secrets: list[str] = []
        self.load()

    @property
    def shown(self) -> str:
        """What this process shows."""
        return self._secrets[0]

    def load(self) -> None:
        """Read the file again."""
        lines = [line.strip() for line in self.paths[0].read_text().splitlines()]
        secrets = [line for line in lines if line]
        if not secrets:
            raise ValueError("no secret")
        self._secrets = secrets

    def accepts(self, secret: str) -> bool:
        """Tell whether a peer that shows this belongs to the fleet."""
        asked = _digest(secret)
        matches = [hmac.compare_digest(_digest(own), asked) for own in self._secrets]
        return any(matches)


def _digest(text: str) -> bytes:
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).digest()


def _describe_files(source: Reloadable) -> list[tuple[int, int, int]]:
    described = []
    for path in source.paths:
        try:
            found = os.stat(path)
        except OSError:
            described.append((0, 0, 0))
            continue
        described.append((found.st_mtime_ns, found.st_size, found.st_ino))
    return described
