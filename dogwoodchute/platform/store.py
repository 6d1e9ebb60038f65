"""The client of the platform's store.

A call goes straight to the store. When that path fails, calls go through another host's
relay for a while: the store may turn some hosts away and serve others. Calls of one
lane (reads, or the commits of one part) that are too many for the store wait for each
other and for nothing else.
"""

import asyncio
import base64
import json
import random
import urllib.parse
from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway import rows
from dogwoodchute.platform import backpressure, names, transport

CALL_TIMEOUT = 1.2  # seconds; the store's slowest answers take some 0.3 s
# A commit waits for its turn at the store, so it may take this many read latencies
# longer than a call.
COMMIT_EXTRA_LATENCIES = 4
MAX_READ_LATENCY = 0.5  # seconds; a longer read waited for its bytes
READ_TIMEOUT = 15.0  # seconds for an answer whose bytes keep coming
PROBE_INTERVAL = 0.5  # seconds between tries of a path that failed
RELAY_PAUSE = 0.3  # seconds without calls after a relay did not reach the store
MAX_PAGES = 40  # of one read, a bound on a store that never ends
SERVICE_UNAVAILABLE = 503  # status of an answer: the store did nothing

Relays = abc.Callable[[], list[str]]


class Client:
    """The connections of one process to the store and to other hosts' relays."""

    def __init__(
        self, *, address: str, relays: Relays, now: abc.Callable[[], float]
    ) -> None:
        self._address = address
        self._relays = relays  # control addresses of other hosts, best first
        self._now = now
        self._transport = transport.Transport()
        self._direct_after = 0.0  # monotonic seconds: the direct path is tried again
        self._direct_failed = False
        self._direct_answered = 0.0  # monotonic seconds of the last answer
        self._store_offset: float | None = None  # the store's clock less this host's
        self._latency = 0.0  # seconds that the last read took by the direct path
        self._relay: str | None = None  # the one that worked last
        self._relay_after = 0.0  # monotonic seconds: relays are tried again
        self._seen = backpressure.LatestOutcomes()  # by the direct path
        self._lanes: dict[str, backpressure.Lane] = {}

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store answers this host without a relay."""
        return not self._direct_failed

    def store_now(self) -> float:
        """Return the store's steady clock in seconds, or an earlier time."""
        return self._now() + (self._store_offset or 0.0)

    def update_clock(self, told: float) -> None:
        """Take in the store's clock as an answer that just came told it."""
        offset = told - self._now()
        if self._store_offset is None or offset > self._store_offset:
            self._store_offset = offset

    async def close(self) -> None:
        """Close all connections."""
        await self._transport.close()

    async def call_for_host(
        self,
        method: str,
        target: str,
        body: bytes,
        *,
        sink: transport.Sink | None = None,
    ) -> transport.CallOutcome:
        """Make a call for another host, by the direct path alone."""
        call = transport.Call(method, target, body, CALL_TIMEOUT, _longest(method))
        return await self._transport.send(self._address, call, sink=sink)

    def receiving(self, table: str) -> bool:
        """Return whether bytes of a table's rows are coming in just now."""
        return self._transport.receiving(table)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        *,
        wait: float = 0.0,
        part: str | None = None,
        table: str = "",
    ) -> transport.CallOutcome:
        """Make one call by the path that works; `wait` is what the call asks for.

        `part` is the one that the call writes to, None for a read. The answer to a
        read may take long while its bytes keep coming: begun anew, a large one would
        never come over a narrow link.
        """
        timeout = CALL_TIMEOUT + wait
        if method != "GET":
            timeout = commit_timeout(self._latency)
        longest = max(timeout, _longest(method))
        call = transport.Call(method, target, body, timeout, longest, wait, table)
        lane = self._lanes.setdefault(backpressure.lane_name(part), backpressure.Lane())
        pause = lane.remaining_pause(self._now())
        if pause:
            await asyncio.sleep(pause)
        outcome: transport.CallOutcome = transport.NotSent(
            "the store failed lately", self._address
        )
        if self._now() >= self._direct_after:
            sent = self._now()
            outcome = await self._transport.send(self._address, call)
            if isinstance(outcome, transport.Answer) and method == "GET" and not wait:
                self._latency = self._now() - sent
            self._note_lane(lane, outcome, part)
            self._note_direct(outcome, sent)
        if isinstance(outcome, transport.Answer) and not _turned_away(outcome):
            return outcome
        if isinstance(outcome, transport.NoAnswer) and method != "GET":
            return outcome
        if self._direct_failed:
            short = call._replace(
                read_timeout=CALL_TIMEOUT, total_timeout=_longest(method)
            )
            relayed = await self._call_relayed(short, outcome)
            if relayed is not outcome and _overloaded(relayed):
                self._pause_lane(lane, part)
            return relayed
        return outcome

    async def _call_relayed(
        self, call: transport.Call, direct: transport.CallOutcome
    ) -> transport.CallOutcome:
        relays = self._relays()
        if not relays or self._now() < self._relay_after:
            return direct
        if self._relay not in relays:
            self._relay = random.choice(relays)
        relay = self._relay
        outcome = await self._transport.send(relay, call)
        if (
            not isinstance(outcome, transport.Answer)
            or outcome.status == SERVICE_UNAVAILABLE
        ):
            self._relay = random.choice(relays)
            self._relay_after = self._now() + RELAY_PAUSE * random.uniform(0.5, 1.5)
        return outcome

    def _note_lane(
        self, lane: backpressure.Lane, outcome: transport.CallOutcome, part: str | None
    ) -> None:
        """Take in whether the store has too many calls of a lane."""
        if (
            not isinstance(outcome, transport.Answer)
            or outcome.status == SERVICE_UNAVAILABLE
        ):
            return
        now = self._now()
        if not _overloaded(outcome):
            self._seen = self._seen._replace(answered_at=now)
            lane.end_pause()
            return
        self._seen = backpressure.add_refusal(self._seen, part=part, now=now)
        # Another path needs no pause.
        if backpressure.is_path_refused(self._seen):
            lane.end_pause()
            return
        self._pause_lane(lane, part)

    def _pause_lane(self, lane: backpressure.Lane, part: str | None) -> None:
        pause = lane.extend_pause(self._now())
        name = backpressure.lane_name(part)
        log.warning("store_lane_overloaded", lane=name, pause=f"{pause:.2f}")

    def _note_direct(self, outcome: transport.CallOutcome, sent: float) -> None:
        """Take in how a call by the direct path ended that was sent at `sent`.

        A call that was sent before the path's last answer and failed tells nothing of
        the path now.
        """
        failed = not isinstance(outcome, transport.Answer) or _turned_away(outcome)
        if _overloaded(outcome) and not backpressure.is_path_refused(self._seen):
            return
        if failed and sent < self._direct_answered:
            return
        if not failed:
            self._direct_answered = self._now()
        if failed:
            self._direct_after = self._now() + PROBE_INTERVAL * random.uniform(0.8, 1.2)
        if failed and not self._direct_failed:
            log.warning("store_lost", peer=self._address, reason=_reason(outcome))
        if not failed and self._direct_failed:
            log.info("store_regained", peer=self._address)
        self._direct_failed = failed


