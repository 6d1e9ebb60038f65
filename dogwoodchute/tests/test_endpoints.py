"""Load reports that hosts share, and endpoints that leave."""

import aiohttp

from dogwoodchute import (
    catalog,
    exchange as exchanges,
    operators_endpoints,
)
from dogwoodchute.controllers import endpoint_loads, endpoints
from dogwoodchute.platform import hostlist
from dogwoodchute.standins import engine, site
from dogwoodchute.tests import endpoint_fleet, support

LEAVING_SECONDS = 3.0


class LoadReportsTest(support.TestCase):
    def test_each_endpoint_is_asked_by_one_host(self):
        async def scenario():
            fleet = endpoint_fleet.Fleet(hosts=4)
            await fleet.run(10.0)
            for name in fleet.loads:
                self.assertLessEqual(fleet.polls["/load", name], 11)
            fleet.loads["one"]["running"] = 3
            await fleet.run(3.0)
            for _, host_endpoints, _ in fleet.hosts.values():
                report = host_endpoints.admissions["llm"].limit("one").report
                self.assertEqual(3, report.running)
                self.assertLessEqual(fleet.time - report.at, 2.5)

        self.run_async(scenario())

    def test_another_host_takes_over_from_a_dead_reporter(self):
        async def scenario():
            fleet = endpoint_fleet.Fleet(hosts=4)
            await fleet.run(3.0)
            reporter = self.reporter(fleet)
            fleet.net.down.add(reporter)
            fleet.loads["two"]["running"] = 4
            await fleet.run(4.0)
            for name, (_, host_endpoints, _) in fleet.hosts.items():
                if name == reporter:
                    continue
                report = host_endpoints.admissions["llm"].limit("two").report
                self.assertEqual(4, report.running)

        self.run_async(scenario())

    def test_a_restarted_reporter_reports_all_changes(self):
        async def scenario():
            fleet = endpoint_fleet.Fleet(hosts=4)
            await fleet.run(12.0)
            reporter = self.reporter(fleet)
            host, host_endpoints, old = fleet.hosts[reporter]
            new = endpoint_loads.LoadPoller(
                host=host, endpoints=host_endpoints, fetch=old._fetch
            )
            fleet.hosts[reporter] = (host, host_endpoints, new)
            fleet.loads["one"]["running"] = 2
            for _ in range(3):
                await new.step()
            await fleet.run(4.0)
            for _, host_endpoints, _ in fleet.hosts.values():
                report = host_endpoints.admissions["llm"].limit("one").report
                self.assertEqual(2, report.running)

        self.run_async(scenario())

    def reporter(self, fleet):
        loads = fleet.hosts["host0"][2]
        return loads._reporter(next(iter(loads._shards.values())), fleet.time)

    def test_all_hosts_learn_of_an_unreachable_endpoint(self):
        async def scenario():
            fleet = endpoint_fleet.Fleet(hosts=4)
            await fleet.run(3.0)
            fleet.down.add("two")
            await fleet.run(5.0)
            for name, (_, host_endpoints, _) in fleet.hosts.items():
                ejector = host_endpoints.admissions["llm"].ejector
                self.assertEqual("failures", ejector.reason("two", fleet.time), name)
                self.assertNotIn("two", await fleet.targets(name))

        self.run_async(scenario())

    def test_plain_services_are_not_asked(self):
        async def scenario():
            fleet = endpoint_fleet.Fleet()
            host, _, _ = fleet.hosts["host0"]
            plain = endpoint_fleet.SERVICE._replace(kind=catalog.PLAIN)
            host.adopt(host.current._replace(revision=2, services={"llm": plain}))
            await fleet.run(3.0)
            self.assertEqual({}, fleet.polls)
            self.assertNotEqual(set(), await fleet.targets())

        self.run_async(scenario())

    def test_cache_events_reach_the_index(self):
        async def scenario():
            fleet = endpoint_fleet.Fleet()
            fleet.events = [
                {"sequence": 1, "kind": "stored", "block": "0a"},
                {"sequence": 2, "kind": "stored", "block": "0b"},
                {"sequence": 3, "kind": "stored", "block": "0c"},
                {"sequence": 4, "kind": "removed", "block": "0c"},
            ]
            await fleet.run(4.0)
            index = fleet.hosts["host0"][1].index
            self.assertEqual(2.0, index.match("one", (10, 11, 12)))

        self.run_async(scenario())


