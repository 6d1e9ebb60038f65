"""The environment of the measured host: store, other hosts, endpoints and callers.

`bench.host` starts it as a separate process. Each line of its standard input is a rate
of requests a second and the address to send them to.
"""

import asyncio
import contextlib
import itertools
import json
import random
import socket
import sys

import aiohttp
import uvloop

from dogwoodchute import clock, server
from dogwoodchute.coordination import load_groups, watch_ring
from dogwoodchute.gateway import gossip, host_rows, liveness, rows
from dogwoodchute.gateway.following import followed_tables, mirror, table_source, tables
from dogwoodchute.platform import names
from dogwoodchute.standins import attempt_endpoint, row_store

DATA_CENTRES = 6
REGIONS = 2
ACCOUNTS = 24
ROUTES = 45
ENDPOINTS = 36
ENDPOINT_HEARTBEAT = 1.2  # seconds
PREPAID = 10**9  # tokens of each account, more than a run can use
ENDPOINTS_IN_USE = 6  # endpoints at which each other host has requests
SEARCH_INTERVAL = 0.2  # seconds between looks for the measured host's row
EVENTS = 10  # number of events of each answer
LIMITS = {"body_bytes": 1 << 20, "header_bytes": 16384, "idle_timeout": 60.0}
SITE = "site.example"
PROMPT = {
    names.TOKEN_COUNT: "1000,40",
    names.PROMPT_PREFIX: "aa:800,bb:200",
}


