"""Endpoints on whole hosts: reports shared between hosts, leaving, moving on."""

import asyncio
import collections
import random

import aiohttp

from dogwoodchute import (
    catalog,
    exchange as exchanges,
    operators_endpoints,
    outcomes,
    peers,
    runtime,
    settings,
)
from dogwoodchute.controllers import endpoint_loads, endpoints
from dogwoodchute.coordination import admission
from dogwoodchute.filters import choose, limit
from dogwoodchute.platform import hostlist
from dogwoodchute.standins import engine, peers as standin_peers, site
from dogwoodchute.tests import support
from dogwoodchute.tools import demo

SETTINGS = demo.SETTINGS.format(caller_port=0, operator_port=0)
LEAVING_SECONDS = 3.0
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
    """Hosts on one clock and one set of fake engines."""

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
            member = peers.Peer(
                name, name, "dar", "dar-a", "", "", alive=True, leaving=False, hints={}
            )
            host = runtime.embedded_state(config, peer_layer=self.net.join(member))
            host.now = lambda: self.time
            host.rng = random.Random(number)
            host.adopt(catalog_of(names))
            own = endpoints.Endpoints(host=host)
            loads = endpoint_loads.Loads(host=host, endpoints=own, fetch=fetch)
            self.hosts[name] = (host, own, loads)

    async def run(self, seconds):
        """Let all live hosts act for a time, each at its own pace."""
        until = self.time + seconds
        while self.time < until - 1e-9:
            for name, (_, own, loads) in self.hosts.items():
                if name in self.net.down:
                    continue
                own.tick()
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
        new.first_token_due = self.time + 1.2
        return new

    async def targets(self, name="host0", draws=12):
        """Return the endpoints that new requests at a host are sent to."""
        _, own, _ = self.hosts[name]
        found = set()
        for _ in range(draws):
            sent = self.exchange()
            admitted = await own.admit(sent)
            if isinstance(admitted, catalog.Endpoint):
                found.add(admitted.name)
                own.finish(sent)
        return found


class LoadReportsTest(support.TestCase):
    def test_each_endpoint_is_asked_by_one_host(self):
        async def check():
            fleet = Fleet(hosts=4)
            await fleet.run(10.0)
            for name in fleet.loads:
                self.assertLessEqual(fleet.polls["/load", name], 11)
            fleet.loads["one"]["running"] = 3
            await fleet.run(3.0)
            for _, own, _ in fleet.hosts.values():
                report = own.admissions["llm"].limit("one").report
                self.assertEqual(3, report.running)
                self.assertLessEqual(fleet.time - report.at, 2.5)

        self.run_async(check())

    def test_another_host_takes_over_from_a_dead_reporter(self):
        async def check():
            fleet = Fleet(hosts=4)
            await fleet.run(3.0)
            reporter = self.reporter(fleet)
            fleet.net.down.add(reporter)
            fleet.loads["two"]["running"] = 4
            await fleet.run(4.0)
            for name, (_, own, _) in fleet.hosts.items():
                if name == reporter:
                    continue
                report = own.admissions["llm"].limit("two").report
                self.assertEqual(4, report.running)

        self.run_async(check())

    def test_a_restarted_reporter_tells_all_changes(self):
        async def check():
            fleet = Fleet(hosts=4)
            await fleet.run(12.0)
            reporter = self.reporter(fleet)
            host, own, old = fleet.hosts[reporter]
            new = endpoint_loads.Loads(host=host, endpoints=own, fetch=old._fetch)
            fleet.hosts[reporter] = (host, own, new)
            fleet.loads["one"]["running"] = 2
            for _ in range(3):
                await new.step()
            await fleet.run(4.0)
            for _, own, _ in fleet.hosts.values():
                report = own.admissions["llm"].limit("one").report
                self.assertEqual(2, report.running)

        self.run_async(check())

    def reporter(self, fleet):
        loads = fleet.hosts["host0"][2]
        return loads._reporter(next(iter(loads._shards.values())), fleet.time)

    def test_all_hosts_learn_of_an_unreachable_endpoint(self):
        async def check():
            fleet = Fleet(hosts=4)
            await fleet.run(3.0)
            fleet.down.add("two")
            await fleet.run(5.0)
            for name, (_, own, _) in fleet.hosts.items():
                ejector = own.admissions["llm"].ejector
                self.assertEqual("failures", ejector.reason("two", fleet.time), name)
                self.assertNotIn("two", await fleet.targets(name))

        self.run_async(check())

    def test_plain_services_are_not_asked(self):
        async def check():
            fleet = Fleet()
            host, _, _ = fleet.hosts["host0"]
            plain = SERVICE._replace(kind=catalog.PLAIN)
            host.adopt(host.current._replace(revision=2, services={"llm": plain}))
            await fleet.run(3.0)
            self.assertEqual({}, fleet.polls)
            self.assertNotEqual(set(), await fleet.targets())

        self.run_async(check())

    def test_cache_events_reach_the_index(self):
        async def check():
            fleet = Fleet()
            fleet.events = [
                {"sequence": 1, "kind": "stored", "block": "0a"},
                {"sequence": 2, "kind": "stored", "block": "0b"},
                {"sequence": 3, "kind": "stored", "block": "0c"},
                {"sequence": 4, "kind": "removed", "block": "0c"},
            ]
            await fleet.run(4.0)
            index = fleet.hosts["host0"][1].index
            self.assertEqual(2.0, index.match("one", (10, 11, 12)))

        self.run_async(check())


