"""How many tokens a host draws from a budget, and how many it gives back."""

import math

from dogwoodchute.coordination import grants

IDLE_HORIZONS = 2.0
DEMAND_WINDOW = 300.0  # seconds
MIN_AGE = 3.0  # seconds; one large request tells little of a rate
MIN_REFILL = 1000  # tokens
SCARCE_SECONDS = 60.0  # without refills after peers gave back what they held


class Demand:
    """The rate at which one client account uses tokens on this host.

    An exponentially weighted moving average over irregular samples: each use adds
    `tokens / window`, and the sum decays by `exp(-elapsed / window)`. With `quick`, a
    window that is not full yet counts as what it holds of the time since the first use,
    at least `MIN_AGE`, as in the bias correction of the Adam optimizer.
    """

    def __init__(self, *, window: float = DEMAND_WINDOW, quick: bool = False) -> None:
        self._window = window
        self._quick = quick
        self._first: float | None = None
        self._rate = 0.0
        self._at = 0.0
        self._used_at: float | None = None

    def note(self, now: float, tokens: int) -> None:
        """Count `tokens` as used at `now`, monotonic seconds."""
        self._rate = self._decayed(now) + tokens / self._window
        self._at = now
        if self._first is None:
            self._first = now
        self._used_at = now

    def rate(self, now: float) -> float:
        """Return the rate at `now` in tokens a second."""
        if not self._quick or self._first is None:
            return self._decayed(now)
        age = max(MIN_AGE, now - self._first)
        return self._decayed(now) / -math.expm1(-age / self._window)

    def lower_rate(self, now: float) -> float:
        """Return the rate at `now` as if there was no use before the first one.

        A few uses in a new window don't make it high.
        """
        return self._decayed(now)

    def _decayed(self, now: float) -> float:
        elapsed = max(0.0, now - self._at)
        return self._rate * math.exp(-elapsed / self._window)

    def idle(self, now: float) -> float:
        """Return the seconds since the last use, infinite if there was none."""
        if self._used_at is None:
            return math.inf
        return max(0.0, now - self._used_at)


def draw_size(
    *,
    balance: grants.Balance,
    needed: int,
    rate: float,
    horizon: float,
    share: float,
) -> int:
    """Return how many tokens to draw, 0 if the budget does not cover `needed`.

    The draw covers `needed` and the use at `rate` for `horizon` seconds, up to the
    fraction `share` of what remains. As the budget runs out the cap falls below
    `needed`, and draws become exact.
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
    below: float = 0.5,
) -> int:
    """Return how many tokens to draw ahead of need, 0 while the grant lasts.

    A host keeps the use of one horizon, up to the fraction `share` of what it and the
    budget have left. Below the fraction `below` of that, the draw fills it up. So a
    host that is cut off has at least that fraction, few requests wait for a draw, and
    one draw after the other does not empty the budget. Less than `MIN_REFILL` is not
    worth a commit.
    """
    left = balance.remaining + available
    wanted = min(math.ceil(rate * horizon), int(left * share))
    if available + reserved >= below * wanted:
        return 0
    size = min(wanted - available - reserved, balance.remaining)
    return size if size >= MIN_REFILL else 0


def return_size(
    *, available: int, reserved: int, rate: float, horizon: float, idle: float
) -> int:
    """Return how many of the `available` tokens to give back to the budget.

    After two idle horizons with nothing `reserved`, everything goes back. Before
    that, what exceeds twice the use of one horizon goes back down to that use, so that
    a return is not followed at once by a draw.
    """
    if available <= 0:
        return 0
    if idle >= IDLE_HORIZONS * horizon and reserved == 0:
        return available
    keep = math.ceil(rate * horizon)
    if available + reserved <= 2 * keep:
        return 0
    return max(0, available - keep)
