"""The metric of connections that a host closes before their end."""

import prometheus_client

from dogwoodchute.standins import attempt_endpoint
from dogwoodchute.tests import gateway_site, support


def cut_count(reason, stage):
    """Return the number of connections that were cut."""
    labels = {"reason": reason, "stage": stage}
    name = "dogwoodchute_connections_cut_total"
    return prometheus_client.REGISTRY.get_sample_value(name, labels) or 0


class CutTest(support.TestCase):
    def test_a_broken_answer_is_counted_with_its_reason(self):
        async def scenario():
            async with gateway_site.running() as site:
                site.endpoints["e1"].next_modes = [attempt_endpoint.BREAK]
                before = cut_count("abort", "response")
                with self.assertRaises(gateway_site.BROKEN):
                    await site.ask("/o/stream")
                self.assertEqual(before + 1, cut_count("abort", "response"))

        self.run_async(scenario())
