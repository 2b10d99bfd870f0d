"""Which refused requests are written to the journal."""

from dataclasses import dataclass

from zinniaspool.core.ids import CustomerId

__all__ = ["RefusalRate"]


@dataclass(slots=True)
class _Account:
    left: float
    at: float
    left_out: int = 0


class RefusalRate:
    """Bounds how many refusals of each customer are kept.

    The journal keeps a fixed number. Were a customer that is shed without
    pause written down each time, the refusals of all others would be gone
    after seconds.

    Args:
        per_s: Refusals a second of one customer, on average.
        burst: Those in a row after a pause.
    """

    def __init__(self, per_s: float = 2.0, burst: int = 60) -> None:
        self._per_s = per_s
        self._burst = burst
        self._accounts: dict[CustomerId, _Account] = {}

    def take(self, customer: CustomerId, now: float) -> int | None:
        """Return how many were left out since the last one kept.

        None leaves this one out.
        """
        account = self._accounts.get(customer)
        if account is None:
            account = self._accounts[customer] = _Account(self._burst, now)
        earned = (now - account.at) * self._per_s
        account.left = min(self._burst, account.left + earned)
        account.at = now
        if account.left < 1:
            account.left_out += 1
            return None
        account.left -= 1
        left_out, account.left_out = account.left_out, 0
        return left_out
