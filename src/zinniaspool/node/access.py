"""Credentials and TLS of one process, loaded and kept fresh."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec

from zinniaspool.node.files import (
    CredentialFile,
    FileReloader,
    PeerSecrets,
    Reloadable,
)
from zinniaspool.node.operators import Operator, load_operators
from zinniaspool.node.tls import TlsSide
from zinniaspool.settings import FileFault, NodeSettings, SettingsError, TlsFiles

__all__ = ["Access"]

_Source = TypeVar("_Source", bound=Reloadable)


class Access:
    """Who may reach a process, and how it shows who it is.

    Args:
        settings: Where the files are.

    Raises:
        SettingsError: A file holds nothing usable.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.files = FileReloader(settings.credentials_reload_s)
        secret = Path(settings.peer_secret_file)
        self.peers = self.load(
            "peer_secret_file", secret.name, lambda: PeerSecrets(secret)
        )
        self.operators = self._load_operators(settings.operators_file)
        self.operator_tls = self.load_tls("operator_tls", settings.operator_tls)
        self.peer_tls = self.load_tls("peer_tls", settings.peer_tls, peers=True)

    def load(self, key: str, file: str, make: Callable[[], _Source]) -> _Source:
        """Return something loaded from files, watched from now on.

        Args:
            key: The settings' key that names the files.
            file: What the fault names.
            make: Loads it.

        Raises:
            SettingsError: The files hold nothing usable.
        """
        try:
            source = make()
        except (OSError, ValueError, msgspec.MsgspecError) as error:
            # The kind of error alone: its text may quote the file.
            found = f"nothing usable ({type(error).__name__})"
            accepted = "a file as docs/operators.md describes it"
            raise SettingsError([FileFault(file, 0, key, found, accepted)]) from None
        self.files.add(source)
        return source

    def load_tls(
        self, key: str, files: TlsFiles | None, *, peers: bool = False
    ) -> TlsSide | None:
        """Return the TLS of one address, or None where it has none.

        Raises:
            SettingsError: The files hold nothing usable.
        """
        if files is None:
            return None
        return self.load(
            key, files.certificate_file, lambda: TlsSide(files, peers=peers)
        )

    def _load_operators(self, file: str | None) -> CredentialFile[Operator] | None:
        if file is None:
            return None
        return self.load("operators_file", file, lambda: load_operators(Path(file)))
