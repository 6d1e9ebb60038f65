"""Fair shares, bounds and deadlines of the queue."""

from hypothesis import given, strategies

from dogwoodchute.coordination import queues
from dogwoodchute.tests import support


def entry(number, account="a", *, weight=1, cost=100, latest=1e9, priority=0):
    return queues.Entry(str(number), account, weight, cost, latest, priority)


def served_shares(queue, costs, weights, pops):
    """Pop requests while all accounts have a backlog.

    Yield, after each pop, the largest difference between two accounts of the tokens
    served per weight.
    """
    served = dict.fromkeys(weights, 0.0)
    number = 0
    for account, weight in weights.items():
        for _ in range(20):
            number += 1
            cost = costs[number % len(costs)]
            queue.push(entry(number, account, weight=weight, cost=cost))
    for _ in range(pops):
        popped = queue.pop()
        served[popped.account] += popped.cost / weights[popped.account]
        number += 1
        cost = costs[number % len(costs)]
        queue.push(entry(number, popped.account, weight=popped.weight, cost=cost))
        yield max(served.values()) - min(served.values())


class FairShareTest(support.TestCase):
    # Shreedhar and Varghese bound the difference between two backlogged flows by one
    # quantum plus twice the largest cost, which is a quantum here.
    bound = queues.QUANTUM + 2 * queues.QUANTUM

    @support.fuzz_settings(40)
    @given(
        costs=strategies.lists(
            strategies.integers(1, int(queues.QUANTUM)), min_size=1, max_size=7
        ),
        weights=strategies.lists(strategies.integers(1, 8), min_size=2, max_size=4),
    )
    def test_shares_follow_weights_within_a_quantum(self, costs, weights):
        named = {f"account{n}": weight for n, weight in enumerate(weights)}
        for spread in served_shares(queues.FairQueue(), costs, named, 300):
            self.assertLessEqual(spread, self.bound)

    def test_a_queue_in_order_of_arrival_breaks_the_bound(self):
        class Fifo(queues.FairQueue):
            def pop(self):
                popped = next(iter(self._entries.values()))
                self._remove(popped)
                return popped

        spreads = served_shares(Fifo(), [4000], {"a": 1, "b": 8}, 300)
        self.assertGreater(max(spreads), self.bound)


class BoundsTest(support.TestCase):
    def test_one_account_can_not_fill_the_queue(self):
        queue = queues.FairQueue(per_account=2, total=3)
        pushed = [queue.push(entry(n)) for n in range(3)]
        self.assertEqual([True, True, False], pushed)
        self.assertTrue(queue.push(entry(3, "b")))
        self.assertFalse(queue.push(entry(4, "c")))

    def test_late_requests_leave_in_order_and_only_once(self):
        queue = queues.FairQueue()
        for number, latest in enumerate((3.0, 1.0, 2.0)):
            queue.push(entry(number, latest=latest))
        queue.remove("1")
        self.assertEqual(["2"], [e.id for e in queue.expire(2.0)])
        self.assertEqual("0", queue.pop().id)
        self.assertEqual([], queue.expire(9.0))
        self.assertIsNone(queue.pop())

    def test_an_expensive_request_is_served_in_the_end(self):
        queue = queues.FairQueue()
        queue.push(entry("dear", "a", cost=int(20 * queues.QUANTUM)))
        for number in range(200):
            queue.push(entry(number, "b", cost=int(queues.QUANTUM)))
        order = [queue.pop().id for _ in range(25)]
        self.assertIn("dear", order)
