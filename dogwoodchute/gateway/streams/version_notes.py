"""The notes of which software version began a service's streams, in the store.

All hosts follow the table and see when a note no longer says what holds. One of them
writes the change, and the others only if it doesn't.
"""

import asyncio
import json
import math
import random
import typing
from collections import abc

import prometheus_client

from dogwoodchute import bounded_json, log
from dogwoodchute.coordination import backoff, stream_versions, texts
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.following import row_reader

TABLE = "versions"
PART = "versions"  # of its own, so that no other writer waits behind it
CHECK_INTERVAL = 0.25  # seconds between checks whether a note is out of date
# Seconds, as ranges: what a host waits before it writes a change.
OTHERS_WAIT = (0.3, 0.8)  # for the host that ranks first to write it
STEADY_WAIT = (2.0, 2.5)  # for its own view of the endpoints to stay as it is
OTHERS_STEADY_WAIT = (4.0, 12.0)  # for both; many hosts must not read at once
RETRY_BASE = 0.25  # seconds before a write is tried again
MAX_RETRY_PAUSE = 2.0  # seconds; the pause doubles up to this

notes_written = prometheus_client.Counter(
    "dogwoodchute_version_notes",
    "Changes of version notes that this host sent, by how they ended.",
    ["outcome"],
)


class _Known(typing.NamedTuple):
    """A note and the version of its row, 0 without a row."""

    note: stream_versions.Note | None
    version: int


class _Plan(typing.NamedTuple):
    """A change of a note that is due."""

    following: stream_versions.Note  # without its time
    at: float  # monotonic seconds of the next try
    tries: int = 0  # that failed


def encode(note: stream_versions.Note) -> bytes:
    """Return the value of a note's row, in JSON."""
    return json.dumps(note._asdict(), separators=(",", ":")).encode()


def decode(service: str, value: bytes) -> stream_versions.Note:
    """Return the note in a row's value.

    Raises `KeyError`, `TypeError` or `ValueError` if it can't be decoded.
    """
    fields = bounded_json.load_object(value)
    base, sole = fields["base"], fields["sole"]
    if not all(each is None or is_version(each) for each in (base, sole)):
        raise ValueError("a version is no text")
    mixed, since = fields["mixed"], fields["sole_since"]
    if not isinstance(mixed, bool):
        raise ValueError("mixed is no boolean")
    if isinstance(since, bool) or not isinstance(since, int | float):
        raise ValueError("sole_since is no number")
    if not mixed and (base is None or base != sole):
        raise ValueError("a calm note of several versions")
    return stream_versions.Note(base, mixed, sole, float(since))


def is_version(value: object) -> bool:
    """Return whether `value` may be a software version; an endpoint may have none."""
    return value == "" or texts.is_name(value)


