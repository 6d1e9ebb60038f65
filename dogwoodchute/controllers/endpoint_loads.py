"""Keeps load reports and cache events coming, at a cost that many hosts can bear.

Each shard of endpoints has one host of its region that asks them, and the other hosts
ask that one for what changed. A host whose reporter does not answer asks the next one,
and asks the endpoints itself when it is next.
"""

import asyncio
import typing
from collections import abc

import aiohttp
import prometheus_client
import xxhash

from dogwoodchute import catalog, controller, log, peers, state
from dogwoodchute.controllers import endpoints as endpoint_state
from dogwoodchute.coordination import limits, polling

CALL = "endpoint_loads"  # kind of the peer call
CALL_TIMEOUT = 0.5  # seconds
POLL_TIMEOUT = 0.8  # seconds
ASKED_LIFETIME = 10.0  # seconds that a reporter goes on after it was last asked
FAR_INTERVAL = 5.0  # seconds between looks at another region's endpoints
PRESSED_TIME = 30.0  # seconds after a wait for which other regions are looked at
SUSPECT_TIME = 10.0  # seconds that a silent reporter is passed over
UNSUPPORTED_INTERVAL = 10.0  # seconds between tries of an endpoint without reports
CHANGE_SHARE = 0.05  # of the capacity, by which a load must change to be told
EVENT_RATE = 1000.0  # bytes a second of cache events that a host takes

POLLS = prometheus_client.Counter(
    "dogwoodchute_endpoint_polls_total", "Load reports asked for.", ["result"]
)

Fetch = abc.Callable[[str, str], abc.Awaitable["Fetched"]]  # address, path


class Fetched(typing.NamedTuple):
    """What an endpoint answered; status 0 if it could not be reached."""

    status: int
    body: dict
    size: int  # bytes of the body


class _Seen(typing.NamedTuple):
    load: limits.Load  # as last told to peers; `at` is when it was last confirmed
    changed: int  # number of the round in which it last changed


