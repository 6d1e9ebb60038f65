"""Turns of refused callers, who come back no faster than they can be served."""

MAX_SECONDS = 10.0  # callers who can't be served in that time are told this


class Turns:
    """When the last turn that was given away comes, by service."""

    def __init__(self) -> None:
        self._last: dict[str, float] = {}  # monotonic seconds

    def next(self, service: str, first: float, rate: float, now: float) -> float:
        """Give the next turn away; return the seconds until it comes.

        `first` is the seconds until a request can be served at all, `rate` how many can
        be a second from then on.
        """
        turn = max(now + first, self._last.get(service, 0.0) + 1.0 / rate)
        if turn - now > MAX_SECONDS:
            return MAX_SECONDS
        self._last[service] = turn
        return turn - now
