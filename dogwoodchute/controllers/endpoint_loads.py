"""Polls load reports and cache events of endpoints, and shares them between hosts.

So that the cost stays low with many hosts, one host of the region, the reporter, polls
each shard of endpoints, and the other hosts ask it for what changed. If the reporter
does not answer, a host asks the next one in rank, and polls the endpoints itself when
it is the next.
"""

import asyncio
import json
import typing
from collections import abc

import aiohttp
import prometheus_client
import xxhash

from dogwoodchute import (
    bounded_read,
    catalog,
    controller,
    log,
    peers,
    pooled_connection,
    state,
)
from dogwoodchute.controllers import endpoints as endpoint_state
from dogwoodchute.coordination import limits, polling

CALL = "endpoint_loads"  # kind of the peer call
CALL_TIMEOUT = 0.5  # seconds
POLL_TIMEOUT = 0.8  # seconds
ASKED_LIFETIME = 10.0  # seconds that a reporter goes on polling after the last call
FAR_INTERVAL = 5.0  # seconds between polls of another region's endpoints
FAR_POLL_TIME = 30.0  # seconds after a request waited that other regions are polled
SUSPECT_TIME = 10.0  # seconds that a reporter which did not answer is skipped
UNSUPPORTED_INTERVAL = 10.0  # seconds between polls of an endpoint without reports
CHANGE_SHARE = 0.05  # of the capacity, by which a load must change to be reported
EVENT_RATE = 1000.0  # bytes a second of cache events that a host fetches

POLLS = prometheus_client.Counter(
    "dogwoodchute_endpoint_polls_total", "Load reports asked for.", ["result"]
)

Fetch = abc.Callable[[str, str], abc.Awaitable["Fetched"]]  # address, path


class Fetched(typing.NamedTuple):
    """What an endpoint answered; status 0 if it could not be reached."""

    status: int
    body: dict
    size: int  # bytes of the body


class _SharedLoad(typing.NamedTuple):
    load: limits.Load  # as last reported to peers; `at` is when it was last confirmed
    changed: int  # number of the round in which it last changed


