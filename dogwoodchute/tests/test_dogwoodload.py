"""The load generator against the demo's host."""

import contextlib
import io

from dogwoodchute.tests import support
from dogwoodchute.tools import demo, dogwoodload


class DogwoodloadTest(support.TestCase):
    def test_every_request_is_accounted_for(self):
        async def scenario():
            host = demo.Demo()
            await host.start()
            options = dogwoodload.Dogwoodload(
                hosts=[f"127.0.0.1:{host.daemon.callers.port}"],
                key=demo.CLIENT_KEY,
                model="assistant-llm",
                rate=30.0,
                seconds=1.0,
                tokens=4,
            )
            report = await dogwoodload.run(options)
            await host.stop()
            return report, len(host.engine.runs)

        report, runs = self.run_async(scenario())
        outcomes = report["outcomes"]
        self.assertGreater(outcomes["answered"], 0)
        self.assertEqual(runs, outcomes["answered"])
        self.assertGreater(report["first_token_ms"]["p50"], 0)

    def test_only_loopback_is_loaded(self):
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            code = dogwoodload.main(["10.0.0.1:80", "--key", "k", "--model", "m"])
        self.assertEqual(2, code)
        self.assertIn("10.0.0.1:80", errors.getvalue())
