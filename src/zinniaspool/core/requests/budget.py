"""Retry budgets, which limit the share of a customer's requests retried."""

from zinniaspool.core.dispatch.repeats import RetryPurpose

__all__ = ["RetryBudget"]

_TOKENS_PER_REQUEST = 0.1
"""Tokens added per request: retries stay below a tenth of the requests."""
_MAX_TOKENS = 10.0
"""Maximum number of tokens: all ten requests of a short failure can be
retried, so that their callers do not notice it."""


class RetryBudget:
    """A token bucket to which requests add and from which retries withdraw.

    Over any long time, retries stay below a tenth of the requests, whatever
    fails. The size of the bucket lets all requests of a short failure be
    retried.

    Args:
        tokens_per_request: Tokens that a request adds; a retry withdraws one.
        max_tokens: Capacity of the bucket, which is full at the start.
    """

    __slots__ = ("_max_tokens", "_tokens_per_request", "tokens")

    def __init__(
        self,
        tokens_per_request: float = _TOKENS_PER_REQUEST,
        max_tokens: float = _MAX_TOKENS,
    ) -> None:
        self.tokens = max_tokens
        self._tokens_per_request = tokens_per_request
        self._max_tokens = max_tokens

    def deposit(self) -> None:
        """Add a request's tokens."""
        self.tokens = min(self._max_tokens, self.tokens + self._tokens_per_request)

    def withdraw(self, purpose: RetryPurpose) -> bool:
        """Withdraw a retry's token; return False if there is none.

        Args:
            purpose: Why it is wanted; all purposes count alike.
        """
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
