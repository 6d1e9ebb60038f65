"""Which hosts are the homes of client accounts."""

from unittest import mock

from dogwoodchute.coordination import ranking
from dogwoodchute.gateway import host_rows
from dogwoodchute.gateway.accounts import homes
from dogwoodchute.tests import support

FLEET = 62  # other hosts
ACCOUNTS = [f"account-{number}" for number in range(24)]


def make_host(number, *, link_mbps=1000.0, state=host_rows.READY, incarnation="a"):
    name = f"h{number}"
    return host_rows.Host(
        id=f"{name}-{incarnation}",
        name=name,
        data_centre=f"z{number % 6}",
        region=f"r{number % 2}",
        callers=f"{name}:1",
        control=f"{name}:3",
        gossip=f"{name}:4",
        heartbeats=f"{name}:5",
        state=state,
        link_mbps=link_mbps,
    )


class HomesTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.live = tuple(make_host(number) for number in range(1, FLEET + 1))
        self.homes = self.homes_of("h0", "r0")
        scoring = mock.patch.object(ranking, "score", wraps=ranking.score)
        self.score = scoring.start()
        self.addCleanup(scoring.stop)

    def homes_of(self, host, region, others=None):
        def live():
            return self.live if others is None else others

        return homes.Homes(host=host, region=region, live=live)

    def score_count(self):
        """Determine homes as often as in a second; return how many scores it took."""
        self.score.reset_mock()
        for _ in range(5):
            for account in ACCOUNTS:
                self.homes.is_local(account)
                self.homes.remote_home(account)
                self.homes.best_by_region(account)
        return self.score.call_count

    def test_homes_are_ranked_once_for_each_change_of_the_fleet(self):
        """Ranking all hosts in each call took most of a host's processor time."""
        all_scores = (FLEET + 1) * len(ACCOUNTS)
        self.assertEqual(all_scores, self.score_count())
        self.assertEqual(0, self.score_count())
        self.live = tuple(host._replace(link_mbps=500.0) for host in self.live)
        self.assertEqual(0, self.score_count())
        self.live = self.live[1:]
        self.assertEqual(all_scores - len(ACCOUNTS), self.score_count())
        self.live = (make_host(1, state=host_rows.STARTING), *self.live)
        self.assertEqual(0, self.score_count())
        self.live = (make_host(1, incarnation="b"), *self.live[1:])
        self.assertEqual(all_scores, self.score_count())

    def test_an_account_has_one_home_in_each_region(self):
        all_hosts = [make_host(0), *self.live]
        for account in ACCOUNTS:
            home_hosts = []
            remote_homes = set()
            for host in all_hosts:
                others = tuple(other for other in all_hosts if other is not host)
                found = self.homes_of(host.name, host.region, others)
                if found.is_local(account):
                    home_hosts.append(host)
                    self.assertIsNone(found.remote_home(account))
                    continue
                remote_homes.add(found.remote_home(account))
            self.assertEqual(["r0", "r1"], sorted(host.region for host in home_hosts))
            self.assertEqual(set(home_hosts), remote_homes)

    def test_a_home_is_returned_with_its_current_address(self):
        account = next(name for name in ACCOUNTS if self.homes.remote_home(name))
        before = self.homes.remote_home(account)
        self.live = tuple(host._replace(control="moved:3") for host in self.live)
        after = self.homes.remote_home(account)
        self.assertEqual((before.id, "moved:3"), (after.id, after.control))

    def test_a_host_that_leaves_is_no_home(self):
        account = next(name for name in ACCOUNTS if self.homes.remote_home(name))
        home = self.homes.remote_home(account)
        self.live = tuple(
            host._replace(state=host_rows.LEAVING) if host.id == home.id else host
            for host in self.live
        )
        self.assertNotEqual(home.id, getattr(self.homes.remote_home(account), "id", ""))

    def test_a_small_fleet_has_no_homes(self):
        self.live = self.live[: homes.SMALL_FLEET - 1]
        for account in ACCOUNTS:
            self.assertFalse(self.homes.is_local(account))
            self.assertIsNone(self.homes.remote_home(account))
        self.live = tuple(
            make_host(number) for number in range(1, 1 + homes.SMALL_FLEET)
        )
        self.assertTrue(any(self.homes.remote_home(account) for account in ACCOUNTS))

    def test_the_home_of_the_own_region_comes_first(self):
        """Requests spent their time on a home behind a saturated inter-region link."""
        for region in ("r0", "r1"):
            found = self.homes_of("h0", region)
            for account in ACCOUNTS:
                others = [other.region for other in found.best_by_region(account)]
                self.assertEqual(region, others[0])
                self.assertEqual({"r0", "r1"}, set(others))
