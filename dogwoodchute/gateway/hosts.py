"""Membership of the fleet.

Each host keeps a row in the store that it renews with heartbeats, and follows the rows
of the other hosts. An incarnation is one run of a host's process; each has a row of its
own.
"""

import asyncio
import json
import math
import random
import secrets
import typing
from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import ranking
from dogwoodchute.gateway import model, rows

TABLE = "hosts"
HEARTBEAT = 1.0  # seconds between writes of a host's row
DEAD_AFTER = 3.5  # seconds without a new heartbeat: three intervals and a margin
REMOVE_AFTER = 20.0  # seconds without a heartbeat after which a host's row is removed
STARTING = "starting"
READY = "ready"
LEAVING = "leaving"
TEXTS = ("name", "data_centre", "region", "callers", "control", "gossip", "state")


class Host(typing.NamedTuple):
    """One incarnation of a host, as it describes itself in its row."""

    id: str  # of the incarnation
    name: str
    data_centre: str
    region: str
    callers: str  # address for requests
    control: str  # address for other hosts
    gossip: str  # address for other hosts' datagrams
    state: str
    beat: int  # the number of heartbeats, which rises with each write
    link_mbps: float = 1000.0  # of the host's own link
    # Version of the incarnation's first row, 0 until that is known.
    registered: int = 0
    # Seconds of the store's clock, at or after the start of the process.
    began: float = math.inf


class LiveHosts(typing.NamedTuple):
    """The other live hosts, and for which reads of the table this result is valid."""

    hosts: tuple[Host, ...]
    valid_from: float  # monotonic seconds of the read that it was computed for
    # Monotonic seconds: the earliest of the hosts' last heartbeats.
    oldest_heartbeat_at: float

    def is_current(self, read_at: float) -> bool:
        """Return whether no host has timed out by `read_at`, if no row has changed."""
        return (
            self.valid_from <= read_at
            and read_at - self.oldest_heartbeat_at <= DEAD_AFTER
        )


class Registration(typing.NamedTuple):
    """An incarnation's first row, which proves that earlier incarnations ended."""

    version: int  # of the row
    # Seconds of the store's clock, at or after the start of the process.
    began_at: float


