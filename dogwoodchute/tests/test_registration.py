"""A host's own row in the store, on virtual time."""

from dogwoodchute.coordination import quarantine
from dogwoodchute.gateway import host_rows, registration, rows
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support, test_hosts, virtual

OWN_ID = test_hosts.OWN_ID
PART = host_rows.part_of(OWN_ID)


class RegistrationTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = virtual.Loop()
        self.addCleanup(self.loop.finish)
        self.loop.run_for(5.0)
        self.started_at = self.loop.time()
        self.store = row_store.RowStore(now=lambda: self.loop.time() + 1000.0)
        self.fault = row_store.NO_FAULT
        self.commits = 0
        self.state = host_rows.STARTING
        self.crashes = ()
        self.own_row = registration.OwnRow(
            id=OWN_ID,
            deployment=test_hosts.DEPLOYMENT,
            store=row_store.in_process_client(self.store, faults=self.inject),
            state=lambda: self.state,
            crashes=lambda: self.crashes,
            remove_expired=self.remove_nothing,
            now=self.loop.time,
            started_at=self.started_at,
        )
        self.task = self.loop.create_task(self.own_row.run())

    def inject(self, kind):
        self.commits += kind == "commit"
        return self.fault

    async def remove_nothing(self):
        return

    def rows(self):
        return self.store.read(host_rows.TABLE, PART, None, None).rows

    def row(self):
        (row,) = self.rows()
        return host_rows.decode(row.key, row.value)

    def put(self, value):
        put = rows.Put(host_rows.TABLE, OWN_ID, value)
        self.store.commit(PART, [], [put])
        feed = self.store.feed(host_rows.TABLE, self.store.version - 1)
        self.own_row.apply_changes({}, feed.rows)

    def test_a_new_lifetime_tells_since_when_earlier_ones_had_ended(self):
        self.loop.run_for(1.0)
        host = self.row()
        self.assertEqual(1, host.registered)
        self.assertEqual(1, self.own_row.registered_version)
        self.assertGreaterEqual(host.began, self.started_at + 1000.0)
        self.assertLess(host.began, self.started_at + 1000.1)

    def test_a_start_and_a_change_of_state_take_few_commits_and_calm_none(self):
        """195 hosts that renew their rows each second fill a part of the store."""
        self.loop.run_for(0.1)
        self.state = host_rows.READY
        self.loop.run_for(1.0)
        self.assertEqual(host_rows.READY, self.row().state)
        self.assertLessEqual(self.commits, 3)
        before = self.commits
        self.loop.run_for(600.0)
        self.assertEqual(before, self.commits)

    def test_a_host_that_was_marked_as_down_writes_its_row_again(self):
        self.state = host_rows.READY
        self.loop.run_for(2.0)
        self.put(host_rows.encode(self.row()._replace(state=host_rows.DOWN)))
        self.loop.run_for(1.0)
        self.assertEqual(host_rows.READY, self.row().state)
        self.put(None)
        self.loop.run_for(1.0)
        self.assertEqual(host_rows.READY, self.row().state)
        self.assertEqual(1, self.row().registered)

    def test_a_row_is_written_once_the_store_is_back(self):
        self.fault = row_store.Fault(status=503)
        self.loop.run_for(10.0)
        self.assertEqual([], self.rows())
        self.fault = row_store.NO_FAULT
        self.loop.run_for(2.5)
        self.assertEqual(1, self.row().registered)

    def test_a_registration_that_could_not_be_read_is_read_later(self):
        self.task.cancel()
        self.loop.run_for(0.1)
        failing = True

        def inject(kind):
            fails = failing and kind == "read"
            return row_store.Fault(status=503) if fails else row_store.NO_FAULT

        self.inject = inject
        self.setUpOwnRow(inject)
        self.loop.run_for(3.0)
        self.assertEqual(0, self.own_row.registered_version)
        failing = False
        self.loop.run_for(3.0)
        self.assertGreater(self.own_row.registered_version, 0)
        self.assertEqual(self.own_row.registered_version, self.row().registered)

    def setUpOwnRow(self, inject):
        self.own_row = registration.OwnRow(
            id=OWN_ID,
            deployment=test_hosts.DEPLOYMENT,
            store=row_store.in_process_client(self.store, faults=inject),
            state=lambda: self.state,
            crashes=lambda: self.crashes,
            remove_expired=self.remove_nothing,
            now=self.loop.time,
            started_at=self.started_at,
        )
        self.task = self.loop.create_task(self.own_row.run())

    def test_crashes_that_this_host_saw_are_written_and_removed(self):
        self.loop.run_for(1.0)
        crash = quarantine.Crash(quarantine.Run("e1", 7), ("p1",))
        self.crashes = (crash,)
        self.loop.run_for(0.5)
        self.assertEqual((crash,), self.row().crashes)
        self.crashes = ()
        self.loop.run_for(0.5)
        self.assertEqual((), self.row().crashes)

    def test_a_row_that_was_removed_at_the_stop_is_not_written_again(self):
        """The next process would take a row that is left over for a kill."""
        self.loop.run_for(1.0)
        self.state = host_rows.LEAVING
        self.own_row.write_now()
        self.loop.run_until_complete(self.own_row.leave())
        self.loop.run_for(5.0)
        self.assertEqual([], self.rows())

    def test_a_write_that_the_store_applies_late_does_not_follow_the_removal(self):
        self.loop.run_for(1.0)
        self.fault = row_store.Fault(apply_after=3.0)
        self.state = host_rows.LEAVING
        self.own_row.write_now()
        self.loop.run_for(0.1)
        self.fault = row_store.NO_FAULT
        self.store.commit(PART, [], [rows.Put(host_rows.TABLE, OWN_ID, None)])
        self.task.cancel()
        self.loop.run_for(10.0)
        self.assertEqual([], self.rows())
