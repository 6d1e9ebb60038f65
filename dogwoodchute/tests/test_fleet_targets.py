"""The targets of membership, on a fleet of the bench that runs the real controllers."""

import random

from bench import _fleet
from dogwoodchute.controllers import membership
from dogwoodchute.tests import support

CONTROL_BYTES = 10_000  # a second for each host, the limit that users set
DETECTION = 3.0  # seconds until all hosts know that a silent host is dead
SECONDS = 10.0  # of virtual time


class TargetsTest(support.TestCase):
    def test_bytes_and_detection_at_forty_hosts(self):
        async def scenario():
            fleet = _fleet.Fleet(count=40, rng=random.Random(3))
            await fleet.start()
            await fleet.advance(5.0)
            alive = [len(each.members.alive()) for each in fleet.members.values()]
            self.assertEqual([40] * 40, alive)
            before = {name: s.bytes for name, s in fleet.streams.items()}
            await fleet.advance(SECONDS)
            for name, streams in fleet.streams.items():
                sent = (streams.bytes - before[name]) / SECONDS
                self.assertLess(sent, CONTROL_BYTES)
            victim = fleet.places[0].host
            peers = fleet.config.peers
            cut_after = peers.silent_after + peers.heartbeat_interval
            fleet.kill(victim)
            await fleet.advance(DETECTION - cut_after)
            for each in fleet.members.values():
                self.assertNotIn(victim, each.members.alive())
                self.assertEqual(39, len(each.members.alive()))

        self.run_async(scenario())

    def test_check_sees_a_fleet_that_passes_nothing_on(self):
        async def scenario():
            fleet = _fleet.Fleet(count=40, rng=random.Random(3))
            await fleet.start()
            await fleet.advance(5.0)
            victim = fleet.places[0].host
            fleet.kill(victim)
            fleet.deliver = fleet.queue.clear  # an injected fault: all frames are lost
            await fleet.advance(2 * membership.STEP)
            still_alive = [victim in e.members.alive() for e in fleet.members.values()]
            self.assertIn(True, still_alive)

        self.run_async(scenario())