def commit_timeout(latency: float) -> float:
    """Return the seconds to wait for a commit while a read takes `latency` seconds."""
    return CALL_TIMEOUT + COMMIT_EXTRA_LATENCIES * min(latency, MAX_READ_LATENCY)


def _longest(method: str) -> float:
    """Return the seconds in which the whole answer to a call must have come."""
    return READ_TIMEOUT if method == "GET" else CALL_TIMEOUT


def _turned_away(answer: transport.Answer) -> bool:
    return answer.status in (backpressure.TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE)


def _overloaded(outcome: transport.CallOutcome) -> bool:
    return (
        isinstance(outcome, transport.Answer)
        and outcome.status == backpressure.TOO_MANY_REQUESTS
    )


def _reason(outcome: transport.CallOutcome) -> str:
    if isinstance(outcome, transport.Answer):
        return f"status {outcome.status}"
    return outcome.reason


def store(client: Client) -> rows.Store:
    """Return the store behind `client`."""

    async def read(
        table: str, part: str, first: str | None, stop: str | None
    ) -> rows.ReadOutcome:
        query = {"table": table, "part": part}
        if first is not None:
            query["from"] = first
        if stop is not None:
            query["target"] = stop
        found: list[rows.Row] = []
        version = 0
        for _ in range(MAX_PAGES):
            answer = await client.call(
                "GET", _target(names.GET_PATH, query), table=table
            )
            page = _rows_in(answer, client)
            if isinstance(page, rows.Unavailable | rows.Compacted):
                return _unavailable(answer)
            plain, page_rows = page
            found.extend(page_rows)
            version = version or int(plain.get("ver", 0))
            if not plain.get("hasMore") or not page_rows:
                return rows.Rows(rows=found, version=version, now=_now(plain))
            query["from"] = page_rows[-1].key + "\0"
        return rows.Unavailable(reason="the read has no end", peer=None)

    async def feed(table: str, since: int, wait: float) -> rows.FeedOutcome:
        query = {
            "table": table,
            "sinceRev": str(since),
            "waitMs": str(int(wait * 1000)),
        }
        answer = await client.call(
            "GET", _target(names.FEED_PATH, query), wait=wait, table=table
        )
        page = _rows_in(answer, client)
        if isinstance(page, rows.Unavailable | rows.Compacted):
            return page
        plain, changed = page
        version = int(plain.get("ver", since))
        return rows.Rows(rows=changed, version=version, now=_now(plain))

    async def commit(
        part: str, checks: list[rows.Check], puts: list[rows.Put]
    ) -> rows.CommitOutcome:
        body = json.dumps(_transaction(part, checks, puts)).encode()
        answer = await client.call("POST", names.TX_PATH, body, part=part)
        if isinstance(answer, transport.NotSent):
            return rows.Unavailable(reason=answer.reason, peer=answer.peer)
        if isinstance(answer, transport.NoAnswer):
            return rows.Unknown(reason=answer.reason, peer=answer.peer)
        if _turned_away(answer):
            return rows.Unavailable(
                reason=f"status {answer.status}", overloaded=_overloaded(answer)
            )
        if answer.status not in (200, 412):
            text = answer.content[:200].decode(errors="replace")
            return rows.Unknown(reason=f"status {answer.status}: {text}")
        try:
            plain = json.loads(answer.content)
            client.update_clock(_now(plain))
            if answer.status == 200:
                return rows.Committed(version=int(plain["ver"]))
            return rows.Conflict(rows=[_row(each) for each in plain.get("rows", ())])
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return rows.Unknown(reason=f"bad answer: {error!r}")

    return rows.Store(
        read=read,
        feed=feed,
        commit=commit,
        now=client.store_now,
        receiving=client.receiving,
    )


