"""Tracks which endpoints are leaving.

An endpoint is leaving while any source signals it: the host list, or the endpoint
itself. Each source clears only its own signal, so an outdated host list that shows an
endpoint as live does not undo the endpoint's own signal.
"""

# Sources of signals.
HOST_LIST = "host_list"
ENDPOINT = "endpoint"

SIGNAL_LIFETIME = 60.0  # seconds; an endpoint's own signal expires unless repeated
MAX_REPORT_LAG = 5.0  # seconds by which a load report may be older than its arrival


class LeavingEndpoints:
    """The leaving endpoints and the signals for each of them."""

    def __init__(self) -> None:
        # Monotonic seconds of the latest signal, by endpoint and source.
        self._signals: dict[str, dict[str, float]] = {}
        self._listed: set[str] = set()  # endpoints that a host list has shown
        self._revision = -1  # of the last host list

    def signals(self, endpoint: str) -> list[str]:
        """Return the sources that signal that an endpoint is leaving."""
        return sorted(self._signals.get(endpoint, ()))

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether an endpoint must get no new requests."""
        return endpoint in self._signals

    def signalled_at(self, endpoint: str, source: str) -> float | None:
        """Return the monotonic seconds of a source's latest signal, None without it."""
        return self._signals.get(endpoint, {}).get(source)

    def signalled(self, source: str) -> dict[str, float]:
        """Return the monotonic seconds of a source's latest signals, by endpoint."""
        return {
            name: signals[source]
            for name, signals in self._signals.items()
            if source in signals
        }

    def set_signal(self, endpoint: str, source: str, now: float) -> bool:
        """Set a signal; return whether the endpoint was not leaving before."""
        is_new = endpoint not in self._signals
        self._signals.setdefault(endpoint, {})[source] = now
        return is_new

    def clear_if_outdated(self, endpoint: str, at: float) -> None:
        """Clear the endpoint's own signal, as a load report says that it stays.

        The report arrived at time `at`. Reports lag, so one that may be older than the
        signal changes nothing.
        """
        signalled_at = self._signals.get(endpoint, {}).get(ENDPOINT)
        if signalled_at is not None and at - signalled_at > MAX_REPORT_LAG:
            self.clear_signal(endpoint, ENDPOINT)

    def clear_signal(self, endpoint: str, source: str) -> None:
        """Clear one source's signal."""
        signals = self._signals.get(endpoint)
        if signals is None:
            return
        signals.pop(source, None)
        if not signals:
            del self._signals[endpoint]

    def apply_host_list(
        self, revision: int, listed: dict[str, bool], known: list[str], now: float
    ) -> list[str]:
        """Apply a host list; return the endpoints that began to leave.

        `listed` holds the leaving flag of each listed endpoint, `known` all endpoints.
        One of `known` that was listed before and no longer is counts as leaving. A list
        that is older than the last one changes nothing.
        """
        if revision < self._revision:
            return []
        self._revision = revision
        began = []
        for name in known:
            if name in listed:
                self._listed.add(name)
            has_vanished = name in self._listed and name not in listed
            if not has_vanished and not listed.get(name, False):
                self.clear_signal(name, HOST_LIST)
                continue
            if self.set_signal(name, HOST_LIST, now):
                began.append(name)
        return began

    def expire(self, now: float) -> None:
        """Clear endpoints' own signals that were not repeated for `SIGNAL_LIFETIME`."""
        for name, signals in list(self._signals.items()):
            if ENDPOINT in signals and now - signals[ENDPOINT] >= SIGNAL_LIFETIME:
                self.clear_signal(name, ENDPOINT)

    def keep(self, endpoints: set[str]) -> None:
        """Drop all signals of endpoints that are not in `endpoints`."""
        self._listed &= endpoints
        for name in set(self._signals) - endpoints:
            del self._signals[name]
