"""The notes of software versions and the hosts that write them, on virtual time."""

import asyncio
import collections
import random

from dogwoodchute import log
from dogwoodchute.coordination import stream_versions
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.streams import version_notes
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support, virtual

SERVICE = "desk-model"
SETTLE = stream_versions.SETTLE
STORE_AHEAD = 5000.0  # seconds of the store's clock
COPY_INTERVAL = 0.6  # seconds between reads of the table
HOSTS = ("a", "b", "c")
Note = stream_versions.Note


class Host:
    """One host's notes and its copy of the table."""

    def __init__(self, name, fleet):
        self.name = name
        self.fleet = fleet
        self.fault = row_store.NO_FAULT
        self.seen = frozenset({"v1"})
        self.calls = collections.Counter()
        self.calm = []
        self.is_following = True
        self.read_at = float("-inf")
        store = row_store.in_process_client(fleet.store, faults=self.inject)
        self.notes = version_notes.VersionNotes(
            store=store._replace(now=self.store_now),
            seen=lambda: {SERVICE: self.seen},
            ranks_first=lambda service: fleet.first == name,
            copy_age=lambda: fleet.loop.time() - self.read_at,
            on_calm=self.clean_up,
            now=fleet.loop.time,
            rng=random.Random(name),
        )
        self.ahead = 0.0
        self.tasks = [
            fleet.loop.create_task(self.notes.run()),
            fleet.loop.create_task(self.follow()),
        ]

    def store_now(self):
        return self.fleet.store.now() + self.ahead

    def inject(self, kind):
        self.calls[kind] += 1
        is_hit = kind == "commit" or self.fault.status
        return self.fault if is_hit else row_store.NO_FAULT

    async def clean_up(self, service):
        self.calm.append(service)

    async def follow(self):
        while True:
            if self.is_following:
                self.copy()
            await asyncio.sleep(COPY_INTERVAL)

    def copy(self):
        read = self.fleet.store.read(
            version_notes.TABLE, version_notes.PART, None, None
        )
        self.read_at = self.fleet.loop.time()
        self.notes.apply_changes({}, read.rows)

    def kill(self):
        for task in self.tasks:
            task.cancel()


class VersionNotesTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = virtual.Loop()
        self.addCleanup(self.loop.finish)
        self.store = row_store.RowStore(now=lambda: self.loop.time() + STORE_AHEAD)
        self.first = "a"
        self.hosts = {name: Host(name, self) for name in HOSTS}

    def run_for(self, seconds):
        self.loop.run_for(seconds)

    def see(self, *versions, hosts=HOSTS):
        for name in hosts:
            self.hosts[name].seen = frozenset(versions)
            self.hosts[name].notes.wake()

    def row(self):
        read = self.store.read(version_notes.TABLE, version_notes.PART, None, None)
        return read.rows[0] if read.rows else None

    def written(self):
        row = self.row()
        return version_notes.decode(row.key, row.value) if row is not None else None

    def put(self, value):
        put = rows.Put(version_notes.TABLE, SERVICE, value)
        self.store.commit(version_notes.PART, [], [put])

    def commits(self):
        return sum(host.calls["commit"] for host in self.hosts.values())

    def test_a_change_is_written_at_once_by_the_host_that_ranks_first(self):
        self.run_for(0.1)
        self.assertEqual(("v1", False), self.written()[:2])
        self.run_for(2.0)
        self.see("v1", "v2")
        self.run_for(0.1)
        self.assertEqual(Note("v1", True, None), self.written())
        self.assertTrue(self.hosts["a"].notes.note(SERVICE).mixed)
        self.run_for(2.0)
        for host in self.hosts.values():
            self.assertTrue(host.notes.note(SERVICE).mixed)
            self.assertTrue(host.notes.needs_record(SERVICE, "v2"))
            self.assertFalse(host.notes.needs_record(SERVICE, "v1"))
        self.assertEqual(2, self.hosts["a"].calls["commit"])
        self.assertEqual(2, self.commits())

    def test_other_hosts_write_a_change_that_the_first_one_does_not(self):
        self.first = "none"
        self.run_for(2.0)
        self.assertEqual(("v1", False), self.written()[:2])
        self.hosts["a"].fault = row_store.Fault(status=503)
        self.first = "a"
        self.see("v1", "v2")
        self.run_for(0.25)
        self.assertFalse(self.written().mixed)
        self.run_for(0.75)
        self.assertEqual(Note("v1", True, None), self.written())

    def test_calm_hosts_call_the_store_no_more(self):
        self.run_for(5.0)
        calls = [host.calls.copy() for host in self.hosts.values()]
        self.run_for(600.0)
        self.assertEqual(calls, [host.calls for host in self.hosts.values()])

    def test_a_service_is_calm_again_at_its_only_version(self):
        """A release, whose old endpoints are gone after a while, with a rollback."""
        self.run_for(2.0)
        self.see("v1", "v2")
        self.run_for(10.0)
        self.see("v2")
        self.run_for(20.0)
        self.assertEqual(("v1", True, "v2"), self.written()[:3])
        self.see("v1", "v2")
        self.run_for(5.0)
        self.see("v2")
        self.run_for(SETTLE)
        self.assertEqual(("v1", True, "v2"), self.written()[:3])
        self.run_for(8.0)
        self.assertEqual(("v2", False, "v2"), self.written()[:3])
        self.assertEqual([SERVICE], self.hosts["a"].calm)
        self.assertEqual([], self.hosts["b"].calm + self.hosts["c"].calm)
        self.assertEqual(6, self.commits())

    def test_a_lost_answer_leaves_the_change_known_and_written_once(self):
        self.run_for(2.0)
        host = self.hosts["a"]
        host.fault = row_store.Fault(lose_answer=True)
        self.see("v1", "v2")
        self.run_for(0.05)
        version = self.row().version
        host.fault = row_store.NO_FAULT
        self.run_for(5.0)
        self.assertEqual(version, self.row().version)
        self.assertTrue(host.notes.note(SERVICE).mixed)

    def test_a_write_that_lands_late_does_not_replace_a_newer_note(self):
        self.run_for(2.0)
        host = self.hosts["a"]
        host.fault = row_store.Fault(apply_after=3.0)
        self.see("v2", hosts=["a"])
        self.run_for(0.05)
        host.fault = row_store.NO_FAULT
        self.assertEqual(2, host.calls["commit"])
        self.see("v1", "v2")
        self.run_for(2.0)
        self.assertEqual(Note("v1", True, None), self.written())
        self.run_for(5.0)
        self.assertEqual(Note("v1", True, None), self.written())

    def test_notes_are_written_once_the_store_is_back(self):
        self.run_for(2.0)
        for host in self.hosts.values():
            host.fault = row_store.Fault(status=503)
        self.see("v1", "v2")
        before = self.hosts["a"].calls["read"]
        self.run_for(20.0)
        self.assertFalse(self.written().mixed)
        self.assertLessEqual(self.hosts["a"].calls["read"] - before, 25)
        for host in self.hosts.values():
            host.fault = row_store.NO_FAULT
        self.run_for(2.1)
        self.assertTrue(self.written().mixed)

    def test_a_clock_that_is_ahead_does_not_change_the_base_early(self):
        """Before its first answer a host takes its own clock for the store's."""
        self.run_for(2.0)
        self.see("v1", "v2")
        self.run_for(1.0)
        self.see("v2")
        self.run_for(5.0)
        host = self.hosts["a"]
        host.ahead = 10_000.0
        before = host.calls["read"]
        self.run_for(20.0)
        self.assertEqual("v1", self.written().base)
        self.assertLessEqual(host.calls["read"] - before, 12)
        self.run_for(SETTLE - 20.0)
        self.assertEqual("v2", self.written().base)

    def test_a_copy_that_is_too_old_is_not_used(self):
        self.run_for(2.0)
        host = self.hosts["b"]
        host.is_following = False
        self.run_for(stream_versions.MAX_LAG - 1.0)
        self.assertFalse(host.notes.needs_record(SERVICE, "v1"))
        self.assertEqual("v1", host.notes.unrecorded(SERVICE, self.store.now()))
        self.run_for(2.0)
        self.assertTrue(host.notes.needs_record(SERVICE, "v1"))
        self.assertIsNone(host.notes.note(SERVICE))
        self.assertIsNone(host.notes.unrecorded(SERVICE, self.store.now()))

    def test_a_note_that_cannot_be_read_is_not_taken_for_calm(self):
        lines = []
        self.patch(log, "warning", lambda name, **fields: lines.append(name))
        self.run_for(2.0)
        note = version_notes.encode(Note("v1", True, None))
        for value in (
            b"\xff",
            b"[]",
            b"{}",
            note.replace(b"true", b"1"),
            note.replace(b'"v1"', b"7"),
            note.replace(b"0.0", b'"0"'),
            note.replace(b"0.0", b"1e999"),
            note.replace(b"true", b"false"),
        ):
            self.see()
            self.put(value)
            self.run_for(2.0)
            for host in self.hosts.values():
                unrecorded = host.notes.unrecorded(SERVICE, self.store.now())
                self.assertIsNone(unrecorded, value)
                self.assertTrue(host.notes.needs_record(SERVICE, "v1"))
                self.assertEqual(stream_versions.UNKNOWN, host.notes.note(SERVICE))
            self.see("v1")
            self.run_for(15.0)
            self.assertEqual((None, True, "v1"), self.written()[:3], value)
        self.assertEqual(8 * len(HOSTS), lines.count("row_unreadable"))
        self.run_for(SETTLE + 20.0)
        self.assertEqual(("v1", False), self.written()[:2])

    def test_an_older_copy_does_not_undo_what_this_host_wrote(self):
        self.run_for(2.0)
        old = self.row()
        host = self.hosts["a"]
        host.is_following = False
        self.see("v1", "v2")
        self.run_for(0.5)
        host.notes.apply_changes({}, [old])
        host.notes.apply_changes({}, [rows.Row(SERVICE, None, 0)])
        self.assertTrue(host.notes.note(SERVICE).mixed)

    def test_hosts_that_see_other_endpoints_do_not_write_in_turns(self):
        self.run_for(2.0)
        self.see("v1", "v2")
        self.run_for(5.0)
        before = self.commits()
        self.see("v2", hosts=["a"])
        self.run_for(60.0)
        self.assertLessEqual(self.commits() - before, 2 * 60 / 2.0)

    def test_each_change_is_one_line(self):
        lines = self.collect_lines("version_note")
        self.run_for(2.0)
        self.see("v1", "v2")
        self.run_for(10.0)
        self.assertEqual(2 * len(HOSTS), len(lines))
        self.assertEqual(2, sum(line["own"] for line in lines))
