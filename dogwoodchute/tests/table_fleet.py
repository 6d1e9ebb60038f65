"""Hosts of two regions that follow one table, simulated on virtual time.

The store is in region "near". All bytes from it to region "far" share one link. Calls
between hosts take a fixed time for the network and are not limited by a link.
"""

import asyncio

from dogwoodchute.coordination import sources
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.following import followed_tables, mirror, table_source, tables
from dogwoodchute.standins import row_store
from dogwoodchute.tests import virtual

LINK_RATE = 30e6 / 8  # bytes per second between the regions
CHUNK = 16_000  # bytes that an answer sends before it yields the link to others
BASE64 = 4 / 3  # bytes sent for each byte of a row
PROGRESS_TIMEOUT = 1.2  # seconds
OTHER_CALLS_INTERVAL = 0.5  # seconds between other calls, which find the store back
WAIT = followed_tables.CONFIG_WAIT  # seconds for which the store holds a feed open
TABLE = "t"
KEY = "config"


class Host:
    """A host, its copy of the table and its faults."""

    def __init__(self, *, fleet, peer):
        self.peer = peer
        self.frozen = False
        self.killed = False
        self.leaving = False
        self.cut_from_store = False
        self.asks_fail = False  # its calls of other hosts
        self.silent_seconds = PROGRESS_TIMEOUT  # of a call that fails
        self.slowness = 1.0  # factor on the time that the store's answers take
        self.is_store_reachable = True
        self._receiving = False
        self.adopted = {}  # virtual seconds by version of the row
        self.asked = 0  # calls of other hosts
        self.fetched = []  # versions of large rows that were read from the store
        self._fleet = fleet
        self.view = fleet.peers  # returns the ready hosts as this one knows them
        self.mirror = mirror.Mirror(
            table=TABLE,
            fetch=self._fetch(),
            pause=fleet.pause,
            wait=fleet.wait,
            on_change=self._changed,
            receiving=lambda: self._receiving,
            now=fleet.loop.time,
        )

    @property
    def stopped(self):
        return self.frozen or self.killed

    def _changed(self, all_rows, changed):
        for row in changed:
            self.adopted[row.version] = self._fleet.loop.time()

    def _fetch(self):
        fleet = self._fleet
        own = self.peer
        if fleet.alone:
            return self._from_store()
        follower = table_source.Follower(
            chooser=sources.Sources(name=own.name, region=own.region),
            peers=lambda: self.view(),
            is_store_reachable=lambda: self.is_store_reachable,
            ask=self._ask,
            table=TABLE,
            store=self._from_store(),
            anyone=lambda: [name for name in fleet.hosts if name != own.name],
            now=fleet.loop.time,
        )
        return follower.fetch

    def _from_store(self):
        store = rows.Store(
            read=self._read, feed=self._feed, commit=None, now=self._fleet.loop.time
        )
        return table_source.from_store(
            store=store, table=TABLE, now=self._fleet.loop.time
        )

    async def _read(self, table, part, first, stop):
        return await self._call(lambda: self._fleet.store.read(table, "", None, None))

    async def _feed(self, table, since, wait):
        def read_feed():
            return self._fleet.store.feed(table, since)

        end = self._fleet.loop.time() + wait
        while self._fleet.loop.time() < end:
            found = read_feed()
            if isinstance(found, rows.Compacted) or found.rows:
                break
            if self.cut_from_store or self._fleet.store_down:
                break
            await asyncio.sleep(0.02)
        return await self._call(read_feed)

    async def _call(self, operation):
        if self.cut_from_store or self._fleet.store_down:
            silent = self.silent_seconds if self.is_store_reachable else 0.05
            await asyncio.sleep(silent)
            self.is_store_reachable = False
            return rows.Unavailable(reason="cut")
        if self.stopped:
            await asyncio.Event().wait()
        answer = operation()
        if isinstance(answer, rows.Compacted):
            return answer
        size = int(sum(len(row.value or b"") for row in answer.rows) * BASE64)
        await self._fleet.queue(self.peer.region)
        if size > CHUNK:
            self.fetched.append(max(row.version for row in answer.rows))
            self._receiving = True
        await self._fleet.carry(self.peer.region, size)
        await asyncio.sleep((self.slowness - 1.0) * size / LINK_RATE)
        self._receiving = False
        self.is_store_reachable = True
        return answer

    async def _ask(self, address, table, since, hold):
        await asyncio.sleep(0.002)
        other = self._fleet.hosts[address]
        other.asked += 1
        if other.killed:
            return tables.NoAnswer("refused")
        if other.leaving and hold > 0:
            return tables.NoAnswer("status 503")
        if other.frozen or self.asks_fail:
            await asyncio.sleep(hold + tables.ANSWER_TIMEOUT)
            return tables.NoAnswer("timed out")
        update_task = asyncio.ensure_future(other.mirror.changes_since(since, hold))
        limit = hold + tables.ANSWER_TIMEOUT
        end = self._fleet.loop.time() + limit
        while not update_task.done():
            await asyncio.sleep(0.01)
            if self._fleet.loop.time() >= end:
                return tables.NoAnswer("timed out")
            if other.killed:
                return tables.NoAnswer("reset")
        while other.stopped:
            await asyncio.sleep(0.01)
            if self._fleet.loop.time() >= end:
                return tables.NoAnswer("timed out")
        update = update_task.result()
        if update is None:
            return tables.NoAnswer("status 503")
        now = self._fleet.loop.time()
        return tables.Answer(
            update.changes,
            now - update.read_at + 0.002,
            now - update.current_since,
            now - update.store_returned_at,
            update.receiving,
        )

    async def call_store(self):
        """Find out by other calls than those for the table that the store is back."""
        while True:
            await asyncio.sleep(OTHER_CALLS_INTERVAL)
            if not (self.stopped or self.cut_from_store or self._fleet.store_down):
                self.is_store_reachable = True

    async def run(self):
        while True:
            if self.stopped:
                await asyncio.sleep(0.01)
                continue
            await asyncio.sleep(await self.mirror.step())


