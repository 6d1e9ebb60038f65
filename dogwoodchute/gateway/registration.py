"""This host's own row in the store, written when it no longer says what holds."""

import asyncio
import math
import random
import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import quarantine
from dogwoodchute.gateway import host_rows, model, rows

CHECK_INTERVAL = 0.25  # seconds between checks whether the row is out of date
RETRY_INTERVAL = 1.0  # seconds after a write that did not succeed


class Registration(typing.NamedTuple):
    """An incarnation's first row, which proves that earlier incarnations ended."""

    version: int  # of the row
    # Seconds of the store's clock, at or after the start of the process.
    began_at: float


class OwnRow:
    """Writes this host's row, and removes it when the host leaves."""

    def __init__(
        self,
        *,
        id: str,
        deployment: model.Deployment,
        store: rows.Store,
        state: abc.Callable[[], str],
        crashes: abc.Callable[[], tuple[quarantine.Crash, ...]],
        remove_expired: abc.Callable[[], abc.Awaitable[None]],
        now: abc.Callable[[], float],
        started_at: float = math.inf,
    ) -> None:
        self.id = id  # of this incarnation
        self._deployment = deployment
        self._store = store
        self._state = state
        self._crashes = crashes
        self._remove_expired = remove_expired
        self._now = now
        self._started_at = started_at  # monotonic seconds
        self._registration: Registration | None = None
        self._written: host_rows.Host | None = None  # what the row holds, if known
        self._version = 0  # of the row, 0 while there is none
        self._has_left = False
        self._lock = asyncio.Lock()  # held while the row is written
        self._wake = asyncio.Event()

    @property
    def registered_version(self) -> int:
        """The version of this incarnation's first row, 0 until it is known."""
        return self._registration.version if self._registration is not None else 0

    def apply_changes(
        self, all_rows: dict[str, rows.Row], changed: list[rows.Row]
    ) -> None:
        """Write the row again if another host has changed or removed it."""
        for row in changed:
            if row.key != self.id or self._written is None:
                continue
            # An older version was read before this host's last write. A removal that
            # a whole read showed has no version.
            if 0 < row.version <= self._version:
                continue
            is_removed = row.value is None
            log.info("own_row_changed", version=row.version, removed=is_removed)
            self._written = None
            self._version = 0 if is_removed else row.version
            self._wake.set()

    def write_now(self) -> None:
        """Write the row without waiting for the next check, as the state changed."""
        self._wake.set()

    async def run(self) -> None:
        """Keep the row up to date until cancelled."""
        while True:
            pause = CHECK_INTERVAL
            try:
                if not await self._update():
                    pause = RETRY_INTERVAL
                await self._remove_expired()
            except Exception:
                log.exception("registration_failed")
                pause = RETRY_INTERVAL
            self._wake.clear()
            try:
                await asyncio.wait_for(
                    self._wake.wait(), pause * random.uniform(0.9, 1.1)
                )
            except TimeoutError:
                continue

    async def leave(self) -> None:
        """Remove the row; it is not written again."""
        self._has_left = True
        async with self._lock:
            put = rows.Put(host_rows.TABLE, self.id, None)
            await self._store.commit(host_rows.part_of(self.id), [], [put])

    async def _update(self) -> bool:
        """Write the row if it is out of date; return False if that did not succeed."""
        async with self._lock:
            if self._has_left:
                return True
            current = self._current()
            is_written = self._written == current or await self._write(current)
        if is_written and self._registration is None:
            await self._register()
        return is_written

    async def _write(self, host: host_rows.Host) -> bool:
        # The version is checked so that a delayed write can't follow a removal.
        outcome = await self._store.commit(
            host_rows.part_of(self.id),
            [rows.Check(host_rows.TABLE, self.id, self._version)],
            [rows.Put(host_rows.TABLE, self.id, host_rows.encode(host))],
        )
        if isinstance(outcome, rows.Committed):
            self._written, self._version = host, outcome.version
            return True
        if isinstance(outcome, rows.Conflict):
            found = [row.version for row in outcome.rows if row.key == self.id]
            self._version = found[0] if found else 0
            self._wake.set()
        return False

    async def _register(self) -> None:
        """Read this incarnation's first row, to publish its version with the next one.

        The version shows other hosts that earlier incarnations of this host ended.
        """
        asked_at = self._now()
        part = host_rows.part_of(self.id)
        answer = await self._store.read(host_rows.TABLE, part, self.id, f"{self.id}\0")
        if isinstance(answer, rows.Unavailable) or not answer.rows:
            return
        # The store's time at the answer, less the age of this process when it asked.
        # The time that the answer took makes the result later, never earlier.
        began_at = answer.now - (asked_at - self._started_at)
        self._registration = Registration(answer.rows[0].version, began_at)
        log.info("registered", version=answer.rows[0].version, began=f"{began_at:.3f}")

    def _current(self) -> host_rows.Host:
        """Return what the row should hold now."""
        own = self._deployment
        registration = self._registration or Registration(0, math.inf)
        return host_rows.Host(
            id=self.id,
            name=own.host,
            data_centre=own.data_centre,
            region=own.region,
            callers=own.callers,
            control=own.control,
            gossip=own.gossip,
            heartbeats=own.heartbeats,
            state=self._state(),
            link_mbps=own.link_mbps,
            registered=registration.version,
            began=registration.began_at,
            crashes=self._crashes(),
        )
