"""The records of streams and the store's faults, on virtual time."""

import asyncio
import collections
import json
import random

from dogwoodchute import log
from dogwoodchute.coordination import stream_versions
from dogwoodchute.gateway import rows
from dogwoodchute.gateway.streams import (
    stream_record_cleanup,
    stream_record_rows,
    stream_records,
)
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support, virtual

SERVICE = "desk-model"
STORE_AHEAD = 5000.0  # seconds of the store's clock
SECONDS = 3.0  # that a request waits for its record
CALM = row_store.NO_FAULT
REFUSED = row_store.Fault(status=503)
LOST_ANSWER = row_store.Fault(lose_answer=True)
NO_ANSWER = row_store.Fault(silent=True)
MAX_ENTRIES = 100  # of a call, by the store's page
MAX_BYTES = 1_000_000  # likewise


class Host:
    """One host's records, and the faults of its path to the store."""

    def __init__(self, loop, store, *, hosts=1, seed=0):
        self.loop = loop
        self.store = store
        self.fault = CALM
        self.faults = []  # of the next commits, one each
        self.sent = []  # checks, puts and time of each commit
        self.calls = collections.Counter()
        self.client = row_store.in_process_client(
            store, faults=self.inject, timeout=lambda latency: 1.2
        )
        self.records = stream_records.StreamRecords(
            store=self.client._replace(commit=self.commit),
            host_count=lambda: hosts,
            commits=600.0,
            now=loop.time,
            rng=random.Random(seed),
        )
        self.task = loop.create_task(self.records.run())

    def inject(self, kind):
        self.calls[kind] += 1
        if kind == "commit":
            return self.faults.pop(0) if self.faults else self.fault
        return REFUSED if self.fault.status else CALM

    async def commit(self, part, checks, puts):
        self.sent.append((part, checks, puts, self.loop.time()))
        return await self.client.commit(part, checks, puts)

    def ensure(self, attempt, software, seconds=SECONDS):
        return self.loop.run_until_complete(
            self.records.ensure(attempt, SERVICE, software, seconds)
        )

    def find(self, attempt, service=SERVICE, seconds=SECONDS):
        return self.loop.run_until_complete(
            self.records.find(attempt, service, seconds)
        )


class StreamRecordsTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = virtual.Loop()
        self.addCleanup(self.loop.finish)
        self.store = row_store.RowStore(now=lambda: self.loop.time() + STORE_AHEAD)
        self.host = Host(self.loop, self.store)
        self.other = Host(self.loop, self.store, seed=1)

    def run_for(self, seconds):
        self.loop.run_for(seconds)

    def rows(self):
        found = []
        for part in stream_record_rows.parts():
            found += self.store.read(stream_record_rows.TABLE, part, None, None).rows
        return {row.key: stream_record_rows.decode(row.key, row.value) for row in found}

    def written(self, attempt):
        record = self.rows().get(stream_record_rows.key_of(attempt))
        return record.software if record is not None else None

    def put(self, attempt, value):
        key = stream_record_rows.key_of(attempt)
        part = stream_record_rows.part_of(key)
        self.store.commit(part, [], [rows.Put(stream_record_rows.TABLE, key, value)])

    def warnings(self):
        lines = []
        self.patch(log, "warning", lambda name, **fields: lines.append(name))
        return lines

    def test_a_record_is_durable_before_the_first_event_may_go_out(self):
        self.host.records.prepare("a1", SERVICE, "v2")
        self.assertTrue(self.host.records.is_asked("a1"))
        self.assertIsNone(self.written("a1"))
        self.assertTrue(self.host.ensure("a1", "v2"))
        self.assertEqual("v2", self.written("a1"))
        self.assertEqual(1, self.host.calls["commit"])

    def test_any_host_finds_a_record_by_one_read(self):
        self.assertTrue(self.host.ensure("a1", "v2"))
        self.assertEqual(stream_records.Found("v2"), self.host.find("a1"))
        self.assertEqual(0, self.host.calls["read"])
        self.assertEqual(stream_records.Found("v2"), self.other.find("a1"))
        self.assertEqual(1, self.other.calls["read"])
        now = self.store.now()
        self.assertEqual(stream_records.Absent(now), self.other.find("a2"))

    def test_a_record_that_cannot_be_read_is_not_taken_for_absent(self):
        self.assertTrue(self.host.ensure("a1", "v2"))
        unknown = stream_records.Unknown
        self.assertIsInstance(self.host.find("a1", "other"), unknown)
        self.assertIsInstance(self.other.find("a1", "other"), unknown)
        record = stream_record_rows.Record(SERVICE, "v2", 1.0)._asdict()
        for value in (
            b"\xff",
            b"[]",
            b"{}",
            json.dumps({**record, "software": 2}).encode(),
            json.dumps({**record, "service": None}).encode(),
            json.dumps({**record, "written": "1"}).encode(),
        ):
            self.put("a1", value)
            self.assertIsInstance(self.other.find("a1"), unknown, value)
        self.other.fault = REFUSED
        self.assertIsInstance(self.other.find("a1"), unknown)

    def test_a_store_that_is_slow_to_read_is_not_waited_for(self):
        async def read(*arguments):
            await asyncio.sleep(30.0)

        self.patch(self.other.records, "_store", self.other.client._replace(read=read))
        before = self.loop.time()
        found = self.other.find("a1", seconds=0.5)
        self.assertIsInstance(found, stream_records.Unknown)
        self.assertLess(self.loop.time() - before, 0.6)

    def test_records_of_many_streams_share_commits_of_bounded_size(self):
        software = "v" * 200
        for number in range(1000):
            self.host.records.prepare(f"a{number}", SERVICE * 20, software)
        self.run_for(1.0)
        self.assertEqual(1000, len(self.rows()))
        self.assertLessEqual(self.host.calls["commit"], 24)
        for _, checks, puts, _ in self.host.sent:
            self.assertLessEqual(len(checks) + len(puts), MAX_ENTRIES)
            size = sum(len(put.value) * 4 // 3 + 400 for put in puts)
            self.assertLess(size, MAX_BYTES)

    def test_the_whole_fleet_stays_within_half_of_the_stores_commits(self):
        """340 hosts at 600 commits a second have one in 1.13 s each."""
        host = Host(self.loop, self.store, hosts=340, seed=2)
        for number in range(3000):
            host.records.prepare(f"a{number}", SERVICE, "v2")
            self.run_for(0.02)
        self.assertLessEqual(host.calls["commit"], 60.0 * 0.5 * 600.0 / 340 + 2)
        self.assertGreaterEqual(len(self.rows()), 2500)

    def test_a_record_of_another_request_holds_no_others_back(self):
        """An attempt's id is a caller's text, which two requests may have."""
        self.assertTrue(self.other.ensure("a0", "v1"))
        for number in range(20):
            self.host.records.prepare(f"a{number}", SERVICE, "v2")
        self.assertFalse(self.host.ensure("a0", "v2"))
        for number in range(1, 20):
            self.assertTrue(self.host.ensure(f"a{number}", "v2", 0.2))
        self.assertEqual("v1", self.written("a0"))
        self.assertFalse(self.host.ensure("a0", "v2"))

    def test_a_row_that_says_what_is_wanted_already_is_enough(self):
        self.host.faults = [LOST_ANSWER]
        self.assertTrue(self.host.ensure("a1", "v2"))
        self.assertEqual(2, self.host.calls["commit"])

    def test_the_last_version_wins(self):
        first = self.loop.create_task(
            self.host.records.ensure("a1", SERVICE, "v1", SECONDS)
        )
        self.run_for(0.001)
        self.assertTrue(self.host.ensure("a1", "v2"))
        self.assertFalse(self.loop.run_until_complete(first))
        self.run_for(5.0)
        self.assertEqual("v2", self.written("a1"))

    def test_a_put_that_lands_late_does_not_replace_a_later_version(self):
        for seconds in (0.1, 1.0, 3.0):
            attempt = f"a{seconds}"
            self.host.faults = [row_store.Fault(apply_after=seconds)]
            self.assertFalse(self.host.ensure(attempt, "v1", 0.02))
            self.assertTrue(self.host.ensure(attempt, "v2"))
            self.run_for(5.0)
            self.assertEqual("v2", self.written(attempt))

    def test_a_rewrite_that_lands_late_does_not_replace_what_came_back(self):
        """v1, then v2 without an answer, then v1 again, which the row has still."""
        self.assertTrue(self.host.ensure("a1", "v1"))
        self.host.faults = [row_store.Fault(apply_after=2.0)]
        self.assertFalse(self.host.ensure("a1", "v2", 0.02))
        self.assertTrue(self.host.ensure("a1", "v1"))
        self.run_for(5.0)
        self.assertEqual("v1", self.written("a1"))

    def test_a_conflict_elsewhere_does_not_void_a_put_without_an_answer(self):
        self.assertTrue(self.host.ensure("a1", "v1"))
        others = [
            f"b{number}"
            for number in range(20)
            if stream_record_rows.part_of(stream_record_rows.key_of(f"b{number}"))
            == stream_record_rows.part_of(stream_record_rows.key_of("a1"))
        ]
        self.assertTrue(self.other.ensure(others[0], "v1"))
        self.host.faults = [row_store.Fault(apply_after=2.0)]
        self.assertFalse(self.host.ensure("a1", "v2", 0.02))
        self.host.records.prepare(others[0], SERVICE, "v2")
        self.assertTrue(self.host.ensure("a1", "v1"))
        self.run_for(5.0)
        self.assertEqual("v1", self.written("a1"))

    def test_a_store_that_is_away_is_told_in_time_and_written_later(self):
        lines = self.warnings()
        self.host.fault = REFUSED
        before = self.loop.time()
        self.assertFalse(self.host.ensure("a1", "v2", 0.5))
        self.assertLess(self.loop.time() - before, 0.6)
        self.run_for(20.0)
        self.assertEqual(1, lines.count("stream_records_unwritten"))
        self.assertLess(self.host.calls["commit"], 50)
        self.host.fault = CALM
        self.assertTrue(self.host.ensure("a1", "v2", 1.1))

    def test_records_that_are_waited_for_go_first(self):
        self.host.fault = REFUSED
        for number in range(2000):
            self.host.records.prepare(f"a{number}", SERVICE, "v2")
        self.run_for(3.0)
        self.host.fault = CALM
        self.assertTrue(self.host.ensure("a1999", "v2", 1.2))

    def test_records_are_removed_once_their_streams_have_ended(self):
        for number in range(120):
            self.assertTrue(self.host.ensure(f"a{number}", "v2"))
        self.run_for(stream_versions.LIFETIME)
        self.assertEqual(120, len(self.rows()))
        before = self.host.calls["commit"]
        self.run_for(60.0)
        self.assertEqual({}, self.rows())
        self.assertLessEqual(self.host.calls["commit"] - before, 8)
        self.assertFalse(self.host.records.is_asked("a1"))
        before = self.host.calls["commit"]
        self.run_for(600.0)
        self.assertEqual(before, self.host.calls["commit"])

    def test_a_record_is_kept_for_a_stream_that_begins_long_after_its_sending(self):
        self.host.records.prepare("a1", SERVICE, "v2")
        self.run_for(stream_records.KEEP - 1.0)
        self.assertTrue(self.host.ensure("a1", "v2"))
        self.run_for(stream_versions.LIFETIME)
        self.assertEqual("v2", self.written("a1"))

    def test_a_removal_that_lands_late_does_not_remove_a_record_used_again(self):
        self.assertTrue(self.host.ensure("a1", "v2"))
        fault = row_store.Fault(apply_after=2.0)
        self.host.faults = [fault]
        while self.host.faults:
            self.run_for(0.01)
        self.run_for(0.01)
        self.assertTrue(self.host.ensure("a1", "v2"))
        self.run_for(5.0)
        self.assertEqual("v2", self.written("a1"))

    def test_a_put_whose_request_has_ended_is_removed_when_it_has_landed(self):
        self.host.faults = [row_store.Fault(apply_after=3.0)]
        self.host.records.prepare("a1", SERVICE, "v2")
        self.run_for(0.02)
        self.host.fault = REFUSED
        self.run_for(stream_records.KEEP + 5.0)
        self.assertEqual("v2", self.written("a1"))
        self.host.fault = CALM
        self.run_for(20.0)
        self.assertEqual({}, self.rows())

    def test_left_over_records_of_dead_hosts_are_removed(self):
        self.other.task.cancel()
        dead = Host(self.loop, self.store, seed=3)
        for number in range(200):
            dead.records.prepare(f"a{number}", SERVICE, "v2")
        dead.records.prepare("b1", "other", "v2")
        self.run_for(1.0)
        dead.task.cancel()
        self.loop.run_until_complete(self.host.records.remove_left_over(SERVICE))
        self.assertEqual(201, len(self.rows()))
        self.run_for(stream_record_cleanup.LEFT_OVER)
        self.assertTrue(self.host.ensure("c1", "v2"))
        self.loop.run_until_complete(self.host.records.remove_left_over(SERVICE))
        self.assertEqual(2, len(self.rows()))
        self.assertEqual(("v2", "v2"), (self.written("b1"), self.written("c1")))

    def test_the_memory_is_bounded_and_a_forgotten_record_stays(self):
        lines = self.warnings()
        self.patch(stream_records, "MAX_RECORDS", 10)
        self.assertTrue(self.host.ensure("a0", "v2"))
        for number in range(1, 12):
            self.host.records.prepare(f"a{number}", SERVICE, "v2")
        self.assertEqual(2, lines.count("stream_record_dropped"))
        self.assertFalse(self.host.records.is_asked("a1"))
        self.run_for(1.0)
        self.assertEqual(stream_records.Found("v2"), self.host.find("a0"))
        self.assertTrue(self.host.ensure("a5", "v2"))

    def test_a_request_that_waits_for_a_forgotten_record_is_told(self):
        self.patch(stream_records, "MAX_RECORDS", 3)
        self.host.fault = REFUSED
        waiting = self.loop.create_task(
            self.host.records.ensure("a0", SERVICE, "v2", 30.0)
        )
        self.run_for(0.1)
        for number in range(1, 5):
            self.host.records.prepare(f"a{number}", SERVICE, "v2")
        self.run_for(0.1)
        self.assertTrue(waiting.done())
        self.assertFalse(waiting.result())

    def test_odd_ids_of_attempts_have_records(self):
        for attempt in ("", "x" * 10_000, "\udcff", "ü" * 300, "\0"):
            self.assertTrue(self.host.ensure(attempt, "v2"))
            self.assertEqual(stream_records.Found("v2"), self.other.find(attempt))
        self.assertEqual(5, len(self.rows()))