class Loads:
    """Polls and shares load reports. `fetch` is replaced in tests."""

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
        self._session: aiohttp.ClientSession | None = None
        self._catalog = catalog.EMPTY
        self._engines: list[catalog.Endpoint] = []
        self._shards: dict[str, polling.Shard] = {}
        self._seen: dict[str, _Seen] = {}
        self._lost: set[str] = set()  # not reached when last asked
        self._epoch = host.rng.getrandbits(32)  # rounds of another start differ
        self._round = 0
        self._asked: dict[str, float] = {}
        # Epoch and round of the last answer, by shard and reporter.
        self._since: dict[tuple[str, str], tuple[int, int]] = {}
        self._suspect: dict[str, float] = {}
        self._far_at: dict[str, float] = {}
        self._unsupported: dict[str, float] = {}
        self._events_at = 0.0
        self._event_turn = 0
        host.peers.handle(CALL, self._answer)

    def controller(self) -> controller.Controller:
        """Return the controller that asks once an interval."""
        interval = self._host.config.endpoints.poll_interval
        periodic = controller.periodic("endpoint_loads", self.step, interval=interval)

        async def stop() -> None:
            await periodic.stop()
            if self._session is not None:
                await self._session.close()

        return periodic._replace(stop=stop)

    async def step(self) -> None:
        """Bring the loads of all endpoints of interest up to date."""
        self._refresh()
        self._round += 1
        now = self._host.now()
        wanted = []
        for shard in self._shards.values():
            reporter = self._reporter(shard, now)
            asked = now - self._asked.get(shard.name, -ASKED_LIFETIME) < ASKED_LIFETIME
            if not asked and not self._is_due(shard, now):
                continue
            if asked or reporter == self._host.config.host.id:
                wanted.extend(self._poll(name) for name in shard.endpoints)
                continue
            wanted.append(self._ask(shard, reporter))
        wanted.append(self._take_events())
        await asyncio.gather(*wanted)

    def _refresh(self) -> None:
        newest = self._host.current
        if newest is self._catalog:
            return
        self._catalog = newest
        # A plain service would run what only an engine knows as a question.
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
        self._seen = {n: s for n, s in self._seen.items() if n in newest.endpoints}
        self._lost &= set(newest.endpoints)
        self._since.clear()

    def _is_due(self, shard: polling.Shard, now: float) -> bool:
        region = self._host.config.host.region
        if shard.region == region:
            return True
        service = shard.name.split("/")[0]
        admission = self._endpoints.admissions[service]
        near = any(site.region == region for site in admission.sites.values())
        if near and now - admission.pressed_at > PRESSED_TIME:
            return False
        if now - self._far_at.get(shard.name, -FAR_INTERVAL) < FAR_INTERVAL:
            return False
        self._far_at[shard.name] = now
        return True

    def _reporter(self, shard: polling.Shard, now: float) -> str:
        place = self._host.config.host
        regions = {place.id: place.region}
        for peer in self._host.peers.known():
            suspect = now - self._suspect.get(peer.host, -SUSPECT_TIME) < SUSPECT_TIME
            if peer.alive and not peer.leaving and not suspect:
                regions[peer.host] = peer.region
        near = [host for host, region in regions.items() if region == shard.region]
        return polling.rank(shard.name, near or list(regions))[0]

    async def _poll(self, name: str) -> None:
        now = self._host.now()
        if now < self._unsupported.get(name, now):
            return
        endpoint = self._catalog.endpoints[name]
        fetched = await self._fetch(endpoint.address, "/load")
        load = _parse_load(fetched, self._host.now())
        if load is not None:
            POLLS.labels("ok").inc()
            self._endpoints.note_poll(name, reached=True)
            self._lost.discard(name)
            self._take(name, load)
            return
        if fetched.status == 0:
            POLLS.labels("unreachable").inc()
            self._endpoints.note_poll(name, reached=False)
            self._seen.pop(name, None)
            self._lost.add(name)
            return
        POLLS.labels("unsupported").inc()
        self._unsupported[name] = now + UNSUPPORTED_INTERVAL

    def _take(self, name: str, load: limits.Load) -> None:
        seen = self._seen.get(name)
        if seen is None or _differs(load, seen.load):
            self._seen[name] = _Seen(load, self._round)
        else:
            self._seen[name] = seen._replace(load=seen.load._replace(at=load.at))
        self._endpoints.take_load(name, load)

    async def _answer(self, sender: str, body: dict) -> dict:
        """Answer a peer with the loads of a shard that changed since its last call.

        Each entry is position, running, waiting, capacity, leaving. `lost` are the
        positions of endpoints not reached, `missing` those of which nothing is known;
        the load of all others is about the same as before.
        """
        now = self._host.now()
        self._refresh()
        shard = self._shards.get(body["shard"])
        if shard is None:
            return {"set": 0}
        self._asked[shard.name] = now
        since = body["since"] if body["epoch"] == self._epoch else -1
        changed = []
        lost = []
        missing = []
        oldest = 0.0
        for position, name in enumerate(shard.endpoints):
            if name in self._lost:
                lost.append(position)
            seen = self._seen.get(name)
            if seen is None or now - seen.load.at > limits.REPORT_LIFETIME:
                missing.append(position)
                continue
            oldest = max(oldest, now - seen.load.at)
            if seen.changed > since:
                changed.append([position, *seen.load[:3], int(seen.load.leaving)])
        return {
            "set": _set_of(shard),
            "epoch": self._epoch,
            "round": self._round,
            "age": int(oldest * 1000),
            "changed": changed,
            "lost": lost,
            "missing": missing,
        }

    async def _ask(self, shard: polling.Shard, reporter: str) -> None:
        epoch, since = self._since.get((shard.name, reporter), (0, -1))
        body = {"shard": shard.name, "epoch": epoch, "since": since}
        answer = await self._host.peers.call(reporter, CALL, body, CALL_TIMEOUT)
        if not isinstance(answer, peers.Answer):
            self._suspect[reporter] = self._host.now()
            return
        told = answer.body
        if told["set"] != _set_of(shard):
            return
        self._since[shard.name, reporter] = told["epoch"], told["round"] - 1
        at = self._host.now() - told["age"] / 1000
        changed = {entry[0]: entry for entry in told["changed"]}
        for position in told["lost"]:
            self._endpoints.note_poll(shard.endpoints[position], reached=False)
        for position, name in enumerate(shard.endpoints):
            if position in told["missing"]:
                continue
            if position in changed:
                _, running, waiting, capacity, leaving = changed[position]
                load = limits.Load(running, waiting, capacity, bool(leaving), at)
                self._take(name, load)
                continue
            seen = self._seen.get(name)
            if seen is None:
                self._since.pop((shard.name, reporter), None)
                continue
            self._take(name, seen.load._replace(at=at))

    async def _take_events(self) -> None:
        """Ask one endpoint for its cache events, within a rate of bytes."""
        now = self._host.now()
        region = self._host.config.host.region
        names = [engine.name for engine in self._engines if engine.region == region]
        names = [n for n in sorted(names) if n not in self._unsupported]
        if now < self._events_at or not names:
            return
        self._event_turn += 1
        name = names[self._event_turn % len(names)]
        index = self._endpoints.index
        after = index.last(name)
        address = self._catalog.endpoints[name].address
        fetched = await self._fetch(address, f"/cache-events?after={after}")
        self._events_at = now + fetched.size / EVENT_RATE
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
        if self._session is None:
            self._session = aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=POLL_TIMEOUT),
                skip_auto_headers=("User-Agent", "Accept-Encoding"),
            )
        try:
            async with self._session.get(f"http://{address}{path}") as response:
                content = await response.read()
                body = await response.json() if response.status == 200 else {}
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
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


def _differs(one: limits.Load, other: limits.Load) -> bool:
    """Return whether a load has changed by so much that peers should know."""
    if one[2:4] != other[2:4] or bool(one.waiting) != bool(other.waiting):
        return True
    change = abs(one.running + one.waiting - other.running - other.waiting)
    return change >= max(1.0, CHANGE_SHARE * one.capacity)


def _set_of(shard: polling.Shard) -> int:
    return xxhash.xxh32_intdigest(",".join(shard.endpoints).encode())
