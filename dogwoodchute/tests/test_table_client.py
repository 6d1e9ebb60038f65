"""Timeouts, rate limit, circuit breaker, proof of commits and relay of the client."""

import asyncio
import random

from dogwoodchute import peers
from dogwoodchute.platform import table, table_client, table_relay
from dogwoodchute.standins import peers as memory_peers, table as memory_table
from dogwoodchute.tests import support, virtual

LIMITS = table_client.Limits(rate=10.0, burst=5.0, breaker_threshold=3)


class TableClientTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = virtual.Loop()
        self.addCleanup(self.loop.finish)
        self.memory = memory_table.MemoryTable()
        self.client = self.new_client(self.memory.client())

    def new_client(self, inner, limits=LIMITS, relay=None):
        return table_client.Client(
            inner=inner,
            now=self.loop.time,
            rng=random.Random(1),
            limits=limits,
            relay=relay,
        )

    def run_(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def put(self, key, *, version=0, commit_id="c"):
        check, write = table.Check(key, version), table.Write(key, {"n": commit_id})
        return self.client.commit(commit_id, [check], [write])

    def test_call_that_hangs_ends_after_the_timeout(self):
        self.memory.delay = 100.0
        before = self.loop.time()
        outcome = self.run_(self.client.read(["a"]))
        self.assertIsInstance(outcome, table.Unavailable)
        self.assertAlmostEqual(LIMITS.timeout, self.loop.time() - before, delta=0.01)

    def test_rate_is_bounded_and_excess_is_refused_unsent(self):
        async def read_often():
            return await asyncio.gather(*(self.client.read(["a"]) for _ in range(100)))

        outcomes = self.run_(read_often())
        sent = sum(isinstance(each, table.Rows) for each in outcomes)
        maximum = LIMITS.burst + LIMITS.rate * LIMITS.max_rate_wait + 2
        self.assertLessEqual(sent, maximum)
        self.assertEqual(sent, self.memory.reads)

    def test_breaker_spares_a_store_that_is_down(self):
        self.memory.down = True
        for _ in range(3):
            self.run_(self.client.read(["a"]))
        self.assertFalse(self.client.is_reachable)
        self.memory.down = False
        refused = self.run_(self.client.read(["a"]))
        self.assertIn("circuit breaker", refused.reason)
        self.loop.run_for(LIMITS.backoff_limit)
        self.assertIsInstance(self.run_(self.client.read(["a"])), table.Rows)
        self.assertTrue(self.client.is_reachable)

    def test_lost_answer_is_resolved_and_reported_as_committed(self):
        self.memory.lose_answers = 1
        outcome = self.run_(self.put("a"))
        self.assertEqual(table.Committed(versions={"a": 1}), outcome)
        self.assertEqual(1, self.memory.commits)

    def test_late_copy_does_not_apply_twice(self):
        self.memory.hold_commits = 1
        self.assertIsInstance(self.run_(self.put("a")), table.Committed)
        self.assertEqual(0, self.memory.deliver_held())

    def test_rival_after_an_unknown_commit_is_a_conflict(self):
        self.memory.hold_commits = 1
        task = self.loop.create_task(self.put("a"))
        self.loop.run_for(0.001)
        self.memory.apply("rival", [], [table.Write("a", {"n": "rival"})])
        self.assertIsInstance(self.run_(task), table.Conflict)

    def test_replaced_witness_proves_by_the_id_that_it_kept(self):
        self.memory.lose_answers = 1
        task = self.loop.create_task(self.put("a", commit_id="mine"))
        self.loop.run_for(0.001)
        value = {"n": "rival", table_client.AFTER: "mine"}
        self.memory.apply("rival", [], [table.Write("a", value)])
        self.assertEqual(table.Committed(versions={}), self.run_(task))

    def test_unresolved_commit_waits_for_the_store(self):
        self.memory.hold_commits = 1
        task = self.loop.create_task(self.put("a"))
        self.loop.run_for(0.001)
        self.memory.down = True
        self.loop.run_for(600.0)
        self.assertFalse(task.done())
        self.memory.down = False
        self.assertIsInstance(self.run_(task), table.Committed)

    def test_bounded_commit_ends_unknown(self):
        self.memory.hold_commits = 100
        check, write = table.Check("a", 0), table.Write("a", {})
        before = self.loop.time()
        outcome = self.run_(self.client.bounded_table.commit("c", [check], [write]))
        self.assertIsInstance(outcome, table.Unknown)
        maximum = LIMITS.resolve_timeout + LIMITS.timeout + LIMITS.backoff_limit
        self.assertLessEqual(self.loop.time() - before, maximum)

    def test_relay_carries_every_call_and_outcome(self):
        net = memory_peers.PeerNet()
        near = net.join(_peer("near"))
        far = net.join(_peer("far"))
        far.handle(table_relay.KIND, table_relay.handler(self.client.single_try_table))
        unreachable = self.memory.client(reachable=lambda: False)
        relay = table_relay.through_peers(near, rng=random.Random(1))
        client = self.new_client(unreachable, relay=relay)
        self.assertIsInstance(self.run_(client.read(["a"])), table.Unavailable)
        far.set_hint(table_relay.HINT, True)
        check, write = table.Check("a", 0), table.Write("a", {"n": 1})
        net.lose_answers = 1
        first = self.run_(client.commit("c1", [check], [write]))
        self.assertEqual(table.Committed(versions={"a": 1}), first)
        second = self.run_(client.commit("c2", [check], [write]))
        self.assertEqual("c1", second.rows["a"].commit_id)
        found = self.run_(client.scan("a"))
        self.assertEqual({"n": 1}, found.rows["a"].value)


def _peer(name):
    return peers.Peer(name, name, "", "", "", "", True, False, {})
