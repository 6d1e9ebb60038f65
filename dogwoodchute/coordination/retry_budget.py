"""A retry budget: retries take from what first tries pay in.

A token bucket, as in the retry throttling of gRPC (proposal A6) and the retry budgets
of Finagle: a storm of failures can add no more than a set share to the load.
"""

SHARE = 0.1  # of a retry, paid in by each first try
MAX_BALANCE = 20.0  # retries


class RetryBudget:
    """Keeps retries at or below `1 + SHARE * first tries`."""

    def __init__(self) -> None:
        self._balance = 1.0

    @property
    def balance(self) -> float:
        """Retries that may be made now."""
        return self._balance

    def count_request(self) -> None:
        """Pay in for a first try."""
        self._balance = min(MAX_BALANCE, self._balance + SHARE)

    def take(self) -> bool:
        """Pay for a retry; return whether the budget covered it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
