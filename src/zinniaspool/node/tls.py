"""TLS of a process's addresses, by the standard library."""

import ssl
from pathlib import Path

from zinniaspool.settings import TlsFiles

__all__ = ["TlsSide"]


class TlsSide:
    """One address's certificate, its key and whom it trusts.

    Loading the files again changes the contexts in place: new connections
    use the new certificate, and those that are open go on.

    Args:
        files: Where they are.
        peers: Whether both sides are processes of ours. Such a side must
            show a certificate of the authority, which is for peers alone;
            its address is not looked up in the certificate, since VMs are
            replaced at any time and their addresses with them.

    Raises:
        OSError: A file cannot be read or used.
    """

    def __init__(self, files: TlsFiles, *, peers: bool = False) -> None:
        self._files = files
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        for context in (self.server, self.client):
            context.minimum_version = ssl.TLSVersion.TLSv1_2
        if peers:
            self.client.check_hostname = False
        if files.authority_file is not None:
            self.server.verify_mode = ssl.CERT_REQUIRED
        self.load()

    @property
    def paths(self) -> tuple[Path, ...]:
        """The files."""
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
