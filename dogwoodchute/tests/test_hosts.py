"""The hosts that a host knows by their rows, with the time passed in."""

import json

from dogwoodchute.coordination import quarantine
from dogwoodchute.gateway import host_rows, hosts, model, rows
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support, virtual

DEPLOYMENT = model.Deployment(
    host="h1",
    data_centre="z1",
    region="r1",
    regions={"z1": "r1"},
    callers="10.0.0.1:1",
    readiness="10.0.0.1:2",
    control="10.0.0.1:3",
    gossip="10.0.0.1:4",
    heartbeats="10.0.0.1:6",
    directory="10.0.0.1:5",
    seeds=("10.0.0.1:3", "10.0.0.9:3"),
    store="10.0.9.9:1",
    bounds=model.Bounds(),
)
OWN_ID = "h1-own"


def make_host(
    incarnation, *, name="h2", state=host_rows.READY, registered=0, crashes=()
):
    return host_rows.Host(
        id=incarnation,
        name=name,
        data_centre="z1",
        region="r1",
        callers=f"{name}:1",
        control=f"{name}:3",
        gossip=f"{name}:4",
        heartbeats=f"{name}:6",
        state=state,
        registered=registered,
        began=0.0 if registered else float("inf"),
        crashes=crashes,
    )


class HostsTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.crashes = []  # learned from rows
        self.hosts = hosts.Hosts(
            id=OWN_ID,
            deployment=DEPLOYMENT,
            store=None,
            on_crashes=self.crashes.extend,
            now=lambda: self.now,
        )
        self.hosts.set_read_at(lambda: self.now)
        self.version = 0

    def write(self, incarnation, **fields):
        """Apply a newly written row of an incarnation."""
        self.version += 1
        value = host_rows.encode(make_host(incarnation, **fields))
        row = rows.Row(incarnation, value, self.version)
        self.hosts.apply_changes({}, [row])

    def live_ids(self):
        return [host.id for host in self.hosts.live]

    def test_crashes_in_rows_of_other_incarnations_are_passed_on(self):
        crash = quarantine.Crash(quarantine.Run("e1", 7), ("p1",))
        self.write(OWN_ID, name="h1", crashes=(crash,))
        self.assertEqual([], self.crashes)
        self.write("h1-a", name="h1", crashes=(crash,))
        self.write("h2-a", state=host_rows.DOWN, crashes=(crash,))
        self.assertEqual([crash, crash], self.crashes)

    def test_a_host_knows_that_its_process_before_was_killed(self):
        self.write("h2-a")
        self.write(OWN_ID, name="h1")
        self.assertFalse(self.hosts.was_killed_before)
        self.write("h1-a", name="h1")
        self.assertTrue(self.hosts.was_killed_before)
        self.hosts.apply_changes({}, [rows.Row("h1-a", None, 9)])
        self.assertFalse(self.hosts.was_killed_before)
        self.hosts.set_read_at(lambda: None)
        self.assertTrue(self.hosts.was_killed_before)

    def test_a_host_lives_until_it_is_marked_as_down(self):
        self.write("h2-a")
        self.now += 3600
        self.assertEqual(["h2-a"], self.live_ids())
        self.write("h2-a", state=host_rows.DOWN)
        self.assertEqual([], self.live_ids())
        self.write("h2-a")
        self.assertEqual(["h2-a"], self.live_ids())

    def test_nobody_is_live_before_the_table_was_read(self):
        self.write("h2-a")
        self.hosts.set_read_at(lambda: None)
        self.assertEqual([], self.live_ids())

    def test_only_the_last_lifetime_of_a_restarted_host_counts(self):
        """Guards against asking a restarted host twice for tokens that are missing.

        After a kill of all hosts, each host asked every other one twice.
        """
        self.write("h2-b")
        self.write("h2-a")
        self.write("h2-b")
        self.assertEqual(["h2-b"], self.live_ids())
        self.write("h1-old", name="h1")
        self.assertEqual(["h2-b"], self.live_ids())
        self.assertEqual(2, self.hosts.count)

    def test_live_hosts_are_found_once_for_each_change(self):
        self.write("h2-a")
        first = self.hosts.live
        self.now += 60
        self.assertIs(first, self.hosts.live)
        self.write("h3-a", name="h3")
        second = self.hosts.live
        self.assertEqual(["h2-a", "h3-a"], self.live_ids())
        self.assertIs(second, self.hosts.live)
        self.hosts.apply_changes({}, [rows.Row("h3-a", None, self.version + 1)])
        self.assertEqual(["h2-a"], self.live_ids())

    def test_relays_are_live_hosts_else_the_seeds_of_others(self):
        self.assertEqual(["10.0.0.9:3"], self.hosts.relays())
        self.write("h2-a")
        self.write("h3-a", name="h3", state=host_rows.LEAVING)
        self.assertEqual(["h2:3"], self.hosts.relays())

    def test_an_unreadable_row_is_left_out_and_the_others_count(self):
        self.write("h2-a")
        odd = rows.Row("h4-a", b"{", 9)
        sound = rows.Row("h5-a", host_rows.encode(make_host("h5-a", name="h5")), 10)
        self.hosts.apply_changes({}, [odd, sound])
        self.assertEqual(["h2-a", "h5-a"], self.live_ids())

    def test_an_unregistered_lifetime_succeeds_nobody(self):
        self.write("h2-a")
        self.assertEqual({}, self.hosts.registered)

    def test_what_ended_is_kept_for_a_while(self):
        """A host learns from its earlier row that it was killed."""
        self.write("h2-a", registered=1)
        self.write("h2-b", registered=2)
        self.write("h3-a", name="h3", state=host_rows.DOWN)
        self.now += hosts.REMOVE_AFTER - 0.1
        self.assertEqual([], self.hosts.expired_ids)
        self.now += 0.1
        self.assertEqual(["h2-a", "h3-a"], self.hosts.expired_ids)
        self.write("h3-a", name="h3")
        self.assertEqual(["h2-a"], self.hosts.expired_ids)


