"""Credential and secret files whose changes apply without a restart."""

import asyncio
import hashlib
import hmac
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Generic, Protocol, TypeVar

import structlog

from zinniaspool.core.decoding import DECODE_ERRORS

__all__ = ["CredentialFile", "FileReloader", "PeerSecrets", "Reloadable"]

_log = structlog.get_logger(__name__)
_SCHEME = "bearer"
"""Accepted scheme of the Authorization header, in lower case."""

_T = TypeVar("_T")


class Reloadable(Protocol):
    """Data that is loaded from files and can be loaded again."""

    @property
    def paths(self) -> tuple[Path, ...]:
        """Paths of the files."""
        ...

    def load(self) -> None:
        """Read the files and use their content from now on.

        Raises:
            OSError: A file cannot be read.
            ValueError: A file has no usable content.
        """
        ...


class FileReloader:
    """Loads files again after they have changed.

    If a changed file can't be used, the content loaded before stays in
    use: a file that is read while it is being written must not lock all
    clients out.

    Args:
        interval_s: Seconds between two checks of the files.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._fingerprints: dict[Reloadable, list[tuple[int, int, int]]] = {}
        self._reload_requested = asyncio.Event()

    def add(self, source: Reloadable) -> None:
        """Watch the files of a source that has been loaded."""
        self._fingerprints[source] = _compute_fingerprints(source)

    def request_reload(self) -> None:
        """Check the files now; an operator requests this by SIGHUP."""
        self._reload_requested.set()

    async def run(self) -> None:
        """Check the files regularly until cancelled."""
        while True:
            self._reload_requested.clear()
            self.reload_changed()
            try:
                async with asyncio.timeout(self._interval_s):
                    await self._reload_requested.wait()
            except TimeoutError:
                continue

    def reload_changed(self) -> None:
        """Reload the sources whose files changed since the last check."""
        for source, before in list(self._fingerprints.items()):
            now = _compute_fingerprints(source)
            if now == before:
                continue
            self._fingerprints[source] = now
            files = ",".join(path.name for path in source.paths)
            try:
                source.load()
            except (OSError, ValueError, *DECODE_ERRORS) as error:
                # Only the type of the error is logged, since its text may
                # quote the file, which holds secrets.
                _log.error(
                    "credentials-unreadable", files=files, error=type(error).__name__
                )
                continue
            _log.info("credentials-changed", files=files)


class CredentialFile(Generic[_T]):
    """The identities of clients by credential, loaded from a file.

    Args:
        path: Path of the file.
        decode: Returns the identity of each credential in the file's bytes.

    Raises:
        OSError: The file cannot be read.
        ValueError: The file has no usable content.
    """

    def __init__(self, path: Path, decode: Callable[[bytes], Mapping[str, _T]]) -> None:
        self.paths = (path,)
        self._decode = decode
        self._identities: list[tuple[bytes, _T]] = []
        self.load()

    def load(self) -> None:
        """Read the file again."""
        identities = self._decode(self.paths[0].read_bytes())
        if "" in identities:
            raise ValueError("a credential is empty")
        self._identities = [
            (_digest(credential), identity)
            for credential, identity in identities.items()
        ]

    def find(self, authorization: str | None) -> _T | None:
        """Return the identity of an Authorization header's credential.

        Returns:
            The identity, or None if the header has no known credential.
        """
        scheme, _, credential = (authorization or "").partition(" ")
        if scheme.lower() != _SCHEME:
            return None
        given_digest = _digest(credential.strip())
        found = None
        # All credentials are compared, each in constant time, so that the
        # duration reveals nothing about how close a guess is.
        for digest, identity in self._identities:
            if hmac.compare_digest(digest, given_digest):
                found = identity
        return found


class PeerSecrets:
    """The secrets by which the processes of one fleet recognize each other.

    The file has one secret per line. A process presents the first one and
    accepts all of them, so that three changes of the file replace a secret:
    add the new one at the end, move it to the front, remove the old one.

    Args:
        path: Path of the file.

    Raises:
        OSError: The file cannot be read.
        ValueError: The file has no secret.
    """

    def __init__(self, path: Path) -> None:
        self.paths = (path,)
        self._secrets: list[str] = []
        self.load()

    @property
    def presented(self) -> str:
        """The secret that this process presents to peers."""
        return self._secrets[0]

    def load(self) -> None:
        """Read the file again."""
        lines = [line.strip() for line in self.paths[0].read_text().splitlines()]
        secrets = [line for line in lines if line]
        if not secrets:
            raise ValueError("the file has no secret")
        self._secrets = secrets

    def accepts(self, secret: str) -> bool:
        """Return whether a peer that presents the secret is of this fleet."""
        given_digest = _digest(secret)
        matches = [
            hmac.compare_digest(_digest(accepted), given_digest)
            for accepted in self._secrets
        ]
        return any(matches)


def _digest(text: str) -> bytes:
    return hashlib.sha256(text.encode("utf-8", "surrogatepass")).digest()


def _compute_fingerprints(source: Reloadable) -> list[tuple[int, int, int]]:
    """Return modification time, size and inode of each file of a source.

    A file that can't be examined has zeros.
    """
    fingerprints = []
    for path in source.paths:
        try:
            status = os.stat(path)
        except OSError:
            fingerprints.append((0, 0, 0))
            continue
        fingerprints.append((status.st_mtime_ns, status.st_size, status.st_ino))
    return fingerprints
