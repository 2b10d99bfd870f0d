"""Identifies requests with the same content, whatever their request ids."""

from hashlib import blake2b

from zinniaspool.core.ids import ContentId

__all__ = ["identify_content"]

DIGEST_BYTES = 12
"""Length of the digest, in bytes. It is enough that two contents in a fleet
hardly ever share a digest."""


def identify_content(
    method: str, target: str, customer: str | None, body: bytes
) -> ContentId:
    """Return the id that all requests with the same content have.

    Args:
        method: HTTP method of the request.
        target: Path and query.
        customer: The customer that sent it, or None.
        body: The whole body.
    """
    digest = blake2b(body, digest_size=DIGEST_BYTES)
    digest.update(f"\0{method}\0{target}\0{customer or ''}".encode())
    return ContentId(digest.hexdigest())