class World:
    """The store, and the other hosts and endpoints, for a fleet of `count` hosts."""

    def __init__(
        self, *, count: int, gossip_address: str, heartbeats_address: str
    ) -> None:
        self._count = count
        self._gossip_address = _socket_address(gossip_address)
        self._heartbeats_address = _socket_address(heartbeats_address)
        self._store = row_store.RowStore(now=clock.monotonic)
        self._addresses: list[str] = []
        self._control = ""  # address of all other hosts for the measured one
        self._tasks: list[asyncio.Task] = []
        self._measured_host: str | None = None  # incarnation id of the measured host
        self._watched: tuple[str, ...] = ()  # names of hosts that it watches
        self._plans: dict[int, load_groups.Plan] = {}  # by number of the other host

    async def start(self) -> int:
        """Start endpoints, store and periodic writes; return the store's port."""
        self._put(names.CONFIG_TABLE, names.CONFIG_KEY, _config())
        for number in range(ENDPOINTS):
            listener = server.Server(name=f"endpoint-{number}", **LIMITS)
            endpoint = attempt_endpoint.Endpoint(id=f"e{number}", events=EVENTS)
            endpoint.add_routes(listener.app)
            await listener.start("127.0.0.1", 0)
            self._addresses.append(f"127.0.0.1:{listener.port}")
        listener = server.Server(name="store", **LIMITS)
        row_store.add_routes(listener.app, self._store)
        await listener.start("127.0.0.1", 0)
        await self._start_sources()
        self._start_task(_repeat(SEARCH_INTERVAL, self._find_measured_host))
        for number in range(ENDPOINTS):
            self._start_task(_repeat(ENDPOINT_HEARTBEAT, self._write_endpoint, number))
        grouped = load_groups.group_count(self._count) > 1
        interval = gossip.GROUPS_INTERVAL if grouped else gossip.INTERVAL
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for number in range(self._count - 1):
            self._write_host(number)
            self._start_task(_repeat(interval, self._send_load, datagrams, number))
            self._start_task(
                _repeat(liveness.INTERVAL, self._send_heartbeat, datagrams, number)
            )
        return listener.port

    async def _start_sources(self) -> None:
        """Follow the store's tables, and pass them on as the other hosts would."""
        store = row_store.in_process_client(self._store)
        parts = {host_rows.TABLE: host_rows.parts()}
        mirrors = {}
        for table in (names.CONFIG_TABLE, names.ENDPOINTS_TABLE, host_rows.TABLE):
            followed = mirror.Mirror(
                table=table,
                fetch=table_source.from_store(
                    store=store,
                    table=table,
                    parts=parts.get(table, [""]),
                    now=clock.monotonic,
                ),
                pause=followed_tables.ENDPOINTS_PAUSE,
                wait=0.0,
                on_change=lambda all_rows, changed: None,
                receiving=lambda: False,
                now=clock.monotonic,
            )
            mirrors[table] = followed
            self._start_task(followed.run())

        async def changes_since(
            table: str, since: int | None, hold: float
        ) -> mirror.TableUpdate | None:
            return await mirrors[table].changes_since(since, hold)

        listener = server.Server(name="sources", **LIMITS)
        tables.add_routes(listener.app, changes_since=changes_since)
        await listener.start("127.0.0.1", 0)
        self._control = f"127.0.0.1:{listener.port}"

    def _start_task(self, coroutine) -> None:
        self._tasks.append(asyncio.create_task(coroutine))

    def _put(self, table: str, key: str, value: dict) -> None:
        self._store.commit("", [], [rows.Put(table, key, json.dumps(value).encode())])

    def _write_host(self, number: int) -> None:
        host = host_rows.Host(
            id=_id(number),
            name=_name(number),
            data_centre=f"z{number % DATA_CENTRES}",
            region=f"r{number % REGIONS}",
            callers=f"10.0.0.{number % 250}:8000",
            control=self._control,
            gossip=f"127.0.0.1:{21_000 + number}",
            heartbeats=f"127.0.0.1:{22_000 + number}",
            state=host_rows.READY,
        )
        put = rows.Put(host_rows.TABLE, host.id, host_rows.encode(host))
        self._store.commit(host_rows.part_of(host.id), [], [put])

    def _send_heartbeat(
        self, sequence: int, datagrams: socket.socket, number: int
    ) -> None:
        """Send a host's heartbeat to the measured host, if that watches it."""
        if self._measured_host is None:
            return
        if not self._watched:
            others = [_name(n) for n in range(self._count - 1)]
            name = self._measured_host.rpartition("-")[0]
            self._watched = watch_ring.neighbours(name, others).watched
        if _name(number) in self._watched:
            data = liveness.encode(_id(number))
            datagrams.sendto(data, self._heartbeats_address)

    def _write_endpoint(self, sequence: int, number: int) -> None:
        endpoint = {
            "service": "engines",
            "address": self._addresses[number],
            "zone": f"z{number % DATA_CENTRES}",
            "state": "ready",
            "slots": 64,
            "sequence": sequence,
        }
        self._put(names.ENDPOINTS_TABLE, f"e{number}", endpoint)

    def _send_load(self, sequence: int, datagrams: socket.socket, number: int) -> None:
        """Send a host's load report to the measured host, if it is due one."""
        plan = self._plan(number)
        if plan is None:
            return
        in_group, is_outside = (
            self._measured_host in plan.group_peers,
            self._measured_host in plan.outside_peers,
        )
        endpoint_ids = [f"e{(number + n) % ENDPOINTS}" for n in range(ENDPOINTS_IN_USE)]
        load = dict.fromkeys(endpoint_ids, (1, 50))
        if in_group:
            data = gossip.encode(
                gossip.LoadReport(_id(number), sequence, 0, 0, 1, 0.0, load)
            )
        elif is_outside:
            # Such a report sums the requests of all hosts of the group.
            members = 1 + len(plan.group_peers)
            load = {
                f"e{n}": (members * ENDPOINTS_IN_USE // ENDPOINTS, 50)
                for n in range(ENDPOINTS)
            }
            report = gossip.LoadReport(
                sender=_id(number),
                sequence=sequence,
                group_count=plan.groups,
                group=plan.group,
                host_count=members,
                age=gossip.GROUPS_INTERVAL / 2,
                load=load,
            )
            data = gossip.encode(report)
        else:
            return
        datagrams.sendto(data, self._gossip_address)

    def _find_measured_host(self, sequence: int) -> None:
        """Learn the measured host's incarnation from its row."""
        if self._measured_host is not None:
            return
        other_ids = {_id(each) for each in range(self._count)}
        for part in host_rows.parts():
            for row in self._store.read(host_rows.TABLE, part, None, None).rows:
                if row.key not in other_ids:
                    self._measured_host = row.key

    def _plan(self, number: int) -> load_groups.Plan | None:
        """Return whom a host reports to, None until the measured host has a row."""
        if self._measured_host is None:
            return None
        if number not in self._plans:
            others = [_id(n) for n in range(self._count - 1) if n != number]
            self._plans[number] = load_groups.plan(
                _id(number), [*others, self._measured_host]
            )
        return self._plans[number]


class Callers:
    """Sends requests to a host, with the API keys of all accounts in turn."""

    def __init__(self, *, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._numbers = itertools.count()
        self._requests: set[asyncio.Task] = set()

    async def run(self, rate: float, address: str) -> None:
        """Send `rate` requests a second until cancelled."""
        while True:
            await asyncio.sleep(random.expovariate(rate))
            task = asyncio.create_task(self._send(address, next(self._numbers)))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _send(self, address: str, number: int) -> None:
        headers = {
            "Host": SITE,
            names.ATTEMPT_ID: f"a{number}",
            names.DEADLINE_MS: "2500",
            names.API_KEY: f"key-{number % ACCOUNTS}",
            **PROMPT,
        }
        url = f"http://{address}/p{number % ROUTES}/stream"
        async with self._session.post(url, headers=headers) as answer:
            await answer.read()
        if answer.status != 200:
            raise RuntimeError(f"answered {answer.status}")


def _name(number: int) -> str:
    return f"host-{number:03d}"


def _id(number: int) -> str:
    return f"{_name(number)}-a"


def _socket_address(address: str) -> tuple[str, int]:
    ip, _, port = address.rpartition(":")
    return ip, int(port)


def _config() -> dict:
    routes = [
        {
            "name": f"route-{number}",
            "hostname": SITE,
            "prefix": f"/p{number}/",
            "kind": "streaming",
            "timeoutMs": 8000,
            "targetLatencyMs": 800,
            "service": "engines",
            "maxAttempts": 2,
            "resumable": True,
        }
        for number in range(ROUTES)
    ]
    engine = {"slots": 64, "kvCapacity": 400_000, "stride": 4}
    accounts = [
        {"name": f"account-{n}", "apiKeys": [f"key-{n}"], "prepaid": PREPAID}
        for n in range(ACCOUNTS)
    ]
    return {
        "version": 1,
        "routes": routes,
        "services": [{"name": "engines", "engine": engine}],
        "tenants": accounts,
        "limits": {},
    }


async def _repeat(interval: float, action, *arguments) -> None:
    await asyncio.sleep(random.uniform(0.0, interval / 10))
    for sequence in itertools.count(1):
        action(sequence, *arguments)
        await asyncio.sleep(interval * random.uniform(0.9, 1.1))


async def _main(count: int, gossip_address: str, heartbeats_address: str) -> None:
    world = World(
        count=count,
        gossip_address=gossip_address,
        heartbeats_address=heartbeats_address,
    )
    print(await world.start(), flush=True)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    async with aiohttp.ClientSession() as session:
        callers = Callers(session=session)
        sending: asyncio.Task | None = None
        while line := (await reader.readline()).decode():
            if sending is not None:
                sending.cancel()
            rate, address = line.split()
            if float(rate) > 0:
                sending = asyncio.create_task(callers.run(float(rate), address))


if __name__ == "__main__":
    with contextlib.suppress(KeyboardInterrupt):
        uvloop.run(_main(int(sys.argv[1]), sys.argv[2], sys.argv[3]))
