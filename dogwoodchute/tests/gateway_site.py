"""A site of gateways (one as a rule), a store and some endpoints, on loopback."""

import contextlib
import json
import os
import pathlib
import random

import aiohttp

from dogwoodchute import clock, server
from dogwoodchute.gateway import host_rows, model, rows
from dogwoodchute.standins import attempt_endpoint, row_store
from dogwoodchute.tests import support
from dogwoodchute.tools import dogwoodgate

KEY = "key-of-ann"
REGIONS = {"z1": "r1"}  # by data centre; the hosts' own is the first one
BROKEN = (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError)
# What a host listens for.
LISTENERS = ("callers", "readiness", "control", "gossip", "heartbeats", "directory")
ANY_PORTS = dict.fromkeys(LISTENERS, "127.0.0.1:0")  # unknown to other hosts
FIRST_PORT = 8221
LIMITS = {"body_bytes": 1 << 20, "header_bytes": 16384, "idle_timeout": 30.0}
ENGINE = {"slots": 8, "kvCapacity": 100_000, "stride": 4}
ROUTES = [
    ("stream", "/s/", "streaming", "engines", {"resumable": True, "maxAttempts": 2}),
    ("once", "/o/", "streaming", "engines", {}),
    ("order", "/order/", "non_idempotent", "plain", {}),
    ("look", "/look/", "idempotent", "plain", {"maxAttempts": 2}),
    ("open", "/open/", "idempotent", "plain", {"public": True}),
]


def config(version=1, prepaid=100_000, keys=(KEY,), regions=(), **of_services):
    """Return a configuration as an operator writes it.

    `regions` are those that all routes allow; `of_services` is set on each service.
    """
    routes = []
    for name, prefix, kind, service, options in ROUTES:
        options = {"allowedRegions": list(regions), **options}
        match = {"name": name, "hostname": "site.example", "prefix": prefix}
        times = {"timeoutMs": 3000, "targetLatencyMs": 500}
        routes.append({**match, **times, "kind": kind, "service": service, **options})
    services = [
        {"name": "engines", "engine": ENGINE, **of_services},
        {"name": "plain", **of_services},
    ]
    accounts = [{"name": "ann", "apiKeys": list(keys), "prepaid": prepaid}]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "tenants": accounts,
        "limits": {},
    }


def own_loopback_ip():
    """Return a loopback address that tests in parallel don't use."""
    return f"127.{random.randint(1, 250)}.{random.randint(0, 250)}.{os.getpid() % 250}"


def own_addresses():
    """Return the addresses of a host on a loopback address of its own."""
    ip = own_loopback_ip()
    return {name: f"{ip}:{port}" for port, name in enumerate(LISTENERS, FIRST_PORT)}


