"""The operators' command line against the demo's host."""

import asyncio
import contextlib
import io
import json
import os
from unittest import mock

from dogwoodchute.tests import support
from dogwoodchute.tools import ctl, demo, dogwoodctl


def run_command(at, *words, key=demo.OPERATOR_KEY):
    """Run one command; return its exit code, output and errors."""
    output, errors = io.StringIO(), io.StringIO()
    with (
        mock.patch.dict(os.environ, {"DOGWOODCTL_KEY": key}),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(errors),
    ):
        code = dogwoodctl.main([*words, "--at", at])
    return code, output.getvalue(), errors.getvalue()


class DogwoodctlTest(support.TestCase):
    def run_against_demo(self, *commands, key=demo.OPERATOR_KEY):
        """Run each command in turn against one demo host; return the results."""

        async def scenario():
            host = demo.Demo()
            await host.start()
            at = f"127.0.0.1:{host.daemon.operators.port}"
            results = []
            for words in commands:
                # The command runs its own event loop, so it needs its own thread.
                result = await asyncio.to_thread(run_command, at, *words, key=key)
                results.append(result)
            await host.stop()
            return results

        return self.run_async(scenario())

    def test_shows_an_account(self):
        table, as_json = self.run_against_demo(
            ("account", "show", "growers"), ("account", "show", "growers", "--json")
        )
        self.assertEqual(0, table[0], table)
        self.assertIn("growers", table[1])
        self.assertEqual(demo.BUDGET, json.loads(as_json[1])["paid"])

    def test_lists_endpoints(self):
        table, as_json = self.run_against_demo(
            ("endpoint", "list"), ("endpoint", "list", "--json")
        )
        self.assertEqual(0, table[0], table)
        self.assertIn("llm-1", table[1])
        listed = {row["name"]: row for row in json.loads(as_json[1])["endpoints"]}
        self.assertEqual({"llm-1", "orders-1"}, set(listed))
        self.assertEqual([], listed["llm-1"]["leaving"])
        self.assertEqual(1.0, listed["llm-1"]["weight"])

    def test_tops_up_once_for_each_id(self):
        words = ("account", "topup", "growers", "--id", "i-1", "--json", "--tokens")
        first, repeated, mismatched, unknown, listed = self.run_against_demo(
            (*words, "50"),
            (*words, "50"),
            (*words, "60"),
            ("account", "topup", "nobody", "--id", "i-1", "--tokens", "1"),
            ("account", "list", "--json"),
        )
        paid = demo.BUDGET + 50
        self.assertEqual((paid, False), _paid_and_repeated(first))
        self.assertEqual((paid, True), _paid_and_repeated(repeated))
        self.assertEqual(ctl.EXIT_REFUSED, mismatched[0])
        self.assertIn("id_reused", mismatched[2])
        self.assertIn("unknown_account", unknown[2])
        [account] = json.loads(listed[1])["accounts"]
        self.assertEqual(("growers", paid), (account["account"], account["paid"]))

    def test_refusals_and_wrong_usage_have_codes_of_their_own(self):
        unknown, usage = self.run_against_demo(
            ("account", "show", "nobody"), ("nonsense",)
        )
        self.assertEqual(ctl.EXIT_REFUSED, unknown[0])
        self.assertIn("unknown_account", unknown[2])
        self.assertEqual(ctl.EXIT_USAGE, usage[0])

    def test_wrong_key_is_refused(self):
        [result] = self.run_against_demo(("account", "show", "growers"), key="wrong")
        self.assertEqual(ctl.EXIT_REFUSED, result[0])
        self.assertNotIn("paid", result[1])

    def test_no_daemon_has_a_code_of_its_own(self):
        code, _, errors = run_command("127.0.0.1:1", "account", "show", "growers")
        self.assertEqual(ctl.EXIT_UNREACHABLE, code)
        self.assertIn("--at", errors)


def _paid_and_repeated(result):
    body = json.loads(result[1])
    return body["paid"], body["repeated"]
