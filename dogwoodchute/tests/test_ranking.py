"""Which hosts a locate answer names, and in which order."""

import hypothesis
from hypothesis import strategies

from dogwoodchute.coordination import ranking
from dogwoodchute.tests import support

FLEETS = strategies.lists(
    strategies.builds(
        ranking.Candidate,
        host=strategies.integers(0, 99).map(lambda n: f"host-{n}"),
        region=strategies.sampled_from(["dar", "aru"]),
        load=strategies.sampled_from([0.0, 0.3, 0.9, 1.0, 1.4]),
        alive=strategies.booleans(),
        leaving=strategies.booleans(),
        stale=strategies.booleans(),
    ),
    unique_by=lambda candidate: candidate.host,
    max_size=20,
)


def fleet(count, region="dar"):
    return [ranking.Candidate(f"host-{n}", region) for n in range(count)]


def rank(account, candidates, **options):
    options = {"region": "dar", "near": 3, "far": 1, **options}
    return [c.host for c in ranking.rank(account, candidates, **options)]


class RankingTest(support.TestCase):
    @support.fuzz_settings(200)
    @hypothesis.given(candidates=FLEETS, account=strategies.text(max_size=5))
    def test_any_fleet(self, candidates, account):
        found = rank(account, candidates)
        by_name = {c.host: c for c in candidates}
        usable = [c for c in candidates if c.alive and not c.leaving]
        self.assertEqual(bool(usable), bool(found))
        self.assertEqual(len(found), len(set(found)))
        self.assertLessEqual(len(found), 4)
        fresh = [c for c in usable if not c.stale]
        not_full = [c for c in fresh if c.load < 1]
        for name in found:
            self.assertIn(by_name[name], not_full or fresh or usable)
        regions = [by_name[name].region for name in found]
        if any(c.region == "dar" for c in not_full or fresh or usable):
            self.assertEqual(sorted(regions, reverse=True), regions)

    def test_a_change_of_one_host_moves_only_its_own_accounts(self):
        before = fleet(20)
        moved = 0
        for n in range(500):
            account = f"account-{n}"
            first = rank(account, before)[0]
            without = rank(account, [c for c in before if c.host != "host-7"])[0]
            if first == "host-7":
                moved += 1
                self.assertEqual(rank(account, before)[1], without)
                continue
            self.assertEqual(first, without)
        self.assertTrue(10 <= moved <= 45, moved)  # 25 expected

    def test_load_moves_accounts_away_in_proportion(self):
        loaded = [ranking.Candidate("host-0", "dar", load=0.5), *fleet(10)[1:]]
        firsts = [rank(f"account-{n}", loaded)[0] for n in range(2000)]
        share = firsts.count("host-0") / 2000
        self.assertTrue(0.035 < share < 0.07, share)  # 0.5 / 9.5 expected

    def test_a_large_account_is_spread_and_each_caller_stays(self):
        firsts = set()
        for n in range(100):
            options = {"near": 6, "spread": 4, "caller": f"10.0.0.{n}"}
            found = rank("large", fleet(20), **options)
            self.assertEqual(found, rank("large", fleet(20), **options))
            self.assertEqual(6, len(found))
            firsts.add(found[0])
        self.assertEqual(4, len(firsts))

    def test_another_region_stands_in(self):
        self.assertEqual(3, len(rank("account", fleet(5, region="aru")[:3])))
