"""What callers see of their own budget over HTTP."""

import aiohttp

from dogwoodchute.tests import support
from dogwoodchute.tools import demo


class BalanceTest(support.TestCase):
    async def balances(self, *keys):
        """Return the status and body of a balance request with each key."""
        host = demo.Demo()
        await host.start()
        url = f"http://127.0.0.1:{host.daemon.callers.port}/v1/balance"
        answers = []
        async with aiohttp.ClientSession() as session:
            for key in keys:
                headers = {"Authorization": f"Bearer {key}"}
                async with session.get(url, headers=headers) as response:
                    answers.append((response.status, await response.json()))
        await host.stop()
        return answers

    def test_only_the_accounts_own_key_shows_its_balance(self):
        own, wrong = self.run_async(self.balances(demo.CLIENT_KEY, "wrong"))
        self.assertEqual(200, own[0])
        self.assertEqual(demo.BUDGET, own[1]["remaining"])
        self.assertEqual("growers", own[1]["account"])
        self.assertEqual(401, wrong[0])
        self.assertNotIn("remaining", wrong[1])
