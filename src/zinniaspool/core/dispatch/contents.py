"""What a request asks, whichever id a caller gives it."""

from hashlib import blake2b

from zinniaspool.core.ids import ContentId

__all__ = ["identify_content"]

DIGEST_BYTES = 12
"""Length of the digest, in bytes: two contents in the same fleet then hardly
ever share one."""


def identify_content(
    method: str, target: str, customer: str | None, body: bytes
) -> ContentId:
    """Return the id that all requests with the same content have.

    Args:
        method: Of the request.
        target: Path and query.
        customer: Whose it is, if anybody's.
        body: Whole.
    """
    digest = blake2b(body, digest_size=DIGEST_BYTES)
    digest.update(f"\0{method}\0{target}\0{customer or ''}".encode())
    return ContentId(digest.hexdigest())
