"""A stand-in of the platform's store: rows in tables, with faults on demand."""

import asyncio
import base64
import collections
import math
import typing
from collections import abc

import sanic

from dogwoodchute.gateway import rows

HISTORY = 10_000  # changes kept for feeds
SLOW_STEP = 0.1  # seconds between the pieces of a slow answer
MAX_QUEUE = 1.0  # seconds of commits that may wait in one part
OVERLOADED = 429  # status of an answer to a commit beyond that


class Fault(typing.NamedTuple):
    """What happens to one call.

    `status` answers without doing anything; `silent` never answers; `lose` does the
    call and then resets the connection; `late` does it after some seconds and never
    answers; `rate` sends the answer's body slowly, as over a narrow link. `delay` is
    for stores without a network between: each call takes so much longer, and each
    commit to a part in its turn.
    """

    status: int = 0
    silent: bool = False
    lose: bool = False
    late: float = 0.0  # seconds
    rate: float = 0.0  # bytes a second
    delay: float = 0.0  # seconds


NO_FAULT = Fault()
Faults = abc.Callable[[str], Fault]  # by kind of call: "read", "feed" or "commit"


class RowStore:
    """The rows, and the operations on them, each done at once.

    With `part_rate`, a part takes so many commits a second, one after another.
    """

    def __init__(
        self, *, now: abc.Callable[[], float], part_rate: float | None = None
    ) -> None:
        self.version = 0
        self.oldest = 0  # version since which changes are known
        self.arrivals: collections.Counter[tuple[str, int]] = collections.Counter()
        self._part_rate = part_rate
        self._free: dict[str, float] = {}  # seconds at which each part is idle
        self._now = now
        self._rows: dict[tuple[str, str, str], rows.Row] = {}
        self._changes: collections.deque[rows.Row] = collections.deque(maxlen=HISTORY)

    def now(self) -> float:
        """Return the steady clock in seconds."""
        return self._now()

    def read(
        self, table: str, part: str, first: str | None, stop: str | None
    ) -> rows.Rows:
        """Return the rows of a part between two keys."""
        found = []
        for (row_table, row_part, key), row in sorted(self._rows.items()):
            if row_table != table or row_part != part:
                continue
            if first is not None and key < first:
                continue
            if stop is not None and key >= stop:
                continue
            found.append(row)
        return rows.Rows(rows=found, version=self.version, now=self._now())

    def feed(self, table: str, since: int) -> rows.Rows | rows.Compacted:
        """Return what changed in a table after `since`."""
        if since < self.oldest:
            return rows.Compacted()
        changed = [
            row for row in self._changes if row.table == table and row.version > since
        ]
        return rows.Rows(rows=changed, version=self.version, now=self._now())

    def queue(self, part: str, delay: float = 0.0) -> float | None:
        """Put a commit into a part's queue; return its seconds there, None if full.

        It takes `delay` seconds longer than usual. `arrivals` counts all of them by
        part and second.
        """
        now = self._now()
        self.arrivals[part, int(now)] += 1
        if self._part_rate is None and not delay:
            return 0.0
        free = max(now, self._free.get(part, now))
        if free - now > MAX_QUEUE:
            return None
        usual = 1 / self._part_rate if self._part_rate is not None else 0.0
        self._free[part] = free + usual + delay
        return self._free[part] - now

    def commit(
        self, part: str, checks: list[rows.Check], puts: list[rows.Put]
    ) -> rows.Committed | rows.Conflict:
        """Apply all of `puts` if all of `checks` hold."""
        current = {c: self._rows.get((c.table, part, c.key)) for c in checks}
        for check, row in current.items():
            if (row.version if row is not None else 0) != check.version:
                kept = [row for row in current.values() if row is not None]
                return rows.Conflict(rows=kept)
        self.version += 1
        for put in puts:
            self._put(part, put)
        return rows.Committed(version=self.version)

    def forget_history(self) -> None:
        """Drop all history, so that feeds from before are answered `Compacted`."""
        self._changes.clear()
        self.oldest = self.version

    def _put(self, part: str, put: rows.Put) -> None:
        place = (put.table, part, put.key)
        row = rows.Row(put.key, put.value, self.version, put.table, part)
        if put.value is None:
            self._rows.pop(place, None)
        else:
            self._rows[place] = row
        self._changes.append(row)


