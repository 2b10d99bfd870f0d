"""Credentials and TLS of one process, reloaded when their files change."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from zinniaspool.core.decoding import DECODE_ERRORS
from zinniaspool.node.files import (
    CredentialFile,
    FileReloader,
    PeerSecrets,
    Reloadable,
)
from zinniaspool.node.operators import Operator, load_operators
from zinniaspool.node.tls import TlsEndpoint
from zinniaspool.settings import FileFault, NodeSettings, SettingsError, TlsFiles

__all__ = ["AccessControl"]

_Source = TypeVar("_Source", bound=Reloadable)


class AccessControl:
    """Decides who may reach a process and proves the process's identity.

    Args:
        settings: Settings that name the files.

    Attributes:
        reloader: Reloads the files when they change.
        peer_secrets: Secrets by which the fleet's processes know each other.
        operators: Operators by credential; None without such a file.
        operator_tls: TLS of the operators' address; None for plain TCP.
        peer_tls: TLS of connections between peers; None for plain TCP.

    Raises:
        SettingsError: A file has no usable content.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.reloader = FileReloader(settings.credentials_reload_s)
        secret = Path(settings.peer_secret_file)
        self.peer_secrets = self.load_watched(
            "peer_secret_file", secret.name, lambda: PeerSecrets(secret)
        )
        self.operators = self._load_operators(settings.operators_file)
        self.operator_tls = self.load_tls("operator_tls", settings.operator_tls)
        self.peer_tls = self.load_tls("peer_tls", settings.peer_tls, between_peers=True)

    def load_watched(
        self, key: str, file_name: str, load_source: Callable[[], _Source]
    ) -> _Source:
        """Load a source from files and reload it when they change.

        Args:
            key: Key of the settings that names the files.
            file_name: File named in the error.
            load_source: Loads the source from its files.

        Raises:
            SettingsError: The files have no usable content.
        """
        try:
            source = load_source()
        except (OSError, ValueError, *DECODE_ERRORS) as error:
            # Only the type of the error is shown, since its text may quote
            # the file, which holds secrets.
            found = f"nothing usable ({type(error).__name__})"
            accepted = "a file as docs/operators.md describes it"
            raise SettingsError(
                [FileFault(file_name, 0, key, found, accepted)]
            ) from None
        self.reloader.add(source)
        return source

    def load_tls(
        self, key: str, files: TlsFiles | None, *, between_peers: bool = False
    ) -> TlsEndpoint | None:
        """Load the TLS of one address and reload it when its files change.

        Args:
            key: Key of the settings that names the files.
            files: Certificate, key and authority; None for plain TCP.
            between_peers: Whether both ends are processes of this fleet.

        Returns:
            The TLS of the address, or None for plain TCP.

        Raises:
            SettingsError: The files have no usable content.
        """
        if files is None:
            return None
        return self.load_watched(
            key,
            files.certificate_file,
            lambda: TlsEndpoint(files, between_peers=between_peers),
        )

    def _load_operators(self, file: str | None) -> CredentialFile[Operator] | None:
        if file is None:
            return None
        return self.load_watched(
            "operators_file", file, lambda: load_operators(Path(file))
        )
