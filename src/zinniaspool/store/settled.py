"""Writes whose lost answers are settled by reading back."""

from result import Err, Ok, Result

from zinniaspool.core.ids import Revision
from zinniaspool.store.client import LeaseId, Store, StoreFault

__all__ = ["settle_swap"]


async def settle_swap(
    store: Store,
    key: str,
    value: str,
    expected: Revision,
    lease: LeaseId | None = None,
) -> Result[Revision, StoreFault]:
    """Swap a value that only this writer can have written; know the outcome.

    The store's answer may be lost after the write took effect. Taking that
    for a failure would make the writer lose what it holds; taking it for a
    success would let it act on what it does not hold. Reading back decides,
    since ``value`` holds its writer's unique tag.

    Args:
        store: The platform's store.
        key: What to write.
        value: Must hold a tag that is unique to this write.
        expected: The revision to replace; 0 for an absent key.
        lease: The lease that the key goes with.

    Returns:
        The key's revision; ``CONFLICT`` when another write came first;
        ``UNKNOWN`` only when reading back failed as well.
    """
    written = await store.swap(key, value, expected, lease)
    if not (isinstance(written, Err) and written.err_value is StoreFault.UNKNOWN):
        return written
    found = await store.get(key)
    if isinstance(found, Err):
        return Err(StoreFault.UNKNOWN)
    current = found.ok_value
    if current is not None and current.value == value:
        return Ok(current.revision)
    if current is not None and current.revision != expected:
        return Err(StoreFault.CONFLICT)
    # Unchanged so far, but the write may still be on its way.
    return Err(StoreFault.UNKNOWN)
