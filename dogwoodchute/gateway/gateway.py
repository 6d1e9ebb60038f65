"""Assembles one host's gateway from its parts, and stops it in order."""

import asyncio
import functools
import typing
from collections import abc

from dogwoodchute import clock, exchange, log, loop_watch, outcomes
from dogwoodchute.coordination import checkpoints, sources
from dogwoodchute.gateway import (
    accounts,
    amounts,
    calls,
    configuration,
    directory,
    dispatch,
    endpoints,
    filters,
    givers,
    gossip,
    homes,
    hosts,
    mirror,
    model,
    observe,
    readiness,
    reclaim,
    reservations,
    rows,
    table_source,
    tables,
    tokens,
    upstream,
)

CONFIG_WAIT = 0.6  # seconds that the store holds the configuration's feed open
CONFIG_PAUSE = 0.05  # seconds between two such calls
ENDPOINTS_PAUSE = 0.6  # seconds between looks at the list, a quarter of its bound
HOSTS_PAUSE = 0.8  # seconds between looks at the other hosts
LINGER = 3.0  # seconds after SIGTERM in which callers that don't know yet still come
STOP_MARGIN = 1.0  # seconds before SIGKILL, to write bills and return tokens
POLL = 0.02  # seconds between looks at what is in flight
FLUSH_BOUND = 0.5  # seconds to write bills and return tokens


class Platform(typing.NamedTuple):
    """What the gateway needs of the platform: its store, formats and tables."""

    store: rows.Store
    wire: upstream.Wire
    decode_config: configuration.Decode
    decode_endpoint: endpoints.Decode
    format_error: type[Exception]
    config_table: str
    config_key: str
    endpoints_table: str
    direct: abc.Callable[[], bool]  # whether the store answers this host


