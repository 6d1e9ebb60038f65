"""The load generator against the demo's host."""

import contextlib
import io

from dogwoodchute.tests import support
from dogwoodchute.tools import demo, dogwoodload


class DogwoodloadTest(support.TestCase):
    def load(self, *, token_seconds=0.0, **options):
        """Load the demo's host; return the report and the number of runs.

        `token_seconds` is the pause of its endpoint before each token.
        """

        async def scenario():
            host = demo.Demo()
            host.engine.batch.token_seconds = token_seconds
            await host.start()
            load = dogwoodload.Dogwoodload(
                hosts=[f"127.0.0.1:{host.daemon.callers.port}"],
                key=demo.CLIENT_KEY,
                model="assistant-llm",
                rate=30.0,
                seconds=1.0,
                **options,
            )
            report = await dogwoodload.run(load)
            await host.stop()
            return report, len(host.engine.runs)

        return self.run_async(scenario())

    def test_callers_leave_before_their_answers_are_complete(self):
        report, _ = self.load(
            token_seconds=0.01, tokens=100, leave_share=1.0, leave_after=0.05
        )
        self.assertEqual(["left"], list(report["outcomes"]))

    def test_a_share_that_is_none_is_refused(self):
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors):
            code = dogwoodload.main(
                ["127.0.0.1:80", "--key=k", "--model=m", "--leave-share=1.5"]
            )
        self.assertEqual(2, code)
        self.assertIn("--leave-share", errors.getvalue())

    def test_every_request_is_accounted_for(self):
        report, runs = self.load(tokens=4)
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
