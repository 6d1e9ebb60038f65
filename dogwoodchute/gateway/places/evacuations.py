"""The data centres whose endpoints get nothing, as the operator evacuates them.

The operator writes a row for each beside the configuration, and removes it when the
data centre is taken back. So hosts learn of both in the way, and within the time, in
which they learn of a configuration.
"""

import typing
from collections import abc

import prometheus_client

from dogwoodchute import log
from dogwoodchute.gateway import rows

# Seconds after a restore of the store for which an evacuation that its copy lacks goes
# on. In that time the operator writes it again.
KEPT_AFTER_RESTORE = 10.0
# Seconds for which the end of an evacuation is remembered. Endpoints are warm sooner.
REMEMBERED = 60.0

evacuated_data_centres = prometheus_client.Gauge(
    "dogwoodchute_evacuated_data_centres", "Data centres whose endpoints get nothing."
)


class Progress(typing.NamedTuple):
    """What this host has at the endpoints of a data centre."""

    endpoints: int
    running: int  # requests


class Evacuations:
    """The evacuations in force, and when those that are over ended here.

    `data_centre_of` returns the data centre that a row evacuates by its key, None for
    rows that evacuate none. `progress` is asked when an evacuation begins or ends.
    """

    def __init__(
        self,
        *,
        data_centre_of: abc.Callable[[str], str | None],
        progress: abc.Callable[[str], Progress],
        now: abc.Callable[[], float],
    ) -> None:
        self._data_centre_of = data_centre_of
        self._progress = progress
        self._now = now
        self._in_force: set[str] = set()
        # Those whose rows a restored store lacks, with the monotonic seconds of their
        # end unless the operator writes them again.
        self._kept_until: dict[str, float] = {}
        self._ended_at: dict[str, float] = {}  # monotonic seconds
        self._undrained: set[str] = set()  # with requests of this host still running
        self._era: int | None = None  # of the store
        self._restored_at: float | None = None  # monotonic seconds

    @property
    def in_force(self) -> abc.Set[str]:
        """The data centres to whose endpoints nothing more may be sent."""
        if self._kept_until:
            self._end_kept()
        return self._in_force

    @property
    def has_ended_lately(self) -> bool:
        """Whether `ended_at` is known of any data centre."""
        oldest = self._now() - REMEMBERED
        for data_centre, ended_at in list(self._ended_at.items()):
            if ended_at < oldest:
                del self._ended_at[data_centre]
        return bool(self._ended_at)

    def ended_at(self, data_centre: str) -> float | None:
        """Return the monotonic seconds at which an evacuation ended lately.

        None without one, or while one is in force.
        """
        return self._ended_at.get(data_centre)

    def apply_changes(
        self, all_rows: dict[str, rows.Row], changed: list[rows.Row]
    ) -> None:
        """Begin and end evacuations as the operator's rows say."""
        self._note_restore(all_rows)
        listed = {}
        for key, row in all_rows.items():
            data_centre = self._data_centre_of(key)
            if data_centre is not None and row.value is not None:
                listed[data_centre] = row.version
        for data_centre, version in listed.items():
            self._kept_until.pop(data_centre, None)
            if data_centre not in self._in_force:
                self._begin(data_centre, version)
        for data_centre in sorted(self._in_force - listed.keys()):
            if not self._is_kept(data_centre):
                self._end(data_centre, "removed")

    def record_finished(self, data_centre: str) -> None:
        """Record that a request has ended at an endpoint of a data centre.

        The end of the last one is logged while the data centre is evacuated.
        """
        if data_centre not in self._undrained or self._progress(data_centre).running:
            return
        self._undrained.discard(data_centre)
        log.info("evacuation_drained", data_centre=data_centre)

    def _note_restore(self, all_rows: dict[str, rows.Row]) -> None:
        era = max((rows.era_of(row.version) for row in all_rows.values()), default=0)
        if self._era is not None and era > self._era:
            self._restored_at = self._now()
        self._era = max(era, self._era or 0)

    def _is_kept(self, data_centre: str) -> bool:
        """Return whether an evacuation without a row goes on after a restore."""
        if data_centre in self._kept_until:
            return True
        restored_at = self._restored_at
        if restored_at is None or self._now() - restored_at >= KEPT_AFTER_RESTORE:
            return False
        self._kept_until[data_centre] = restored_at + KEPT_AFTER_RESTORE
        log.info("evacuation_kept", data_centre=data_centre)
        return True

    def _end_kept(self) -> None:
        now = self._now()
        for data_centre, until in list(self._kept_until.items()):
            if now >= until:
                del self._kept_until[data_centre]
                self._end(data_centre, "not written again after a restore")

    def _begin(self, data_centre: str, version: int) -> None:
        self._in_force.add(data_centre)
        self._ended_at.pop(data_centre, None)
        evacuated_data_centres.set(len(self._in_force))
        progress = self._progress(data_centre)
        if progress.running:
            self._undrained.add(data_centre)
        log.info(
            "evacuation_begun",
            data_centre=data_centre,
            version=version,
            endpoints=progress.endpoints,
            running=progress.running,
        )

    def _end(self, data_centre: str, reason: str) -> None:
        self._in_force.discard(data_centre)
        self._undrained.discard(data_centre)
        self._ended_at[data_centre] = self._now()
        evacuated_data_centres.set(len(self._in_force))
        progress = self._progress(data_centre)
        log.info(
            "evacuation_ended",
            data_centre=data_centre,
            reason=reason,
            endpoints=progress.endpoints,
            running=progress.running,
        )
