"""A stand-in for the platform's store: rows in tables, with faults on demand.

A part is a partition of the store. A commit changes the rows of one part only.
"""

import asyncio
import base64
import collections
import math
import typing
from collections import abc

import sanic

from dogwoodchute.gateway import rows

MAX_HISTORY = 10_000  # changes kept for feeds
CHUNK_INTERVAL = 0.1  # seconds between the chunks of a slow answer
MAX_QUEUE_SECONDS = 1.0  # of commits that may wait in one part
OVERLOADED = 429  # status that answers a commit beyond that


class Fault(typing.NamedTuple):
    """What happens to one call.

    Attributes:
        status: Answers with this status and does nothing.
        silent: Never answers.
        lose_answer: Does the call, then resets the connection.
        apply_after: Does the call after that many seconds and never answers.
        bytes_per_second: Sends the body of the answer at this rate, as over a narrow
            link.
        delay: For `in_process_client` only: each call takes so many seconds longer,
            and each commit to a part also delays those queued behind it.
    """

    status: int = 0
    silent: bool = False
    lose_answer: bool = False
    apply_after: float = 0.0  # seconds
    bytes_per_second: float = 0.0
    delay: float = 0.0  # seconds


NO_FAULT = Fault()
Faults = abc.Callable[[str], Fault]  # by kind of call: "read", "feed" or "commit"


class Copy(typing.NamedTuple):
    """The rows of a store at one time, by table, part and key."""

    version: int
    rows: dict[tuple[str, str, str], rows.Row]


class RowStore:
    """The rows, and the operations on them, each of which takes effect at once.

    With `part_rate`, each part serves so many commits a second, one after another. Its
    versions hold the era, as `gateway.rows` has them; over HTTP the era is a header.
    """

    def __init__(
        self,
        *,
        now: abc.Callable[[], float],
        part_rate: float | None = None,
        era: int = 0,
    ) -> None:
        self.era = era
        self.version = rows.version_of(era, 0)
        self.history_start = 0  # version from which on changes are kept
        self.arrivals: collections.Counter[tuple[str, int]] = collections.Counter()
        self._part_rate = part_rate
        self._idle_at: dict[str, float] = {}  # by part, when its queue is empty
        self._now = now
        self._rows: dict[tuple[str, str, str], rows.Row] = {}
        self._changes: collections.deque[rows.Row] = collections.deque(
            maxlen=MAX_HISTORY
        )

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._now()

    def read(
        self, table: str, part: str, first: str | None, stop: str | None
    ) -> rows.Rows:
        """Return the rows of a part from the key `first` to before `stop`."""
        selected = []
        for (row_table, row_part, key), row in sorted(self._rows.items()):
            if row_table != table or row_part != part:
                continue
            if first is not None and key < first:
                continue
            if stop is not None and key >= stop:
                continue
            selected.append(row)
        return rows.Rows(rows=selected, version=self.version, now=self._now())

    def feed(self, table: str, since: int) -> rows.Rows | rows.Compacted:
        """Return the changes of a table after version `since`."""
        if since < self.history_start or since > self.version:
            return rows.Compacted()
        changed = [
            row for row in self._changes if row.table == table and row.version > since
        ]
        return rows.Rows(rows=changed, version=self.version, now=self._now())

    def enqueue_commit(self, part: str, delay: float = 0.0) -> float | None:
        """Queue a commit at a part; return its seconds there, None if it is refused.

        The commit takes `delay` seconds longer than usual. `arrivals` counts all
        commits, also refused ones, by part and second.
        """
        now = self._now()
        self.arrivals[part, int(now)] += 1
        if self._part_rate is None and not delay:
            return 0.0
        idle_at = max(now, self._idle_at.get(part, now))
        if idle_at - now > MAX_QUEUE_SECONDS:
            return None
        usual = 1 / self._part_rate if self._part_rate is not None else 0.0
        self._idle_at[part] = idle_at + usual + delay
        return self._idle_at[part] - now

    def commit(
        self, part: str, checks: list[rows.Check], puts: list[rows.Put]
    ) -> rows.Committed | rows.Conflict:
        """Apply all of `puts` if all of `checks` hold."""
        current = {c: self._rows.get((c.table, part, c.key)) for c in checks}
        for check, row in current.items():
            if (row.version if row is not None else 0) != check.version:
                existing = [row for row in current.values() if row is not None]
                return rows.Conflict(rows=existing)
        self.version += 1
        for put in puts:
            self._put(part, put)
        return rows.Committed(version=self.version)

    def copy(self) -> Copy:
        """Return what `restore` needs to go back to now."""
        return Copy(self.version, dict(self._rows))

    def restore(self, copy: Copy) -> None:
        """Come back from a copy, without what was written since."""
        self.era += 1
        self.version = self._in_this_era(copy.version)
        self._rows = {
            row_id: row._replace(version=self._in_this_era(row.version))
            for row_id, row in copy.rows.items()
        }
        self.forget_history()

    def _in_this_era(self, version: int) -> int:
        return rows.version_of(self.era, rows.number_of(version))

    def forget_history(self) -> None:
        """Drop the history, so that feeds since an older version return `Compacted`."""
        self._changes.clear()
        self.history_start = self.version

    def _put(self, part: str, put: rows.Put) -> None:
        row_id = (put.table, part, put.key)
        row = rows.Row(put.key, put.value, self.version, put.table, part)
        if put.value is None:
            self._rows.pop(row_id, None)
        else:
            self._rows[row_id] = row
        self._changes.append(row)


