"""Requests that wait for tokens of their account."""

from dogwoodchute.gateway.accounts import account_rows, reservations
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support, test_accounts


class WaitTest(support.TestCase):
    def test_a_request_is_not_refused_for_tokens_that_may_be_used_by_then(self):
        """What a host may use rises while the store is away, also during a wait."""
        for offset in range(10):
            fleet = test_accounts.Fleet(["h1"], prepaid=100_000)
            self.addCleanup(fleet.loop.finish)
            self.assertIsInstance(fleet.reserve("h1", 1040), reservations.Reserved)
            bill = account_rows.Bill("r1", 1000, 20)
            fleet.hosts["h1"].settle("ann", 1040, bill)
            fleet.loop.run_for(0.05)
            fleet.fault = row_store.Fault(status=503)
            fleet.loop.run_for(1.0 + offset / 50)
            outcome = None
            refusals = 0
            while not isinstance(outcome, reservations.Reserved):
                fleet.loop.run_for(0.05)
                outcome = fleet.reserve("h1", 1040, wait=0.15)
                if isinstance(outcome, reservations.Reserved):
                    break
                at_once = fleet.reserve("h1", 1040, wait=0.0)
                self.assertNotIsInstance(at_once, reservations.Reserved, offset)
                refusals += 1
            self.assertGreater(refusals, 0)
