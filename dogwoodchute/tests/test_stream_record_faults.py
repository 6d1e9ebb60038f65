"""Records of streams under random faults of the store, on virtual time."""

import random

from dogwoodchute.gateway.streams import (
    stream_record_entries,
    stream_record_rows,
    stream_records,
)
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support, test_stream_records, virtual

FAULTS = (
    row_store.NO_FAULT,
    test_stream_records.REFUSED,
    test_stream_records.LOST_ANSWER,
    test_stream_records.NO_ANSWER,
    row_store.Fault(apply_after=0.3),
    row_store.Fault(apply_after=2.5),
    row_store.Fault(delay=0.4),
)
SEEDS = 40
CHANGES = 150  # of versions, in a run of one seed
ATTEMPTS = 12


class RecordFaultsTest(support.TestCase):
    """Random faults; what `ensure` confirmed must stay until the next version."""

    def play(self, seed):
        loop = virtual.Loop()
        try:
            return self.play_on(loop, seed)
        finally:
            loop.finish()

    def play_on(self, loop, seed):
        rng = random.Random(seed)
        store = row_store.RowStore(now=loop.time, part_rate=200)
        host = test_stream_records.Host(loop, store, seed=seed)
        trouble = 0.0

        def inject(kind):
            return rng.choice(FAULTS) if rng.random() < trouble else row_store.NO_FAULT

        host.inject = inject
        host.client = row_store.in_process_client(
            store, faults=lambda kind: host.inject(kind), timeout=lambda latency: 1.2
        )
        confirmed = {}

        def check():
            for attempt, software in confirmed.items():
                key = stream_record_rows.key_of(attempt)
                part = stream_record_rows.part_of(key)
                read = store.read(stream_record_rows.TABLE, part, key, key + "\0")
                held = [stream_record_rows.decode(r.key, r.value) for r in read.rows]
                self.assertEqual([software], [each.software for each in held], attempt)

        async def change():
            attempt = f"a{rng.randrange(ATTEMPTS)}"
            software = f"v{rng.randrange(3)}"
            confirmed.pop(attempt, None)
            latest[attempt] = software
            seconds = rng.choice((0.02, 0.3, 2.0))
            result = await host.records.ensure(
                attempt, test_stream_records.SERVICE, software, seconds
            )
            if result and latest[attempt] == software:
                confirmed[attempt] = software
            return result

        latest = {}
        durable = 0
        for _ in range(CHANGES):
            trouble = rng.choice((0.0, 0.5, 0.9))
            tasks = [loop.create_task(change()) for _ in range(rng.randrange(1, 5))]
            loop.run_for(rng.choice((0.01, 0.1, 1.0)))
            check()
            for task in tasks:
                durable += task.done() and task.result()
        trouble = 0.0
        loop.run_for(10.0)
        check()
        for attempt, software in latest.items():
            future = host.records.ensure(
                attempt, test_stream_records.SERVICE, software, 1.0
            )
            self.assertTrue(loop.run_until_complete(future))
        loop.run_for(stream_records.KEEP + 30.0)
        for part in stream_record_rows.parts():
            read = store.read(stream_record_rows.TABLE, part, None, None)
            self.assertEqual([], read.rows)
        return durable

    def test_what_was_confirmed_stays_under_any_faults_of_the_store(self):
        durable = sum(self.play(seed) for seed in range(SEEDS))
        self.assertGreater(durable, SEEDS * CHANGES / 4)

    def assert_caught(self):
        for seed in range(SEEDS):
            try:
                self.play(seed)
            except AssertionError:
                return
        self.fail("no seed shows it")

    def test_these_faults_show_puts_without_an_answer_that_are_forgotten(self):
        def learn(entry, version, holds):
            entry.version, entry.holds = version, holds
            entry.unanswered.clear()

        def is_settled(entry):
            return entry.holds == entry.wanted

        self.patch(stream_record_entries.Entry, "learn", learn)
        self.patch(stream_record_entries.Entry, "is_settled", property(is_settled))
        self.assert_caught()

    def test_these_faults_show_writes_that_check_no_version(self):
        real = stream_records.StreamRecords._commit

        async def commit(records, part, batch):
            store = records._store

            async def unchecked(part_name, checks, puts):
                return await store.commit(part_name, [], puts)

            records._store = store._replace(commit=unchecked)
            try:
                return await real(records, part, batch)
            finally:
                records._store = store

        self.patch(stream_records.StreamRecords, "_commit", commit)
        self.assert_caught()

    def test_these_faults_show_a_conflict_that_is_taken_for_done(self):
        def resolve(records, part, batch, found):
            for sent in batch:
                sent.entry.learn(sent.version + 1, sent.put)

        self.patch(stream_records.StreamRecords, "_resolve", resolve)
        self.assert_caught()
