"""The callers' credentials, which identify their customers."""

from pathlib import Path

import msgspec

from zinniaspool.core.ids import CustomerId
from zinniaspool.node import CredentialFile

__all__ = ["Credentials"]


class _CredentialsFile(msgspec.Struct, forbid_unknown_fields=True):
    callers: dict[str, CustomerId]


class Credentials(CredentialFile[CustomerId]):
    """The customers by credential, read from a file.

    Args:
        path: JSON file: ``{"callers": {"CREDENTIAL": "CUSTOMER"}}``.

    Raises:
        OSError: The file cannot be read.
        ValueError: The file has other contents.
    """

    def __init__(self, path: Path) -> None:
        super().__init__(path, _decode_callers)

    def find_customer(self, authorization: str | None) -> CustomerId | None:
        """Return the customer that an Authorization header names, or None."""
        return self.find(authorization)


def _decode_callers(content: bytes) -> dict[str, CustomerId]:
    return msgspec.json.decode(content, type=_CredentialsFile).callers
