"""A retry budget, which bounds retries to a share of the requests.

A token bucket, as in the retry throttling of gRPC (proposal A6) and the retry budgets
of Finagle: if many requests fail, their retries add no more than that share to the
load.
"""

SHARE = 0.1  # of a retry, added to the balance by each request
MAX_BALANCE = 20.0  # retries


class RetryBudget:
    """Keeps the number of retries at or below `max_balance + share * requests`."""

    def __init__(
        self,
        *,
        share: float = SHARE,
        max_balance: float = MAX_BALANCE,
        start: float = 1.0,
    ) -> None:
        self._share = share
        self._max_balance = max_balance
        self._balance = min(start, max_balance)

    @property
    def balance(self) -> float:
        """The number of retries that may be made now."""
        return self._balance

    def set_max_balance(self, max_balance: float) -> None:
        """Set the maximum balance, which is this host's share of the fleet's."""
        self._max_balance = max_balance
        self._balance = min(self._balance, max_balance)

    def count_request(self) -> None:
        """Add the share of a retry for the first try of a request."""
        self._balance = min(self._max_balance, self._balance + self._share)

    def try_spend(self) -> bool:
        """Spend the budget of a retry; return whether the balance covered it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
