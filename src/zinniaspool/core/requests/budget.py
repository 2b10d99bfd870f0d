"""Retry budgets: how much of its traffic a customer may send again."""

__all__ = ["RetryBudget"]

_DEPOSIT = 0.1
"""Tokens a request: retries stay below a tenth of the requests."""
_MOST_TOKENS = 10.0
"""Tokens kept: a short failure of ten requests is hidden whole."""


class RetryBudget:
    """A bucket that each request fills a little and each retry empties.

    Retries stay below a tenth of the requests over any long time, whatever
    fails; the bucket's size lets a short failure be hidden whole.

    Args:
        deposit: Tokens that a request adds; a retry takes one.
        most: Tokens that the bucket holds, and starts with.
    """

    __slots__ = ("_deposit", "_most", "tokens")

    def __init__(self, deposit: float = _DEPOSIT, most: float = _MOST_TOKENS) -> None:
        self.tokens = most
        self._deposit = deposit
        self._most = most

    def deposit(self) -> None:
        """Count a request."""
        self.tokens = min(self._most, self.tokens + self._deposit)

    def withdraw(self) -> bool:
        """Take a retry's token; False when there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
