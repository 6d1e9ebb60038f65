"""The records of which software version began a stream, in the store.

A record is durable before the first event of its stream goes out. Records of many
streams share a commit, and all hosts together use a part of the store's commits only.

Each write checks the version of the row that it replaces, 0 if there is none. A commit
without an answer may land later, so a row is taken for certain only once no such commit
can change it: after a commit that changed its version, or an answer that shows another
version than the one checked.
"""

import asyncio
import heapq
import random
import typing
from collections import abc

import prometheus_client

from dogwoodchute import log, metrics
from dogwoodchute.coordination import backoff, pacing, stream_versions
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.following import row_reader
from dogwoodchute.gateway.streams import (
    stream_record_cleanup,
    stream_record_entries,
    stream_record_rows,
)

MIN_PAUSE = 0.02  # seconds between commits of a host, which later records share
STORE_SHARE = 0.5  # of the commits per second of the store, for all hosts together
MAX_RECORDS = 20_000  # that one host remembers
# Seconds after its last use until a record is removed; its stream has ended then.
KEEP = stream_versions.LIFETIME + 15.0
# Seconds by which removals may be late, so that they share commits with new records.
REMOVAL_SLACK = 10.0
RETRY_BASE = 0.1  # seconds before a failed commit is sent again
MAX_RETRY_PAUSE = 1.0  # seconds; the pause doubles up to this
IDLE_INTERVAL = 1.0  # seconds between checks for records to remove

record_commits = prometheus_client.Counter(
    "dogwoodchute_stream_record_commits",
    "Commits of records of streams, by how they ended.",
    ["outcome"],
)
records_changed = prometheus_client.Counter(
    "dogwoodchute_stream_records",
    "Records of streams that were written, removed or forgotten by this host.",
    ["change"],
)
record_wait_seconds = prometheus_client.Histogram(
    "dogwoodchute_stream_record_wait_seconds",
    "Seconds that first events waited for their record, by whether it was durable.",
    ["durable"],
    buckets=metrics.SECONDS_BUCKETS,
)


class Found(typing.NamedTuple):
    """The record says which software version began the stream."""

    software: str


class Absent(typing.NamedTuple):
    """The store has no record, as of `asked_at` in seconds of its clock."""

    asked_at: float


class Unknown(typing.NamedTuple):
    """It isn't known whether there is a record, or what it says."""

    reason: str


FindOutcome = Found | Absent | Unknown


