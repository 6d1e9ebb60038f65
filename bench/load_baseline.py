"""Plain balancers that the load bench compares with."""

from dogwoodchute.coordination import admission, limits


class Baseline:
    """What a plain balancer does, in place of an admission."""

    def __init__(self, *, policy: str, engines: list[str], start: int) -> None:
        self._policy = policy
        self._engines = engines
        self._next = start
        self._loads = dict.fromkeys(engines, 0)

    def update_report(self, name: str, load: limits.Load) -> None:
        """Adopt a load report."""
        self._loads[name] = load.running + load.waiting

    def record_unreachable(self, name: str, now: float) -> None:
        """Do nothing."""

    def submit(
        self, ticket: admission.AdmissionRequest, now: float
    ) -> admission.Dispatch:
        """Choose an endpoint, whatever its load."""
        self._next += 1
        name = self._engines[self._next % len(self._engines)]
        if self._policy == "least_load":
            name = min(self._engines, key=self._loads.get)
        return admission.Dispatch(ticket, name)

    def retry(
        self, ticket: admission.AdmissionRequest, tried: set[str], now: float
    ) -> str | None:
        """Choose another endpoint, up to three."""
        left = [name for name in self._engines if name not in tried]
        return left[self._next % len(left)] if len(tried) < 3 else None

    def retry_after(self, now: float) -> float:
        """Return a fixed time."""
        return 1.0

    def dispatch_waiting(self, now: float) -> list:
        """Nothing ever waits."""
        return []

    def cancel(self, request_id: str) -> bool:
        """Nothing ever waits."""
        return False

    def tick(self, now: float, started: object) -> None:
        """Do nothing."""

    def release(self, request_id: str, now: float, **sample: object) -> None:
        """Do nothing."""
