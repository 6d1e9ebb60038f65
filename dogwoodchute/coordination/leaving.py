"""Which endpoints are leaving, by the first of several signals.

Each source clears only its own signal: a host list that lags and shows an endpoint as
live does not undo what the endpoint said of itself.
"""

HOST_LIST = "host_list"
ENDPOINT = "endpoint"
HOLD = 60.0  # seconds that an endpoint's own signal stands without being repeated
SETTLE = 5.0  # seconds after a signal for which an endpoint's load report may be older


class Leaving:
    """The signals by endpoint, each with the time at which it was last seen."""

    def __init__(self) -> None:
        self._signals: dict[str, dict[str, float]] = {}
        self._listed: set[str] = set()
        self._revision = -1

    def signals(self, endpoint: str) -> list[str]:
        """Return the names of the signals that stand against an endpoint."""
        return sorted(self._signals.get(endpoint, ()))

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether an endpoint must get nothing new."""
        return endpoint in self._signals

    def mark(self, endpoint: str, source: str, now: float) -> bool:
        """Set a signal; return whether the endpoint was not leaving before."""
        fresh = endpoint not in self._signals
        self._signals.setdefault(endpoint, {})[source] = now
        return fresh

    def recant(self, endpoint: str, at: float) -> None:
        """Take a load report of time `at` that says that the endpoint stays.

        Load reports lag, so one that may be older than the signal changes nothing.
        """
        marked = self._signals.get(endpoint, {}).get(ENDPOINT)
        if marked is not None and at - marked > SETTLE:
            self.clear(endpoint, ENDPOINT)

    def clear(self, endpoint: str, source: str) -> None:
        """Clear one source's signal."""
        signals = self._signals.get(endpoint)
        if signals is None:
            return
        signals.pop(source, None)
        if not signals:
            del self._signals[endpoint]

    def take_list(
        self, revision: int, listed: dict[str, bool], known: list[str], now: float
    ) -> list[str]:
        """Take the host list's leaving flags; return endpoints that began to leave.

        An endpoint of `known` that was listed once and no longer is has left. A list
        that is older than the last one changes nothing.
        """
        if revision < self._revision:
            return []
        self._revision = revision
        began = []
        for name in known:
            if name in listed:
                self._listed.add(name)
            gone = name in self._listed and name not in listed
            if not gone and not listed.get(name, False):
                self.clear(name, HOST_LIST)
                continue
            if self.mark(name, HOST_LIST, now):
                began.append(name)
        return began

    def expire(self, now: float) -> None:
        """Clear endpoints' own signals that were not repeated for `HOLD` seconds."""
        for name, signals in list(self._signals.items()):
            if ENDPOINT in signals and now - signals[ENDPOINT] >= HOLD:
                self.clear(name, ENDPOINT)

    def forget(self, known: set[str]) -> None:
        """Drop the endpoints that are not in `known`."""
        self._listed &= known
        for name in set(self._signals) - known:
            del self._signals[name]