class LeavingEndpointTest(support.TestCase):
    def check_leaves(self, signal, hosts=4):
        async def check():
            fleet = Fleet(hosts=hosts)
            await fleet.run(5.0)
            self.assertIn("two", await fleet.targets())
            in_flight = []
            _, own, _ = fleet.hosts["host0"]
            for _ in range(3):
                in_flight.append(fleet.exchange())
                await own.admit(in_flight[-1])
            signal(fleet)
            await fleet.run(LEAVING_SECONDS)
            for name in fleet.hosts:
                self.assertNotIn("two", await fleet.targets(name), name)
            for sent in in_flight:
                own.finish(sent)
            self.assertEqual(0, own.admissions["llm"].in_flight)
            return fleet

        return self.run_async(check())

    def list_all(self, fleet, revision, **leaving):
        listed = hostlist.HostList(
            revision=revision,
            hosts={
                name: hostlist.ListedHost("", leaving.get(name, False))
                for name in fleet.loads
                if leaving.get(name) != "gone"
            },
        )
        for host, _, _ in fleet.hosts.values():
            host.host_list = listed

    def test_marked_in_the_host_list(self):
        self.check_leaves(lambda fleet: self.list_all(fleet, 1, two=True))

    def test_vanished_from_the_host_list(self):
        def vanish(fleet):
            self.list_all(fleet, 1)
            for _, own, _ in fleet.hosts.values():
                own.tick()
            self.list_all(fleet, 2, two="gone")

        self.check_leaves(vanish)

    def test_withdrawn_by_a_release_note(self):
        def withdraw(fleet):
            for host, _, _ in fleet.hosts.values():
                host.adopt(catalog_of(["one", "three"], revision=2))

        self.check_leaves(withdraw)

    def test_its_own_load_report(self):
        def announce(fleet):
            fleet.loads["two"]["leaving"] = True

        fleet = self.check_leaves(announce)
        self.list_all(fleet, 1)
        self.run_async(fleet.run(5.0))
        self.assertNotIn("two", self.run_async(fleet.targets()))

    def test_it_comes_back_when_its_own_signal_clears(self):
        async def check():
            fleet = Fleet()
            fleet.loads["two"]["leaving"] = True
            await fleet.run(3.0)
            fleet.loads["two"]["leaving"] = False
            await fleet.run(10.0)
            self.assertIn("two", await fleet.targets())

        self.run_async(check())

    def test_operators_see_why(self):
        async def check():
            fleet = Fleet()
            fleet.loads["two"]["leaving"] = True
            await fleet.run(3.0)
            host, own, _ = fleet.hosts["host0"]
            listing = operators_endpoints.describe(host, own)
            signals = {each["name"]: each["leaving"] for each in listing}
            self.assertEqual(["endpoint"], signals["two"])

        self.run_async(check())


