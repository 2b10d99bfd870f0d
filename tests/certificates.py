"""Issues certificates for tests, each set by a new authority."""

from dataclasses import dataclass
from pathlib import Path

import trustme

from zinniaspool.settings import TlsFiles

__all__ = ["Certificates", "issue_certificates"]


@dataclass(frozen=True, slots=True)
class Certificates:
    """Files of an authority and of a certificate that it issued.

    Attributes:
        files: Files of the certificate, its key and the authority.
        authority: Certificate file of the authority.
    """

    files: TlsFiles
    authority: Path


def issue_certificates(
    folder: Path, name: str, host: str = "127.0.0.1"
) -> Certificates:
    """Write the certificate of a new authority, and one it issues with a key.

    Args:
        folder: Folder of the files.
        name: First part of the files' names.
        host: Host for which the certificate is issued.
    """
    authority = trustme.CA()
    issued = authority.issue_cert(host)
    ca, chain, key = (folder / f"{name}-{kind}.pem" for kind in ("ca", "chain", "key"))
    authority.cert_pem.write_to_path(ca)
    chain.write_bytes(b"".join(part.bytes() for part in issued.cert_chain_pems))
    issued.private_key_pem.write_to_path(key)
    files = TlsFiles(
        certificate_file=str(chain), key_file=str(key), authority_file=str(ca)
    )
    return Certificates(files, ca)
