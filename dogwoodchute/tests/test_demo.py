"""The complete path of a request, from a caller over real sockets to the bill."""

from dogwoodchute.tests import support
from dogwoodchute.tools import demo


class DemoTest(support.TestCase):
    def test_every_request_comes_out_as_it_must(self):
        self.assertTrue(self.run_async(demo.run_demo()))

    def test_load_reports_are_asked_of_engines_only(self):
        async def scenario():
            host = demo.Demo()
            await host.start()
            for _ in range(4):
                await host.daemon.loads.step()
            services = list(host.daemon.endpoints.admissions)
            await host.stop()
            return services, host.orders.calls

        services, calls = self.run_async(scenario())
        self.assertIn("assistant-llm", services)
        self.assertEqual([], calls)