class VersionNotes:
    """One host's copy of the notes, which also writes what has changed."""

    def __init__(
        self,
        *,
        store: rows.Store,
        seen: abc.Callable[[], dict[str, frozenset[str]]],
        ranks_first: abc.Callable[[str], bool],
        copy_age: abc.Callable[[], float],
        on_calm: abc.Callable[[str], abc.Awaitable[None]],
        now: abc.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._store = store
        # Software versions of the endpoints of each service with resumable streams.
        self._seen = seen
        self._ranks_first = ranks_first  # whether this host does, for a service
        self._copy_age = copy_age  # seconds since the table's copy was current
        self._on_calm = on_calm  # awaited after this host has made a service calm
        self._now = now
        self._rng = rng
        self._reader = row_reader.RowReader(table=TABLE, decode=decode)
        self._known: dict[str, _Known] = {}
        self._plans: dict[str, _Plan] = {}
        self._woken = asyncio.Event()
        self._cleanups: set[asyncio.Task] = set()

    def apply_changes(
        self, all_rows: dict[str, rows.Row], changed: list[rows.Row]
    ) -> None:
        """Apply changed rows of the table."""
        for row in changed:
            # Nobody removes notes. A copy without one is older than this host's.
            if row.value is not None:
                self._adopt_row(row)
        self.wake()

    def note(self, service: str) -> stream_versions.Note | None:
        """Return a service's note, None if it is unknown or too old to be used."""
        known = self._known.get(service)
        if known is None or self._copy_age() >= stream_versions.MAX_LAG:
            return None
        return known.note

    def is_known(self, service: str) -> bool:
        """Return whether a service's note was ever read, however long ago."""
        return service in self._known

    def needs_record(self, service: str, software: str) -> bool:
        """Return whether a stream whose first event goes out now needs a record."""
        return stream_versions.needs_record(self.note(service), software)

    def unrecorded(self, service: str, asked_at: float) -> str | None:
        """Return the version that began a stream without a record, None if unknown.

        `asked_at` is when the store had no record, in seconds of the store's clock.
        """
        return stream_versions.begun_at(self.note(service), None, asked_at)

    def wake(self) -> None:
        """Check the notes now, as endpoints or notes have changed."""
        self._woken.set()

    async def run(self) -> None:
        """Keep the notes up to date until cancelled."""
        try:
            while True:
                self._woken.clear()
                await self._check()
                try:
                    async with asyncio.timeout(self._pause()):
                        await self._woken.wait()
                except TimeoutError:
                    continue
        finally:
            for task in self._cleanups:
                task.cancel()

    async def _check(self) -> None:
        try:
            seen = self._seen()
            self._plan(seen)
            now = self._now()
            due = [service for service, plan in self._plans.items() if plan.at <= now]
            await asyncio.gather(*(self._try_write(service) for service in due))
        except Exception:
            log.exception("version_notes_failed")

    def _pause(self) -> float:
        first = min((plan.at for plan in self._plans.values()), default=math.inf)
        return max(0.0, min(CHECK_INTERVAL, first - self._now()))

    def _plan(self, seen: dict[str, frozenset[str]]) -> None:
        """Plan the changes that are due by this host's copy, and drop all others."""
        plans = {}
        for service, versions in seen.items():
            known = self._known.get(service, _Known(None, 0))
            following = stream_versions.advance(known.note, versions, self._store.now())
            if following is None:
                continue
            untimed = following._replace(sole_since=0.0)
            plan = self._plans.get(service)
            if plan is None or plan.following != untimed:
                is_relaxed = stream_versions.is_relaxed(known.note, following)
                wait = self._wait(service, is_relaxed=is_relaxed)
                plan = _Plan(untimed, self._now() + wait)
            plans[service] = plan
        self._plans = plans

    def _wait(self, service: str, *, is_relaxed: bool) -> float:
        is_first = self._ranks_first(service)
        if is_relaxed:
            return self._rng.uniform(*(STEADY_WAIT if is_first else OTHERS_STEADY_WAIT))
        return 0.0 if is_first else self._rng.uniform(*OTHERS_WAIT)

    async def _try_write(self, service: str) -> None:
        is_done = False
        try:
            is_done = await self._write(service)
        except Exception:
            log.exception("version_notes_failed", service=service)
        plan = self._plans.get(service)
        if plan is None:
            return
        # A change that is still planned after this is due by a clock that is ahead, or
        # by other endpoints than those that other hosts know.
        pause = MAX_RETRY_PAUSE
        if not is_done:
            plan = plan._replace(tries=plan.tries + 1)
            pause = backoff.backoff(
                plan.tries, base=RETRY_BASE, limit=MAX_RETRY_PAUSE, rng=self._rng
            )
        self._plans[service] = plan._replace(at=self._now() + pause)

    async def _write(self, service: str) -> bool:
        """Write the change that the row in the store needs; return False if it failed.

        The row is read first, since its answer has the store's clock, which tells
        whether the base may change. A host's own estimate may be ahead at its start.
        """
        answer = await self._store.read(TABLE, PART, service, f"{service}\0")
        if isinstance(answer, rows.Unavailable):
            self._report(service, answer)
            return False
        current = self._read_known(service, answer.rows)
        versions = self._seen().get(service, frozenset())
        following = stream_versions.advance(current.note, versions, answer.now)
        if following is None:
            return True
        outcome = await self._store.commit(
            PART,
            [rows.Check(TABLE, service, current.version)],
            [rows.Put(TABLE, service, encode(following))],
        )
        notes_written.labels(type(outcome).__name__.lower()).inc()
        if isinstance(outcome, rows.Committed):
            self._adopt(service, _Known(following, outcome.version), is_own=True)
            if current.note is not None and not following.mixed:
                self._clean_up(service)
            return True
        if isinstance(outcome, rows.Conflict):
            self._read_known(service, outcome.rows)
            return False
        self._report(service, outcome)
        return False

    def _report(self, service: str, failure: rows.Unavailable | rows.Unknown) -> None:
        plan = self._plans.get(service)
        if plan is not None and plan.tries:
            return  # a first line told it
        log.warning(
            "version_note_unwritten",
            service=service,
            reason=failure.reason,
            peer=failure.peer,
        )

    def _clean_up(self, service: str) -> None:
        async def run() -> None:
            try:
                await self._on_calm(service)
            except Exception:
                log.exception("version_notes_failed", service=service)

        task = asyncio.create_task(run())
        self._cleanups.add(task)
        task.add_done_callback(self._cleanups.discard)

    def _read_known(self, service: str, found: list[rows.Row]) -> _Known:
        """Adopt a service's row if it is among `found`, and return what it says."""
        for row in found:
            if row.key == service and row.value is not None:
                return self._adopt_row(row)
        return _Known(None, 0)

    def _adopt_row(self, row: rows.Row) -> _Known:
        # Streams may have begun at any version beside a note that can't be read.
        note = self._reader.read(row) or stream_versions.UNKNOWN
        known = _Known(note, row.version)
        self._adopt(row.key, known, is_own=False)
        return known

    def _adopt(self, service: str, known: _Known, *, is_own: bool) -> None:
        before = self._known.get(service)
        if before is not None and known.version <= before.version:
            return
        self._known[service] = known
        note = known.note
        log.info(
            "version_note",
            service=service,
            base=note.base,
            mixed=note.mixed,
            sole=note.sole,
            since=f"{note.sole_since:.3f}" if note.sole is not None else None,
            version=known.version,
            own=is_own,
        )
