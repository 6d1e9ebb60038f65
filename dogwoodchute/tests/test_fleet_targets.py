"""The stated targets of membership, on the bench's fleet of real drivers."""

import random

from bench import _fleet
from dogwoodchute.controllers import membership
from dogwoodchute.tests import support

CONTROL_BYTES = 10_000  # a second and node, as the users bound it
DETECTION = 3.0  # seconds until a silent host is known to be dead everywhere
SECONDS = 10.0  # of passed-in time


class TargetsTest(support.TestCase):
    def test_bytes_and_detection_at_forty_hosts(self):
        async def run():
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
            cut = peers.silent_after + peers.heartbeat_interval
            fleet.kill(victim)
            await fleet.advance(DETECTION - cut)
            for each in fleet.members.values():
                self.assertNotIn(victim, each.members.alive())
                self.assertEqual(39, len(each.members.alive()))

        self.run_async(run())

    def test_check_sees_a_fleet_that_passes_nothing_on(self):
        async def run():
            fleet = _fleet.Fleet(count=40, rng=random.Random(3))
            await fleet.start()
            await fleet.advance(5.0)
            victim = fleet.places[0].host
            fleet.kill(victim)
            fleet.deliver = fleet.queue.clear  # planted: all frames are lost
            await fleet.advance(2 * membership.STEP)
            held = [victim in e.members.alive() for e in fleet.members.values()]
            self.assertIn(True, held)

        self.run_async(run())
