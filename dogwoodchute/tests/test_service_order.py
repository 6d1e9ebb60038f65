"""When an account has too few tokens for a moment, what waits in vain costs least.

The load: for some seconds a host may use only a part of what is asked of an account,
as the store is away and the bound on its tokens rises with time. Urgent requests come
beside others, and small ones beside large ones.
"""

import asyncio
import collections
import itertools
import math
import random
import typing

from dogwoodchute.coordination import queues, service_order
from dogwoodchute.gateway.accounts import reservations
from dogwoodchute.standins import row_store
from dogwoodchute.tests import support, test_accounts

SMALL, LARGE = 1_500, 17_000  # tokens of a request
WAIT = 0.25  # seconds that each request waits for tokens
URGENT, ORDINARY = 0, 2
SECONDS = 6.0  # of the shortage
STARVED = 0.5  # share of the other requests' service that large ones get at least
SIZE_MEDIAN, SIZE_SPREAD = math.log(5_000), 0.6  # of lognormal sizes in tokens


class Arrival(typing.NamedTuple):
    at: float  # seconds
    kind: str
    tokens: int
    priority: int


def arrivals(rng, kind, *, rate, tokens, priority):
    """Return requests that come at random moments, `rate` a second on average."""
    at = 0.0
    while (at := at + rng.expovariate(rate)) < SECONDS:
        yield Arrival(at, kind, tokens, priority)


class RankTest(support.TestCase):
    def order(self, *requests):
        """Return the numbers of requests (priority, arrival, work) in their order."""
        ranks = [
            service_order.rank(priority=p, arrived_at=at, work=work, number=number)
            for number, (p, at, work) in enumerate(requests)
        ]
        return [rank.number for rank in sorted(ranks)]

    def test_urgent_requests_go_before_those_that_came_earlier(self):
        self.assertEqual([1, 0], self.order((2, 0.0, SMALL), (0, 9.0, LARGE)))

    def test_a_small_request_goes_before_a_large_one_that_came_just_before(self):
        self.assertEqual([1, 0], self.order((0, 0.0, LARGE), (0, 0.03, SMALL)))

    def test_a_large_request_is_passed_for_a_moment_only(self):
        late = service_order.MAX_PASS
        self.assertEqual([0, 1], self.order((0, 0.0, 10**9), (0, late, 0)))

    def test_equal_requests_go_in_order_of_arrival(self):
        self.assertEqual([0, 1], self.order((0, 1.0, SMALL), (0, 1.0, SMALL)))

    def test_an_account_s_requests_for_an_endpoint_go_in_the_same_order(self):
        queue = queues.FairQueue()
        for name, at, cost in (("large", 0.0, LARGE), ("small", 0.03, SMALL)):
            entry = queues.Entry(name, "ann", 1, cost, 9.0, arrived_at=at)
            self.assertTrue(queue.push(entry))
        self.assertEqual("small", queue.peek().id)


class ShortageTest(support.TestCase):
    def served(self, requests):
        """Return how many requests of each kind one host serves in a shortage."""
        fleet = test_accounts.Fleet(["a"], prepaid=4_000_000)
        self.addCleanup(fleet.loop.finish)
        host = fleet.hosts["a"]
        served = collections.Counter()

        async def send(request):
            await asyncio.sleep(request.at)
            outcome = await host.reserve(
                "ann", request.tokens, wait=WAIT, priority=request.priority
            )
            # What is reserved stays so: no request ends while the shortage lasts.
            served[request.kind] += isinstance(outcome, reservations.Reserved)

        async def scenario():
            await asyncio.gather(*map(send, requests))

        for _ in range(40):  # so that the host draws for some seconds of use
            fleet.reserve("a", LARGE)
            host.settle("ann", LARGE, None)
            fleet.loop.run_for(0.05)
        fleet.fault = row_store.Fault(silent=True)
        fleet.loop.run_for(1.0)
        fleet.loop.run_until_complete(scenario())
        asked = collections.Counter(request.kind for request in requests)
        return {kind: served[kind] / count for kind, count in asked.items()}

    def mixed(self, seed, **kinds):
        rng = random.Random(seed)
        streams = [arrivals(rng, kind, **known) for kind, known in kinds.items()]
        return sorted(itertools.chain(*streams))

    def test_urgent_requests_are_served_before_ordinary_ones(self):
        """Guards against service in order of arrival, whatever the routes say."""
        for seed in range(3):
            requests = self.mixed(
                seed,
                urgent={"rate": 20, "tokens": 5_000, "priority": URGENT},
                ordinary={"rate": 60, "tokens": 5_000, "priority": ORDINARY},
            )
            served = self.served(requests)
            self.assertGreater(served["urgent"], 0.8, (seed, served))
            self.assertGreater(served["urgent"], 1.5 * served["ordinary"], served)

    def test_the_largest_tenth_of_a_kind_is_served_half_as_often_at_least(self):
        for seed in range(3):
            rng = random.Random(seed)
            requests = [
                each._replace(tokens=int(rng.lognormvariate(SIZE_MEDIAN, SIZE_SPREAD)))
                for each in arrivals(rng, "", rate=40, tokens=0, priority=ORDINARY)
            ]
            sizes = sorted(each.tokens for each in requests)
            tenth = sizes[int(0.9 * len(sizes))]
            requests = [
                each._replace(kind="large" if each.tokens >= tenth else "other")
                for each in requests
            ]
            served = self.served(requests)
            self.assertLess(served["other"], 0.95, "not short of tokens")
            self.assertGreater(served["large"], STARVED * served["other"], served)
