"""The records of which software version began a stream, in the store.

A record is durable before the first event of its stream goes out. Records of many
streams share a commit, and all hosts together use a part of the store's commits only.

Each write checks the version of the row that it replaces, 0 if there is none. A commit
without an answer may land later, so a row is taken for certain only once no such commit
can change it: after a commit that changed its version, or an answer that shows another
version than the one checked.
"""

import asyncio
import hashlib
import heapq
import json
import random
import typing
from collections import abc

import prometheus_client

from dogwoodchute import bounded_json, log, metrics
from dogwoodchute.coordination import backoff, pacing, stream_versions, texts
from dogwoodchute.gateway import row_reader, rows, version_notes

TABLE = "streams"
PARTS = 2  # so that half of the store's commits are below the rate of each
KEY_BYTES = 16  # of an attempt's digest
MAX_BATCH = 50  # records of a commit; each is a check and a put, of 100 entries
MIN_PAUSE = 0.02  # seconds between commits of a host, which later records share
STORE_SHARE = 0.5  # of the commits per second of the store, for all hosts together
MAX_RECORDS = 20_000  # that one host remembers
# Seconds after its last use until a record is removed; its stream has ended then.
KEEP = stream_versions.LIFETIME + 15.0
# Seconds by which removals may be late, so that they share commits with new records.
REMOVAL_SLACK = 10.0
# Seconds after which a record of another host is left over. It was written when its
# request was sent, which may be long before its stream began.
LEFT_OVER = 600.0
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


class Record(typing.NamedTuple):
    """A row: the version that began a stream of a service."""

    service: str
    software: str
    written: float  # seconds of the store's clock, of the commit's sending


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


class _Entry:
    """One record that this host writes or has written.

    Attributes:
        wanted: The software version that the row is to have, None for no row.
        version: Of the row, as far as is known; 0 without a row.
        holds: The software version in that row, None without a row.
        unanswered: What commits put that checked `version` and have no answer. Any of
            them may yet land.
        sent: All software versions that were put.
        is_lost: Whether the row belongs to another request, or the entry was dropped.
    """

    def __init__(self, key: str, service: str) -> None:
        self.key = key
        self.service = service
        self.wanted: str | None = None
        self.version = 0
        self.holds: str | None = None
        self.unanswered: set[str | None] = set()
        self.sent: set[str | None] = set()
        self.is_lost = False
        self.used_at = 0.0  # monotonic seconds
        self.waiters = 0
        self.changed = asyncio.Event()  # set after a change, and then replaced

    @property
    def is_settled(self) -> bool:
        """Whether the row is certainly as wanted, and stays so."""
        return self.holds == self.wanted and self.unanswered <= {self.wanted}

    def next_put(self) -> str | None:
        """Return what to put next: what is wanted, or what resolves earlier puts.

        A removal can't show whether a put of an absent row may still land.
        """
        if self.wanted is None and not self.version:
            return next(each for each in self.unanswered if each is not None)
        return self.wanted

    def learn(self, version: int, holds: str | None) -> None:
        """Apply the row of an answer; commits that checked another version are void."""
        if version == self.version:
            return
        self.version, self.holds = version, holds
        self.unanswered.clear()

    def notify(self) -> None:
        """Wake those that wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()


class _Sent(typing.NamedTuple):
    """What a commit under way does to one row."""

    entry: _Entry
    version: int  # that it checks
    put: str | None
    is_first: bool  # whether no commit without an answer puts the same


class _Part:
    """The records of one partition whose rows aren't as wanted."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.pending: dict[str, _Entry] = {}  # by key
        self.woken = asyncio.Event()
        self.failures = 0  # since the last answer


def parts() -> list[str]:
    """Return the names of all partitions with records."""
    return [f"{TABLE}-{number}" for number in range(PARTS)]


def key_of(attempt: str) -> str:
    """Return the key of an attempt's record; the id is a text that a caller made."""
    digest = hashlib.blake2b(
        attempt.encode(errors="backslashreplace"), digest_size=KEY_BYTES
    )
    return digest.hexdigest()


def part_of(key: str) -> str:
    """Return the partition of a record."""
    return f"{TABLE}-{int(key[-2:], 16) % PARTS}"