class Fleet:
    """The hosts, the store and the link between the regions."""

    def __init__(
        self, *, near, far, alone=False, pause=followed_tables.CONFIG_PAUSE, wait=WAIT
    ):
        self.pause = pause  # seconds between a host's calls
        self.wait = wait  # seconds for which the store holds a call open
        self.loop = virtual.Loop()
        self.store = row_store.RowStore(now=self.loop.time)
        self.store_down = False
        self.queueing = 0.0  # seconds for which an answer waits for the regions' link
        self.alone = alone  # whether each host follows the store by itself
        self.hosts = {}
        self._link = asyncio.Lock()
        for region, count in (("near", near), ("far", far)):
            for number in range(count):
                name = f"{region}-{number}"
                peer = sources.Peer(name, region, name, 1000.0)
                self.hosts[name] = Host(fleet=self, peer=peer)

    def peers(self):
        """Return all hosts; dead and frozen ones have not timed out yet."""
        return [host.peer for host in self.hosts.values()]

    def start(self, *, size):
        """Start all hosts with a table of one row of `size` bytes."""
        self.put(size)
        for host in self.hosts.values():
            self.loop.create_task(host.run())
            self.loop.create_task(host.call_store())
        self.loop.run_for(15.0)

    def put(self, size):
        """Write a new version of the row and return the version."""
        value = b"v" * size
        return self.store.commit("", [], [rows.Put(TABLE, KEY, value)]).version

    def sources_of(self, region):
        """Return the hosts of a region that follow the store."""
        peers = [peer for peer in self.peers() if peer.region == region]
        return [
            self.hosts[peer.name]
            for peer in sources.rank(peers)[: sources.SOURCES_PER_REGION]
        ]

    def fetches(self, version, *, region="far"):
        """Return how often the hosts of a region read a version from the store."""
        local = [h for h in self.hosts.values() if h.peer.region == region]
        return sum(host.fetched.count(version) for host in local)

    def last_adopted(self, version):
        """Return when the last running host had a version, None if one lacks it."""
        times = [
            host.adopted.get(version)
            for host in self.hosts.values()
            if not host.stopped
        ]
        return None if None in times else max(times)

    async def queue(self, region):
        """Wait until the first byte of an answer of the store reaches a region."""
        await asyncio.sleep(0.008 + self.queueing if region == "far" else 0.001)

    async def carry(self, region, size):
        """Wait for as long as bytes from the store take to a region."""
        while region == "far" and size > 0:
            async with self._link:
                await asyncio.sleep(min(size, CHUNK) / LINK_RATE)
            size -= CHUNK
