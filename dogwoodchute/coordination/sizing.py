"""How many tokens a host draws from a budget, and how many it returns."""

import math

from dogwoodchute.coordination import grants

IDLE_HORIZONS = 2.0  # horizons without use after which all tokens are returned
DEMAND_WINDOW = 300.0  # seconds
MIN_AGE = 3.0  # seconds; a single large request says little about a rate
MIN_REFILL = 1000  # tokens; fewer are not worth a commit
SCARCE_BUDGET_SECONDS = 60.0  # pause of refills after peers had to return their tokens


class Demand:
    """The rate at which one client account uses tokens on this host.

    An exponentially weighted moving average over irregular samples: each use adds
    `tokens / window`, and the sum decays by `exp(-elapsed / window)`.

    At first the average is too low, since the window reaches back before the first use.
    With `bias_corrected`, it is divided by the share of the window since the first use,
    or since `MIN_AGE` seconds ago if that is longer, as in the bias correction of the
    Adam optimizer.
    """

    def __init__(
        self, *, window: float = DEMAND_WINDOW, bias_corrected: bool = False
    ) -> None:
        self._window = window
        self._bias_corrected = bias_corrected
        self._first_at: float | None = None  # monotonic seconds of the first use
        self._rate = 0.0  # tokens a second, at `_rate_at`
        self._rate_at = 0.0  # monotonic seconds
        self._last_at: float | None = None  # monotonic seconds of the last use

    def record_use(self, now: float, tokens: int) -> None:
        """Record that `tokens` were used at `now`, monotonic seconds."""
        self._rate = self._decayed(now) + tokens / self._window
        self._rate_at = now
        if self._first_at is None:
            self._first_at = now
        self._last_at = now

    def rate(self, now: float) -> float:
        """Return the rate at `now` in tokens a second."""
        if not self._bias_corrected or self._first_at is None:
            return self._decayed(now)
        age = max(MIN_AGE, now - self._first_at)
        return self._decayed(now) / -math.expm1(-age / self._window)

    def lower_rate(self, now: float) -> float:
        """Return the rate at `now` without bias correction, in tokens a second.

        In a new window it is too low, but a few uses don't make it too high.
        """
        return self._decayed(now)

    def _decayed(self, now: float) -> float:
        elapsed = max(0.0, now - self._rate_at)
        return self._rate * math.exp(-elapsed / self._window)

    def idle_seconds(self, now: float) -> float:
        """Return the seconds since the last use, infinite without any use."""
        if self._last_at is None:
            return math.inf
        return max(0.0, now - self._last_at)


def draw_size(
    *,
    balance: grants.Balance,
    needed: int,
    rate: float,
    horizon: float,
    share: float,
) -> int:
    """Return how many tokens to draw, 0 if the budget does not cover `needed`.

    The draw covers `needed` and use at `rate` for `horizon` seconds, up to the fraction
    `share` of the remaining budget, but at least `needed`. So when the budget is almost
    spent, each draw is exactly `needed`.
    """
    remaining = balance.remaining
    if needed > remaining:
        return 0
    wanted = needed + math.ceil(rate * horizon)
    return max(needed, min(wanted, int(remaining * share)))


def refill_size(
    *,
    balance: grants.Balance,
    available: int,
    reserved: int,
    rate: float,
    horizon: float,
    share: float,
    refill_threshold: float = 0.5,
) -> int:
    """Return how many tokens to draw in advance, 0 while the host has enough.

    The target is the use of one horizon, up to the fraction `share` of the tokens that
    the host and the budget have left. A host that has less than the fraction
    `refill_threshold` of the target draws up to the target. So a host that loses the
    store has at least that fraction, few requests wait for a draw, and repeated draws
    do not empty the budget. A draw of less than `MIN_REFILL` is not made.
    """
    left = balance.remaining + available
    target = min(math.ceil(rate * horizon), int(left * share))
    if available + reserved >= refill_threshold * target:
        return 0
    size = min(target - available - reserved, balance.remaining)
    return size if size >= MIN_REFILL else 0


def return_size(
    *, available: int, reserved: int, rate: float, horizon: float, idle: float
) -> int:
    """Return how many of the `available` tokens to return to the budget.

    After `IDLE_HORIZONS` horizons without use and with nothing `reserved`, all are
    returned. Before that, a host with more than twice the use of one horizon keeps that
    use and returns the rest, so that a return is not followed at once by a draw.

    `rate` is the use in tokens per second; `horizon` and `idle`, the time without use,
    are in seconds.
    """
    if available <= 0:
        return 0
    if idle >= IDLE_HORIZONS * horizon and reserved == 0:
        return available
    keep = math.ceil(rate * horizon)
    if available + reserved <= 2 * keep:
        return 0
    return max(0, available - keep)
