"""A host that is lost for good, with processes of its own."""

import asyncio
import contextlib
import signal

import aiohttp

from dogwoodchute.tests import gateway_process, gateway_site, support

PREPAID = 300_000  # tokens
INPUT, OUTPUT = 480, 20  # tokens of a request, all of which it uses
TOKENS = INPUT + OUTPUT
RATE = 10.0  # requests a second to each host
BEFORE = 6.0  # seconds of use until a host is lost
OWED_SHARE = 0.97  # of the prepaid total, into which a request that is owed fits
MAX_SECONDS = 60.0
TIMEOUT = 2.5  # seconds that a caller waits
REFUSED_FOR_GOOD = 402  # status


class Use:
    """Sends requests to hosts until one is refused for good."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.used = 0  # tokens of requests that have ended
        self.denied_at = None  # tokens used when the first one was refused for good

    @property
    def ran(self):
        """The tokens of requests that endpoints ran."""
        return TOKENS * len(self.hosts[0].endpoints["e1"].runs)

    async def send_to(self, host):
        """Send requests to a host until the first one is refused for good anywhere."""
        number = 0
        while self.denied_at is None and host.process.poll() is None:
            number += 1
            status = await ask(host, number)
            if status == 200:
                self.used += TOKENS
            elif status == REFUSED_FOR_GOOD:
                self.denied_at = self.used
            await asyncio.sleep(1 / RATE)


class LostProcessTest(support.TestCase):
    """Review case 3: 402 from 0.87 of the prepaid total on, after a host was lost."""

    def test_a_budget_is_used_to_its_end_though_a_host_is_lost(self):
        async def scenario():
            async with fleet("h1", "h2", "h3") as hosts:
                use = Use(hosts)
                sending = [asyncio.create_task(use.send_to(host)) for host in hosts]
                await asyncio.sleep(BEFORE)
                hosts[0].process.kill()
                await asyncio.gather(*sending)
                self.assertLessEqual(use.ran, PREPAID)
                # Requests that were under way at the lost host may have used theirs.
                self.assertGreater(use.denied_at + 2 * TOKENS, OWED_SHARE * PREPAID)

        self.run_async(scenario(), timeout=MAX_SECONDS)

    def test_a_suspended_host_uses_nothing_that_was_returned(self):
        async def scenario():
            async with fleet("h1", "h2", "h3") as hosts:
                use = Use(hosts)
                sending = [asyncio.create_task(use.send_to(host)) for host in hosts]
                await asyncio.sleep(BEFORE)
                hosts[0].process.send_signal(signal.SIGSTOP)
                logs = [host.log for host in hosts[1:]]
                await support.until(
                    lambda: any("holding_returned" in host.log for host in hosts[1:]),
                    seconds=MAX_SECONDS / 2,
                )
                self.assertFalse(any("holding_returned" in log for log in logs))
                hosts[0].process.send_signal(signal.SIGCONT)
                await asyncio.gather(*sending)
                # The others have found the end of the budget; it may have tokens left.
                use.denied_at = None
                for number in range(200):
                    await ask(hosts[0], 1_000_000 + number)
                self.assertLessEqual(use.ran, PREPAID)
                self.assertIn("holding_reduced", hosts[0].log)

        self.run_async(scenario(), timeout=2 * MAX_SECONDS)


async def ask(host, number):
    """Send one request; return the status of its answer, None without one."""
    headers = {
        "X_Dogwoodchute_Model": "m",
        "X_Dogwoodchute_Token_Count": f"{INPUT},{OUTPUT}",
        "X_Dogwoodchute_Prompt_Prefix": f"aa:400,{number:x}:{INPUT - 400}",
    }
    try:
        async with asyncio.timeout(TIMEOUT):
            status, _, _ = await host.ask(
                "/s/stream", attempt=f"{host.address}-{number}", **headers
            )
    except (aiohttp.ClientError, TimeoutError):
        return None
    return status


@contextlib.asynccontextmanager
async def fleet(*names):
    """Run hosts with these names on the store and the endpoints of the first one."""
    hosts = [gateway_process.GatewayProcess(node=name) for name in names]
    first = hosts[0]
    first.put("op", "config", gateway_site.config(prepaid=PREPAID))
    await first.add_endpoint("e1", "engines")
    await first.add_endpoint("p1", "plain")
    try:
        store = await first.start_store()
        await asyncio.gather(*(host.start(store=store) for host in hosts))
        yield hosts
    finally:
        for host in reversed(hosts):
            await host.stop()
