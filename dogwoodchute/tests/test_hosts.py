"""Membership by rows in the store, with the time passed in."""

import json

from dogwoodchute.gateway import hosts, model, rows
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
    directory="10.0.0.1:5",
    seeds=("10.0.0.1:3", "10.0.0.9:3"),
    store="10.0.9.9:1",
    bounds=model.Bounds(),
)


class HostsTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.hosts = hosts.Hosts(
            deployment=DEPLOYMENT,
            store=None,
            state=lambda: "ready",
            now=lambda: self.now,
        )
        self.hosts.set_read_at(lambda: self.now)
        self.version = 0

    def heartbeat(self, incarnation, count, *, name="h2", state="ready"):
        """Apply a row with the given number of heartbeats."""
        host = hosts.Host(
            id=incarnation,
            name=name,
            data_centre="z1",
            region="r1",
            callers=f"{name}:1",
            control=f"{name}:3",
            gossip=f"{name}:4",
            state=state,
            beat=count,
        )
        self.version += 1
        row = rows.Row(incarnation, hosts.encode(host), self.version)
        self.hosts.apply_changes({}, [row])

    def live_ids(self):
        return [host.id for host in self.hosts.live]

    def test_a_host_knows_that_its_process_before_was_killed(self):
        self.heartbeat("h2-a", 1)
        self.heartbeat(self.hosts.id, 1, name="h1")
        self.assertFalse(self.hosts.was_killed_before)
        self.heartbeat("h1-a", 7, name="h1")
        self.assertTrue(self.hosts.was_killed_before)
        self.hosts.apply_changes({}, [rows.Row("h1-a", None, 9)])
        self.assertFalse(self.hosts.was_killed_before)
        self.hosts.set_read_at(lambda: None)
        self.assertTrue(self.hosts.was_killed_before)

    def test_a_host_lives_while_it_beats(self):
        self.heartbeat("h2-a", 1)
        self.now += hosts.DEAD_AFTER
        self.assertEqual(["h2-a"], self.live_ids())
        self.now += 0.1
        self.assertEqual([], self.live_ids())

    def test_a_row_without_a_new_beat_is_no_sign_of_life(self):
        self.heartbeat("h2-a", 1)
        self.now += 3
        self.heartbeat("h2-a", 1)
        self.now += 1
        self.assertEqual([], self.live_ids())

    def test_nobody_ages_while_the_table_cannot_be_read(self):
        self.heartbeat("h2-a", 1)
        self.hosts.set_read_at(lambda: 100.0)
        self.now += 60
        self.assertEqual(["h2-a"], self.live_ids())

    def test_only_the_last_lifetime_of_a_restarted_host_counts(self):
        """Guards against asking a restarted host twice for tokens that are missing.

        After a kill of all hosts, each host asked every other one twice.
        """
        self.heartbeat("h2-b", 1)
        self.heartbeat("h2-a", 7)
        self.heartbeat("h2-b", 2)
        self.assertEqual(["h2-b"], self.live_ids())
        self.heartbeat("h1-old", 3, name="h1")
        self.assertEqual(["h2-b"], self.live_ids())
        self.assertEqual(2, self.hosts.count)

    def test_live_hosts_are_found_once_for_each_change(self):
        self.heartbeat("h2-a", 1)
        first = self.hosts.live
        self.now += hosts.DEAD_AFTER / 2
        self.assertIs(first, self.hosts.live)
        self.heartbeat("h3-a", 1, name="h3")
        second = self.hosts.live
        self.assertEqual(["h2-a", "h3-a"], self.live_ids())
        self.assertIs(second, self.hosts.live)
        self.now += hosts.DEAD_AFTER / 2 + 0.1
        self.assertEqual(["h3-a"], self.live_ids())
        self.now += hosts.DEAD_AFTER
        self.assertEqual([], self.live_ids())
        self.hosts.apply_changes({}, [rows.Row("h3-a", None, self.version + 1)])
        self.assertEqual([], self.live_ids())

    def test_relays_are_live_hosts_else_the_seeds_of_others(self):
        self.assertEqual(["10.0.0.9:3"], self.hosts.relays())
        self.heartbeat("h2-a", 1)
        self.heartbeat("h3-a", 1, name="h3", state="leaving")
        self.assertEqual(["h2:3"], self.hosts.relays())

    def test_an_unreadable_row_is_left_out(self):
        self.hosts.apply_changes({}, [rows.Row("h4-a", b"{", 9)])
        self.assertEqual([], self.live_ids())

    def test_a_row_tells_the_link_and_one_of_an_older_host_is_still_read(self):
        self.heartbeat("h2-a", 1)
        (host,) = self.hosts.live
        value = hosts.encode(host._replace(link_mbps=7.5))
        self.assertEqual(7.5, hosts.decode("h2-a", value).link_mbps)
        old_fields = json.loads(value)
        del old_fields["link_mbps"]
        old_host = hosts.decode("h2-a", json.dumps(old_fields).encode())
        self.assertEqual(1000.0, old_host.link_mbps)


class RegistrationTest(support.TestCase):
    def test_a_new_lifetime_tells_since_when_earlier_ones_had_ended(self):
        loop = virtual.Loop()
        loop.run_for(5.0)
        started_at = loop.time()
        store = row_store.RowStore(now=lambda: loop.time() + 1000.0)
        own_hosts = hosts.Hosts(
            deployment=DEPLOYMENT,
            store=row_store.in_process_client(store),
            state=lambda: "ready",
            now=loop.time,
            started_at=started_at,
        )
        loop.run_for(0.3)
        task = loop.create_task(own_hosts.run())
        loop.run_for(0.1)
        task.cancel()
        loop.run_for(0.1)
        read = store.read(hosts.TABLE, "", None, None).rows
        host = hosts.decode(read[0].key, read[0].value)
        own_hosts.apply_changes({}, read)
        self.assertEqual({"h1": host}, own_hosts.registered)
        self.assertEqual(1, host.registered)
        self.assertGreaterEqual(host.began, started_at + 1000.0)
        self.assertLess(host.began, started_at + 1000.1)

    def test_an_unregistered_lifetime_succeeds_nobody(self):
        own_hosts = hosts.Hosts(
            deployment=DEPLOYMENT, store=None, state=lambda: "ready", now=lambda: 0.0
        )
        texts = {**dict.fromkeys(hosts.TEXTS, ""), "name": "h2"}
        host = hosts.Host(id="h2-a", beat=1, **texts)
        own_hosts.apply_changes({}, [rows.Row(host.id, hosts.encode(host), 7)])
        self.assertEqual({}, own_hosts.registered)
