"""When a host says that it is ready."""

from dogwoodchute.gateway import readiness
from dogwoodchute.tests import gateway_site, support, test_gateway


class ReadinessTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.has_needed = self.has_hosts = False
        self.readiness = readiness.Readiness(
            has_needed=lambda: self.has_needed,
            has_hosts=lambda: self.has_hosts,
            started_at=99.0,
            now=lambda: self.now,
        )

    def test_a_host_waits_until_it_knows_who_lives(self):
        self.has_needed = True
        self.assertFalse(self.readiness.check())
        self.has_hosts = True
        self.assertTrue(self.readiness.check())

    def test_it_does_not_wait_for_ever(self):
        """A part of the store that is away must not keep a host from serving."""
        self.now += 30.0
        self.assertFalse(self.readiness.check())
        self.has_needed = True
        self.assertFalse(self.readiness.check())
        self.now += readiness.MAX_HOSTS_WAIT
        self.assertTrue(self.readiness.check())

    def test_the_hosts_alone_are_not_enough(self):
        self.has_hosts = True
        self.now += 30.0
        self.assertFalse(self.readiness.check())

    def test_a_table_that_changes_last_makes_a_host_ready(self):
        received = []

        def on_change(all_rows, changed):
            received.append(changed)
            self.has_needed = self.has_hosts = True

        self.readiness.wrap(on_change)({}, ["row"])
        self.assertEqual([["row"]], received)
        self.has_needed = False
        self.assertTrue(self.readiness.check())


class FirstDrawTest(support.TestCase):
    def test_a_host_that_knows_late_who_lives_draws_as_much(self):
        """It took itself for one that was killed, and drew for a few seconds only."""

        async def scenario():
            async with gateway_site.running(hosts_away=0.6) as site:
                statuses = await test_gateway.ask_before_and_without_the_store(site)
                self.assertEqual([200, 200], statuses)

        self.run_async(scenario())
