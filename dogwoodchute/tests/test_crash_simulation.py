"""What a fleet refuses while endpoints crash, under simulated load."""

import os

from dogwoodchute.coordination import quarantine
from dogwoodchute.tests import crash_simulation, support

SEEDS = int(os.environ.get("DOGWOODCHUTE_CRASH_SEEDS", "5"))
SECONDS = 25.0
# The users' rule: of requests that are sent later than this after the fifth crash, at
# most three may reach endpoints.
CONTACT_SECONDS = 3.0
MAX_FURTHER = 3
FAILURES = (8.0, 8.4, 12.0, 12.1, 17.0)  # seconds at which half of the endpoints end


class CrashSimulationTest(support.TestCase):
    def play(self, **options):
        for seed in range(SEEDS):
            simulation = crash_simulation.Simulation(seed, **options)
            yield seed, simulation.run(SECONDS)

    def check_rule(self, seed, simulation):
        crashes = simulation.deadly_crashes
        if len(crashes) < 5:
            return
        due = crashes[4] + CONTACT_SECONDS
        late = [at for at in simulation.deadly_sends if at > due]
        self.assertLessEqual(len(late), MAX_FURTHER, seed)

    def test_a_deadly_part_is_refused_and_nothing_else(self):
        for deadly in (0.01, 0.05, 0.3):
            for seed, simulation in self.play(deadly=deadly):
                self.check_rule(seed, simulation)
                # On some days too few requests hold it.
                is_due = len(simulation.deadly_crashes) >= quarantine.CRASHES
                expected = {crash_simulation.DEADLY} if is_due else set()
                self.assertEqual(expected, simulation.quarantined, seed)

    def test_endpoints_that_end_for_other_reasons_blame_no_part(self):
        for seed, simulation in self.play(failures=FAILURES):
            self.assertEqual(set(), simulation.quarantined, seed)

    def test_a_prompt_of_half_of_the_requests_is_not_blamed_for_a_power_failure(self):
        options = {"rate": 120.0, "hot": 0.5, "failures": FAILURES[::2]}
        for seed, simulation in self.play(**options):
            self.assertEqual(0, simulation.refused, seed)

    def test_a_deadly_part_is_found_among_other_ends(self):
        for seed, simulation in self.play(deadly=0.05, failures=FAILURES):
            self.check_rule(seed, simulation)
            self.assertIn(crash_simulation.DEADLY, simulation.quarantined, seed)
            self.assertLess(simulation.refused, 0.05 * simulation.sound, seed)

    def test_a_larger_fleet(self):
        options = {"hosts": 40, "endpoints": 40, "rate": 200.0, "deadly": 0.05}
        seed, simulation = next(self.play(**options))
        self.check_rule(seed, simulation)
        self.assertEqual({crash_simulation.DEADLY}, simulation.quarantined)