class LoadPoller:
    """Polls and shares load reports; tests replace `fetch`."""

    def __init__(
        self,
        *,
        host: state.HostState,
        endpoints: endpoint_state.Endpoints,
        fetch: Fetch | None = None,
    ) -> None:
        self._host = host
        self._endpoints = endpoints
        self._fetch = fetch or self._fetch_http
        self._session = pooled_connection.LazySession(
            timeout=aiohttp.ClientTimeout(total=POLL_TIMEOUT),
            skip_auto_headers=("User-Agent", "Accept-Encoding"),
        )
        self._catalog = catalog.EMPTY
        self._engines: list[catalog.Endpoint] = []
        self._shards: dict[str, polling.Shard] = {}
        self._shared_loads: dict[str, _SharedLoad] = {}
        self._unreachable: set[str] = set()  # names, as of the last poll
        self._epoch = host.rng.getrandbits(32)  # tells restarts apart
        self._round = 0
        self._asked_at: dict[str, float] = {}
        # By shard and reporter: the epoch and the round since which changes are asked
        # for next.
        self._last_rounds: dict[tuple[str, str], tuple[int, int]] = {}
        self._suspect_since: dict[str, float] = {}
        self._far_polled_at: dict[str, float] = {}
        self._unsupported_until: dict[str, float] = {}
        self._next_events_at = 0.0
        self._events_index = 0
        host.peers.handle(CALL, self._handle_call)

    def controller(self) -> controller.Controller:
        """Return the controller that polls once an interval."""
        interval = self._host.config.endpoints.poll_interval
        periodic = controller.periodic("endpoint_loads", self.step, interval=interval)

        async def stop() -> None:
            await periodic.stop()
            await self._session.close()

        return periodic._replace(stop=stop)

    async def step(self) -> None:
        """Update the loads of all endpoints that this host needs to know."""
        self._refresh()
        self._round += 1
        now = self._host.now()
        polls = []
        for shard in self._shards.values():
            reporter = self._reporter(shard, now)
            asked = (
                now - self._asked_at.get(shard.name, -ASKED_LIFETIME) < ASKED_LIFETIME
            )
            if not asked and not self._is_due(shard, now):
                continue
            if asked or reporter == self._host.config.host.id:
                polls.extend(self._poll(name) for name in shard.endpoints)
                continue
            polls.append(self._call_reporter(shard, reporter))
        polls.append(self._fetch_events())
        await asyncio.gather(*polls)

    def _refresh(self) -> None:
        newest = self._host.current
        if newest is self._catalog:
            return
        self._catalog = newest
        # Only engines serve load reports. A plain service could execute a poll as a
        # request of its own.
        self._engines = [
            endpoint
            for endpoint in newest.endpoints.values()
            if newest.services[endpoint.service].kind == catalog.CHAT
        ]
        groups: dict[tuple[str, str], list[str]] = {}
        for endpoint in self._engines:
            group = groups.setdefault((endpoint.service, endpoint.region), [])
            group.append(endpoint.name)
        self._shards = {}
        for (service, region), names in groups.items():
            for shard in polling.shards(service, region, names):
                self._shards[shard.name] = shard
        self._shared_loads = {
            n: s for n, s in self._shared_loads.items() if n in newest.endpoints
        }
        self._unreachable &= set(newest.endpoints)
        self._last_rounds.clear()

    def _is_due(self, shard: polling.Shard, now: float) -> bool:
        """Return whether a shard's loads are due to be updated.

        A shard of another region that is due counts as polled now.
        """
        region = self._host.config.host.region
        if shard.region == region:
            return True
        service = shard.name.split("/")[0]
        admission = self._endpoints.admissions[service]
        near = any(
            endpoint.region == region for endpoint in admission.endpoints.values()
        )
        if near and now - admission.last_queued_at > FAR_POLL_TIME:
            return False
        if now - self._far_polled_at.get(shard.name, -FAR_INTERVAL) < FAR_INTERVAL:
            return False
        self._far_polled_at[shard.name] = now
        return True

    def _reporter(self, shard: polling.Shard, now: float) -> str:
        place = self._host.config.host
        regions = {place.id: place.region}
        for peer in self._host.peers.known():
            suspect = (
                now - self._suspect_since.get(peer.host, -SUSPECT_TIME) < SUSPECT_TIME
            )
            if peer.alive and not peer.leaving and not suspect:
                regions[peer.host] = peer.region
        near = [host for host, region in regions.items() if region == shard.region]
        return polling.rank(shard.name, near or list(regions))[0]

    async def _poll(self, name: str) -> None:
        now = self._host.now()
        if now < self._unsupported_until.get(name, now):
            return
        endpoint = self._catalog.endpoints[name]
        fetched = await self._fetch(endpoint.address, "/load")
        load = _parse_load(fetched, self._host.now())
        if load is not None:
            POLLS.labels("ok").inc()
            self._endpoints.record_poll(name, reached=True)
            self._unreachable.discard(name)
            self._store_load(name, load)
            return
        if fetched.status == 0:
            POLLS.labels("unreachable").inc()
            self._endpoints.record_poll(name, reached=False)
            self._shared_loads.pop(name, None)
            self._unreachable.add(name)
            return
        POLLS.labels("unsupported").inc()
        self._unsupported_until[name] = now + UNSUPPORTED_INTERVAL

    def _store_load(self, name: str, load: limits.Load) -> None:
        shared = self._shared_loads.get(name)
        if shared is None or _has_changed(load, shared.load):
            self._shared_loads[name] = _SharedLoad(load, self._round)
        else:
            self._shared_loads[name] = shared._replace(
                load=shared.load._replace(at=load.at)
            )
        self._endpoints.update_load(name, load)

    async def _handle_call(self, sender: str, body: dict) -> dict:
        """Answer a peer with the loads of a shard that changed since its last call.

        `set` is a hash of the endpoints' names, so that both sides mean the same
        endpoint by a position. Each entry of `changed` is position, running, waiting,
        capacity, leaving. `lost` are the positions of endpoints that were not reached,
        `missing` those of which nothing is known; the load of all others is about the
        same as before.
        """
        now = self._host.now()
        self._refresh()
        shard = self._shards.get(body["shard"])
        if shard is None:
            return {"set": 0}
        self._asked_at[shard.name] = now
        since = body["since"] if body["epoch"] == self._epoch else -1
        changed = []
        lost = []
        missing = []
        oldest_age = 0.0
        for position, name in enumerate(shard.endpoints):
            if name in self._unreachable:
                lost.append(position)
            shared = self._shared_loads.get(name)
            if shared is None or now - shared.load.at > limits.REPORT_LIFETIME:
                missing.append(position)
                continue
            oldest_age = max(oldest_age, now - shared.load.at)
            if shared.changed > since:
                changed.append([position, *shared.load[:3], int(shared.load.leaving)])
        return {
            "set": _names_hash(shard),
            "epoch": self._epoch,
            "round": self._round,
            "age": int(oldest_age * 1000),
            "changed": changed,
            "lost": lost,
            "missing": missing,
        }

    async def _call_reporter(self, shard: polling.Shard, reporter: str) -> None:
        epoch, since = self._last_rounds.get((shard.name, reporter), (0, -1))
        body = {"shard": shard.name, "epoch": epoch, "since": since}
        answer = await self._host.peers.call(reporter, CALL, body, CALL_TIMEOUT)
        if not isinstance(answer, peers.Answer):
            self._suspect_since[reporter] = self._host.now()
            return
        reply = answer.body
        if reply["set"] != _names_hash(shard):
            return
        # More loads may arrive in the reporter's round in progress, so the next call
        # asks for the changes of that round again.
        self._last_rounds[shard.name, reporter] = reply["epoch"], reply["round"] - 1
        at = self._host.now() - reply["age"] / 1000
        changed = {entry[0]: entry for entry in reply["changed"]}
        for position in reply["lost"]:
            self._endpoints.record_poll(shard.endpoints[position], reached=False)
        for position, name in enumerate(shard.endpoints):
            if position in reply["missing"]:
                continue
            if position in changed:
                _, running, waiting, capacity, leaving = changed[position]
                load = limits.Load(running, waiting, capacity, bool(leaving), at)
                self._store_load(name, load)
                continue
            shared = self._shared_loads.get(name)
            if shared is None:
                self._last_rounds.pop((shard.name, reporter), None)
                continue
            self._store_load(name, shared.load._replace(at=at))

    async def _fetch_events(self) -> None:
        """Fetch the cache events of the next endpoint, at most `EVENT_RATE` overall."""
        now = self._host.now()
        region = self._host.config.host.region
        names = [engine.name for engine in self._engines if engine.region == region]
        names = [n for n in sorted(names) if n not in self._unsupported_until]
        if now < self._next_events_at or not names:
            return
        self._events_index += 1
        name = names[self._events_index % len(names)]
        index = self._endpoints.index
        after = index.last_event_number(name)
        address = self._catalog.endpoints[name].address
        fetched = await self._fetch(address, f"/cache-events?after={after}")
        self._next_events_at = now + fetched.size / EVENT_RATE
        if fetched.status != 200 or name not in self._catalog.endpoints:
            return
        try:
            for event in fetched.body["events"]:
                stored, blocks = event["kind"] == "stored", [int(event["block"], 16)]
                index.apply(
                    name,
                    event["sequence"],
                    add=blocks if stored else (),
                    remove=() if stored else blocks,
                )
        except (KeyError, TypeError, ValueError) as error:
            log.warning("cache_events_unreadable", endpoint=name, reason=repr(error))

    async def _fetch_http(self, address: str, path: str) -> Fetched:
        use = pooled_connection.track_use()
        try:
            async with self._session.get().get(f"http://{address}{path}") as response:
                limit = bounded_read.MAX_REPORT
                content = await bounded_read.read(response, limit=limit)
                body = json.loads(content) if response.status == 200 else {}
        except TimeoutError:
            self._session.doubt(address, "no report", use=use)
            return Fetched(0, {}, 0)
        except (aiohttp.ClientError, OSError, ValueError):
            return Fetched(0, {}, 0)
        return Fetched(response.status, body, len(content))


def _parse_load(fetched: Fetched, now: float) -> limits.Load | None:
    body = fetched.body
    try:
        return limits.Load(
            running=int(body["running"]),
            waiting=int(body["waiting"]),
            capacity=int(body["slots"]),
            leaving=bool(body["leaving"]),
            at=now,
        )
    except (KeyError, TypeError, ValueError):
        return None


def _has_changed(load: limits.Load, reported: limits.Load) -> bool:
    """Return whether a load differs enough from the one last reported to peers."""
    # The fields 2 and 3 are capacity and leaving.
    if load[2:4] != reported[2:4] or bool(load.waiting) != bool(reported.waiting):
        return True
    change = abs(load.running + load.waiting - reported.running - reported.waiting)
    return change >= max(1.0, CHANGE_SHARE * load.capacity)


def _names_hash(shard: polling.Shard) -> int:
    return xxhash.xxh32_intdigest(",".join(shard.endpoints).encode())