class StreamRecords:
    """The records of one host's streams, and its reads of all hosts' records."""

    def __init__(
        self,
        *,
        store: rows.Store,
        host_count: abc.Callable[[], int],
        commits: float,
        now: abc.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._store = store
        self._host_count = host_count
        self._commits = commits  # per second, of the whole store
        self._now = now
        self._rng = rng
        self._reader = row_reader.RowReader(
            table=stream_record_rows.TABLE, decode=stream_record_rows.decode
        )
        # Entries with a wanted version by key, least recently used first.
        self._kept: dict[str, stream_record_entries.Entry] = {}
        self._parts = {
            name: stream_record_entries.Part(name)
            for name in stream_record_rows.parts()
        }
        self._next_commit_at = 0.0  # monotonic seconds

    def is_asked(self, attempt: str) -> bool:
        """Return whether this host has asked for a record of an attempt.

        Its stream may then begin only after `ensure`, also at the base version: the
        store may have, or yet get, a record with the version of an earlier try.
        """
        return stream_record_rows.key_of(attempt) in self._kept

    @property
    def is_failing(self) -> bool:
        """Whether the last commit of records to some partition failed."""
        return any(part.failures for part in self._parts.values())

    def prepare(self, attempt: str, service: str, software: str) -> None:
        """Ask for a record that the attempt's stream begins at a software version.

        An earlier version of the same attempt is replaced.
        """
        self._ask(attempt, service, software)

    async def ensure(
        self, attempt: str, service: str, software: str, timeout: float
    ) -> bool:
        """Return whether the durable record has this version within `timeout` seconds.

        It is called when the first event is at hand, since a record is kept for `KEEP`
        seconds from then on. A later call with another version makes this one return
        False.
        """
        entry = self._ask(attempt, service, software)
        started_at = self._now()
        entry.waiters += 1
        try:
            async with asyncio.timeout(timeout):
                while entry.is_awaited(software) and not entry.is_settled:
                    await entry.changed.wait()
        except TimeoutError:
            pass  # the result says so
        finally:
            entry.waiters -= 1
        is_durable = entry.is_awaited(software) and entry.is_settled
        record_wait_seconds.labels(str(is_durable).lower()).observe(
            self._now() - started_at
        )
        return is_durable

    async def find(self, attempt: str, service: str, timeout: float) -> FindOutcome:
        """Return which version an attempt's record tells, by one read at most."""
        key = stream_record_rows.key_of(attempt)
        entry = self._kept.get(key)
        if entry is not None and entry.is_settled and not entry.is_lost:
            return _found(entry.service, entry.holds, service)
        try:
            async with asyncio.timeout(timeout):
                answer = await self._store.read(
                    stream_record_rows.TABLE,
                    stream_record_rows.part_of(key),
                    key,
                    f"{key}\0",
                )
        except TimeoutError:
            return Unknown("the store didn't answer in time")
        if isinstance(answer, rows.Unavailable):
            return Unknown(answer.reason)
        if not answer.rows:
            return Absent(answer.now)
        record = self._reader.read(answer.rows[0])
        if record is None:
            return Unknown("the record can't be read")
        return _found(record.service, record.software, service)

    async def run(self) -> None:
        """Write and remove records until cancelled."""
        await asyncio.gather(*(self._serve(part) for part in self._parts.values()))

    async def remove_left_over(self, service: str) -> None:
        """Remove records of a service that hosts have left over when they died."""
        await stream_record_cleanup.remove_left_over(
            service,
            store=self._store,
            reader=self._reader,
            is_kept=lambda key: key in self._kept,
            pace=self._pace,
        )

    def _ask(
        self, attempt: str, service: str, software: str
    ) -> stream_record_entries.Entry:
        key = stream_record_rows.key_of(attempt)
        part = self._parts[stream_record_rows.part_of(key)]
        # Used again, it becomes the last of the kept ones.
        entry = self._kept.pop(key, None) or part.pending.get(key)
        if entry is None:
            entry = stream_record_entries.Entry(key, service)
        self._kept[key] = entry
        entry.used_at = self._now()
        if entry.service != service:
            entry.is_lost = True
        if entry.wanted != software:
            entry.wanted = software
            entry.notify()
        if not entry.is_settled and not entry.is_lost:
            part.pending[key] = entry
            part.woken.set()
        if len(self._kept) > MAX_RECORDS:
            self._drop(next(iter(self._kept.values())))
        return entry

    def _drop(self, entry: stream_record_entries.Entry) -> None:
        """Forget a record; its row stays, as its stream may go on."""
        log.warning("stream_record_dropped", records=len(self._kept))
        records_changed.labels("dropped").inc()
        entry.is_lost = True
        self._kept.pop(entry.key, None)
        self._parts[stream_record_rows.part_of(entry.key)].pending.pop(entry.key, None)
        entry.notify()

    def _retire_old(self) -> None:
        """Let the rows be removed whose streams have ended."""
        now = self._now()
        old = []
        for entry in self._kept.values():
            if now - entry.used_at < KEEP:
                break
            old.append(entry)
        for entry in old:
            del self._kept[entry.key]
            part = self._parts[stream_record_rows.part_of(entry.key)]
            entry.wanted = None
            entry.notify()
            is_full = len(part.pending) >= MAX_RECORDS
            if entry.is_lost or entry.is_settled or is_full:
                part.pending.pop(entry.key, None)
                continue
            part.pending[entry.key] = entry

    async def _serve(self, part: stream_record_entries.Part) -> None:
        while True:
            try:
                await self._step(part)
            except Exception:
                log.exception("stream_records_failed", part=part.name)
                await asyncio.sleep(MAX_RETRY_PAUSE)

    async def _step(self, part: stream_record_entries.Part) -> None:
        """Wait for something to write and make one commit."""
        self._retire_old()
        if not self._is_due(part):
            part.woken.clear()
            try:
                async with asyncio.timeout(IDLE_INTERVAL):
                    await part.woken.wait()
            except TimeoutError:
                return
        await self._pace()
        batch = self._batch(part)
        if not batch:
            return
        outcome = await self._commit(part, batch)
        self._apply(part, batch, outcome)
        if part.failures:
            pause = backoff.backoff(
                part.failures, base=RETRY_BASE, limit=MAX_RETRY_PAUSE, rng=self._rng
            )
            await asyncio.sleep(pause)

    def _is_due(self, part: stream_record_entries.Part) -> bool:
        """Return whether the part needs a commit, also one of removals only."""
        if len(part.pending) >= stream_record_rows.MAX_BATCH:
            return True
        latest = self._now() - KEEP - REMOVAL_SLACK
        return any(
            entry.wanted is not None or entry.used_at <= latest
            for entry in part.pending.values()
        )

    async def _pace(self) -> None:
        """Wait until this host may send its next commit of records."""
        now = self._now()
        at = max(now, self._next_commit_at)
        self._next_commit_at = at + pacing.shared_interval(
            self._host_count(),
            fleet_rate=STORE_SHARE * self._commits,
            shortest=MIN_PAUSE,
        )
        if at > now:
            await asyncio.sleep(at - now)

    def _batch(
        self, part: stream_record_entries.Part
    ) -> list[stream_record_entries.Sent]:
        """Return what to send: what first events wait for first, removals last."""
        chosen = heapq.nsmallest(
            stream_record_rows.MAX_BATCH,
            part.pending.values(),
            key=lambda entry: (entry.wanted is None, not entry.waiters, entry.used_at),
        )
        batch = []
        for entry in chosen:
            put = entry.next_put()
            batch.append(
                stream_record_entries.Sent(
                    entry, entry.version, put, put not in entry.unanswered
                )
            )
        return batch

    async def _commit(
        self, part: stream_record_entries.Part, batch: list[stream_record_entries.Sent]
    ) -> rows.CommitOutcome:
        written = self._store.now()
        checks = [
            rows.Check(stream_record_rows.TABLE, sent.entry.key, sent.version)
            for sent in batch
        ]
        puts = []
        for entry, _, put, _ in batch:
            value = None
            if put is not None:
                value = stream_record_rows.encode(
                    stream_record_rows.Record(entry.service, put, written)
                )
            puts.append(rows.Put(stream_record_rows.TABLE, entry.key, value))
            entry.sent.add(put)
            entry.unanswered.add(put)
        outcome = await self._store.commit(part.name, checks, puts)
        record_commits.labels(type(outcome).__name__.lower()).inc()
        return outcome

    def _apply(
        self,
        part: stream_record_entries.Part,
        batch: list[stream_record_entries.Sent],
        outcome: rows.CommitOutcome,
    ) -> None:
        match outcome:
            case rows.Committed(version=version):
                for entry, _, put, _ in batch:
                    entry.learn(version if put is not None else 0, put)
                    change = "written" if put is not None else "removed"
                    records_changed.labels(change).inc()
                part.record_answer()
            case rows.Conflict(rows=found):
                stream_record_entries.take_back(batch)
                self._resolve(part, batch, found)
            case rows.Unavailable(reason=reason):
                stream_record_entries.take_back(batch)
                part.record_failure(reason, records=len(batch))
            case rows.Unknown(reason=reason):
                part.record_failure(reason, records=len(batch))
        for sent in batch:
            if sent.entry.is_lost or sent.entry.is_settled:
                part.pending.pop(sent.entry.key, None)
            sent.entry.notify()

    def _resolve(
        self,
        part: stream_record_entries.Part,
        batch: list[stream_record_entries.Sent],
        found: list[rows.Row],
    ) -> None:
        """Learn from the rows of a conflict, of which at least one is another."""
        by_key = {row.key: row for row in found if row.value is not None}
        is_other = False
        for entry, version, _, _ in batch:
            row = by_key.get(entry.key)
            if (row.version if row is not None else 0) == version:
                continue
            is_other = True
            if row is None:
                entry.learn(0, None)
                continue
            record = self._reader.read(row)
            if record is not None and entry.has_sent(record.service, record.software):
                entry.learn(row.version, record.software)
                continue
            entry.is_lost = True
            log.warning("stream_record_foreign", service=entry.service, row=row.key)
        if is_other:
            part.record_answer()
            return
        part.record_failure("a conflict without another version", records=len(batch))


def _found(of: str, software: str, service: str) -> FindOutcome:
    if of != service:
        return Unknown("the record is of another service")
    return Found(software)