class FiltersTest(support.TestCase):
    def run_chain(self, fleet, answers, **fields):
        """Pass one request through both filters; return its outcome and its path."""
        host, own, _ = fleet.hosts["host0"]
        path = []
        exchange = fleet.exchange(**fields)

        async def dispatch(current, proceed):
            path.append(current.endpoint.name)
            return answers.pop(0)(current)

        run = exchanges.chain(
            [
                limit.make(host=host, endpoints=own),
                choose.make(endpoints=own),
                dispatch,
            ]
        )
        outcome = self.run_async(run(exchange))
        self.assertEqual(0, own.admissions["llm"].in_flight)
        return outcome, path

    def refused(self, code, *, dispatched=False):
        def answer(exchange):
            exchange.dispatched = dispatched
            return outcomes.refuse(503, code, "", step="dispatch", retry_after=1)

        return answer

    def answered(self, exchange):
        return outcomes.Answered(status=200, tokens=1, endpoint="")

    def test_unreachable_endpoint_is_passed_over(self):
        answers = [self.refused(choose.UNREACHABLE), self.answered]
        outcome, path = self.run_chain(Fleet(), answers)
        self.assertIsInstance(outcome, outcomes.Answered)
        self.assertEqual(2, len(set(path)))

    def test_non_idempotent_call_does_not_move_once_sent(self):
        fleet = Fleet()
        exchange_of = fleet.exchange

        def marked(**fields):
            new = exchange_of(**fields)
            new.idempotent = False
            return new

        fleet.exchange = marked
        answers = [self.refused(choose.BUSY, dispatched=True), self.answered]
        outcome, path = self.run_chain(fleet, answers)
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertEqual(1, len(path))

    def test_retries_stay_within_the_budget(self):
        fleet = Fleet()
        tries = 0
        for _ in range(200):
            answers = [self.refused(choose.BUSY) for _ in range(3)]
            outcome, path = self.run_chain(fleet, answers)
            self.assertIsInstance(outcome, outcomes.NotRun)
            self.assertGreaterEqual(outcome.retry_after, 0.5)
            tries += len(path)
        self.assertLessEqual(tries - 200, 1 + 20)

    def test_endpoint_that_says_it_leaves_gets_nothing_more(self):
        fleet = Fleet()
        answers = [self.refused(choose.LEAVING), self.answered]
        _, path = self.run_chain(fleet, answers)
        self.assertNotIn(path[0], self.run_async(fleet.targets(draws=50)))

    def test_bad_timeout_is_refused_and_a_good_one_is_kept(self):
        for value in ("soon", "-1", "nan"):
            outcome, _ = self.run_chain(
                Fleet(), [], headers={limit.TIMEOUT_HEADER: value}
            )
            self.assertEqual(400, outcome.status)
        headers = {limit.TIMEOUT_HEADER: "0.5"}
        outcome, _ = self.run_chain(Fleet(), [self.answered], headers=headers)
        self.assertIsInstance(outcome, outcomes.Answered)

    def test_waiting_caller_who_leaves_frees_the_place(self):
        async def check():
            fleet = Fleet(names=("one",))
            _, own, _ = fleet.hosts["host0"]
            running = [fleet.exchange() for _ in range(8)]
            for sent in running:
                await own.admit(sent)
            left, stays = fleet.exchange(), fleet.exchange()
            waiting = [asyncio.create_task(own.admit(e)) for e in (left, stays)]
            await asyncio.sleep(0)
            self.assertEqual(2, own.admissions["llm"].queued)
            left.gone.set()
            self.assertIsNone(await waiting[0])
            own.finish(running[0])
            self.assertEqual("one", (await waiting[1]).name)
            fleet.time += 2.0
            late = asyncio.create_task(own.admit(fleet.exchange()))
            await asyncio.sleep(0)
            fleet.time += 2.0
            own.tick()
            self.assertIsInstance(await late, admission.Shed)

        self.run_async(check())

    def test_tick_between_admission_and_dispatch(self):
        async def check():
            fleet = Fleet(names=("one",))
            _, own, _ = fleet.hosts["host0"]
            running = [fleet.exchange() for _ in range(8)]
            for sent in running:
                await own.admit(sent)
            waiting = asyncio.create_task(own.admit(fleet.exchange()))
            await asyncio.sleep(0)
            own.finish(running[0])
            own.tick()
            self.assertEqual("one", (await waiting).name)

        self.run_async(check())


class EngineTest(support.TestCase):
    def test_reports_and_cache_events_of_a_real_engine(self):
        async def check():
            model_engine = engine.Engine()
            server = site.Site(app=model_engine.app())
            await server.start()
            fleet = Fleet(names=("one",))
            host, own, _ = fleet.hosts["host0"]
            endpoint = host.current.endpoints["one"]._replace(address=server.address)
            newer = host.current._replace(revision=2, endpoints={"one": endpoint})
            host.adopt(newer)
            loads = endpoint_loads.Loads(host=host, endpoints=own)
            own.tick()
            body = {"model": "llm", "max_tokens": 4}
            body["messages"] = [{"role": "user", "content": "a farm plan " * 30}]
            url = f"http://{server.address}{exchanges.CHAT_PATH}"
            async with aiohttp.ClientSession() as session:
                await (await session.post(url, json=body)).read()
            blocks = endpoints.prompt_blocks(body)
            self.assertEqual(0.0, own.index.match("one", blocks))
            await loads.step()
            self.assertEqual(len(blocks), own.index.match("one", blocks))
            report = own.admissions["llm"].limit("one").report
            self.assertEqual((0, 0, 64, False), report[:4])
            model_engine.leaving = True
            await loads.step()
            self.assertTrue(own.leaving.is_leaving("one"))
            await server.stop()
            await loads._session.close()

        self.run_async(check())