class Gateway:
    """One host's requests, beliefs and accounts."""

    def __init__(
        self,
        *,
        deployment: model.Deployment,
        platform: Platform,
        ask_peer: tokens.AskPeer,
        ask_table: tables.Ask,
        adopted: abc.Callable[[model.Config], None],
        began: float,
        now: abc.Callable[[], float] = clock.monotonic,
    ) -> None:
        self._deployment = deployment
        self._ask_table = ask_table
        self._now = now
        self._began = began
        self._in_flight = 0
        self._idle = asyncio.Event()  # set while nothing is in flight
        self._idle.set()
        self._leaving = False
        self._stop_began: float | None = None  # monotonic seconds
        self._tasks: list[asyncio.Task] = []
        store = platform.store
        self._configuration = configuration.Configuration(
            key=platform.config_key,
            decode=platform.decode_config,
            format_error=platform.format_error,
            adopted=adopted,
            now=now,
        )
        self._hosts = hosts.Hosts(
            deployment=deployment,
            store=store,
            state=self._state,
            now=now,
            began=began,
        )
        self._homes = homes.Homes(
            host=deployment.host,
            region=deployment.region,
            live=lambda: self._hosts.live,
            strained=lambda: self._accounts.strained,
        )
        self._gossip = gossip.Gossip(
            id=self._hosts.id,
            load=lambda: self._endpoints.load(),
            peers=lambda: {host.id: host.gossip for host in self._hosts.live},
            now=now,
        )
        self._endpoints = endpoints.Endpoints(
            deployment=deployment,
            decode=platform.decode_endpoint,
            format_error=platform.format_error,
            hosts_known=lambda: self._hosts.count,
            loads=self._gossip.loads,
            now=now,
        )
        giving = givers.Givers(
            live=lambda: self._hosts.live, homes=self._homes, ask_peer=ask_peer
        )
        self._accounts = accounts.Accounts(
            holder=self._hosts.id,
            store=store,
            config=lambda: self._configuration.current,
            hosts=lambda: self._hosts.count,
            ask=giving.ask,
            home=reservations.Home(
                is_here=self._homes.is_here,
                is_elsewhere=lambda name: self._homes.elsewhere(name) is not None,
                ask=giving.ask_home,
            ),
            now=now,
            horizon=self._horizon,
            registered=lambda: self._hosts.own_registration,
            regions=len(set(deployment.regions.values())),
            rates=checkpoints.Rates(
                part=deployment.part_commits, fleet=deployment.commits
            ),
        )
        self._reclaimer = reclaim.Reclaimer(
            store=store,
            registered=lambda: self._hosts.registered,
            is_closer=self._hosts.is_first,
            now=now,
        )
        self._upstream = upstream.Upstream(wire=platform.wire)
        self._mirrors = self._make_mirrors(platform)
        self._chain = self._make_chain()

    @property
    def leaving(self) -> bool:
        """Whether this host was told to stop."""
        return self._leaving

    @property
    def config_version(self) -> int | None:
        """The version of the configuration in force, None before the first one."""
        current = self._configuration.current
        return current.version if current is not None else None

    @property
    def endpoint_count(self) -> int:
        """Endpoints that are registered."""
        return self._endpoints.count

    def ready_endpoints(self, service: str) -> int:
        """Return how many endpoints of a service take new requests."""
        return len(self._endpoints.ready(service))

    def note_request(self, service: str) -> None:
        """Pay a request to a service into its budget of repeats."""
        self._endpoints.note_request(service)

    @property
    def in_flight(self) -> int:
        """Requests that are under way."""
        return self._in_flight

    def ready(self) -> bool:
        """Return whether callers may be sent to this host."""
        return not self._leaving and self._informed()

    def relays(self) -> list[str]:
        """Return the control addresses of hosts that may reach the store."""
        return self._hosts.relays()

    def addresses(self, data_centre: str, region: str) -> list[str]:
        """Return the hosts that a caller is told to use."""
        place = self._deployment
        found = [
            directory.Candidate(host.callers, host.data_centre, host.region)
            for host in self._hosts.live
            if host.state == hosts.READY
        ]
        if self.ready():
            own = directory.Candidate(place.callers, place.data_centre, place.region)
            found.append(own)
        return directory.addresses(found, data_centre=data_centre, region=region)

    async def give(self, account: str, tokens: int) -> int:
        """Give up to `tokens` of a client account to another host."""
        return await self._accounts.give(account, tokens)

    async def tell_table(
        self, table: str, since: int | None, hold: float
    ) -> mirror.Told | None:
        """Tell another host what changed in a table, None if it should ask elsewhere.

        Without news the answer may come up to `hold` seconds later.
        """
        known = self._mirrors.get(table)
        if known is None or self._leaving:
            return None
        return await known.tell(since, min(hold, table_source.HOLD))

    async def serve(self, call: calls.Call) -> outcomes.Outcome:
        """Pass a call through the filter chain."""
        self._in_flight += 1
        self._idle.clear()
        try:
            return await self._chain(call)
        except Exception:
            log.exception("request_failed", request=call.request.attempt_id)
            return outcomes.router_failed(step="chain")
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def start(self) -> None:
        """Begin to follow the store."""
        await self._upstream.start()
        ip, _, port = self._deployment.gossip.rpartition(":")
        await self._gossip.start(ip, int(port))
        work = [each.run() for each in self._mirrors.values()]
        work.extend((self._hosts.run(), self._accounts.run(), self._gossip.run()))
        work.extend((self._reclaimer.run(), loop_watch.watch(now=self._now)))
        self._tasks = [asyncio.create_task(each) for each in work]

    async def leave(self) -> None:
        """Leave the directory, and serve until callers have had time to hear of it.

        Returns once nothing is in flight, or when connections are to be closed.
        """
        began = self._stop_began = self._now()
        self._leaving = True
        self._hosts.beat_now()
        log.info("stop_begun", in_flight=self._in_flight)
        while self.left:
            if self._now() - began >= LINGER and self._in_flight == 0:
                break
            await asyncio.sleep(POLL)

    @property
    def left(self) -> float:
        """Seconds until connections are closed, once this host leaves."""
        return max(0.0, self._stop_began + self._stop_time - self._now())

    async def stop(self) -> None:
        """Break off what is in flight, and write what must last."""
        log.info("stop_closing", in_flight=self._in_flight)
        try:
            async with asyncio.timeout(FLUSH_BOUND):
                await self._upstream.stop()
                await self._idle.wait()
                await self._accounts.flush()
                await self._hosts.leave()
        except TimeoutError:
            log.warning("stop_unfinished", in_flight=self._in_flight)
        for task in self._tasks:
            task.cancel()
        self._gossip.stop()
        log.info("stopped", in_flight=self._in_flight)

    @property
    def _stop_time(self) -> float:
        """Seconds from the order to stop until connections are closed."""
        return self._deployment.bounds.grace - STOP_MARGIN

    def _closes_at(self) -> float | None:
        """Return when connections are closed, None while all requests are taken.

        Callers that have not heard of the stop come for a while; what they send later
        has to end in time.
        """
        began = self._stop_began
        if began is None or self._now() - began < LINGER:
            return None
        return began + self._stop_time

    def _horizon(self) -> float:
        age = self._now() - self._began
        killed = age < amounts.HORIZON and self._hosts.follows_a_kill
        return amounts.horizon(age=age, killed=killed)

    def _state(self) -> str:
        if self._leaving:
            return hosts.LEAVING
        return hosts.READY if self._informed() else hosts.STARTING

    def _informed(self) -> bool:
        return self._configuration.current is not None and self._endpoints.known

    def _make_mirrors(self, platform: Platform) -> dict[str, mirror.Mirror]:
        follow = [
            (platform.config_table, CONFIG_PAUSE, CONFIG_WAIT, self._configuration),
            (platform.endpoints_table, ENDPOINTS_PAUSE, 0.0, self._endpoints),
            (hosts.TABLE, HOSTS_PAUSE, 0.0, self._hosts),
        ]
        ready = readiness.Watch(
            informed=self._informed, began=self._began, now=self._now
        )
        made = {}
        for table, pause, wait, follower in follow:
            made[table] = mirror.Mirror(
                table=table,
                fetch=self._source(platform, table),
                pause=pause,
                wait=wait,
                changed=ready.after(follower.changed),
                receiving=functools.partial(platform.store.receiving, table),
                now=self._now,
            )
        config_mirror, list_mirror, hosts_mirror = made.values()
        self._configuration.follow(lambda: config_mirror.read_at)
        self._endpoints.follow(lambda: list_mirror.regained_at)
        self._hosts.follow(lambda: hosts_mirror.read_at)
        return made

    def _source(self, platform: Platform, table: str) -> mirror.Fetch:
        place = self._deployment
        follower = table_source.Follower(
            chooser=sources.Sources(name=place.host, region=place.region),
            peers=self._table_peers,
            direct=platform.direct,
            ask=self._ask_table,
            table=table,
            store=table_source.from_store(
                store=platform.store, table=table, now=self._now
            ),
            now=self._now,
        )
        return follower.fetch

    def _table_peers(self) -> list[sources.Peer]:
        """Return the ready hosts, this one included if it is ready."""
        found = [
            sources.Peer(host.name, host.region, host.control, host.link_mbps)
            for host in self._hosts.live
            if host.state == hosts.READY
        ]
        if self.ready():
            place = self._deployment
            own = (place.host, place.region, place.control, place.link_mbps)
            found.append(sources.Peer(*own))
        return found

    def _make_chain(self) -> abc.Callable[..., abc.Awaitable[outcomes.Outcome]]:
        dispatcher = dispatch.Dispatcher(
            endpoint_table=self._endpoints, connections=self._upstream, now=self._now
        )
        return exchange.chain(
            [
                observe.observe(
                    now=self._now, config_read_at=lambda: self._configuration.read_at
                ),
                filters.admit(
                    config=lambda: self._configuration.current, ready=self._informed
                ),
                filters.route(),
                filters.finish(closes_at=self._closes_at),
                filters.authenticate(),
                filters.reserve(budgets=self._accounts),
                filters.send(dispatcher=dispatcher),
            ]
        )