class Hosts:
    """The hosts of the fleet as this one knows them, and this host's own row."""

    def __init__(
        self,
        *,
        deployment: model.Deployment,
        store: rows.Store,
        state: abc.Callable[[], str],
        now: abc.Callable[[], float],
        started_at: float = math.inf,
    ) -> None:
        self.id = f"{deployment.host}-{secrets.token_hex(4)}"
        self._started_at = started_at  # monotonic seconds
        self._registration: Registration | None = None
        self._deployment = deployment
        self._store = store
        self._state = state
        self._now = now
        self._heartbeat_count = 0
        # By id of the incarnation: hosts, monotonic seconds of the last heartbeat, and
        # version of the row.
        self._hosts: dict[str, Host] = {}
        self._last_heartbeats: dict[str, float] = {}
        self._row_versions: dict[str, int] = {}
        self._live: LiveHosts | None = None  # cached; None after a change of rows
        self._read_at: abc.Callable[[], float | None] = lambda: None
        self._wake = asyncio.Event()

    def set_read_at(self, read_at: abc.Callable[[], float | None]) -> None:
        """Set the source of the time of the last read of the table.

        `read_at` returns monotonic seconds, or None before the first read.
        """
        self._read_at = read_at
        self._live = None

    def apply_changes(
        self, all_rows: dict[str, rows.Row], changed: list[rows.Row]
    ) -> None:
        """Apply changed rows of the hosts' table."""
        self._live = None
        now = self._now()
        for row in changed:
            if row.value is None:
                self._delete(row.key)
                continue
            host = decode(row.key, row.value)
            if host is None:
                log.warning("host_row_unreadable", row=row.key, version=row.version)
                continue
            self._row_versions[host.id] = row.version
            before = self._hosts.get(host.id)
            if before is None or before.beat != host.beat:
                self._last_heartbeats[host.id] = now
            if before is None and host.id != self.id:
                log.info("host_seen", peer=host.id, state=host.state)
            self._hosts[host.id] = host

    @property
    def live(self) -> tuple[Host, ...]:
        """The other live hosts, as far as this one knows.

        While the table can't be read, no host times out. Of a restarted host only the
        incarnation that wrote last counts. The same tuple is returned until a row
        changes or a host times out.
        """
        read_at = self._read_at()
        if read_at is None:
            return ()
        if self._live is None or not self._live.is_current(read_at):
            self._live = self._find_live(read_at)
        return self._live.hosts

    @property
    def count(self) -> int:
        """The number of live hosts, this one included."""
        return 1 + len(self.live)

    @property
    def was_killed_before(self) -> bool:
        """Whether the previous process of this host may have been killed.

        A process that leaves in order removes its row, so a row that is left over shows
        a recent kill. A live host removes it some time after `REMOVE_AFTER` seconds.
        Also true before the rows have been read.
        """
        if self._read_at() is None:
            return True
        name = self._deployment.host
        incarnations = [host for host in self._hosts.values() if host.name == name]
        return any(host.id != self.id for host in incarnations)

    @property
    def registered_version(self) -> int:
        """The version of this incarnation's first row, 0 until it is known."""
        return self._registration.version if self._registration is not None else 0

    @property
    def registered(self) -> dict[str, Host]:
        """The newest registered incarnation of each host, by the host's name."""
        newest: dict[str, Host] = {}
        for host in self._hosts.values():
            other = newest.get(host.name)
            if host.registered and (not other or other.registered < host.registered):
                newest[host.name] = host
        return newest

    @property
    def expired_ids(self) -> set[str]:
        """Ids of incarnations without a heartbeat for `REMOVE_AFTER` seconds."""
        read_at = self._read_at()
        if read_at is None:
            return set()
        return {
            id
            for id, heartbeat_at in self._last_heartbeats.items()
            if read_at - heartbeat_at > REMOVE_AFTER
        }

    def ranks_first(self, key: str) -> bool:
        """Return whether this host ranks first for `key` by rendezvous hashing.

        Hosts that are leaving are not ranked.
        """
        own_score = ranking.score(key, self._deployment.host, 1.0)
        staying = [host for host in self.live if host.state != LEAVING]
        return all(ranking.score(key, host.name, 1.0) < own_score for host in staying)

    def relays(self) -> list[str]:
        """Return the control addresses of hosts that may reach the store.

        These are the other live hosts that aren't leaving, or the other seeds while no
        such host is known.
        """
        addresses = [host.control for host in self.live if host.state != LEAVING]
        if addresses:
            return addresses
        own_address = self._deployment.control
        return [seed for seed in self._deployment.seeds if seed != own_address]

    def write_row_now(self) -> None:
        """Write this host's row without waiting for the next heartbeat.

        Called after a change of this host's state.
        """
        self._wake.set()

    async def run(self) -> None:
        """Write this host's row about every `HEARTBEAT` seconds until cancelled."""
        while True:
            try:
                await self._write()
                if self._registration is None:
                    await self._register()
                await self._remove_expired()
            except Exception:
                log.exception("heartbeat_failed")
            self._wake.clear()
            pause = HEARTBEAT * random.uniform(0.9, 1.1)
            try:
                await asyncio.wait_for(self._wake.wait(), pause)
            except TimeoutError:
                continue

    async def leave(self) -> None:
        """Remove this host's row."""
        await self._store.commit("", [], [rows.Put(TABLE, self.id, None)])

    async def _write(self) -> None:
        self._heartbeat_count += 1
        own = self._deployment
        registration = self._registration or Registration(0, math.inf)
        host = Host(
            id=self.id,
            name=own.host,
            data_centre=own.data_centre,
            region=own.region,
            callers=own.callers,
            control=own.control,
            gossip=own.gossip,
            state=self._state(),
            beat=self._heartbeat_count,
            link_mbps=own.link_mbps,
            registered=registration.version,
            began=registration.began_at,
        )
        await self._store.commit("", [], [rows.Put(TABLE, self.id, encode(host))])

    async def _register(self) -> None:
        """Read this incarnation's first row and publish its version.

        The version shows other hosts that earlier incarnations of this host ended.
        """
        asked_at = self._now()
        answer = await self._store.read(TABLE, "", self.id, f"{self.id}\0")
        if isinstance(answer, rows.Unavailable) or not answer.rows:
            return
        # The store's time at the answer, less the age of this process when it asked.
        # The time that the answer took makes the result later, never earlier.
        began_at = answer.now - (asked_at - self._started_at)
        self._registration = Registration(answer.rows[0].version, began_at)
        log.info("registered", version=answer.rows[0].version, began=f"{began_at:.3f}")
        await self._write()

    async def _remove_expired(self) -> None:
        """Remove rows of expired incarnations, if this live host has the lowest id."""
        expired = self.expired_ids & set(self._hosts)
        if not expired or self.id != min([self.id, *(host.id for host in self.live)]):
            return
        puts = [rows.Put(TABLE, name, None) for name in sorted(expired)[:50]]
        outcome = await self._store.commit("", [], puts)
        if isinstance(outcome, rows.Committed):
            log.info("hosts_removed", hosts=",".join(sorted(expired)[:50]))

    def _find_live(self, read_at: float) -> LiveHosts:
        latest: dict[str, Host] = {}
        oldest = read_at
        for host in self._hosts.values():
            heartbeat_at = self._last_heartbeats[host.id]
            if (
                host.name == self._deployment.host
                or read_at - heartbeat_at > DEAD_AFTER
            ):
                continue
            oldest = min(oldest, heartbeat_at)
            other = latest.get(host.name)
            if (
                other is None
                or self._row_versions[other.id] < self._row_versions[host.id]
            ):
                latest[host.name] = host
        return LiveHosts(tuple(latest.values()), read_at, oldest)

    def _delete(self, name: str) -> None:
        if self._hosts.pop(name, None) is not None:
            log.info("host_gone", peer=name)
        self._last_heartbeats.pop(name, None)
        self._row_versions.pop(name, None)


def encode(host: Host) -> bytes:
    """Return the value of a host's row, in JSON."""
    fields = host._asdict()
    fields.pop("id")
    if not host.registered:
        fields.pop("began")
    return json.dumps(fields, separators=(",", ":")).encode()


def decode(name: str, value: bytes) -> Host | None:
    """Return the host described by a row's value, None if it can't be decoded."""
    try:
        fields = json.loads(value)
        texts = {field: str(fields[field]) for field in TEXTS}
        link = float(fields.get("link_mbps", 1000.0))  # missing in rows of old versions
        return Host(
            id=name,
            beat=int(fields["beat"]),
            link_mbps=link,
            registered=int(fields.get("registered", 0)),
            began=float(fields.get("began", math.inf)),
            **texts,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
