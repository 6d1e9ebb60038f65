"""Follows one table of the store and keeps a local copy of it."""

import asyncio
import dataclasses
import math
import random
import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import sources
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.following import table_copy

RETRY_INTERVAL = 0.25  # seconds after a failed call
MIN_OUTAGE = 2.0  # seconds without an answer after which entries may have expired
JITTER = 0.2  # share of a pause by which hosts spread their calls
PEER_PAUSE = 0.02  # seconds between calls of another host, which are long polls

OnChange = abc.Callable[[dict[str, rows.Row], list[rows.Row]], None]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Fetched:
    """The changes that a call returned, which were current at `read_at`.

    `store_returned_at` is when the store was back after it was away from all hosts, 0
    if that isn't known to have happened. Times are in monotonic seconds.
    """

    changes: table_copy.Changes
    read_at: float
    store_returned_at: float = 0.0
    is_fresh: bool = True  # whether `read_at` is recent
    receiving: bool = False  # whether the peer is about to have changes
    peer: str | None = None  # the host that answered, None for the store


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Postponed:
    """No other host had recent data; it is time to ask the store in `seconds`."""

    seconds: float


Outcome = Fetched | Postponed | rows.Unavailable

# Fetches what changed after the copy's version. The arguments are this version, the
# monotonic seconds at which the copy was current (both None before the first answer),
# and the seconds to wait for a change.
Fetch = abc.Callable[[int | None, float | None, float], abc.Awaitable[Outcome]]


class TableUpdate(typing.NamedTuple):
    """This host's answer to another one about a table.

    Times are in monotonic seconds, as the attributes of `Mirror`.
    """

    changes: table_copy.Changes
    read_at: float
    current_since: float
    store_returned_at: float
    # Whether bytes of an answer of the store are arriving now, at this host or at the
    # one that it follows.
    receiving: bool


class Mirror:
    """Keeps a copy of a table, and the time at which it was last current.

    `on_change` is called with all rows and the changed ones after each successful call
    that returned changes. With `wait` above 0 the store holds calls open for so many
    seconds. `receiving` returns whether bytes are arriving from the store now.
    """

    def __init__(
        self,
        *,
        table: str,
        fetch: Fetch,
        pause: float,
        wait: float,
        on_change: OnChange,
        receiving: abc.Callable[[], bool],
        now: abc.Callable[[], float],
    ) -> None:
        self.read_at: float | None = None  # monotonic seconds: the copy was current
        # Monotonic seconds from which the copy was fresh without a break.
        self.current_since = 0.0
        # Monotonic seconds: the store was back after it was away from all hosts.
        self.store_returned_at = 0.0
        self._table = table
        self._fetch = fetch
        self._pause = pause
        self._wait = wait
        self._listeners = [on_change]
        self._receiving_bytes = receiving
        self._is_peer_receiving = False  # as the last answer told
        self._now = now
        self._copy = table_copy.TableCopy()
        self._failing = False
        # Set after each call that returned changes, and then replaced.
        self._changed = asyncio.Event()

    def add_listener(self, on_change: OnChange) -> None:
        """Call `on_change` too after each call that returned changes."""
        self._listeners.append(on_change)

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                pause = await self.step()
            except Exception:
                log.exception("mirror_step_failed", table=self._table)
                pause = RETRY_INTERVAL
            await asyncio.sleep(pause * random.uniform(1 - JITTER, 1 + JITTER))

    async def step(self) -> float:
        """Make one call; return the seconds until the next one."""
        outcome = await self._fetch(self._copy.version, self.read_at, self._wait)
        self._is_peer_receiving = isinstance(outcome, Fetched) and outcome.receiving
        if isinstance(outcome, Postponed):
            return max(PEER_PAUSE, min(RETRY_INTERVAL, outcome.seconds))
        if isinstance(outcome, rows.Unavailable):
            self._record_failure(outcome)
            return RETRY_INTERVAL
        self._record_answer(outcome)
        changed = self._copy.apply(outcome.changes)
        if changed:
            self._deliver(changed)
        if changed:
            self._changed.set()
            self._changed = asyncio.Event()
        if not outcome.is_fresh:
            return RETRY_INTERVAL
        return self._pause if outcome.peer is None else PEER_PAUSE

    async def changes_since(self, since: int | None, hold: float) -> TableUpdate | None:
        """Return what changed after version `since`, None before the first answer.

        Without changes, waits for them, up to `hold` seconds and no longer than the
        copy is recent: the other host is to learn when it isn't. Answers of the store
        without changes don't end the wait, as each would cost each follower a call.
        """
        changes = self._copy.since(since)
        has_changes = changes is None or changes.is_snapshot or changes.rows
        hold = min(hold, self._seconds_fresh)
        if not has_changes and hold > 0:
            await self._wait_for_changes(hold)
            changes = self._copy.since(since)
        if changes is None or self.read_at is None:
            return None
        return TableUpdate(
            changes,
            self.read_at,
            self.current_since,
            self.store_returned_at,
            self._receiving,
        )

    @property
    def _receiving(self) -> bool:
        return self._is_peer_receiving or self._receiving_bytes()

    @property
    def _seconds_fresh(self) -> float:
        if self.read_at is None:
            return 0.0
        age = self._now() - self.read_at
        return sources.seconds_fresh(age, receiving=self._receiving)

    async def _wait_for_changes(self, hold: float) -> None:
        try:
            async with asyncio.timeout(hold):
                await self._changed.wait()
        except TimeoutError:
            return

    def _deliver(self, changed: list[rows.Row]) -> None:
        """Pass changed rows on; one that can't be applied holds no other one back.

        The copy has advanced already, so no later answer brings these rows again.
        """
        for on_change in self._listeners:
            try:
                on_change(self._copy.rows, changed)
                continue
            except Exception:
                log.exception("change_failed", table=self._table, rows=len(changed))
            for row in changed:
                try:
                    on_change(self._copy.rows, [row])
                except Exception:
                    log.exception("row_failed", table=self._table, row=row.key)

    def _record_answer(self, outcome: Fetched) -> None:
        gap = outcome.read_at - (self.read_at or -math.inf)
        if self._is_restored(outcome.changes):
            log.info("table_restored", table=self._table, peer=outcome.peer)
            self.store_returned_at = self._now()
        if gap > sources.MAX_AGE:
            self.current_since = outcome.read_at
        # Without a gap here, an outage that the other host tells of was its own.
        if gap >= MIN_OUTAGE:
            self.store_returned_at = max(
                outcome.store_returned_at, self.store_returned_at
            )
        if outcome.is_fresh and self._failing:
            self._failing = False
            log.info(
                "table_regained",
                table=self._table,
                version=outcome.changes.version,
                peer=outcome.peer,
                age=self._rounded_age(),
            )
        self.read_at = max(outcome.read_at, self.read_at or 0.0)

    def _is_restored(self, changes: table_copy.Changes) -> bool:
        """Return whether changes are of a later era of the store than the copy."""
        if self._copy.version is None:
            return False
        return rows.era_of(changes.version) > rows.era_of(self._copy.version)

    def _record_failure(self, outcome: rows.Unavailable) -> None:
        if not self._failing:
            log.warning(
                "table_lost",
                table=self._table,
                reason=outcome.reason,
                peer=outcome.peer,
                version=self._copy.version,
                age=self._rounded_age(),
            )
        self._failing = True

    def _rounded_age(self) -> float | None:
        if self.read_at is None:
            return None
        return round(self._now() - self.read_at, 3)
