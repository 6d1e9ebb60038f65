"""Which part of prompts is blamed for crashes, and for how long."""

from dogwoodchute.coordination import quarantine
from dogwoodchute.tests import support

SHARED = "shared"  # held by deadly and by sound requests
DEADLY = "deadly"


class BlameTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 1000.0
        self.quarantine = quarantine.Quarantine()
        self.crashes = 0

    def crash(self, *parts, run=None, age=0.0):
        """Record a crash under a request of these parts, by default of a new run."""
        if run is None:
            self.crashes += 1
            run = self.crashes
        crash = quarantine.Crash(quarantine.Run(f"e{run}", 1), parts)
        found = self.quarantine.record_crash(crash, self.now - age, self.now)
        return found.part if found is not None else None

    def complete(self, *parts, age=0.0):
        return [
            self.quarantine.record_completion(part, self.now - age) for part in parts
        ]

    def found(self, *parts):
        found = self.quarantine.find(parts, self.now)
        return found.part if found is not None else None

    def test_the_third_crash_quarantines_the_part_that_the_suspects_share(self):
        self.assertIsNone(self.crash("a", DEADLY))
        self.assertIsNone(self.crash("b", DEADLY))
        self.assertEqual(DEADLY, self.crash("c", DEADLY))
        self.assertEqual(DEADLY, self.found("d", DEADLY))
        self.assertIsNone(self.found("a", "b", "c"))

    def test_several_suspects_of_one_crash_count_once(self):
        for _ in range(quarantine.CRASHES):
            self.assertIsNone(self.crash(f"x{_}", DEADLY, run=1))
        self.assertIsNone(self.found(DEADLY))

    def test_a_part_on_which_an_answer_came_whole_is_not_blamed(self):
        for number in range(5):
            self.crash(f"x{number}", SHARED)
            self.complete(SHARED)
        self.assertIsNone(self.found(SHARED))

    def test_endpoints_that_end_together_blame_no_part_that_many_requests_hold(self):
        """Guards against refusing a popular prompt after a power failure."""
        self.complete(SHARED)
        self.now += 1
        for _ in range(10):
            self.crash(SHARED)
            self.now += quarantine.MOMENT / 10
        self.assertIsNone(self.found(SHARED))

    def test_a_part_that_became_deadly_is_blamed_all_the_same(self):
        self.complete(DEADLY)
        for _ in range(3):
            self.now += 1
            self.crash(DEADLY)
        self.assertEqual(DEADLY, self.found(DEADLY))

    def test_a_part_that_sound_requests_share_is_not_blamed_with_the_deadly_one(self):
        """Guards against refusing all requests of a caller or with one first part."""
        self.complete(SHARED)
        self.now += 1
        for _ in range(8):
            self.crash(SHARED, DEADLY)
        self.assertEqual([DEADLY], self.quarantine.quarantined(self.now))

    def test_the_order_of_the_parts_does_not_matter_if_one_of_them_is_sound(self):
        self.complete(SHARED)
        self.now += 1
        for _ in range(8):
            self.crash(DEADLY, SHARED)
        self.assertEqual([DEADLY], self.quarantine.quarantined(self.now))

    def test_without_complete_answers_the_last_common_part_is_blamed(self):
        for _ in range(8):
            self.crash(SHARED, DEADLY)
        self.assertEqual([DEADLY], self.quarantine.quarantined(self.now))

    def test_two_deadly_parts_are_both_blamed(self):
        for number in range(6):
            self.crash(f"x{number}", (DEADLY, "deadly-too")[number % 2])
        self.assertEqual([DEADLY, "deadly-too"], self.quarantine.quarantined(self.now))

    def test_a_bystander_of_explained_crashes_is_not_blamed(self):
        for run in range(1, 9):
            self.crash(f"x{run}", DEADLY, run=run)
            self.crash("bystander", run=run)
        self.assertEqual([DEADLY], self.quarantine.quarantined(self.now))

    def test_crashes_long_ago_do_not_count(self):
        self.crash("a", DEADLY)
        self.crash("b", DEADLY)
        self.now += quarantine.MEMORY + 1
        self.assertIsNone(self.crash("c", DEADLY))

    def test_a_complete_answer_ends_a_quarantine(self):
        for number in range(3):
            self.crash(f"x{number}", "slandered")
        self.assertEqual([True], self.complete("slandered"))
        self.assertIsNone(self.found("slandered"))

    def test_an_answer_from_before_ends_a_quarantine_for_ends_at_one_moment(self):
        """Another host knows that the part was sound before a power failure."""
        for number in range(3):
            self.crash(f"x{number}", "slandered")
        self.assertEqual([True], self.complete("slandered", age=5.0))

    def test_an_answer_from_before_the_crashes_does_not_end_it(self):
        for number in range(3):
            self.now += 1
            self.crash(f"x{number}", DEADLY)
        self.assertEqual([False], self.complete(DEADLY, age=5.0))
        self.assertEqual(DEADLY, self.found(DEADLY))

    def test_one_further_crash_renews_a_quarantine_that_has_ended(self):
        for number in range(3):
            self.crash(f"x{number}", DEADLY)
        self.now += quarantine.BASE_TIME
        self.assertIsNone(self.found(DEADLY))
        self.assertEqual(DEADLY, self.crash("y", DEADLY))
        self.now += 2 * quarantine.BASE_TIME - 1
        self.assertEqual(DEADLY, self.found(DEADLY))
        self.now += 1
        self.assertIsNone(self.found(DEADLY))

    def test_terms_do_not_grow_without_bound(self):
        for number in range(3):
            self.crash(f"x{number}", DEADLY)
        for _ in range(10):
            self.now += quarantine.MAX_TIME
            self.crash("y", DEADLY)
        found = self.quarantine.find([DEADLY], self.now)
        self.assertEqual(quarantine.MAX_TIME, found.seconds)

    def test_what_is_remembered_is_bounded(self):
        for number in range(2 * quarantine.MAX_CRASHES):
            self.crash(f"x{number}")
        self.assertEqual(quarantine.MAX_CRASHES, len(self.quarantine.crashes))
        for number in range(2 * quarantine.MAX_COMPLETIONS):
            self.complete(f"p{number}")
        self.assertIsNone(self.quarantine.completed_at("p0"))

    def test_long_ids_are_told_apart(self):
        first, second = quarantine.names(["p" * 100 + "1", "p" * 100 + "2"])
        self.assertNotEqual(first, second)
        self.assertLessEqual(len(first), quarantine.MAX_NAME)
