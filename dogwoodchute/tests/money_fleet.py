"""Hosts with budgets, grants, bills and claims over one table, on virtual time."""

import asyncio
import collections
import random
import typing

from dogwoodchute import (
    catalog,
    exchange as exchanges,
    outcomes,
    peers,
    settings,
    state,
)
from dogwoodchute.controllers import (
    bills,
    budgets,
    claims,
    copies,
    grants,
    lookups,
    recall,
    reclaim,
    table_path,
)
from dogwoodchute.coordination import rows
from dogwoodchute.filters import bill, claim, deduplicate, reserve
from dogwoodchute.platform import hostlist, table
from dogwoodchute.standins import (
    hostlist as memory_hostlist,
    objects as memory_objects,
    peers as memory_peers,
    table as memory_table,
)
from dogwoodchute.tests import network_gate
from dogwoodchute.tools import demo

PLACES = {"h1": "dar-a", "h2": "dar-b", "h3": "arusha-a"}
ACCOUNTS = {"growers": 200, "nursery": 50}  # tokens paid at first
LIST_INTERVAL = 1.0  # seconds
SERVICE = catalog.Service("order-api", catalog.PLAIN)


class Run(typing.NamedTuple):
    """One request that reached the endpoint."""

    host: str
    account: str
    key: str
    fingerprint: str
    idempotent: bool
    tokens: int


class Attempt:
    """One attempt at a request, as its caller sees it."""

    def __init__(self, *, host, incarnation, exchange):
        self.host = host
        self.incarnation = incarnation
        self.exchange = exchange
        self.outcome = None  # None until the caller gets an answer
        self.bill_outcome = None
        self.answer = b""
        self.ran = False
        # The same request had reached the endpoint by the time of the outcome.
        self.ran_before = False

    @property
    def id(self):
        return self.exchange.account.name, self.exchange.request_key


