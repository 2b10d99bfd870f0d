"""TLS contexts of a process's addresses, by the standard library."""

import ssl
from pathlib import Path

from zinniaspool.settings import TlsFiles

__all__ = ["TlsEndpoint"]


class TlsEndpoint:
    """Certificate, key and trusted authority of one address.

    Loading the files again changes the contexts in place: new connections
    use the new certificate, and open connections continue unchanged.

    Args:
        files: Paths of the certificate, key and authority.
        between_peers: Whether both ends are processes of this fleet. Each
            end must then present a certificate of the authority, which
            issues certificates for peers only. The address is not checked
            against the certificate, since VMs and with them their addresses
            are replaced at any time.

    Attributes:
        server: Context of the listening end.
        client: Context of the connecting end.

    Raises:
        OSError: A file cannot be read or used.
    """

    def __init__(self, files: TlsFiles, *, between_peers: bool = False) -> None:
        self._files = files
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        for context in (self.server, self.client):
            context.minimum_version = ssl.TLSVersion.TLSv1_2
        if between_peers:
            self.client.check_hostname = False
        if files.authority_file is not None:
            self.server.verify_mode = ssl.CERT_REQUIRED
        self.load()

    @property
    def paths(self) -> tuple[Path, ...]:
        """Paths of the files."""
        names = (
            self._files.certificate_file,
            self._files.key_file,
            self._files.authority_file,
        )
        return tuple(Path(name) for name in names if name is not None)

    def load(self) -> None:
        """Read the files again."""
        for context in (self.server, self.client):
            context.load_cert_chain(self._files.certificate_file, self._files.key_file)
            if self._files.authority_file is not None:
                context.load_verify_locations(self._files.authority_file)
