"""The time in which a control process may act on a domain that it leases."""

from dataclasses import dataclass

from zinniaspool.core.deployment import FencingSupport

__all__ = ["LeaseTenure", "LeaseTenureLimits"]


@dataclass(frozen=True, slots=True)
class LeaseTenureLimits:
    """How a lease is used.

    Attributes:
        lease_s: Length of the lease, on the store's clock.
        used_part: Share of the lease in which its holder acts. The rest
            allows for clocks that differ and for messages in transit.
        max_order_s: Longest time that an order can be in transit.
    """

    lease_s: float = 3.0
    used_part: float = 0.5
    max_order_s: float = 1.0


class LeaseTenure:
    """One tenure of a domain's lease, by this process's own clock.

    The store's lease starts when the store handles the call, which is after
    the call was sent. This process counts from when it sent the call and
    uses only a share of the lease, so it stops before the store can grant
    the lease to another process. A process that was suspended meanwhile
    learns this from its own clock, provided that it checks the clock before
    each order and each write of a plan.

    Args:
        limits: How the lease is used.
        requested_at: When the lease was requested.
        granted_at: When the answer came.
        fencing: Whether engines check or ignore the epoch of an order.
    """

    def __init__(
        self,
        limits: LeaseTenureLimits,
        requested_at: float,
        granted_at: float,
        fencing: FencingSupport,
    ) -> None:
        self._limits = limits
        self._usable_s = limits.lease_s * limits.used_part
        self._valid_until = requested_at + self._usable_s
        self._orders_from = granted_at
        if fencing is FencingSupport.IGNORED:
            # The former holder's last orders may still arrive, and engines
            # would follow them. A state that an engine reports before then
            # may change again.
            self._orders_from += limits.max_order_s
        self._ended = False

    @property
    def orders_from(self) -> float:
        """When all orders of the former holder have arrived or expired."""
        return self._orders_from

    def renew(self, requested_at: float) -> None:
        """Extend the tenure, counted from when the renewal was requested."""
        self._valid_until = max(self._valid_until, requested_at + self._usable_s)

    def end(self) -> None:
        """End the tenure: the lease is lost or released."""
        self._ended = True

    def is_valid(self, now: float) -> bool:
        """Whether this process may act on the domain now."""
        return not self._ended and now < self._valid_until

    def may_order(self, now: float) -> bool:
        """Whether orders may be sent now."""
        return self.is_valid(now) and now >= self._orders_from
