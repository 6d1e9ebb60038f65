"""An in-memory weight store that limits loads by one token bucket for the fleet."""

from collections import abc

from dogwoodchute import clock
from dogwoodchute.coordination import pacing
from dogwoodchute.platform import weights


class MemoryWeights:
    """Permits `rate` loads a second, and `burst` and one more at once.

    The fault `down` makes every call `Unavailable`.
    """

    def __init__(
        self,
        *,
        rate: float = 1.0,
        burst: float = 4.0,
        now: abc.Callable[[], float] = clock.monotonic,
    ) -> None:
        self.down = False
        self.permitted: list[tuple[float, str]] = []  # time and name of each load
        self._now = now
        self._bucket = pacing.Bucket(rate=rate, burst=burst)

    def client(self) -> weights.Weights:
        """Return a client of the store."""

        async def permit(
            name: str,
        ) -> weights.Permitted | weights.Wait | weights.Unavailable:
            if self.down:
                return weights.Unavailable(reason="weight store is down")
            wait = self._bucket.wait(self._now())
            if wait > 0:
                return weights.Wait(seconds=wait)
            self._bucket.take(1, self._now())
            self.permitted.append((self._now(), name))
            return weights.Permitted()

        return weights.Weights(permit=permit)