class LeavingEndpointTest(support.TestCase):
    def check_leaves(self, signal, hosts=4):
        async def scenario():
            fleet = endpoint_fleet.Fleet(hosts=hosts)
            await fleet.run(5.0)
            self.assertIn("two", await fleet.targets())
            in_flight = []
            _, host_endpoints, _ = fleet.hosts["host0"]
            for _ in range(3):
                in_flight.append(fleet.exchange())
                await host_endpoints.admit(in_flight[-1])
            signal(fleet)
            await fleet.run(LEAVING_SECONDS)
            for name in fleet.hosts:
                self.assertNotIn("two", await fleet.targets(name), name)
            for sent in in_flight:
                host_endpoints.finish(sent)
            self.assertEqual(0, host_endpoints.admissions["llm"].in_flight)
            return fleet

        return self.run_async(scenario())

    def list_all(self, fleet, revision, **leaving):
        """Give all hosts a host list that names the endpoints.

        `leaving` is by endpoint: True marks it as leaving, "gone" leaves it out.
        """
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
        def disappear(fleet):
            self.list_all(fleet, 1)
            for _, host_endpoints, _ in fleet.hosts.values():
                host_endpoints.tick()
            self.list_all(fleet, 2, two="gone")

        self.check_leaves(disappear)

    def test_withdrawn_by_a_release_note(self):
        def withdraw(fleet):
            for host, _, _ in fleet.hosts.values():
                host.adopt(endpoint_fleet.catalog_of(["one", "three"], revision=2))

        self.check_leaves(withdraw)

    def test_its_own_load_report(self):
        def announce(fleet):
            fleet.loads["two"]["leaving"] = True

        fleet = self.check_leaves(announce)
        self.list_all(fleet, 1)
        self.run_async(fleet.run(5.0))
        self.assertNotIn("two", self.run_async(fleet.targets()))

    def test_it_comes_back_when_its_own_signal_clears(self):
        async def scenario():
            fleet = endpoint_fleet.Fleet()
            fleet.loads["two"]["leaving"] = True
            await fleet.run(3.0)
            fleet.loads["two"]["leaving"] = False
            await fleet.run(10.0)
            self.assertIn("two", await fleet.targets())

        self.run_async(scenario())

    def test_operators_see_why(self):
        async def scenario():
            fleet = endpoint_fleet.Fleet()
            fleet.loads["two"]["leaving"] = True
            await fleet.run(3.0)
            host, host_endpoints, _ = fleet.hosts["host0"]
            listing = operators_endpoints.describe(host, host_endpoints)
            signals = {status["name"]: status["leaving"] for status in listing}
            self.assertEqual(["endpoint"], signals["two"])

        self.run_async(scenario())


class EngineTest(support.TestCase):
    def test_reports_and_cache_events_of_a_real_engine(self):
        async def scenario():
            model_engine = engine.Engine()
            server = site.Site(app=model_engine.app())
            await server.start()
            fleet = endpoint_fleet.Fleet(names=("one",))
            host, host_endpoints, _ = fleet.hosts["host0"]
            endpoint = host.current.endpoints["one"]._replace(address=server.address)
            newer = host.current._replace(revision=2, endpoints={"one": endpoint})
            host.adopt(newer)
            loads = endpoint_loads.LoadPoller(host=host, endpoints=host_endpoints)
            host_endpoints.tick()
            body = {"model": "llm", "max_tokens": 4}
            body["messages"] = [{"role": "user", "content": "a farm plan " * 30}]
            url = f"http://{server.address}{exchanges.CHAT_PATH}"
            async with aiohttp.ClientSession() as session:
                await (await session.post(url, json=body)).read()
            blocks = endpoints.prompt_blocks(body)
            self.assertEqual(0.0, host_endpoints.index.match("one", blocks))
            await loads.step()
            self.assertEqual(len(blocks), host_endpoints.index.match("one", blocks))
            report = host_endpoints.admissions["llm"].limit("one").report
            self.assertEqual((0, 0, 64, False), report[:4])
            model_engine.leaving = True
            await loads.step()
            self.assertTrue(host_endpoints.leaving.is_leaving("one"))
            await server.stop()
            await loads._session.close()

        self.run_async(scenario())
