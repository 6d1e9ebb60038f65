"""A retry budget: retries take from what first tries pay in.

A token bucket, as in the retry throttling of gRPC (proposal A6) and the retry budgets
of Finagle: a storm of failures can add no more than a set share to the load.
"""

SHARE = 0.1  # of a retry, paid in by each first try
MAX_BALANCE = 20.0  # retries


class RetryBudget:
    """Keeps retries at or below `most + share * first tries`."""

    def __init__(
        self, *, share: float = SHARE, most: float = MAX_BALANCE, start: float = 1.0
    ) -> None:
        self._share = share
        self._most = most
        self._balance = min(start, most)

    @property
    def balance(self) -> float:
        """Retries that may be made now."""
        return self._balance

    def limit(self, most: float) -> None:
        """Set how many retries may be saved up, as a share of the fleet's changes."""
        self._most = most
        self._balance = min(self._balance, most)

    def count_request(self) -> None:
        """Pay in for a first try."""
        self._balance = min(self._most, self._balance + self._share)

    def take(self) -> bool:
        """Pay for a retry; return whether the budget covered it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