def in_process_client(
    store: RowStore,
    *,
    faults: Faults = lambda kind: NO_FAULT,
    timeout: abc.Callable[[float], float] = lambda latency: math.inf,
) -> rows.Store:
    """Return a client of the store that calls it in process, without a network.

    `timeout` maps the latency of a read to the seconds that the client waits for a
    commit.
    """

    async def read(
        table: str, part: str, first: str | None, stop: str | None
    ) -> rows.ReadOutcome:
        fault = faults("read")
        if fault._replace(delay=0.0) != NO_FAULT:
            return rows.Unavailable(reason="fault")
        if fault.delay:
            await asyncio.sleep(fault.delay)
        return store.read(table, part, first, stop)

    async def feed(table: str, since: int, wait: float) -> rows.FeedOutcome:
        if faults("feed") != NO_FAULT:
            return rows.Unavailable(reason="fault")
        return store.feed(table, since)

    async def commit(
        part: str, checks: list[rows.Check], puts: list[rows.Put]
    ) -> rows.CommitOutcome:
        fault = faults("commit")
        await asyncio.sleep(0.005)
        if fault.status:
            return rows.Unavailable(reason=f"status {fault.status}")
        commit_seconds = store.enqueue_commit(part, fault.delay)
        if commit_seconds is None:
            return rows.Unavailable(reason=f"status {OVERLOADED}", overloaded=True)
        commit_seconds += fault.delay
        if commit_seconds > timeout(fault.delay):
            loop = asyncio.get_running_loop()
            loop.call_later(commit_seconds, store.commit, part, checks, puts)
            await asyncio.sleep(timeout(fault.delay))
            return rows.Unknown(reason="no answer")
        if commit_seconds:
            await asyncio.sleep(commit_seconds)
        if fault.silent:
            return rows.Unknown(reason="no answer")
        if fault.apply_after:
            loop = asyncio.get_running_loop()
            loop.call_later(fault.apply_after, store.commit, part, checks, puts)
            return rows.Unknown(reason="no answer")
        outcome = store.commit(part, checks, puts)
        return rows.Unknown(reason="no answer") if fault.lose_answer else outcome

    return rows.Store(
        read=read,
        feed=feed,
        commit=commit,
        now=store.now,
        era=lambda: store.era,
    )