def direct(
    store: RowStore,
    *,
    faults: Faults = lambda kind: NO_FAULT,
    timeout: abc.Callable[[float], float] = lambda latency: math.inf,
) -> rows.Store:
    """Return the store as a client sees it, without a network between them.

    `timeout` returns the seconds for which the client waits for a commit, from those
    that a read takes.
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
        waits = store.queue(part, fault.delay)
        if waits is None:
            return rows.Unavailable(reason=f"status {OVERLOADED}", overloaded=True)
        waits += fault.delay
        if waits > timeout(fault.delay):
            loop = asyncio.get_running_loop()
            loop.call_later(waits, store.commit, part, checks, puts)
            await asyncio.sleep(timeout(fault.delay))
            return rows.Unknown(reason="no answer")
        if waits:
            await asyncio.sleep(waits)
        if fault.silent:
            return rows.Unknown(reason="no answer")
        if fault.late:
            loop = asyncio.get_running_loop()
            loop.call_later(fault.late, store.commit, part, checks, puts)
            return rows.Unknown(reason="no answer")
        outcome = store.commit(part, checks, puts)
        return rows.Unknown(reason="no answer") if fault.lose else outcome

    return rows.Store(read=read, feed=feed, commit=commit, now=store.now)


def add_routes(
    app: sanic.Sanic, store: RowStore, *, faults: Faults = lambda kind: NO_FAULT
) -> None:
    """Serve the store on `app`, in the platform's format."""

    async def act(
        request: sanic.Request, kind: str, work: abc.Callable[[], sanic.HTTPResponse]
    ) -> sanic.HTTPResponse | None:
        fault = faults(kind)
        if fault.status:
            return sanic.empty(status=fault.status)
        if fault.silent:
            await asyncio.sleep(3600)
        if fault.late:
            asyncio.get_running_loop().call_later(fault.late, work)
            await asyncio.sleep(3600)
        response = work()
        if fault.lose:
            request.transport.abort()
        if fault.rate:
            await _send_slowly(request, response, fault.rate)
            return None
        return response

    async def get(request: sanic.Request) -> sanic.HTTPResponse:
        query = request.args

        def work() -> sanic.HTTPResponse:
            found = store.read(
                query.get("table"),
                query.get("part", ""),
                query.get("from"),
                query.get("target"),
            )
            limit = int(query.get("limit", "500"))
            more = len(found.rows) > limit
            plain = [_plain(row) for row in found.rows[:limit]]
            return _answer(store, {"rows": plain, "hasMore": more})

        return await act(request, "read", work)

    async def feed(request: sanic.Request) -> sanic.HTTPResponse:
        query = request.args
        since, wait = int(query.get("sinceRev")), int(query.get("waitMs", "0"))
        end = store.now() + wait / 1000
        while store.now() < end:
            found = store.feed(query.get("table"), since)
            if isinstance(found, rows.Compacted) or found.rows:
                break
            await asyncio.sleep(0.02)

        def work() -> sanic.HTTPResponse:
            found = store.feed(query.get("table"), since)
            if isinstance(found, rows.Compacted):
                return sanic.empty(status=410)
            return _answer(store, {"rows": [_plain(row) for row in found.rows]})

        return await act(request, "feed", work)

    async def transact(request: sanic.Request) -> sanic.HTTPResponse:
        def work() -> sanic.HTTPResponse:
            part, checks, puts = _transaction(request.json)
            outcome = store.commit(part, checks, puts)
            if isinstance(outcome, rows.Conflict):
                found = [_plain(row) for row in outcome.rows]
                return _answer(store, {"rows": found}, status=412)
            return _answer(store, {})

        waits = store.queue(_transaction(request.json)[0])
        if waits is None:
            return sanic.empty(status=OVERLOADED)
        if waits:
            await asyncio.sleep(waits)
        return await act(request, "commit", work)

    app.add_route(get, "/api/rows-get", name="get")
    app.add_route(feed, "/api/rows-feed", name="feed")
    app.add_route(transact, "/api/rows-tx", methods=["POST"], name="transact")


async def _send_slowly(
    request: sanic.Request, response: sanic.HTTPResponse, rate: float
) -> None:
    stream = await request.respond(
        status=response.status,
        headers={"Content-Length": str(len(response.body))},
        content_type=response.content_type,
    )
    size = max(1, int(rate * SLOW_STEP))
    for begin in range(0, len(response.body), size):
        await stream.send(response.body[begin : begin + size])
        await asyncio.sleep(SLOW_STEP)
    await stream.eof()


def _answer(store: RowStore, plain: dict, *, status: int = 200) -> sanic.HTTPResponse:
    stamp = {"ver": store.version, "nowMs": int(store.now() * 1000)}
    return sanic.json({**plain, **stamp}, status=status)


def _plain(row: rows.Row) -> dict:
    plain = {
        "table": row.table,
        "part": row.part,
        "key": row.key,
        "ver": row.version,
    }
    if row.value is None:
        return {**plain, "removed": True}
    return {**plain, "value": base64.b64encode(row.value).decode()}


def _transaction(plain: dict) -> tuple[str, list[rows.Check], list[rows.Put]]:
    checks = [
        rows.Check(each["table"], each["key"], each["ver"])
        for each in plain["expectedRev"]
    ]
    puts = [
        rows.Put(each["table"], each["key"], base64.b64decode(each["value"]))
        for each in plain["puts"]
    ]
    puts.extend(rows.Put(each["table"], each["key"], None) for each in plain["remove"])
    parts = {
        each["part"]
        for entries in (plain["expectedRev"], plain["puts"], plain["remove"])
        for each in entries
    }
    return parts.pop() if parts else "", checks, puts
