"""Whose request it is, by the credential that it brings."""

import hashlib
import hmac
from pathlib import Path

import msgspec

from zinniaspool.core.ids import CustomerId

__all__ = ["Credentials"]

_SCHEME = "Bearer "


class _CredentialsFile(msgspec.Struct, forbid_unknown_fields=True):
    callers: dict[str, CustomerId]


class Credentials:
    """The customers by credential.

    Args:
        path: JSON file: ``{"callers": {"CREDENTIAL": "CUSTOMER"}}``.
    """

    def __init__(self, path: Path) -> None:
        found = msgspec.json.decode(path.read_bytes(), type=_CredentialsFile)
        self._customers = [
            (_digest(credential), customer)
            for credential, customer in found.callers.items()
        ]

    def find_customer(self, authorization: str | None) -> CustomerId | None:
        """Return the customer of an Authorization header, or None."""
        if authorization is None or not authorization.startswith(_SCHEME):
            return None
        asked = _digest(authorization.removeprefix(_SCHEME))
        customer = None
        # Every entry is compared, each in constant time, so that the time
        # taken tells nothing about how close a guess is.
        for digest, owner in self._customers:
            if hmac.compare_digest(digest, asked):
                customer = owner
        return customer


def _digest(credential: str) -> bytes:
    return hashlib.sha256(credential.encode()).digest()