class RowTest(support.TestCase):
    def test_a_row_is_read_as_it_was_written(self):
        for registered in (0, 7):
            host = make_host("h2-a", registered=registered)._replace(link_mbps=7.5)
            self.assertEqual(host, host_rows.decode("h2-a", host_rows.encode(host)))

    def test_odd_fields_are_refused(self):
        plain = json.loads(host_rows.encode(make_host("h2-a")))
        changes = [
            {"state": "odd"},
            {"name": None},
            {"control": "h2:99999"},
            {"heartbeats": "h2"},
            {"link_mbps": 0},
            {"registered": None},
        ]
        for change in changes:
            value = json.dumps({**plain, **change}).encode()
            errors = (ValueError, TypeError, KeyError)
            with self.assertRaises(errors, msg=change):
                host_rows.decode("h2-a", value)


class StoreTest(support.TestCase):
    """What a host writes of others."""

    def setUp(self):
        super().setUp()
        self.loop = virtual.Loop()
        self.addCleanup(self.loop.finish)
        self.store = row_store.RowStore(now=self.loop.time)
        self.hosts = hosts.Hosts(
            id=OWN_ID,
            deployment=DEPLOYMENT,
            store=row_store.in_process_client(self.store),
            on_crashes=lambda crashes: None,
            now=self.loop.time,
        )
        self.hosts.set_read_at(self.loop.time)

    def put(self, host):
        part = host_rows.part_of(host.id)
        put = rows.Put(host_rows.TABLE, host.id, host_rows.encode(host))
        self.store.commit(part, [], [put])

    def read(self):
        found = []
        for part in host_rows.parts():
            found.extend(self.store.read(host_rows.TABLE, part, None, None).rows)
        self.hosts.apply_changes({}, found)
        return {row.key: host_rows.decode(row.key, row.value) for row in found}

    def test_a_host_that_wrote_meanwhile_is_not_marked_as_down(self):
        host = make_host("h2-a")
        self.put(host)
        self.read()
        self.loop.run_until_complete(self.hosts.mark_down(host))
        self.assertEqual(host_rows.DOWN, self.read()["h2-a"].state)
        self.put(host)
        self.loop.run_until_complete(self.hosts.mark_down(host))
        self.assertEqual(host_rows.READY, self.read()["h2-a"].state)

    def test_expired_rows_are_removed_by_the_host_with_the_lowest_id(self):
        self.put(make_host("h3-a", name="h3", state=host_rows.DOWN))
        self.put(make_host("h0-a", name="h0"))
        self.read()
        self.loop.run_for(hosts.REMOVE_AFTER)
        self.loop.run_until_complete(self.hosts.remove_expired())
        self.assertIn("h3-a", self.read())
        self.put(make_host("h0-a", name="h0", state=host_rows.DOWN))
        self.read()
        self.loop.run_until_complete(self.hosts.remove_expired())
        self.assertEqual(["h0-a"], list(self.read()))