class Site:
    """The parts of a site, and a caller's requests to it."""

    def __init__(self, *, faults=lambda kind: row_store.NO_FAULT, regions=REGIONS):
        self.store = row_store.RowStore(now=clock.monotonic)
        self.faults = faults
        self.regions = regions
        self.endpoints = {}
        self.addresses = {}
        self.host_process = None  # the first one
        self.host_processes = []
        self._host_addresses = {}  # for callers, by process
        self._is_host_stopped = False
        self._servers = []
        self._endpoint_listeners = {}
        self.session = None
        self.address = ""

    def put(self, table, key, value):
        data = None if value is None else json.dumps(value).encode()
        self.store.commit("", [], [rows.Put(table, key, data)])

    def take_hosts_away(self, seconds):
        """Let reads of the table of hosts fail for so many seconds."""
        read = self.store.read
        until = clock.monotonic() + seconds

        def read_others(table, *arguments):
            if table == host_rows.TABLE and clock.monotonic() < until:
                raise LookupError("the table of hosts is away")
            return read(table, *arguments)

        self.store.read = read_others

    async def listen(self, name):
        listener = server.Server(name=f"{name}-{id(self)}", **LIMITS)
        self._servers.append(listener)
        return listener

    async def add_endpoint(self, name, service, *, zone="z1", **options):
        endpoint = attempt_endpoint.Endpoint(id=name, **options)
        listener = await self.listen(name)
        endpoint.add_routes(listener.app)
        await listener.start("127.0.0.1", 0)
        self.endpoints[name] = endpoint
        self._endpoint_listeners[name] = listener
        self.addresses[name] = f"127.0.0.1:{listener.port}"
        self.register(name, service, listener.port, zone=zone)
        return endpoint

    def register(
        self, name, service, port, state="ready", *, process=None, zone="z1", **others
    ):
        """Write an endpoint's row.

        `process` is what runs there, with its start as `born` and the version of its
        `software`, as a rule the endpoint of this name; without one the row names none.
        """
        fields = {"service": service, "address": f"127.0.0.1:{port}", "zone": zone}
        process = process or self.endpoints.get(name)
        if process is not None:
            fields["born"] = process.born
            if process.software:
                fields["version"] = process.software
        fields |= {"slots": 8, "state": state, "sequence": 1, **others}
        self.put("servers", name, fields)

    async def end_endpoint(self, name):
        """End an endpoint's process, which closes its connections; leave its row."""
        await self._endpoint_listeners.pop(name).stop()

    async def start_store(self):
        """Start the store; return its address."""
        listener = await self.listen("store")
        row_store.add_routes(
            listener.app, self.store, faults=lambda kind: self.faults(kind)
        )
        await listener.start("127.0.0.1", 0)
        return f"127.0.0.1:{listener.port}"

    async def start(self, *, hosts=1, in_touch=False):
        """Start the store and so many hosts, which reach each other if `in_touch`."""
        store = await self.start_store()
        for number in range(1, hosts + 1):
            at = own_addresses() if in_touch else ANY_PORTS
            await self._start_host(f"h{number}", store, at)
        self.host_process = self.host_processes[0]
        self.address = self.address_of(self.host_process)
        self.session = aiohttp.ClientSession()
        for process in self.host_processes:
            await support.until(process.gateway.ready)

    def address_of(self, process):
        """Return where a host takes callers' requests."""
        return self._host_addresses[process]

    async def _start_host(self, name, store, at):
        deployment = model.Deployment(
            host=name,
            data_centre="z1",
            region="r1",
            regions=self.regions,
            **at,
            seeds=(),
            store=store,
            bounds=model.Bounds(grace=3.0),
        )
        process = dogwoodgate.Process(
            source=pathlib.Path("unused"), deployment=deployment, metrics_port=0
        )
        self.host_processes.append(process)
        await process.start()
        ip = at["callers"].rpartition(":")[0]
        self._host_addresses[process] = f"{ip}:{process.ports['callers']}"

    async def stop(self):
        await self.session.close()
        await self.stop_host()
        await self.stop_listeners()

    async def stop_host(self):
        """Stop the host as a SIGTERM does, unless it was stopped already."""
        if not self._is_host_stopped:
            self._is_host_stopped = True
            for process in self.host_processes:
                await process.stop()

    async def stop_listeners(self):
        """Stop the store and the endpoints."""
        for listener in self._servers:
            await listener.stop()

    async def ask(
        self, path, *, attempt="a1", method="POST", key=KEY, address=None, **headers
    ):
        """Send a request; return the status, headers and body of the answer.

        It goes to the first host unless `address` names another one.
        """
        request_headers = {
            "Host": "site.example",
            "X-Dogwoodchute-Attempt-Id": attempt,
            "X-Dogwoodchute-Deadline-Ms": "2500",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if key is not None:
            request_headers["X-Dogwoodchute-Credential"] = key
        url = f"http://{address or self.address}{path}"
        async with self.session.request(
            method, url, headers=request_headers
        ) as response:
            return response.status, response.headers, await response.read()


@contextlib.asynccontextmanager
async def running(*, hosts_away=0.0, **options):
    """Run a site with one engine and one plain endpoint.

    For the first `hosts_away` seconds the table of hosts can't be read.
    """
    site = Site(**options)
    if hosts_away:
        site.take_hosts_away(hosts_away)
    site.put("op", "config", config())
    await site.add_endpoint("e1", "engines")
    await site.add_endpoint("p1", "plain")
    await site.start()
    try:
        yield site
    finally:
        await site.stop()
