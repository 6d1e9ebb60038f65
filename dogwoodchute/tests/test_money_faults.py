"""Single faults of budgets, grants, bills and claims, each with its outcome."""

from dogwoodchute import outcomes
from dogwoodchute.controllers import bills, budgets
from dogwoodchute.coordination import rows
from dogwoodchute.tests import money_fleet, money_oracle, support, virtual


class FaultTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = virtual.Loop()
        self.addCleanup(self.loop.finish)
        self.fleet = money_fleet.Fleet(seed=1, loop=self.loop)
        self.loop.run_until_complete(self.fleet.start())
        self.loop.run_for(0.5)

    def ask(self, host, key, *, seconds=1.0, account="growers", **options):
        attempt = self.fleet.ask(host, account=account, key=key, **options)
        self.loop.run_for(seconds)
        money_oracle.check(self.fleet)
        return attempt

    def order(self, host, key, **options):
        """Send a request that is not idempotent."""
        return self.ask(host, key, idempotent=False, **options)

    def row(self, key):
        row = self.fleet.table.rows.get(key)
        return row.value if row is not None else None

    def grant(self, name, account="growers"):
        incarnation = self.fleet.hosts[name].state.incarnation
        return self.row(rows.grant(account, incarnation))

    def assert_outcome(self, kind, attempt, code=None):
        self.assertIsInstance(attempt.outcome, kind)
        if code is not None:
            self.assertEqual(code, attempt.outcome.code)

    def settle_and_check(self):
        """Let everything settle, and check what must hold then."""
        self.loop.run_for(30.0)
        money_oracle.check_quiet(self.fleet)

    def test_lost_answer_of_a_draw_is_resolved(self):
        self.fleet.table.lose_answers = 1
        attempt = self.ask("h1", "a")
        self.assert_outcome(outcomes.Answered, attempt)
        self.assertEqual(10, self.row(rows.bill("growers", "a"))["tokens"])
        self.settle_and_check()

    def test_host_cut_from_the_store_goes_through_a_peer(self):
        self.loop.run_for(1.0)
        self.fleet.store_cut.add("h1")
        attempt = self.ask("h1", "a")
        self.assert_outcome(outcomes.Answered, attempt)
        self.assertIsInstance(attempt.bill_outcome, bills.Durable)
        self.settle_and_check()

    def test_answer_ends_once_two_peers_keep_its_bill(self):
        self.ask("h1", "a", reserved=60)
        self.fleet.table.down = True
        attempt = self.ask("h1", "b", seconds=2.0)
        self.assert_outcome(outcomes.Answered, attempt)
        self.assertEqual(bills.AtPeers(hosts=("h2", "h3")), attempt.bill_outcome)
        self.fleet.kill("h1")
        self.fleet.table.down = False
        self.loop.run_for(10.0)
        self.assertEqual(10, self.row(rows.bill("growers", "b"))["tokens"])
        self.settle_and_check()

    def test_host_cut_off_from_everybody_ends_an_answer_after_its_bound(self):
        self.ask("h1", "a", reserved=60)
        self.fleet.table.down = True
        self.fleet.net.cut |= {frozenset(("h1", "h2")), frozenset(("h1", "h3"))}
        attempt = self.ask("h1", "b", seconds=2.0)
        self.assertIsNone(attempt.outcome)
        self.loop.run_for(1.5)
        self.assert_outcome(outcomes.Answered, attempt)
        self.fleet.table.down = False
        self.settle_and_check()

    def test_killed_hosts_grant_comes_back_once(self):
        self.ask("h1", "a", reserved=140)
        self.fleet.kill("h1")
        attempt = self.ask("h2", "b", reserved=100)
        self.assert_outcome(outcomes.NotRun, attempt, "budget_out_of_reach")
        self.fleet.list.remove("h1")
        self.loop.run_for(6.0)
        attempt = self.ask("h2", "c", reserved=100)
        self.assert_outcome(outcomes.Answered, attempt)
        closed = self.grant("h1")
        self.assertEqual((10, 10), (closed["granted"], closed["billed"]))
        self.loop.run_until_complete(self.fleet.hosts["h3"].reclaim.check("growers"))
        money_oracle.check(self.fleet)
        self.settle_and_check()

    def test_paused_holder_wakes_after_its_grant_was_closed(self):
        self.ask("h1", "a", reserved=140)
        late = self.ask("h1", "late", tokens=30, reserved=40, delay=5.0)
        self.fleet.pause("h1")
        self.fleet.list.remove("h1")
        self.loop.run_for(70.0)
        attempt = self.ask("h2", "b", tokens=100, reserved=110)
        self.assert_outcome(outcomes.Answered, attempt)
        self.fleet.resume("h1")
        self.loop.run_for(5.0)
        self.assert_outcome(outcomes.Answered, late)
        self.assertEqual(30, self.row(rows.bill("growers", "late"))["tokens"])
        self.settle_and_check()

    def test_idle_holder_learns_that_its_grant_was_closed(self):
        self.ask("h1", "a", reserved=140)
        self.fleet.pause("h1")
        self.fleet.list.remove("h1")
        self.loop.run_for(1.5)
        self.loop.run_until_complete(self.fleet.hosts["h2"].reclaim.check("growers"))
        self.fleet.resume("h1")
        grant_controller = self.fleet.hosts["h1"].grants
        grant_controller.account("growers").budget = None
        self.loop.run_until_complete(grant_controller.return_all())
        self.assertEqual(0, grant_controller.ledger("growers").available)
        self.settle_and_check()

    def test_uncovered_tokens_are_recorded_and_never_overspent(self):
        late = self.ask("h1", "late", tokens=100, reserved=120, delay=5.0)
        self.fleet.pause("h1")
        self.fleet.list.remove("h1")
        self.loop.run_for(70.0)
        self.ask("h2", "b", tokens=160, reserved=170)
        self.fleet.resume("h1")
        self.loop.run_for(5.0)
        self.assert_outcome(outcomes.Answered, late)
        bill = self.row(rows.bill("growers", "late"))
        self.assertEqual((30, 70), (bill["tokens"], bill["uncovered"]))
        self.settle_and_check()

    def test_late_claim_is_abandoned_and_a_retry_runs(self):
        self.fleet.table.hold_commits = 1
        self.fleet.table.delay = 3.0
        first = self.order("h1", "o", seconds=2.5, first=True)
        self.assert_outcome(outcomes.NotRun, first, "claim_uncertain")
        self.fleet.table.delay = 0.0
        self.fleet.table.deliver_held()
        self.loop.run_for(20.0)
        self.assertEqual("abandoned", self.row(rows.claim("growers", "o"))["state"])
        self.assert_outcome(outcomes.Answered, self.order("h2", "o"))
        self.settle_and_check()

    def test_repeat_without_the_store_has_an_unknown_outcome(self):
        self.fleet.table.down = True
        self.assert_outcome(outcomes.Unknown, self.order("h1", "o", seconds=3.0))
        first = self.order("h2", "p", seconds=3.0, first=True)
        self.assert_outcome(outcomes.NotRun, first, "claim_uncertain")

    def test_repeats_of_an_order_get_the_one_answer(self):
        first = self.order("h1", "o", delay=4.0)
        second = self.order("h2", "o", seconds=6.0)
        third = self.order("h3", "o")
        for attempt in (first, second, third):
            self.assert_outcome(outcomes.Answered, attempt)
            self.assertEqual(first.answer, attempt.answer)
        self.assertEqual(1, len(self.fleet.runs))

    def test_repeat_of_a_killed_hosts_order_is_unknown(self):
        self.order("h1", "o", delay=4.0)
        self.loop.run_until_complete(self.fleet.restart("h1"))
        repeat = self.order("h2", "o", seconds=10.0)
        self.assert_outcome(outcomes.Unknown, repeat, "outcome_unknown")
        self.assertEqual(1, len(self.fleet.runs))

    def test_large_answer_is_kept_in_the_object_store(self):
        body = b"x" * 20_000
        first = self.order("h1", "o", body=body)
        second = self.order("h2", "o", body=body)
        self.assertEqual(first.answer, second.answer)
        self.assertIn("answers/growers/o", self.fleet.objects.contents)

    def test_key_with_another_body_is_refused_everywhere(self):
        self.ask("h1", "a")
        for host in ("h1", "h2"):
            reused = self.ask(host, "a", body=b"other")
            self.assert_outcome(outcomes.NotRun, reused, "key_reused")

    def test_reused_key_in_progress_does_not_hide_an_earlier_run(self):
        self.order("h1", "o")
        self.fleet.table.delay = 0.5
        other = self.order("h2", "o", body=b"other", seconds=0.1)
        repeat = self.order("h2", "o", seconds=10.0)
        self.assert_outcome(outcomes.NotRun, other, "key_reused")
        self.assert_outcome(outcomes.Answered, repeat)
        self.assertEqual(1, len(self.fleet.runs))

    def test_unbilled_runs_are_bounded(self):
        self.ask("h1", "a")
        host = self.fleet.hosts["h2"]
        results = []
        for number in range(5):
            results.append(self.ask("h2", "a").outcome)
            for other in range(20):
                self.ask("h2", f"{number}-{other}", tokens=0, reserved=0, seconds=0.5)
        codes = [getattr(outcome, "code", "answered") for outcome in results]
        self.assertEqual("answered", codes[0])
        self.assertLessEqual(host.runs.bytes, 3_000)
        self.assertEqual(10, self.row(rows.bill("growers", "a"))["tokens"])

    def test_complete_answer_raises_the_bill_of_a_partial_one(self):
        partial = self.ask("h1", "a", tokens=30, reserved=40, mode="cut")
        self.assert_outcome(outcomes.Unknown, partial)
        self.assertEqual(15, self.row(rows.bill("growers", "a"))["tokens"])
        self.assert_outcome(
            outcomes.Answered, self.ask("h2", "a", tokens=30, reserved=40)
        )
        self.assertEqual(30, self.row(rows.bill("growers", "a"))["tokens"])
        self.settle_and_check()

    def test_top_up_counts_once_and_in_a_partition(self):
        self.fleet.store_cut |= {"h1"}
        self.fleet.net.cut |= {frozenset(("h1", "h2")), frozenset(("h1", "h3"))}
        top_up = self.fleet.hosts["h2"].budgets.top_up
        paid = money_fleet.ACCOUNTS["growers"] + 50
        found_outcomes = []
        for tokens in (50, 50, 51):
            self.fleet.table.lose_answers = 1
            found = self.loop.run_until_complete(top_up("growers", "i-1", tokens))
            found_outcomes.append(found)
        self.assertEqual(
            [
                budgets.ToppedUp(paid=paid, repeated=False),
                budgets.ToppedUp(paid=paid, repeated=True),
                budgets.Mismatch(tokens=50),
            ],
            found_outcomes,
        )
        self.settle_and_check()

    def test_stopping_host_leaves_nothing_behind(self):
        self.ask("h1", "a", reserved=100)
        self.fleet.table.down = True
        self.ask("h1", "b", seconds=0.05)
        host = self.fleet.hosts["h1"]
        left = self.loop.run_until_complete(host.copies.hand_over())
        self.assertEqual(0, left)
        self.fleet.table.down = False
        self.loop.run_for(6.0)
        self.loop.run_until_complete(host.grants.return_all())
        grant = self.grant("h1")
        self.assertEqual(grant["billed"], grant["granted"])
        self.settle_and_check()