def _now(plain: dict) -> float:
    return float(plain.get("nowMs", 0)) / 1000


def _target(path: str, query: dict[str, str]) -> str:
    return f"{path}?{urllib.parse.urlencode(query)}"


def _unavailable(answer: transport.CallOutcome) -> rows.Unavailable:
    return rows.Unavailable(reason=_reason(answer), peer=getattr(answer, "peer", None))


def _rows_in(
    answer: transport.CallOutcome, client: Client
) -> tuple[dict, list[rows.Row]] | rows.Unavailable | rows.Compacted:
    if not isinstance(answer, transport.Answer):
        return _unavailable(answer)
    if answer.status == 410:
        return rows.Compacted()
    if answer.status != 200:
        return _unavailable(answer)
    try:
        plain = json.loads(answer.content)
        client.update_clock(_now(plain))
        return plain, [_row(each) for each in plain["rows"]]
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return rows.Unavailable(reason=f"bad answer: {error!r}")


def _row(plain: dict) -> rows.Row:
    value = None
    if not plain.get("removed"):
        value = base64.b64decode(plain.get("value") or "")
    return rows.Row(
        key=str(plain["key"]),
        value=value,
        version=int(plain.get("ver", 0)),
        table=str(plain.get("table", "")),
        part=str(plain.get("part", "")),
    )


def _transaction(part: str, checks: list[rows.Check], puts: list[rows.Put]) -> dict:
    written = []
    removed = []
    for put in puts:
        entry = {"table": put.table, "part": part, "key": put.key}
        if put.value is None:
            removed.append(entry)
            continue
        written.append({**entry, "value": base64.b64encode(put.value).decode()})
    conditions = [
        {"table": check.table, "part": part, "key": check.key, "ver": check.version}
        for check in checks
    ]
    return {"expectedRev": conditions, "puts": written, "remove": removed}