class Host:
    """One incarnation of a host."""

    def __init__(self, *, fleet, name):
        self.fleet = fleet
        self.name = name
        self.gate = network_gate.NetworkGate()
        rng = random.Random(fleet.rng.getrandbits(64))
        text = demo.SETTINGS.format(caller_port=0, operator_port=0)
        text += "[budget]\nbill_interval = 0.25\n"
        text = text.replace("demo-1", name).replace("dar-a", fleet.places[name])
        inner = fleet.table.client(reachable=lambda: name not in fleet.store_cut)
        loop = fleet.loop
        self.state = state.HostState(
            config=settings.parse(text, source="test"),
            store=table.Table(*(self.gate.guard(operation) for operation in inner)),
            objects_store=fleet.objects.client(),
            hosts=fleet.list.client(),
            peer_layer=peers.without_peers(),
            now=loop.time,
            rng=rng,
        )
        self.state.peers = self._join_peers()
        table_path_controller = table_path.make(self.state)
        self.grants = grants.Grants(host=self.state)
        self.grants.replace_lost_grant = self._record_lost_grant
        self.bills = bills.Bills(host=self.state, grant_controller=self.grants)
        self.bills.wait = self._record_wait
        self.bill_outcomes = {}
        self.copies = copies.Copies(
            host=self.state, grant_controller=self.grants, bill_writer=self.bills
        )
        self.recall = recall.Recaller(host=self.state, grant_controller=self.grants)
        self.grants.recall = self.recall.recall
        self.reclaim = reclaim.Reclaimer(
            host=self.state,
            grant_controller=self.grants,
            bill_copies=self.copies,
            wall=lambda: loop.time() * fleet.wall_speed,
        )
        self.claims = claims.Claims(host=self.state)
        self.budgets = budgets.Budgets(host=self.state)
        self.runs = deduplicate.Runs(max_bytes=3_000)
        self.chain = exchanges.chain(
            [
                deduplicate.make(
                    runs=self.runs, bill_lookups=lookups.BillLookups(host=self.state)
                ),
                claim.make(host=self.state, claim_controller=self.claims),
                reserve.make(grant_controller=self.grants),
                bill.make(
                    host=self.state,
                    grant_controller=self.grants,
                    bill_writer=self.bills,
                ),
                self._dispatch,
            ]
        )
        self.controllers = [
            table_path_controller,
            self.grants.controller(),
            self.copies.controller(),
            self.bills.controller(),
            self.reclaim.controller(),
            self.recall.controller(),
        ]
        self.tasks = [asyncio.create_task(self._register())]
        self.tasks.append(asyncio.create_task(self._poll_host_list()))

    def _record_lost_grant(self, account, row):
        self.fleet.lost_grants.add(self.state.incarnation)
        grants.Grants.replace_lost_grant(self.grants, account, row)

    async def _record_wait(self, submitted):
        """Record how each bill was kept when its request went on."""
        bill_outcome = await bills.Bills.wait(self.bills, submitted)
        self.bill_outcomes[submitted.entry.account, submitted.entry.request_key] = (
            bill_outcome
        )
        return bill_outcome

    def _join_peers(self):
        data_centre = self.fleet.places[self.name]
        peer = peers.Peer(
            self.name, self.state.incarnation, "", data_centre, "", "", True, False, {}
        )
        layer = self.fleet.net.join(peer)

        async def call(host, kind, body, timeout):
            await self.gate.wait_until_open()
            try:
                async with asyncio.timeout(timeout):
                    outcome = await layer.call(host, kind, body, timeout)
            except TimeoutError:
                outcome = peers.NoAnswer(reason="timeout", peer=host)
            await self.gate.wait_until_open()
            return outcome

        def handle(kind, handler):
            layer.handle(kind, self.gate.guard(handler))

        return layer._replace(call=call, handle=handle)

    async def _register(self):
        key = rows.host(self.name)
        while True:
            found = await self.state.store.read([key])
            if isinstance(found, table.Rows):
                row = found.rows.get(key)
                check = table.Check(key, row.version if row is not None else 0)
                write = table.Write(key, {"incarnation": self.state.incarnation})
                commit_id = table.new_commit_id(self.state.rng)
                outcome = await self.state.store.commit(commit_id, [check], [write])
                if isinstance(outcome, table.Committed):
                    return
            await asyncio.sleep(1.0)

    async def _poll_host_list(self):
        while True:
            found = await self.state.hosts.fetch()
            await self.gate.wait_until_open()
            if isinstance(found, hostlist.HostList):
                self.state.host_list = found
            await asyncio.sleep(LIST_INTERVAL)

    async def start(self):
        for controller in self.controllers:
            await controller.start()

    async def _dispatch(self, exchange, proceed):
        attempt, mode, delay, tokens = self.fleet.requests[exchange]
        await self.gate.wait_until_open()
        if mode == "refuse":
            return outcomes.refuse(502, "endpoint_unreachable", "", step="dispatch")
        exchange.dispatched = True
        attempt.ran = True
        run = Run(
            self.name, *attempt.id, exchange.fingerprint, exchange.idempotent, tokens
        )
        self.fleet.runs.append(run)
        number = len(self.fleet.runs)
        await asyncio.sleep(delay)
        await self.gate.wait_until_open()
        exchange.used = tokens
        if mode == "cut":
            exchange.used = tokens // 2
            return outcomes.Unknown(
                status=502, code="endpoint_failed", message="", step="dispatch"
            )
        if mode == "raise":
            raise RuntimeError("fault of the router")
        exchange.deferred_body = [identity(exchange), b"|%d" % number, b"|end"]
        return outcomes.Answered(status=200, tokens=tokens, endpoint="e")


def identity(exchange):
    """Return the part of an answer that identifies its request."""
    parts = [exchange.account.name, exchange.request_key, exchange.request.body.hex()]
    return "|".join(parts).encode()


