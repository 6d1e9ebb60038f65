"""Assembles one host's gateway from its parts, and starts and stops it."""

import asyncio
import random
import secrets
from collections import abc

from dogwoodchute import clock, exchange, log, loop_watch, outcomes
from dogwoodchute.gateway import (
    calls,
    configuration,
    contact,
    crash_reports,
    directory,
    dispatch,
    filters,
    gossip,
    host_rows,
    hosts,
    liveness,
    model,
    observe,
    platform_access,
    readiness,
    registration,
    stopping,
    upstream,
)
from dogwoodchute.gateway.accounts import amounts, budgets, homes, witnessing
from dogwoodchute.gateway.following import followed_tables, mirror, table_source, tables
from dogwoodchute.gateway.places import allowed_regions, evacuations
from dogwoodchute.gateway.registered import endpoints
from dogwoodchute.gateway.streams import stream_origins
from dogwoodchute.gateway.warmup import cold_endpoints, recent_hosts

POLL_INTERVAL = 0.02  # seconds between checks of the number of requests in flight
FLUSH_TIMEOUT = 0.5  # seconds to write bills and return tokens


class Gateway:
    """One host's gateway: its requests, copies of tables, gossip and accounts.

    `on_config` is called with each configuration that comes into force; `started_at` is
    the start of the process in monotonic seconds.
    """

    def __init__(
        self,
        *,
        deployment: model.Deployment,
        platform: platform_access.Platform,
        host_calls: budgets.Calls,
        ask_table: tables.Ask,
        is_alive: liveness.Question,
        on_config: abc.Callable[[model.Config], None],
        started_at: float,
        now: abc.Callable[[], float] = clock.monotonic,
    ) -> None:
        self._deployment = deployment
        self._ask_table = ask_table
        self._now = now
        self._started_at = started_at  # monotonic seconds
        self._in_flight = 0
        self._idle = asyncio.Event()  # set while no request is in flight
        self._idle.set()
        self._stopping = stopping.Stopping(grace=deployment.bounds.grace, now=now)
        self._tasks: list[asyncio.Task] = []
        store_contact = contact.Contact(now=now)
        store = store_contact.watch(platform.store)
        platform = platform._replace(store=store)
        self._configuration = configuration.Configuration(
            table=platform.config_table,
            key=platform.config_key,
            decode=platform.decode_config,
            on_config=on_config,
            now=now,
        )
        incarnation = f"{deployment.host}-{secrets.token_hex(4)}"
        self._crashes = crash_reports.CrashReports(
            on_quarantine=lambda: self._dispatcher.stop_quarantined(), now=now
        )
        self._hosts = hosts.Hosts(
            id=incarnation,
            deployment=deployment,
            store=store,
            on_crashes=self._crashes.learn_from_row,
            now=now,
        )
        self._own_row = registration.OwnRow(
            id=incarnation,
            deployment=deployment,
            store=store,
            state=self._membership_state,
            crashes=self._crashes.for_row,
            remove_expired=self._hosts.remove_expired,
            now=now,
            started_at=started_at,
        )
        self._liveness = liveness.Liveness(
            id=incarnation,
            name=deployment.host,
            live=lambda: self._hosts.live,
            row_version=self._hosts.row_version,
            is_alive=is_alive,
            mark_down=self._hosts.mark_down,
            now=now,
        )
        self._homes = homes.Homes(
            host=deployment.host,
            region=deployment.region,
            live=lambda: self._hosts.live,
            store_is_slow=lambda: self._budgets.accounts.store_is_slow,
        )
        self._gossip = gossip.Gossip(
            id=incarnation,
            load=lambda: self._endpoints.load(),
            peers=lambda: {host.id: host.gossip for host in self._hosts.live},
            words=lambda: self._endpoints.table.words(),
            on_words=lambda words: self._endpoints.table.learn_words(words),
            crashes=self._crashes,
            now=now,
        )
        self._recent_hosts = recent_hosts.RecentHosts(
            fleet=self._hosts, read_at=lambda: self._hosts.read_at, now=now
        )
        self._evacuations = evacuations.Evacuations(
            data_centre_of=platform.evacuated_data_centre,
            progress=lambda data_centre: self._endpoints.progress(data_centre),
            now=now,
        )
        self._regions_by_name = allowed_regions.RegionsByName(
            config=lambda: self._configuration.current
        )
        self._endpoints = endpoints.Endpoints(
            deployment=deployment,
            table_name=platform.endpoints_table,
            decode=platform.decode_endpoint,
            host_count=lambda: self._hosts.count,
            other_hosts=lambda: self._hosts.live,
            loads=self._gossip.loads,
            evacuated=self._evacuations,
            cold=cold_endpoints.ColdEndpoints(
                host=deployment.host,
                others=self._recent_hosts,
                service_of=self._configuration.service,
                evacuated=self._evacuations,
                bounds=deployment.bounds,
                now=now,
            ),
            may_run=lambda call, usable: self._origins.usable(call, usable),
            now=now,
        )
        self._origins = stream_origins.Origins(
            config=lambda: self._configuration.current,
            versions=self._endpoints.table.versions,
            store=store,
            ranks_first=self._hosts.ranks_first,
            host_count=lambda: self._hosts.count,
            commits=deployment.commits,
            now=now,
            rng=random.Random(incarnation),
        )
        self._budgets = budgets.assemble(
            deployment=deployment,
            store=store,
            store_contact=store_contact,
            config=lambda: self._configuration.current,
            fleet=self._hosts,
            own_row=self._own_row,
            account_homes=self._homes,
            host_calls=host_calls,
            horizon=self._horizon,
            now=now,
        )
        self._ready_peers = table_source.ready_peers(
            deployment=deployment, live=lambda: self._hosts.live, ready=self.ready
        )
        self._upstream = upstream.Upstream(wire=platform.wire)
        self._dispatcher = dispatch.Dispatcher(
            endpoint_table=self._endpoints,
            connections=self._upstream,
            crashes=self._crashes,
            origins=self._origins,
            now=now,
        )
        self._readiness = readiness.Readiness(
            has_needed=lambda: (
                self._configuration.current is not None
                and self._endpoints.table.is_loaded
            ),
            has_hosts=lambda: self._hosts.is_known,
            started_at=started_at,
            now=now,
        )
        self._mirrors = self._make_mirrors(platform)
        self._chain = self._make_chain()

    @property
    def id(self) -> str:
        """The id of this incarnation."""
        return self._hosts.id

    @property
    def witnessing(self) -> witnessing.Witnessing:
        """What this host confirms to others, as their witness."""
        return self._budgets.witnessing

    @property
    def leaving(self) -> bool:
        """Whether this host is stopping."""
        return self._stopping.has_begun

    @property
    def config_version(self) -> int | None:
        """The version of the configuration in force, None before the first one."""
        current = self._configuration.current
        return current.version if current is not None else None

    @property
    def endpoint_count(self) -> int:
        """The number of registered endpoints."""
        return self._endpoints.table.count

    def ready_endpoints(self, service: str) -> int:
        """Return the number of endpoints of a service that accept new requests."""
        return len(self._endpoints.table.usable(service))

    def count_request(self, service: str) -> None:
        """Count a request towards the retry budget of a service."""
        self._endpoints.count_request(service)

    @property
    def in_flight(self) -> int:
        """The number of requests in flight."""
        return self._in_flight

    def ready(self) -> bool:
        """Return whether callers may send requests to this host."""
        return not self.leaving and self._readiness.check()

    def relays(self) -> list[str]:
        """Return the control addresses of hosts that may reach the store."""
        return self._hosts.relays()

    def addresses(self, data_centre: str, region: str, name: str) -> list[str]:
        """Return the addresses of hosts that a caller should use.

        `data_centre` and `region` are the caller's, `name` the host name that it will
        ask for.
        """
        own = self._deployment
        candidates = [
            directory.Candidate(host.callers, host.data_centre, host.region)
            for host in self._hosts.live
            if host.state == host_rows.READY
        ]
        if self.ready():
            this = directory.Candidate(own.callers, own.data_centre, own.region)
            candidates.append(this)
        return directory.addresses(
            candidates,
            data_centre=data_centre,
            region=region,
            allowed=self._regions_by_name.find(name.partition(":")[0].lower()),
        )

    async def transfer_out(self, account: str, tokens: int) -> int:
        """Transfer up to `tokens` of a client account to another host.

        Returns the number of tokens transferred.
        """
        return await self._budgets.accounts.transfer_out(account, tokens)

    def take_back(self, account: str, tokens: int) -> bool:
        """Take tokens of a client account back; return whether they were taken."""
        return self._budgets.accounts.take_back(account, tokens)

    async def table_changes_since(
        self, table: str, since: int | None, hold: float
    ) -> mirror.TableUpdate | None:
        """Return what changed in a table after version `since`, for another host.

        Without changes the answer may be delayed by up to `hold` seconds. Returns None
        if the other host should ask elsewhere. While this host leaves it answers only
        those that can't wait: their tables are old, and it may be all that they know.
        """
        followed = self._mirrors.get(table)
        if followed is None or (self.leaving and hold > 0):
            return None
        return await followed.changes_since(since, min(hold, table_source.HOLD))

    async def serve(self, call: calls.Call) -> outcomes.Outcome:
        """Pass a call through the filter chain and return its outcome."""
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
        """Start to follow the store, to send gossip and to keep accounts."""
        await self._upstream.start()
        await self._gossip.start(self._deployment.gossip)
        await self._liveness.start(self._deployment.heartbeats)
        parts = [*self._mirrors.values(), self._own_row, self._liveness]
        parts.extend((self._gossip, self._origins, *self._budgets))
        loops = [each.run() for each in parts]
        loops.append(loop_watch.watch(now=self._now))
        self._tasks = [asyncio.create_task(each) for each in loops]

    async def leave(self) -> None:
        """Leave the directory, and serve until callers have had time to learn of it.

        Returns once no request is in flight, or when connections are due to be closed.
        """
        self._stopping.begin()
        self._own_row.write_now()
        log.info("stop_begun", in_flight=self._in_flight)
        while self.seconds_until_close:
            if self._stopping.has_lingered and self._in_flight == 0:
                break
            await asyncio.sleep(POLL_INTERVAL)

    @property
    def seconds_until_close(self) -> float:
        """Seconds until connections are closed; valid after `leave` was called."""
        return self._stopping.seconds_until_close

    async def stop(self) -> None:
        """Abort requests in flight, write bills, return tokens and remove the row."""
        log.info("stop_closing", in_flight=self._in_flight)
        try:
            async with asyncio.timeout(FLUSH_TIMEOUT):
                await self._upstream.stop()
                await self._idle.wait()
                await self._budgets.accounts.flush()
                await self._own_row.leave()
        except TimeoutError:
            log.warning("stop_unfinished", in_flight=self._in_flight)
        for task in self._tasks:
            task.cancel()
        self._gossip.stop()
        self._liveness.stop()
        log.info("stopped", in_flight=self._in_flight)

    def _horizon(self) -> float:
        age = self._now() - self._started_at
        killed = age < amounts.HORIZON and self._hosts.was_killed_before
        return amounts.horizon(age=age, was_killed=killed)

    def _membership_state(self) -> str:
        if self.leaving:
            return host_rows.LEAVING
        return host_rows.READY if self._readiness.check() else host_rows.STARTING

    def _make_mirrors(
        self, platform: platform_access.Platform
    ) -> dict[str, mirror.Mirror]:
        followed = [
            followed_tables.Followed(
                platform.config_table,
                followed_tables.CONFIG_PAUSE,
                self._configuration,
                wait=followed_tables.CONFIG_WAIT,
            ),
            followed_tables.Followed(
                platform.endpoints_table,
                followed_tables.ENDPOINTS_PAUSE,
                self._endpoints.table,
            ),
            followed_tables.Followed(
                host_rows.TABLE,
                followed_tables.HOSTS_PAUSE,
                self._hosts,
                parts=host_rows.parts(),
            ),
        ]
        mirrors = followed_tables.mirrors(
            followed,
            deployment=self._deployment,
            store=platform.store,
            is_store_reachable=platform.is_store_reachable,
            peers=self._ready_peers,
            anyone=self._hosts.control_addresses,
            ask=self._ask_table,
            on_change=self._readiness.wrap,
            now=self._now,
        )
        config_mirror, endpoints_mirror, hosts_mirror = mirrors.values()
        self._configuration.set_read_at(lambda: config_mirror.read_at)
        self._endpoints.table.set_store_returned_at(
            lambda: endpoints_mirror.store_returned_at
        )
        self._hosts.set_read_at(lambda: hosts_mirror.read_at)
        hosts_mirror.add_listener(self._own_row.apply_changes)
        hosts_mirror.add_listener(self._recent_hosts.apply_changes)
        config_mirror.add_listener(self._evacuations.apply_changes)
        return mirrors

    def _make_chain(self) -> abc.Callable[..., abc.Awaitable[outcomes.Outcome]]:
        return exchange.chain(
            [
                observe.observe(
                    now=self._now, config_read_at=lambda: self._configuration.read_at
                ),
                filters.admit(
                    config=lambda: self._configuration.current,
                    ready=self._readiness.check,
                ),
                filters.route(),
                filters.check_closing(closing=self._stopping.closing),
                filters.authenticate(),
                allowed_regions.restrict(has_endpoint=self._endpoints.has_endpoint),
                filters.check_quarantine(find=self._crashes.find),
                filters.take_up(origins=self._origins),
                filters.reserve(budgets=self._budgets.accounts),
                filters.send(dispatcher=self._dispatcher),
            ]
        )
