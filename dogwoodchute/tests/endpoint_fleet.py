"""A fleet of hosts with one clock and one set of fake engines, for tests."""

import collections
import random

from dogwoodchute import (
    catalog,
    exchange as exchanges,
    peers,
    runtime,
    settings,
)
from dogwoodchute.controllers import endpoint_loads, endpoints
from dogwoodchute.standins import peers as standin_peers
from dogwoodchute.tools import demo

SETTINGS = demo.SETTINGS.format(caller_port=0, operator_port=0)
ACCOUNT = catalog.ClientAccount("growers", (), ("llm",))
SERVICE = catalog.Service("llm", catalog.CHAT)


def catalog_of(names, revision=1):
    found = {
        name: catalog.Endpoint(name, "llm", f"10.0.0.{n}:80", "dar", "dar-a")
        for n, name in enumerate(names)
    }
    accounts = {"growers": ACCOUNT}
    return catalog.Catalog(revision, accounts, {"llm": SERVICE}, found)


class Fleet:
    """Hosts on one clock with one set of fake engines.

    `hosts` maps a name to the host's state, its endpoints and its load poller.
    """

    def __init__(self, hosts=1, names=("one", "two", "three")):
        self.time = 0.0
        self.net = standin_peers.PeerNet()
        self.polls = collections.Counter()
        idle = {"running": 0, "waiting": 0, "slots": 4, "leaving": False}
        self.loads = {name: dict(idle) for name in names}
        self.events = []
        self.down = set()
        self.hosts = {}
        by_address = {e.address: n for n, e in catalog_of(names).endpoints.items()}

        async def fetch(address, path):
            name = by_address[address]
            self.polls[path.split("?")[0], name] += 1
            if name in self.down:
                return endpoint_loads.Fetched(0, {}, 0)
            body = self.loads[name]
            if path.startswith("/cache-events"):
                body = {"events": self.events}
            return endpoint_loads.Fetched(200, body, 100)

        for number in range(hosts):
            name = f"host{number}"
            config = settings.parse(SETTINGS.replace("demo-1", name), source="test")
            peer = peers.Peer(
                name, name, "dar", "dar-a", "", "", alive=True, leaving=False, hints={}
            )
            host = runtime.embedded_state(config, peer_layer=self.net.join(peer))
            host.now = lambda: self.time
            host.rng = random.Random(number)
            host.adopt(catalog_of(names))
            host_endpoints = endpoints.Endpoints(host=host)
            loads = endpoint_loads.LoadPoller(
                host=host, endpoints=host_endpoints, fetch=fetch
            )
            self.hosts[name] = (host, host_endpoints, loads)

    async def run(self, seconds):
        """Advance the clock, and let all live hosts poll once a second."""
        end = self.time + seconds
        while self.time < end - 1e-9:
            for name, (_, host_endpoints, loads) in self.hosts.items():
                if name in self.net.down:
                    continue
                host_endpoints.tick()
                if round(self.time * 10) % 10 == len(name) % 10:
                    await loads.step()
            self.time += 0.1

    def exchange(self, **fields):
        body = {"messages": [{"role": "user", "content": "hello"}]}
        request = exchanges.Request("POST", "", "", {}, b"x", None, None, None, None)
        request = request._replace(**fields)
        new = exchanges.Exchange(
            request=request, reply=None, received=self.time, request_key="key"
        )
        new.account, new.service, new.body = ACCOUNT, SERVICE, body
        new.deadline = self.time + 600.0
        new.first_token_deadline = self.time + 1.2
        return new

    async def targets(self, name="host0", draws=12):
        """Return the endpoints that admit new requests at a host."""
        _, host_endpoints, _ = self.hosts[name]
        found = set()
        for _ in range(draws):
            sent = self.exchange()
            admitted = await host_endpoints.admit(sent)
            if isinstance(admitted, catalog.Endpoint):
                found.add(admitted.name)
                host_endpoints.finish(sent)
        return found