class Fleet:
    """The hosts, the platform, and all requests and answers."""

    def __init__(self, *, seed, loop, places=PLACES, accounts=ACCOUNTS):
        self.loop = loop
        self.places = places  # data centre of each host
        self.accounts = accounts  # tokens paid at first
        self.rng = random.Random(seed)
        self.table = memory_table.MemoryTable()
        self.objects = memory_objects.MemoryObjects()
        self.list = memory_hostlist.MemoryHostList()
        self.net = memory_peers.PeerNet()
        self.store_cut = set()  # hosts that can't reach the store
        self.wall_speed = 1.0
        self.hosts = {}
        self.killed = set()  # incarnations
        self.lost_grants = set()  # incarnations
        self.runs = []
        self.attempts = []
        self.requests = {}  # by exchange: attempt, mode, delay, tokens
        # By account: whether each top-up was acknowledged, by (id, tokens).
        self.top_ups = collections.defaultdict(dict)
        self.tasks = set()
        self.errors = []

    async def start(self):
        for account, paid in self.accounts.items():
            value = {"paid": paid, "drawn": 0}
            self.table.apply("start", [], [table.Write(rows.budget(account), value)])
        for name in self.places:
            self.list.set(name, "127.0.0.1")
            await self.boot(name)

    async def boot(self, name):
        """Start a new incarnation of a host whose last one was killed."""
        self.net.down.discard(name)
        self.hosts[name] = Host(fleet=self, name=name)
        await self.hosts[name].start()

    def kill(self, name):
        host = self.hosts[name]
        host.gate.dead = True
        self.net.down.add(name)
        self.killed.add(host.state.incarnation)
        for task in host.tasks:
            task.cancel()

    def pause(self, name):
        """Freeze a host's process: it neither sends nor answers until `resume`."""
        self.hosts[name].gate.pause()
        self.net.down.add(name)

    def resume(self, name):
        host = self.hosts[name]
        host.gate.resume()
        if not host.gate.dead:
            self.net.down.discard(name)

    async def restart(self, name):
        if not self.hosts[name].gate.dead:
            self.kill(name)
        await self.boot(name)

    def ask(
        self, name, *, account, key, body=b"b", idempotent=True, tokens=10,
        reserved=20, delay=0.0, mode="answer", first=False,
    ):  # fmt: skip
        """Send a request to a host; return its attempt.

        `mode` is how the run ends: the endpoint sends an "answer", can't be reached
        ("refuse") or breaks off after half of the tokens ("cut"), or the router fails
        ("raise").
        """
        host = self.hosts[name]
        headers = {exchanges.ATTEMPT_HEADER: "1"} if first else {}

        async def start(status, headers):
            raise AssertionError("nothing is streamed here")

        async def chunk(data):
            raise AssertionError("nothing is streamed here")

        exchange = exchanges.Exchange(
            request=exchanges.Request(
                "POST", "/", "", headers, body, None, SERVICE.name, key, idempotent
            ),
            reply=exchanges.Reply(start=start, chunk=chunk),
            received=host.state.now(),
            request_key=key,
        )
        exchange.deadline = exchange.received + 60.0
        exchange.account = catalog.ClientAccount(account, (), ())
        exchange.service = SERVICE
        exchange.idempotent = idempotent
        exchange.reserved = reserved
        attempt = Attempt(
            host=name, incarnation=host.state.incarnation, exchange=exchange
        )
        self.requests[exchange] = (attempt, mode, delay, tokens)
        self.attempts.append(attempt)
        self.keep(self._serve(host, attempt))
        return attempt

    def top_up(self, name, account, top_up_id, tokens):
        """Send a top-up to a host."""
        self.top_ups[account].setdefault((top_up_id, tokens), False)

        async def send():
            host = self.hosts[name]
            outcome = await host.budgets.top_up(account, top_up_id, tokens)
            await host.gate.wait_until_open()
            if isinstance(outcome, budgets.ToppedUp):
                self.top_ups[account][top_up_id, tokens] = True

        self.keep(send())

    async def _serve(self, host, attempt):
        outcome = await host.chain(attempt.exchange)
        await host.gate.wait_until_open()
        if attempt.ran:
            attempt.bill_outcome = host.bill_outcomes.pop(attempt.id, None)
        attempt.answer = b"".join(attempt.exchange.deferred_body)
        attempt.ran_before = any(
            (run.account, run.key, run.fingerprint)
            == (*attempt.id, attempt.exchange.fingerprint)
            for run in self.runs
        )
        attempt.outcome = outcome

    def heal(self):
        """End all faults, except that hosts stay dead and commits stay held back."""
        self.table.down = False
        self.table.delay = 0.0
        self.table.lose_answers = self.table.hold_commits = 0
        self.store_cut.clear()
        self.net.cut.clear()
        self.net.lose_calls = self.net.lose_answers = self.net.duplicate_calls = 0
        self.list.thaw()
        for host in self.hosts:
            self.resume(host)

    def keep(self, coroutine):
        """Run a coroutine as a task; its failure is an error of the fleet."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._record_failure)

    def _record_failure(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.errors.append(task.exception())
