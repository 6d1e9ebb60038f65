"""Rows of endpoints that are removed around outages of one host or of the store."""

from dogwoodchute.gateway import model, rows
from dogwoodchute.gateway.following import followed_tables
from dogwoodchute.gateway.registered import endpoint_limits, endpoint_table
from dogwoodchute.tests import support, table_fleet, warm_endpoints

BOUND = 2.5  # seconds after its removal in which an endpoint must be left out
CONTACT = 3.0  # seconds of contact after which the bound holds for a host
OUTAGE = 4.0  # seconds; rows that aren't renewed expire meanwhile
ENDPOINT = "e1"


def decode(name, value):
    """Return the endpoint of a row: its sequence number, and its state if it leaves."""
    sequence, _, state = value.decode().partition(" ")
    return model.Endpoint(
        id=name,
        service="plain",
        address="127.0.0.1:1",
        data_centre="z1",
        state=state or model.READY,
        slots=1,
        sequence=int(sequence) if sequence.isdecimal() else 0,
    )


class EndpointsTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = table_fleet.Fleet(
            near=5, far=2, pause=followed_tables.ENDPOINTS_PAUSE, wait=0.0
        )
        self.addCleanup(self.fleet.loop.finish)
        self.tables = {name: self.follow(h) for name, h in self.fleet.hosts.items()}
        self.write(b"1")
        self.fleet.start(size=100)

    def follow(self, host):
        """Return the endpoints as a host of the fleet knows them."""
        now = self.fleet.loop.time
        table = endpoint_table.EndpointTable(
            table=table_fleet.TABLE,
            decode=decode,
            listeners=endpoint_table.Listeners(
                changed=lambda: None,
                removed=lambda name: None,
                restarted=lambda name: None,
            ),
            limits=endpoint_limits.EndpointLimits(
                host=host.peer.name, others=lambda: (), now=now
            ),
            **warm_endpoints.parts(now),
            now=now,
        )
        table.set_store_returned_at(lambda: host.mirror.store_returned_at)
        host.mirror.add_listener(table.apply_changes)
        return table

    def write(self, value):
        put = rows.Put(table_fleet.TABLE, ENDPOINT, value)
        self.fleet.store.commit("", [], [put])

    def users(self):
        """Return the hosts that would send a request to the endpoint now."""
        return [
            name
            for name, table in self.tables.items()
            if any(e.id == ENDPOINT for e in table.usable("plain"))
        ]


class LapsedEndpointsTest(EndpointsTest):
    def returns(self, hosts):
        """Let each host lose the table in turn; yield it when others answer it."""
        for number in range(2 * len(hosts)):
            host = hosts[number % len(hosts)]
            self.write(b"1")
            self.fleet.loop.run_for(CONTACT)
            host.cut_from_store, host.is_store_reachable = True, False
            host.asks_fail = True
            self.fleet.loop.run_for(OUTAGE + 0.17 * number)
            host.asks_fail = False
            yield host
            host.cut_from_store = False
            self.fleet.loop.run_for(CONTACT)

    def test_a_host_that_lost_the_table_alone_drops_what_left_meanwhile(self):
        for _ in self.returns(list(self.fleet.hosts.values())):
            self.write(None)
            self.fleet.loop.run_for(CONTACT)
            self.assertEqual([], self.users())

    def test_a_row_that_expired_while_the_store_was_away_is_renewed_in_time(self):
        for seconds in (OUTAGE, OUTAGE + 0.3, OUTAGE + 0.7):
            self.fleet.store_down = True
            self.fleet.loop.run_for(seconds)
            self.write(None)
            self.fleet.store_down = False
            for _ in range(15):
                self.fleet.loop.run_for(0.1)
                self.assertEqual(len(self.tables), len(self.users()))
            self.write(b"2")
            self.fleet.loop.run_for(CONTACT)
            self.assertEqual(len(self.tables), len(self.users()))

    def test_what_did_not_come_back_after_an_outage_of_the_store_is_dropped(self):
        self.fleet.store_down = True
        self.fleet.loop.run_for(OUTAGE)
        self.write(None)
        self.fleet.store_down = False
        self.fleet.loop.run_for(CONTACT + BOUND)
        self.assertEqual([], self.users())

    def test_a_host_towards_which_the_store_is_silent_knows_that_nothing_left(self):
        """Guards against an own outage that others could have ended."""
        now = self.fleet.loop.time
        for host in self.fleet.sources_of("near"):
            host.cut_from_store, host.silent_seconds = True, 2.4
            oldest = 0.0
            for _ in range(60):
                self.fleet.loop.run_for(0.1)
                oldest = max(oldest, now() - host.mirror.read_at)
            self.assertLess(oldest, BOUND)
            host.cut_from_store = False
            self.fleet.loop.run_for(CONTACT)


class RestoredEndpointsTest(EndpointsTest):
    """The same endpoint beside a store that comes back from a copy."""

    def restore(self, before, after, *, seconds=2.0):
        """Write a row, take a copy, write another row, and restore the copy."""
        self.write(before)
        copy = self.fleet.store.copy()
        self.fleet.loop.run_for(3.0)
        self.write(after)
        self.fleet.loop.run_for(3.0)
        self.fleet.store_down = True
        self.fleet.loop.run_for(seconds)
        self.fleet.store.restore(copy)
        self.fleet.store_down = False

    def most_users(self, seconds):
        """Return the most hosts that would use the endpoint at one time."""
        most = 0
        for _ in range(int(seconds / 0.1)):
            self.fleet.loop.run_for(0.1)
            most = max(most, len(self.users()))
        return most

    def test_one_that_said_that_it_leaves_is_not_used_again(self):
        for seconds in (0.3, 2.0, 5.0):
            self.restore(b"5", b"6 draining", seconds=seconds)
            self.assertEqual(0, self.most_users(3.0))
            self.write(b"7 draining")
            self.assertEqual(0, self.most_users(3.0))
            self.write(None)
            self.fleet.loop.run_for(70.0)

    def test_one_that_has_left_is_not_used_again(self):
        self.restore(b"5", None)
        self.assertEqual(0, self.most_users(3.0))
        self.write(None)
        self.assertEqual(0, self.most_users(3.0))

    def test_one_that_the_copy_lacks_is_used_until_it_writes_again(self):
        for seconds in (0.3, 2.0, 5.0):
            self.write(None)
            self.fleet.loop.run_for(70.0)
            self.restore(None, b"1", seconds=seconds)
            for _ in range(15):
                self.fleet.loop.run_for(0.1)
                self.assertEqual(len(self.tables), len(self.users()), seconds)
            self.write(b"2")
            self.fleet.loop.run_for(CONTACT)
            self.assertEqual(len(self.tables), len(self.users()), seconds)

    def test_one_that_writes_again_is_used(self):
        self.restore(b"5", None)
        self.fleet.loop.run_for(0.5)
        self.write(b"6")
        self.fleet.loop.run_for(BOUND)
        self.assertEqual(len(self.tables), len(self.users()))
