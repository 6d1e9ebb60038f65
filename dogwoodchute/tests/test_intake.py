"""Who is closed when callers hold too much: the one that holds most and moves least."""

from dogwoodchute.intake import account, limits
from dogwoodchute.tests import support

LIMITS = limits.Limits(memory=1_000, connections=10)


class FakeConnection:
    def __init__(self, accounts, *, held=0, moved_at=100.0, is_expendable=True):
        self.held = held
        self.moved_at = moved_at
        self.is_expendable = is_expendable
        self.reasons = []  # for which it was closed
        self._account = accounts
        accounts.open(self)

    def discard(self, reason):
        self.reasons.append(reason)

    def hold(self, size):
        self.held = size
        self._account.update(self)


class AccountTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.account = account.Account(now=lambda: self.now)
        self.account.set_limits(LIMITS)

    def connect(self, **state):
        return FakeConnection(self.account, **state)

    def test_the_one_that_holds_most_and_moves_least_is_closed(self):
        stopped = self.connect(held=400, moved_at=90.0)
        moving = self.connect(held=500)
        ordinary = self.connect(held=50)
        ordinary.hold(150)
        self.assertEqual([account.MEMORY], stopped.reasons)
        self.assertEqual([], moving.reasons + ordinary.reasons)

    def test_a_request_that_was_passed_on_is_not_lost(self):
        passed_on = self.connect(held=900, moved_at=10.0, is_expendable=False)
        reading = self.connect(held=50)
        reading.hold(150)
        self.assertEqual([], passed_on.reasons)
        self.assertEqual([account.MEMORY], reading.reasons)

    def test_a_whole_request_is_refused_where_nothing_can_be_closed(self):
        self.connect(held=900, is_expendable=False)
        second = self.connect(held=50)
        second.is_expendable = False
        self.assertTrue(self.account.admits(second))
        second.held = 150
        self.assertFalse(self.account.admits(second))

    def test_what_was_released_without_a_word_counts_no_more(self):
        released = self.connect(held=900)
        released.held = 0
        growing = self.connect(held=50)
        growing.hold(300)
        self.assertEqual([], released.reasons + growing.reasons)

    def test_beyond_the_number_of_connections_the_longest_idle_one_is_closed(self):
        idle = self.connect(held=1, moved_at=50.0)
        others = [self.connect(held=1) for _ in range(LIMITS.connections)]
        self.assertEqual([account.CONNECTIONS], idle.reasons)
        self.assertEqual([], [each.reasons for each in others if each.reasons])

    def test_a_new_one_is_closed_where_all_are_busy(self):
        busy = [self.connect(is_expendable=False) for _ in range(LIMITS.connections)]
        late = self.connect()
        self.assertEqual([account.CONNECTIONS], late.reasons)
        self.account.close(busy[0])
        self.assertEqual([], self.connect().reasons)


class LimitsTest(support.TestCase):
    def test_a_single_request_always_fits(self):
        for memory in (0, 64 << 20, 88 << 20, 552 << 20):
            found = limits.limits(memory=memory, body_bytes=4 << 20)
            self.assertGreater(found.memory, 4 << 20)

    def test_they_follow_the_machine(self):
        small = limits.limits(memory=128 << 20, descriptors=4100)
        large = limits.limits(memory=552 << 20, descriptors=8192)
        self.assertLess(small.memory, 64 << 20)
        self.assertGreater(large.memory, 2 * small.memory)
        self.assertEqual((2340, 4795), (small.connections, large.connections))
