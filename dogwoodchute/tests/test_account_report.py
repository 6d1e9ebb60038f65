"""Reports of the state of each account's tokens."""

from dogwoodchute import log
from dogwoodchute.gateway.accounts import account_report, account_rows
from dogwoodchute.tests import support, test_accounts


class AccountReportTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.lines = []
        self.patch(log, "info", self.record)
        self.fleet = test_accounts.Fleet(["a"], prepaid=100_000)
        self.addCleanup(self.fleet.loop.finish)

    def record(self, event, **fields):
        if event == "account_tokens":
            self.lines.append({**fields, "in_store": self.fleet.drawn()})

    def test_drawn_tokens_are_reported_by_state(self):
        for _ in range(3):
            self.fleet.reserve("a", 1_000)
        self.fleet.hosts["a"].settle("ann", 1_000, account_rows.Bill("r", 700, 50))
        self.fleet.loop.run_for(account_report.INTERVAL + 0.5)
        last = self.lines[-1]
        self.assertEqual((750, 2_000), (last["billed"], last["reserved"]))
        self.assertEqual(last["in_store"], last["drawn"])
        self.assertEqual(last["drawn"], 2_750 + last["held"])

    def test_what_a_dead_host_lost_is_reported_by_cause(self):
        self.fleet.reserve("a", 1_000)
        self.fleet.loop.run_for(1.0)
        self.fleet.kill("a")
        self.fleet.loop.run_for(0.5)
        self.fleet.start("a")
        self.fleet.loop.run_for(0.5)
        self.fleet.reserve("a", 500)
        self.fleet.loop.run_for(account_report.INTERVAL)
        last = self.lines[-1]
        self.assertEqual((1_000, 0), (last["lost_reserved"], last["lost_risen"]))
        lost = last["lost_reserved"] + last["lost_headroom"]
        self.assertEqual(last["drawn"], lost + 500 + last["held"])

    def test_nothing_is_reported_while_nothing_changes(self):
        self.fleet.reserve("a", 1_000)
        self.fleet.hosts["a"].settle("ann", 1_000, None)
        self.fleet.loop.run_for(60.0)
        self.assertEqual(0, self.lines[-1]["held"])
        self.lines.clear()
        self.fleet.loop.run_for(2 * account_report.INTERVAL)
        self.assertEqual([], self.lines)
