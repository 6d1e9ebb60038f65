"""When callers that were refused should return, spread out."""

import random

JITTER = 0.3  # share; spreads the retries of callers that are refused together


def spread(seconds: float) -> float:
    """Return a time in seconds from `seconds` up to `JITTER` of it later."""
    return seconds * random.uniform(1.0, 1.0 + JITTER)
