"""Which hosts fetch tables from the store or a source, and when that changes."""

from dogwoodchute.coordination import sources
from dogwoodchute.tests import support

NOW = 100.0


def peers(region, count, *, link=1000.0):
    return [
        sources.Peer(f"{region}-{n}", region, f"{region}-{n}:1", link)
        for n in range(count)
    ]


def sources_for(peer):
    return sources.Sources(name=peer.name, region=peer.region)


class SourcesTest(support.TestCase):
    def plans(self, known, *, store_reachable=True):
        return {
            p: sources_for(p).plan(known, store_reachable=store_reachable, now=NOW)
            for p in known
        }

    def test_three_hosts_of_each_region_follow_the_store(self):
        known = peers("r1", 31) + peers("r2", 31)
        for region in ("r1", "r2"):
            plans = {
                p.name: plan
                for p, plan in self.plans(known).items()
                if p.region == region
            }
            asking_store = {name for name, plan in plans.items() if plan.group == 0}
            self.assertEqual(sources.SOURCES_PER_REGION, len(asking_store))
            asked = {p.name for plan in plans.values() for p in plan.peers}
            self.assertEqual(asking_store, asked)

    def test_followers_are_spread_over_the_sources(self):
        known = peers("r1", 31)
        first = [plan.peers[0] for plan in self.plans(known).values() if plan.peers]
        self.assertEqual(sources.SOURCES_PER_REGION, len(set(first)))

    def test_a_small_region_has_no_followers(self):
        for plan in self.plans(peers("r1", 3)).values():
            self.assertEqual(sources.Plan([], 0), plan)

    def test_a_narrow_link_makes_no_source(self):
        known = peers("r1", 20, link=5.0) + peers("r1-fast", 3)
        known = [peer._replace(region="r1") for peer in known]
        found = sources.rank(known)[: sources.SOURCES_PER_REGION]
        self.assertEqual([1000.0] * 3, [peer.link_mbps for peer in found])

    def test_a_starting_host_that_knows_no_source_reads_from_the_store(self):
        chooser = sources_for(peers("r1", 1)[0])
        self.assertEqual(
            sources.Plan([], 0),
            chooser.plan(peers("r2", 9), store_reachable=True, now=NOW),
        )
        self.assertEqual(0.0, chooser.store_pause(None, group=5, now=NOW))

    def test_a_source_that_did_not_answer_rests(self):
        known = peers("r1", 9)
        follower = next(p for p, plan in self.plans(known).items() if plan.group)
        chooser = sources_for(follower)
        first, second, _ = chooser.plan(known, store_reachable=True, now=NOW).peers
        chooser.record_peer_result(first.name, answered=False, now=NOW)
        later = NOW + sources.FAILED_SOURCE_PAUSE - 0.1
        asked = chooser.plan(known, store_reachable=True, now=later).peers
        self.assertEqual(second, asked[0])
        self.assertNotIn(first, asked)
        back = NOW + sources.FAILED_SOURCE_PAUSE
        self.assertEqual(
            first, chooser.plan(known, store_reachable=True, now=back).peers[0]
        )

    def test_other_hosts_become_sources_when_all_sources_fail(self):
        """Otherwise all hosts of the region fetch the same bytes from the store."""
        known = peers("r1", 31)
        ranked = sources.rank(known)
        asking_store = []
        for peer in ranked[sources.SOURCES_PER_REGION :]:
            chooser = sources_for(peer)
            for failed in ranked[: sources.SOURCES_PER_REGION]:
                chooser.record_peer_result(failed.name, answered=False, now=NOW)
            plan = chooser.plan(known, store_reachable=True, now=NOW)
            if plan.group == 0:
                asking_store.append(peer)
                continue
            self.assertLessEqual(set(plan.peers), set(ranked[3:6]))
        self.assertEqual(ranked[3:6], asking_store)

    def test_nobody_is_asked_while_all_sources_rest(self):
        """Otherwise hosts call them without pause while the store is unreachable."""
        known = peers("r1", 9)
        follower = next(p for p, plan in self.plans(known).items() if plan.group)
        chooser = sources_for(follower)
        ranked = sources.rank(known)
        above = chooser.plan(known, store_reachable=True, now=NOW).ancestors
        for peer in {*ranked[: sources.SOURCES_PER_REGION], *above}:
            chooser.record_peer_result(peer.name, answered=True, now=NOW)
        later = NOW + sources.STALE_SOURCE_PAUSE
        self.assertEqual(
            [], chooser.plan(known, store_reachable=True, now=later - 0.1).peers
        )
        self.assertTrue(chooser.plan(known, store_reachable=True, now=later).peers)

    def due_ages(self, known):
        """Return the age at which each follower asks the store, and its plan."""
        due = {}
        for peer, plan in self.plans(known).items():
            if plan.group == 0:
                continue
            pause = sources_for(peer).store_pause(0.0, group=plan.group, now=NOW)
            due[peer] = pause, plan
        return due

    def test_followers_go_to_the_store_after_those_above_them(self):
        """Otherwise all hosts of the region fetch the same bytes from the store."""
        for count in (31, 113):
            known = peers("r2", count)
            ranked = sources.rank(known)
            due = self.due_ages(known)
            for age, plan in due.values():
                for above in plan.ancestors[:-1]:
                    self.assertLess(due[above][0], age)
                self.assertIn(plan.ancestors[-1], ranked[: sources.SOURCES_PER_REGION])
            first = min(age for age, _ in due.values())
            self.assertLess(first, 1.7)
            at_first = [age for age, _ in due.values() if age == first]
            self.assertEqual(sources.SOURCES_PER_REGION, len(at_first))

    def test_the_last_follower_goes_to_the_store_in_time_whatever_the_size(self):
        for count in (31, 68, 113, 340):
            last = max(age for age, _ in self.due_ages(peers("r2", count)).values())
            self.assertLess(last, 4.0)

    def test_a_host_is_above_few_others(self):
        known = peers("r2", 113)
        nearest = [plan.ancestors[0] for _, plan in self.due_ages(known).values()]
        self.assertLessEqual(max(map(nearest.count, nearest)), 2)

    def test_a_follower_passes_over_hosts_above_it_without_fresh_tables(self):
        known = peers("r1", 60)
        ranked = sources.rank(known)
        chooser = sources_for(ranked[50])
        above = chooser.plan(known, store_reachable=True, now=NOW).ancestors
        for number, peer in enumerate(above[:-1]):
            for stale in ranked[: sources.SOURCES_PER_REGION]:
                chooser.record_peer_result(stale.name, answered=True, now=NOW)
            plan = chooser.plan(known, store_reachable=True, now=NOW)
            self.assertEqual([peer], plan.peers, number)
            chooser.record_peer_result(peer.name, answered=True, now=NOW)

    def test_a_host_that_the_store_answers_follows_it_until_another_is_fresh(self):
        chooser = sources_for(peers("r1", 1)[0])
        self.assertGreater(chooser.store_pause(0.1, group=2, now=NOW), 0.0)
        chooser.record_store_result(answered=True, group=2, now=NOW)
        self.assertEqual(0.0, chooser.store_pause(0.1, group=2, now=NOW))
        chooser.record_fresh_peer()
        self.assertGreater(chooser.store_pause(0.1, group=2, now=NOW), 0.0)

    def test_a_store_that_fails_is_asked_with_pauses(self):
        chooser = sources_for(peers("r1", 1)[0])
        chooser.record_store_result(answered=False, group=2, now=NOW)
        self.assertGreater(chooser.store_pause(60.0, group=2, now=NOW + 1.9), 0.0)
        self.assertEqual(0.0, chooser.store_pause(60.0, group=2, now=NOW + 2.0))

    def test_a_pause_ends_soon_after_the_store_is_reachable_again(self):
        """It lasted as many seconds as there are groups before this host's."""
        for group in (1, 31):
            chooser = sources_for(peers("r1", 1)[0])
            chooser.record_contact(reachable=False, now=NOW)
            chooser.record_store_result(answered=False, group=group, now=NOW)
            chooser.record_contact(reachable=True, now=NOW + 0.1)
            pause = chooser.store_pause(60.0, group=group, now=NOW + 0.1)
            self.assertGreater(pause, 0.0)
            self.assertLess(pause, 3.0 - 0.5, "0.5 s to find the store back")

    def test_a_pause_after_a_failure_lasts_while_the_store_stays_away(self):
        chooser = sources_for(peers("r1", 1)[0])
        chooser.record_contact(reachable=False, now=NOW)
        chooser.record_contact(reachable=True, now=NOW + 0.1)
        chooser.record_store_result(answered=False, group=9, now=NOW + 0.2)
        chooser.record_contact(reachable=False, now=NOW + 0.2)
        self.assertGreater(chooser.store_pause(60.0, group=9, now=NOW + 8.0), 0.0)

    def test_a_host_that_the_store_turns_away_asks_its_peers(self):
        known = peers("r1", 9) + peers("r2", 9)
        for peer, plan in self.plans(known, store_reachable=False).items():
            self.assertNotIn(peer, plan.peers)
            self.assertTrue(plan.peers)

    def test_a_region_that_is_cut_from_the_store_asks_the_other_one(self):
        known = peers("r1", 2) + peers("r2", 9)
        plan = sources_for(known[0]).plan(known, store_reachable=False, now=NOW)
        self.assertIn("r2", {peer.region for peer in plan.peers})