def encode(record: Record) -> bytes:
    """Return the value of a record's row, in JSON."""
    return json.dumps(record._asdict(), separators=(",", ":")).encode()


def decode(key: str, value: bytes) -> Record:
    """Return the record in a row's value.

    Raises `KeyError`, `TypeError` or `ValueError` if it can't be decoded.
    """
    fields = bounded_json.load_object(value)
    service, software, written = (fields[name] for name in Record._fields)
    if not texts.is_name(service) or not version_notes.is_version(software):
        raise ValueError("the service or the version is no name")
    if isinstance(written, bool) or not isinstance(written, int | float):
        raise ValueError("the time is no number")
    return Record(service, software, float(written))


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
        self._reader = row_reader.RowReader(table=TABLE, decode=decode)
        # Entries with a wanted version by key, least recently used first.
        self._kept: dict[str, _Entry] = {}
        self._parts = {name: _Part(name) for name in parts()}
        self._next_commit_at = 0.0  # monotonic seconds

    def is_asked(self, attempt: str) -> bool:
        """Return whether this host has asked for a record of an attempt.

        Its stream may then begin only after `ensure`, also at the base version: the
        store may have, or yet get, a record with the version of an earlier try.
        """
        return key_of(attempt) in self._kept

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
                while _is_awaited(entry, software) and not entry.is_settled:
                    await entry.changed.wait()
        except TimeoutError:
            pass  # the result says so
        finally:
            entry.waiters -= 1
        is_durable = _is_awaited(entry, software) and entry.is_settled
        record_wait_seconds.labels(str(is_durable).lower()).observe(
            self._now() - started_at
        )
        return is_durable

    async def find(self, attempt: str, service: str, timeout: float) -> FindOutcome:
        """Return which version an attempt's record tells, by one read at most."""
        key = key_of(attempt)
        entry = self._kept.get(key)
        if entry is not None and entry.is_settled and not entry.is_lost:
            return _found(entry.service, entry.holds, service)
        try:
            async with asyncio.timeout(timeout):
                answer = await self._store.read(TABLE, part_of(key), key, f"{key}\0")
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
        removed = 0
        for part in parts():
            for digit in range(16):
                first, stop = f"{digit:x}", f"{digit + 1:x}" if digit < 15 else None
                answer = await self._store.read(TABLE, part, first, stop)
                if isinstance(answer, rows.Unavailable):
                    log.warning("stream_records_left", reason=answer.reason, part=part)
                    return
                old = self._left_over(answer, service)
                for begin in range(0, len(old), MAX_BATCH):
                    batch = old[begin : begin + MAX_BATCH]
                    removed += await self._remove(part, batch)
        log.info("stream_records_cleaned", service=service, records=removed)

    def _left_over(self, answer: rows.Rows, service: str) -> list[rows.Row]:
        old = []
        for row in answer.rows:
            record = self._reader.read(row)
            if record is None or record.service != service:
                continue
            if answer.now - record.written > LEFT_OVER and row.key not in self._kept:
                old.append(row)
        return old

    async def _remove(self, part: str, batch: list[rows.Row]) -> int:
        await self._pace()
        checks = [rows.Check(TABLE, row.key, row.version) for row in batch]
        puts = [rows.Put(TABLE, row.key, None) for row in batch]
        outcome = await self._store.commit(part, checks, puts)
        return len(batch) if isinstance(outcome, rows.Committed) else 0

    def _ask(self, attempt: str, service: str, software: str) -> _Entry:
        key = key_of(attempt)
        part = self._parts[part_of(key)]
        # Used again, it becomes the last of the kept ones.
        entry = self._kept.pop(key, None) or part.pending.get(key)
        if entry is None:
            entry = _Entry(key, service)
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

    def _drop(self, entry: _Entry) -> None:
        """Forget a record; its row stays, as its stream may go on."""
        log.warning("stream_record_dropped", records=len(self._kept))
        records_changed.labels("dropped").inc()
        entry.is_lost = True
        self._kept.pop(entry.key, None)
        self._parts[part_of(entry.key)].pending.pop(entry.key, None)
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
            part = self._parts[part_of(entry.key)]
            entry.wanted = None
            entry.notify()
            is_full = len(part.pending) >= MAX_RECORDS
            if entry.is_lost or entry.is_settled or is_full:
                part.pending.pop(entry.key, None)
                continue
            part.pending[entry.key] = entry

    async def _serve(self, part: _Part) -> None:
        while True:
            try:
                await self._step(part)
            except Exception:
                log.exception("stream_records_failed", part=part.name)
                await asyncio.sleep(MAX_RETRY_PAUSE)

    async def _step(self, part: _Part) -> None:
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

    def _is_due(self, part: _Part) -> bool:
        """Return whether the part needs a commit, also one of removals only."""
        if len(part.pending) >= MAX_BATCH:
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

    def _batch(self, part: _Part) -> list[_Sent]:
        """Return what to send: what first events wait for first, removals last."""
        chosen = heapq.nsmallest(
            MAX_BATCH,
            part.pending.values(),
            key=lambda entry: (entry.wanted is None, not entry.waiters, entry.used_at),
        )
        batch = []
        for entry in chosen:
            put = entry.next_put()
            batch.append(_Sent(entry, entry.version, put, put not in entry.unanswered))
        return batch

    async def _commit(self, part: _Part, batch: list[_Sent]) -> rows.CommitOutcome:
        written = self._store.now()
        checks = [rows.Check(TABLE, sent.entry.key, sent.version) for sent in batch]
        puts = []
        for entry, _, put, _ in batch:
            value = None
            if put is not None:
                value = encode(Record(entry.service, put, written))
            puts.append(rows.Put(TABLE, entry.key, value))
            entry.sent.add(put)
            entry.unanswered.add(put)
        outcome = await self._store.commit(part.name, checks, puts)
        record_commits.labels(type(outcome).__name__.lower()).inc()
        return outcome

    def _apply(
        self, part: _Part, batch: list[_Sent], outcome: rows.CommitOutcome
    ) -> None:
        match outcome:
            case rows.Committed(version=version):
                for entry, _, put, _ in batch:
                    entry.learn(version if put is not None else 0, put)
                    change = "written" if put is not None else "removed"
                    records_changed.labels(change).inc()
                self._record_answer(part)
            case rows.Conflict(rows=found):
                _take_back(batch)
                self._resolve(part, batch, found)
            case rows.Unavailable(reason=reason):
                _take_back(batch)
                self._record_failure(part, batch, reason)
            case rows.Unknown(reason=reason):
                self._record_failure(part, batch, reason)
        for sent in batch:
            if sent.entry.is_lost or sent.entry.is_settled:
                part.pending.pop(sent.entry.key, None)
            sent.entry.notify()

    def _resolve(self, part: _Part, batch: list[_Sent], found: list[rows.Row]) -> None:
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
            if record is not None and _is_own(entry, record):
                entry.learn(row.version, record.software)
                continue
            entry.is_lost = True
            log.warning("stream_record_foreign", service=entry.service, row=row.key)
        if is_other:
            self._record_answer(part)
            return
        self._record_failure(part, batch, "a conflict without another version")

    def _record_answer(self, part: _Part) -> None:
        if part.failures:
            log.info("stream_records_regained", part=part.name, tries=part.failures)
        part.failures = 0

    def _record_failure(self, part: _Part, batch: list[_Sent], reason: str) -> None:
        part.failures += 1
        if part.failures == 1:
            log.warning(
                "stream_records_unwritten",
                part=part.name,
                records=len(batch),
                reason=reason,
            )


def _take_back(batch: list[_Sent]) -> None:
    """Note that a commit had no effect; an earlier one with the same put still may."""
    for sent in batch:
        if sent.is_first:
            sent.entry.unanswered.discard(sent.put)


def _is_awaited(entry: _Entry, software: str) -> bool:
    return entry.wanted == software and not entry.is_lost


def _is_own(entry: _Entry, record: Record) -> bool:
    return record.service == entry.service and record.software in entry.sent


def _found(of: str, software: str, service: str) -> FindOutcome:
    if of != service:
        return Unknown("the record is of another service")
    return Found(software)
