"""Rows of the register, the host list, and registration without the store."""

from dogwoodchute import runtime
from dogwoodchute.controllers import hostlist as hostlist_controller, register
from dogwoodchute.coordination import rows, topology
from dogwoodchute.platform import connect
from dogwoodchute.standins import hostlist, table
from dogwoodchute.tests import support, support_fleet

KEY = rows.host("dar-1")


class RegisterTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.time = 0.0
        self.table = table.MemoryTable()
        self.listed = hostlist.MemoryHostList()

    def host(self, name="dar-1"):
        platform = connect.embedded(tables=self.table, hosts=self.listed)
        host = runtime.host_state(support_fleet.config_of(name), platform)
        host.now = lambda: self.time
        return host

    def write(self, host, registrar, **options):
        place = topology.Place(host.config.host.id, "dar", "dar-a")
        core = support_fleet.core_of(place, 0, host.incarnation)
        return self.run_async(registrar.write(core, **options))

    def test_a_newer_incarnation_replaces_an_older_for_good(self):
        old, new = self.host(), self.host()
        first, second = register.Register(host=old), register.Register(host=new)
        self.assertEqual(1, self.write(old, first).generation)
        self.assertEqual(1, self.write(old, first).generation)
        self.assertEqual(2, self.write(new, second).generation)
        superseded = register.Superseded(incarnation=new.incarnation)
        self.assertEqual(superseded, self.write(old, first))
        self.assertEqual(superseded, self.run_async(first.check()))
        self.assertEqual(new.incarnation, self.table.rows[KEY].value["incarnation"])

    def test_lost_answers_and_outages(self):
        host = self.host()
        registrar = register.Register(host=host)
        self.table.lose_answers = 1
        self.assertIsInstance(self.write(host, registrar), register.StoreUnreachable)
        self.assertEqual(1, self.write(host, registrar).generation)
        self.table.down = True
        self.assertIsInstance(self.write(host, registrar), register.StoreUnreachable)
        self.assertIsInstance(
            self.run_async(registrar.check()), register.StoreUnreachable
        )
        self.assertIsNone(self.run_async(registrar.scan(frozenset())))

    def test_generation_is_above_what_peers_have_seen(self):
        host = self.host()
        registrar = register.Register(host=host)
        self.assertEqual(7, self.write(host, registrar, at_least=7).generation)

    def test_rows_of_dead_hosts_expire_once_off_the_host_list(self):
        host, gone = self.host(), self.host("dar-2")
        registrar = register.Register(host=host)
        self.write(gone, register.Register(host=gone))
        self.listed.set("dar-2", "10.0.0.2")

        def scan(alive=()):
            self.write(host, registrar)
            self.run_async(hostlist_controller.poll(host))
            cores = self.run_async(registrar.scan(frozenset({"dar-1", *alive})))
            return {core.host for core in cores}

        self.assertEqual({"dar-1", "dar-2"}, scan())
        self.time += 700.0
        self.assertEqual({"dar-1", "dar-2"}, scan(alive=["dar-2"]))
        self.assertEqual({"dar-1"}, scan())
        self.assertIn(rows.host("dar-2"), self.table.rows)
        self.listed.remove("dar-2")
        self.assertEqual({"dar-1"}, scan())
        self.assertNotIn(rows.host("dar-2"), self.table.rows)


class HostListTest(support.TestCase):
    def test_an_older_list_never_replaces_a_newer_one(self):
        listed = hostlist.MemoryHostList()
        platform = connect.embedded(hosts=listed)
        host = runtime.host_state(support_fleet.config_of("dar-1"), platform)
        poll = hostlist_controller.poll
        listed.freeze()
        listed.set("dar-1", "10.0.0.1", leaving=True)
        old, listed.frozen = listed.frozen, None
        self.run_async(poll(host))
        self.assertTrue(host.leaving)
        listed.frozen = old
        self.run_async(poll(host))
        self.assertTrue(host.leaving)
        listed.down = True
        self.run_async(poll(host))
        self.assertEqual(1, host.host_list.revision)
