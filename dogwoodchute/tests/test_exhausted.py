"""A budget that is used up is told from one whose tokens lie at hosts out of reach.

This is the load of a large fleet whose hosts can't all be asked for one request, after
accounts have used their budgets up. Callers that are told to retry in vain come back.
"""

import random

from dogwoodchute.gateway.accounts import account_rows, draw_plan, reservations
from dogwoodchute.tests import support, test_accounts

HOSTS = [f"h{number}" for number in range(12)]
ASKED = 3  # other hosts that one request for tokens may try
PREPAID = 200_000
USABLE = int(PREPAID * draw_plan.USABLE_SHARE)
TOKENS = 1_000  # of a request
CATCH_UP = 4.0  # seconds in which hosts write down what was billed
SEEDS = 6


class ExhaustedTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.billed = 0

    def start(self, *, prepaid=PREPAID):
        self.fleet = test_accounts.Fleet(HOSTS, prepaid=prepaid)
        self.fleet.max_sources = ASKED
        self.addCleanup(self.fleet.loop.finish)

    def send(self, name, tokens=TOKENS):
        """Send a request that is billed in whole if it is served."""
        outcome = self.fleet.reserve(name, tokens)
        if isinstance(outcome, reservations.Reserved):
            bill = account_rows.Bill(str(self.billed), tokens, 0)
            self.fleet.hosts[name].settle("ann", tokens, bill)
            self.billed += tokens
        return outcome

    def left(self):
        """Return the tokens that are left, at whatever host they lie."""
        return USABLE - self.billed

    def use_up(self):
        """Send requests to all hosts until none is served, and that is written down."""
        served = True
        while served:
            outcomes = [self.send(name) for name in HOSTS]
            served = any(isinstance(each, reservations.Reserved) for each in outcomes)
            self.fleet.loop.run_for(0.5)
        self.fleet.loop.run_for(CATCH_UP)

    def test_a_used_up_budget_is_told_as_such_though_not_all_hosts_are_asked(self):
        self.start()
        self.use_up()
        for name in HOSTS:
            outcome = self.send(name, self.left() + 1)
            self.assertIsInstance(outcome, reservations.Exhausted)

    def test_a_refusal_for_good_costs_no_call_for_a_second(self):
        self.start()
        self.use_up()
        self.send("h0", self.left() + 1)
        before = sum(self.fleet.store.arrivals.values())
        for _ in range(20):
            outcome = self.send("h0", self.left() + 1)
            self.assertIsInstance(outcome, reservations.Exhausted)
        self.assertEqual(before, sum(self.fleet.store.arrivals.values()))

    def test_a_raised_budget_serves_at_once(self):
        self.start()
        self.use_up()
        tokens = self.left() + 1
        self.assertIsInstance(self.send("h0", tokens), reservations.Exhausted)
        self.fleet.config = test_accounts.config(2 * PREPAID)
        self.assertIsInstance(self.send("h0", tokens), reservations.Reserved)

    def test_no_request_is_refused_for_good_while_its_tokens_are_somewhere(self):
        for seed in range(SEEDS):
            self.billed = 0
            self.start()
            rng = random.Random(seed)
            refused = 0
            for _ in range(600):
                tokens = rng.choice([200, 1_000, 6_000])
                outcome = self.send(rng.choice(HOSTS), tokens)
                if isinstance(outcome, reservations.Exhausted):
                    refused += 1
                    self.assertGreater(tokens, self.left(), seed)
                self.fleet.loop.run_for(rng.choice([0.0, 0.01, 0.1]))
            self.assertGreater(refused, 0, seed)