def add_routes(
    app: sanic.Sanic, store: RowStore, *, faults: Faults = lambda kind: NO_FAULT
) -> None:
    """Serve the store on `app` in the platform's HTTP format."""

    async def answer_with_fault(
        request: sanic.Request, kind: str, work: abc.Callable[[], sanic.HTTPResponse]
    ) -> sanic.HTTPResponse | None:
        fault = faults(kind)
        if fault.status:
            return sanic.empty(status=fault.status)
        if fault.silent:
            await asyncio.sleep(3600)
        if fault.apply_after:
            asyncio.get_running_loop().call_later(fault.apply_after, work)
            await asyncio.sleep(3600)
        response = work()
        if fault.lose_answer:
            request.transport.abort()
        if fault.bytes_per_second:
            await _send_slowly(request, response, fault.bytes_per_second)
            return None
        return response

    async def get(request: sanic.Request) -> sanic.HTTPResponse:
        query = request.args

        def work() -> sanic.HTTPResponse:
            result = store.read(
                query.get("table"),
                query.get("part", ""),
                query.get("from"),
                query.get("target"),
            )
            limit = int(query.get("limit", "500"))
            has_more = len(result.rows) > limit
            page = [_encode_row(row) for row in result.rows[:limit]]
            return _json_response(store, {"rows": page, "hasMore": has_more})

        return await answer_with_fault(request, "read", work)

    async def feed(request: sanic.Request) -> sanic.HTTPResponse:
        query = request.args
        since = rows.version_of(store.era, int(query.get("sinceRev")))
        wait = int(query.get("waitMs", "0"))
        end = store.now() + wait / 1000
        while store.now() < end:
            result = store.feed(query.get("table"), since)
            if isinstance(result, rows.Compacted) or result.rows:
                break
            await asyncio.sleep(0.02)

        def work() -> sanic.HTTPResponse:
            result = store.feed(query.get("table"), since)
            if isinstance(result, rows.Compacted):
                return sanic.empty(status=410, headers=_headers(store))
            return _json_response(
                store, {"rows": [_encode_row(row) for row in result.rows]}
            )

        return await answer_with_fault(request, "feed", work)

    async def transact(request: sanic.Request) -> sanic.HTTPResponse:
        def work() -> sanic.HTTPResponse:
            part, checks, puts = _decode_transaction(request.json, era=store.era)
            outcome = store.commit(part, checks, puts)
            if isinstance(outcome, rows.Conflict):
                current = [_encode_row(row) for row in outcome.rows]
                return _json_response(store, {"rows": current}, status=412)
            return _json_response(store, {})

        part = _decode_transaction(request.json, era=store.era)[0]
        queue_seconds = store.enqueue_commit(part)
        if queue_seconds is None:
            return sanic.empty(status=OVERLOADED)
        if queue_seconds:
            await asyncio.sleep(queue_seconds)
        return await answer_with_fault(request, "commit", work)

    app.add_route(get, "/api/rows-get", name="get")
    app.add_route(feed, "/api/rows-feed", name="feed")
    app.add_route(transact, "/api/rows-tx", methods=["POST"], name="transact")


async def _send_slowly(
    request: sanic.Request, response: sanic.HTTPResponse, bytes_per_second: float
) -> None:
    stream = await request.respond(
        status=response.status,
        headers={"Content-Length": str(len(response.body))},
        content_type=response.content_type,
    )
    size = max(1, int(bytes_per_second * CHUNK_INTERVAL))
    for begin in range(0, len(response.body), size):
        await stream.send(response.body[begin : begin + size])
        await asyncio.sleep(CHUNK_INTERVAL)
    await stream.eof()


def _json_response(
    store: RowStore, body: dict, *, status: int = 200
) -> sanic.HTTPResponse:
    version = rows.number_of(store.version)
    common = {"ver": version, "nowMs": int(store.now() * 1000)}
    return sanic.json({**body, **common}, status=status, headers=_headers(store))


def _headers(store: RowStore) -> dict[str, str]:
    """Return the headers of all answers; a store of era 0 names none."""
    return {"Store-Era": str(store.era)} if store.era else {}


def _encode_row(row: rows.Row) -> dict:
    encoded = {
        "table": row.table,
        "part": row.part,
        "key": row.key,
        "ver": rows.number_of(row.version),
    }
    if row.value is None:
        return {**encoded, "removed": True}
    return {**encoded, "value": base64.b64encode(row.value).decode()}


def _decode_transaction(
    body: dict, *, era: int
) -> tuple[str, list[rows.Check], list[rows.Put]]:
    checks = [
        rows.Check(
            each["table"],
            each["key"],
            each["ver"] and rows.version_of(era, each["ver"]),
        )
        for each in body["expectedRev"]
    ]
    puts = [
        rows.Put(each["table"], each["key"], base64.b64decode(each["value"]))
        for each in body["puts"]
    ]
    puts.extend(rows.Put(each["table"], each["key"], None) for each in body["remove"])
    parts = {
        each["part"]
        for entries in (body["expectedRev"], body["puts"], body["remove"])
        for each in entries
    }
    return parts.pop() if parts else "", checks, puts
