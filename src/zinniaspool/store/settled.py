"""Compare-and-swap that reads the key back if the response is lost."""

from result import Err, Ok, Result

from zinniaspool.core.ids import Revision
from zinniaspool.store.client import LeaseId, Store, StoreFault

__all__ = ["swap_and_confirm"]


async def swap_and_confirm(
    store: Store,
    key: str,
    value: str,
    expected: Revision,
    lease: LeaseId | None = None,
) -> Result[Revision, StoreFault]:
    """Swap a value and find out whether the swap took effect.

    The store's response may be lost after the write took effect. If that
    counted as a failure, the writer would lose a key that it owns; if it
    counted as a success, the writer could act on a key that it does not
    own. Reading the key back decides, since ``value`` contains a tag that
    only this write can have written.

    Args:
        store: The platform's store.
        key: Key to write.
        value: Value to write; contains a tag that is unique to this write.
        expected: Revision of the key to replace; 0 for an absent key.
        lease: Lease with which the key expires.

    Returns:
        The revision of the write; ``CONFLICT`` if another write came first;
        ``UNKNOWN`` if the response was lost and the key could not be read
        back, or still has its old value, because the write may yet arrive.
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
    # The key is unchanged so far, but the write may still arrive.
    return Err(StoreFault.UNKNOWN)
