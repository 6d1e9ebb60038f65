"""The hosts of the fleet, as their rows in the store describe them.

A row stays until its host leaves, or until other hosts find the host silent and mark it
as down (`gateway.liveness`). So the store is written when membership changes, not to
prove that hosts live, and a slow store declares nobody dead.
"""

from collections import abc

from dogwoodchute import log
from dogwoodchute.coordination import quarantine, ranking
from dogwoodchute.gateway import host_rows, model, rows
from dogwoodchute.gateway.following import row_reader

REMOVE_AFTER = 20.0  # seconds for which the row of an ended incarnation is kept
MAX_REMOVED_AT_ONCE = 50


class Hosts:
    """The other hosts of the fleet as this one knows them."""

    def __init__(
        self,
        *,
        id: str,
        deployment: model.Deployment,
        store: rows.Store,
        on_crashes: abc.Callable[[tuple[quarantine.Crash, ...]], None],
        now: abc.Callable[[], float],
    ) -> None:
        self.id = id  # of this incarnation
        # Monotonic seconds at which the own row was first read, None before that.
        self.registered_at: float | None = None
        self._on_crashes = on_crashes  # called with those that other rows hold
        self._deployment = deployment
        self._store = store
        self._now = now
        self._reader = row_reader.RowReader(
            table=host_rows.TABLE, decode=host_rows.decode
        )
        self._hosts: dict[str, host_rows.Host] = {}  # by id of the incarnation
        self._row_versions: dict[str, int] = {}
        # Incarnations that ended, and the monotonic seconds at which this was seen.
        self._ended_since: dict[str, float] = {}
        # Found anew after a change of rows, None until then.
        self._live: tuple[host_rows.Host, ...] | None = None
        self._registered: dict[str, host_rows.Host] | None = None
        self._ranks_first: dict[str, bool] = {}  # by key
        self._read_at: abc.Callable[[], float | None] = lambda: None

    def set_read_at(self, read_at: abc.Callable[[], float | None]) -> None:
        """Set the source of the time of the last read of the table.

        `read_at` returns monotonic seconds, or None before the first read.
        """
        self._read_at = read_at

    def apply_changes(
        self, all_rows: dict[str, rows.Row], changed: list[rows.Row]
    ) -> None:
        """Apply changed rows of the hosts' table."""
        self._live = self._registered = None
        self._ranks_first.clear()
        for row in changed:
            host = self._reader.read(row)
            if host is None:
                self._delete(row.key)
                continue
            before = self._hosts.get(host.id)
            self._row_versions[host.id] = row.version
            self._hosts[host.id] = host
            if host.id == self.id:
                if self.registered_at is None:
                    self.registered_at = self._now()
                continue
            if host.crashes:
                self._on_crashes(host.crashes)
            if before is None or before.state != host.state:
                log.info("host_seen", peer=host.id, state=host.state)
        self._update_ended()

    @property
    def read_at(self) -> float | None:
        """Monotonic seconds of the last read of the table, None before the first."""
        return self._read_at()

    @property
    def is_known(self) -> bool:
        """Whether the table of hosts was read at least once."""
        return self.read_at is not None

    @property
    def live(self) -> tuple[host_rows.Host, ...]:
        """The other live hosts, as far as this one knows.

        Of a restarted host only the incarnation that wrote last counts. The same tuple
        is returned until a row changes.
        """
        if not self.is_known:
            return ()
        if self._live is None:
            own = self._deployment.host
            newest = self._newest()
            self._live = tuple(
                host
                for host in newest.values()
                if host.name != own and host.state != host_rows.DOWN
            )
        return self._live

    @property
    def down_ids(self) -> frozenset[str]:
        """Ids of incarnations that are marked as down and have no successor yet."""
        registered = self.registered
        return frozenset(
            host.id
            for host in self._hosts.values()
            if host.state == host_rows.DOWN
            and registered.get(host.name, host).id == host.id
        )

    @property
    def live_ids(self) -> frozenset[str]:
        """Ids of all live incarnations, this one included."""
        return frozenset([self.id, *(host.id for host in self.live)])

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
        if not self.is_known:
            return True
        name = self._deployment.host
        incarnations = [host for host in self._hosts.values() if host.name == name]
        return any(host.id != self.id for host in incarnations)

    @property
    def registered(self) -> dict[str, host_rows.Host]:
        """The newest registered incarnation of each host, by the host's name.

        The same dictionary is returned until a row changes.
        """
        if self._registered is None:
            self._registered = self._newest_registered()
        return self._registered

    @property
    def expired_ids(self) -> list[str]:
        """Ids of incarnations that ended at least `REMOVE_AFTER` seconds ago."""
        now = self._now()
        return sorted(
            id for id, at in self._ended_since.items() if now - at >= REMOVE_AFTER
        )

    def ranks_first(self, key: str) -> bool:
        """Return whether this host ranks first for `key` by rendezvous hashing.

        Hosts that are leaving are not ranked.
        """
        if key not in self._ranks_first:
            own_score = ranking.score(key, self._deployment.host, 1.0)
            self._ranks_first[key] = all(
                ranking.score(key, host.name, 1.0) < own_score
                for host in self.live
                if host.state != host_rows.LEAVING
            )
        return self._ranks_first[key]

    def relays(self) -> list[str]:
        """Return the control addresses of hosts that may reach the store.

        These are the other live hosts that aren't leaving, or the other seeds while no
        such host is known.
        """
        staying = [host for host in self.live if host.state != host_rows.LEAVING]
        if staying:
            return [host.control for host in staying]
        own_address = self._deployment.control
        return [seed for seed in self._deployment.seeds if seed != own_address]

    def control_addresses(self) -> list[str]:
        """Return the control addresses of all other hosts that are known, and seeds."""
        known = {host.control for host in self.live} | set(self._deployment.seeds)
        return sorted(known - {self._deployment.control})

    def row_version(self, incarnation: str) -> int:
        """Return the version of an incarnation's row as last read, 0 without a row."""
        return self._row_versions.get(incarnation, 0)

    async def mark_down(self, host: host_rows.Host) -> None:
        """Mark a silent host as down, unless its row has changed meanwhile.

        If it lives, it writes its row anew once it reads of this.
        """
        version = self.row_version(host.id)
        down = host._replace(state=host_rows.DOWN)
        outcome = await self._store.commit(
            host_rows.part_of(host.id),
            [rows.Check(host_rows.TABLE, host.id, version)],
            [rows.Put(host_rows.TABLE, host.id, host_rows.encode(down))],
        )
        log.info(
            "host_marked_down",
            peer=host.id,
            version=version,
            outcome=type(outcome).__name__.lower(),
        )

    async def remove_expired(self) -> None:
        """Remove rows of expired incarnations, if this live host has the lowest id."""
        expired = self.expired_ids[:MAX_REMOVED_AT_ONCE]
        if not expired or self.id != min([self.id, *(host.id for host in self.live)]):
            return
        by_part: dict[str, list[rows.Put]] = {}
        for name in expired:
            put = rows.Put(host_rows.TABLE, name, None)
            by_part.setdefault(host_rows.part_of(name), []).append(put)
        for part, puts in by_part.items():
            outcome = await self._store.commit(part, [], puts)
            if isinstance(outcome, rows.Committed):
                log.info("hosts_removed", hosts=",".join(put.key for put in puts))

    def _newest_registered(self) -> dict[str, host_rows.Host]:
        newest: dict[str, host_rows.Host] = {}
        for host in self._hosts.values():
            other = newest.get(host.name)
            if host.registered and (not other or other.registered < host.registered):
                newest[host.name] = host
        return newest

    def _newest(self) -> dict[str, host_rows.Host]:
        """Return the incarnation of each host that wrote last, by the host's name."""
        newest: dict[str, host_rows.Host] = {}
        for host in self._hosts.values():
            other = newest.get(host.name)
            if other is None or self.row_version(other.id) < self.row_version(host.id):
                newest[host.name] = host
        return newest

    def _update_ended(self) -> None:
        """Record which incarnations are down or have a successor."""
        now = self._now()
        successors = {name: host.id for name, host in self.registered.items()}
        ended = {}
        for host in self._hosts.values():
            is_succeeded = successors.get(host.name, host.id) != host.id
            if host.state == host_rows.DOWN or is_succeeded:
                ended[host.id] = self._ended_since.get(host.id, now)
        self._ended_since = ended

    def _delete(self, name: str) -> None:
        if self._hosts.pop(name, None) is not None:
            log.info("host_gone", peer=name)
        self._row_versions.pop(name, None)
