"""Simple balancing policies, as baselines of the load benchmark."""

from dogwoodchute.coordination import admission, limits


class Baseline:
    """Replaces an `Admission` by round robin or by the least reported load."""

    def __init__(self, *, policy: str, engines: list[str], start: int) -> None:
        self._policy = policy
        self._engines = engines
        self._turn = start
        self._loads = dict.fromkeys(engines, 0)

    def update_report(self, name: str, load: limits.Load) -> None:
        """Store a load report."""
        self._loads[name] = load.running + load.waiting

    def record_unreachable(self, name: str, now: float) -> None:
        """Do nothing."""

    def submit(
        self, ticket: admission.AdmissionRequest, now: float
    ) -> admission.Dispatch:
        """Choose an endpoint; never queue or refuse."""
        self._turn += 1
        name = self._engines[self._turn % len(self._engines)]
        if self._policy == "least_load":
            name = min(self._engines, key=self._loads.get)
        return admission.Dispatch(ticket, name)

    def retry(
        self, ticket: admission.AdmissionRequest, tried: set[str], now: float
    ) -> str | None:
        """Choose an endpoint that was not tried, up to three in all."""
        untried = [name for name in self._engines if name not in tried]
        return untried[self._turn % len(untried)] if len(tried) < 3 else None

    def retry_after(self, now: float) -> float:
        """Return a fixed number of seconds."""
        return 1.0

    def dispatch_waiting(self, now: float) -> list:
        """Return nothing: no request ever waits."""
        return []

    def cancel(self, request_id: str) -> bool:
        """Return False: no request ever waits."""
        return False

    def tick(self, now: float, started: object) -> None:
        """Do nothing."""

    def release(self, request_id: str, now: float, **sample: object) -> None:
        """Do nothing."""
