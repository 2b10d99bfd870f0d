"""For how long a control process may act on the domain that it leases."""

from dataclasses import dataclass

from zinniaspool.core.deployment import FencingSupport

__all__ = ["Tenure", "TenureLimits"]


@dataclass(frozen=True, slots=True)
class TenureLimits:
    """How a lease is used.

    Attributes:
        lease_s: Length of the lease, on the store's clock.
        used_part: The part of it in which its holder acts. The rest is for
            clocks that differ, and for what is on its way.
        order_s: Longest time that an order can be under way.
    """

    lease_s: float = 3.0
    used_part: float = 0.5
    order_s: float = 1.0


class Tenure:
    """One holding of a domain's lease, by this process's own clock.

    The store counts the lease from when it took the call, which is after the
    call was made. Counting from when the call was made, and using only a
    part of the lease, this process stops before the store gives the lease to
    another one. A process that was stopped in between finds out from its own
    clock, if it looks before each order and each swap.

    Args:
        limits: How the lease is used.
        asked_at: When the lease was asked for.
        taken_at: When the answer came.
        fencing: What engines do with an order that carries an old epoch.
    """

    def __init__(
        self,
        limits: TenureLimits,
        asked_at: float,
        taken_at: float,
        fencing: FencingSupport,
    ) -> None:
        self._limits = limits
        self._used_s = limits.lease_s * limits.used_part
        self._until = asked_at + self._used_s
        self._orders_from = taken_at
        if fencing is FencingSupport.IGNORED:
            # The former holder's last orders may still arrive and would be
            # followed. What engines report before then may not last.
            self._orders_from += limits.order_s
        self._ended = False

    @property
    def orders_from(self) -> float:
        """When the former holder's orders have all arrived or expired."""
        return self._orders_from

    def renew(self, asked_at: float) -> None:
        """Start the lease's time anew, from when the renewal was asked for."""
        self._until = max(self._until, asked_at + self._used_s)

    def end(self) -> None:
        """End the tenure: the lease is lost or given up."""
        self._ended = True

    def is_valid(self, now: float) -> bool:
        """Whether this process may act on the domain now."""
        return not self._ended and now < self._until

    def may_order(self, now: float) -> bool:
        """Whether orders may be sent now."""
        return self.is_valid(now) and now >= self._orders_from
