"""At which software version a stream began, and so at which it may go on.

What two versions write does not fit together. Which one began a stream is known here
for streams under way; for those that a caller takes up it is looked up in the store, as
any host may have begun them, and all may have been lost since.
"""

import asyncio
import math
import random
import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway import calls, model, rows
from dogwoodchute.gateway.streams import stream_records, version_notes

NOTES_PAUSE = 10.0  # seconds between reads of the notes, as a mean
NOTES_RETRY_PAUSE = 0.5  # seconds after a read that failed
# Seconds that a first event waits until the stream's version is written down.
RECORD_TIMEOUT = 1.0
FIND_TIMEOUT = 0.4  # seconds that a stream's record is looked for
UNKNOWN_RETRY_AFTER = 0.5  # seconds, about the time until the store answers again
GONE_RETRY_AFTER = 2.0  # seconds, as when endpoints of the version return is unknown


class Unclear(typing.NamedTuple):
    """A stream can't go on here now."""

    code: str
    reason: str
    retry_after: float  # seconds


class Origins:
    """The software versions of this host's streams.

    `versions` returns those of a service's registered endpoints.
    """

    def __init__(
        self,
        *,
        config: abc.Callable[[], model.Config | None],
        versions: abc.Callable[[str], frozenset[str]],
        store: rows.Store,
        ranks_first: abc.Callable[[str], bool],
        host_count: abc.Callable[[], int],
        commits: float,
        now: abc.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._config = config
        self._versions = versions
        self._store = store
        self._now = now
        self._rng = rng
        self._read_at = -math.inf  # monotonic seconds of the last read of the notes
        self._has_read = asyncio.Event()
        self._seen_config: model.Config | None = None
        self._services: set[str] = set()  # of it, with streams that may be resumed
        self._records = stream_records.StreamRecords(
            store=store, host_count=host_count, commits=commits, now=now, rng=rng
        )
        self._notes = version_notes.VersionNotes(
            store=store,
            seen=self._seen,
            ranks_first=ranks_first,
            copy_age=lambda: now() - self._read_at,
            on_calm=self._records.remove_left_over,
            now=now,
            rng=rng,
        )

    async def run(self) -> None:
        """Keep notes and records until cancelled."""
        await asyncio.gather(self._follow(), self._notes.run(), self._records.run())

    def usable(
        self, call: calls.Call, endpoints: dict[str, model.Endpoint]
    ) -> dict[str, model.Endpoint]:
        """Return those of `endpoints`, by id, at which a call may run."""
        if not call.is_resumable:
            return endpoints
        if call.software is not None:
            return {i: e for i, e in endpoints.items() if e.software == call.software}
        if not self._records.is_failing:
            return endpoints
        service = call.service.name
        return {
            i: e
            for i, e in endpoints.items()
            if not self._notes.needs_record(service, e.software)
        } or endpoints

    def prepare(self, call: calls.Call, endpoint: model.Endpoint) -> None:
        """Begin to write down the version of a call that is sent to an endpoint.

        This takes place while the endpoint works on the call.
        """
        if not call.is_resumable or call.software is not None:
            return
        if self._needs_record(call, endpoint.software):
            call.recorded_versions.add(endpoint.software)
            self._records.prepare(
                call.request.attempt_id, call.service.name, endpoint.software
            )

    async def settle(self, call: calls.Call) -> bool:
        """Return whether the first event of a call's stream may go out.

        From then on the stream goes on at the version of `call.send` only.
        """
        if not call.is_resumable or call.software is not None:
            return True
        software = call.send.endpoint.software
        if self._needs_record(call, software) and not await self._record(
            call, software
        ):
            return False
        call.software = software
        return True

    async def find(self, call: calls.Call) -> str | Unclear:
        """Return the version that began the stream that a call takes up."""
        service = call.service.name
        versions = self._versions(service)
        software = await self._find(call, versions)
        if software is None:
            return Unclear(
                "stream_origin_unknown",
                "which software version began the stream can't be told now",
                UNKNOWN_RETRY_AFTER,
            )
        if software not in versions:
            return Unclear(
                "stream_software_gone",
                "no endpoint has the software version that began the stream",
                GONE_RETRY_AFTER,
            )
        return software

    async def _find(self, call: calls.Call, versions: frozenset[str]) -> str | None:
        service, resumes = call.service.name, call.request.resumes
        await self._wait_for_notes()
        calm = self._calm_version(service, versions)
        if resumes is None:
            return calm
        found = await self._records.find(resumes, service, FIND_TIMEOUT)
        if isinstance(found, stream_records.Found):
            return found.software
        if isinstance(found, stream_records.Absent):
            unrecorded = self._notes.unrecorded(service, found.asked_at)
            return calm if unrecorded is None else unrecorded
        return calm

    async def _wait_for_notes(self) -> None:
        """Wait for the first read of the notes, as this host has just started."""
        try:
            async with asyncio.timeout(FIND_TIMEOUT):
                await self._has_read.wait()
        except TimeoutError:
            return  # what is found without them says so

    def _calm_version(self, service: str, versions: frozenset[str]) -> str | None:
        """Return the only version of a service's streams, None if there may be more."""
        note = self._notes.note(service)
        if note is not None:
            is_calm = not note.mixed and versions <= {note.base}
            return note.base if is_calm else None
        # Nobody has written a note: no stream has begun beside another version.
        is_new = self._has_read.is_set() and not self._notes.is_known(service)
        return next(iter(versions)) if is_new and len(versions) == 1 else None

    async def _record(self, call: calls.Call, software: str) -> bool:
        """Write down the version of a call; return whether its stream may begin."""
        call.recorded_versions.add(software)
        seconds = max(0.0, min(RECORD_TIMEOUT, call.deadline - self._now()))
        if self._records.is_failing and self._is_only(call, software):
            seconds = 0.0
        is_written = await self._records.ensure(
            call.request.attempt_id, call.service.name, software, seconds
        )
        return is_written or self._is_only(call, software)

    def _needs_record(self, call: calls.Call, software: str) -> bool:
        # An earlier try may have left a record of another version.
        return self._records.is_asked(
            call.request.attempt_id
        ) or self._notes.needs_record(call.service.name, software)

    def _is_only(self, call: calls.Call, software: str) -> bool:
        """Return whether a stream can only go on at a version, as there is no other.

        It may then begin without its record: without one, nothing goes on at another.
        """
        versions = self._versions(call.service.name)
        return versions == {software} and call.recorded_versions == {software}

    def _seen(self) -> dict[str, frozenset[str]]:
        config = self._config()
        if config is not self._seen_config:
            # Found once for each configuration, which may have thousands of routes.
            self._seen_config = config
            self._services = model.resumable_services(config)
        return {name: self._versions(name) for name in self._services}

    async def _follow(self) -> None:
        """Read all notes now and then; see `stream_versions.MAX_LAG`."""
        while True:
            is_read = False
            try:
                is_read = await self._read_notes()
            except Exception:
                log.exception("version_notes_failed")
            pause = NOTES_PAUSE if is_read else NOTES_RETRY_PAUSE
            await asyncio.sleep(pause * self._rng.uniform(0.8, 1.2))

    async def _read_notes(self) -> bool:
        """Read all notes once; return whether the store answered."""
        asked_at = self._now()
        answer = await self._store.read(
            version_notes.TABLE, version_notes.PART, None, None
        )
        if isinstance(answer, rows.Unavailable):
            return False
        self._notes.apply_changes({}, answer.rows)
        self._read_at = asked_at
        self._has_read.set()
        return True
