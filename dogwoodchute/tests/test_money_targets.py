"""The targets of the policy for draws and returns, on short runs of bench scenarios."""

from bench import money, money_policies as policies, money_scenarios as scenarios
from dogwoodchute.tests import support

SEED = 5
DEPLOYMENTS = (scenarios.KIVULI, scenarios.HINOKUNI)
COMMITS_PER_REQUEST = 0.1


class TargetTest(support.TestCase):
    def measure_scenario(self, deployment, scenario, policy="by_demand", **changes):
        """Return what a run of a scenario measured; no policy may ever overspend."""
        build = money.builders(policies.Constants(**changes))[policy]
        found = money.measure(deployment, scenario, build)
        self.assertEqual(0, found.overspend)
        return found

    def test_without_faults_no_covered_request_is_refused(self):
        for deployment in DEPLOYMENTS:
            found = self.measure_scenario(
                deployment, scenarios.running_out(deployment, SEED)
            )
            self.assertEqual(0, found.false_refusals)
            self.assertTrue(found.true_refusals > 0)

    def test_a_skipped_reserve_is_caught(self):
        def build(world):
            policy = policies.EachRequest(world=world).policy()
            return policy._replace(reserve=lambda host, account, tokens: host)

        scenario = scenarios.running_out(scenarios.KIVULI, SEED)
        found = money.measure(scenarios.KIVULI, scenario, build)
        self.assertTrue(found.overspend > 0)

    def test_a_lost_recall_is_caught(self):
        scenario = scenarios.running_out(scenarios.KIVULI, SEED)
        found = self.measure_scenario(scenarios.KIVULI, scenario, recall=False)
        self.assertTrue(found.false_refusals > 0)

    def test_a_cut_refuses_ten_times_less_than_an_equal_split(self):
        for deployment in DEPLOYMENTS:
            scenario = scenarios.cut(deployment, SEED, seconds=600.0, name="cut")
            ours = self.measure_scenario(deployment, scenario)
            equal_split = self.measure_scenario(deployment, scenario, "equal_split")
            self.assertTrue(10 * ours.false_refusals <= equal_split.false_refusals)

    def test_crashes_and_restarts_refuse_nothing(self):
        for make in (scenarios.crashing, scenarios.rolling):
            found = self.measure_scenario(
                scenarios.KIVULI, make(scenarios.KIVULI, SEED)
            )
            self.assertEqual(0, found.false_refusals)

    def test_the_stores_work_is_bounded_at_the_two_year_rate(self):
        rates = [money.BUSY_HOSTS * money.HOST_RATE * part for part in (1, 2)]
        commits = []
        for rate in rates:
            deployment, scenario = scenarios.busy(rate=rate, seed=SEED, seconds=120.0)
            found = self.measure_scenario(deployment, scenario)
            self.assertTrue(found.commits_per_request < COMMITS_PER_REQUEST)
            commits.append(found.draws + found.bill_commits)
        self.assertTrue(commits[1] < 1.25 * commits[0])
