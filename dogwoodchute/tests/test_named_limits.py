"""Endpoints in need name the requests a second that they take from all hosts."""

import asyncio
import contextlib
import time

from dogwoodchute.tests import gateway_site, raw_endpoint, support

HOSTS = 3
RATE = 18.0  # requests a second of all callers
CONTACT = 3.0  # seconds after the first naming from which the limit holds
WINDOW = 4.0  # seconds
SECONDS = CONTACT + 2 * WINDOW


def allowed(limit):
    """Return how many requests an endpoint may get in a window, by the users' rule."""
    return 1.5 * limit * WINDOW + 5


def most_in_window(times):
    """Return the largest number of times within one window."""
    return max(
        (sum(first <= each < first + WINDOW for each in times) for first in times),
        default=0,
    )


class LimitedEndpoint(raw_endpoint.RawEndpoint):
    """Names a limit in its answers, unless that is None; notes when requests come."""

    def __init__(self, *, limit=None, kind=b"200 OK", headers=b"", body=b"ok"):
        super().__init__(script=self._answer)
        self.limit = limit
        self.times = []  # monotonic seconds
        self._kind = kind
        self._headers = headers
        self._body = body

    def _answer(self, head, number):
        self.times.append(time.monotonic())
        lines = [self._headers, b"Keep-Alive: timeout=30"]
        if self.limit is not None:
            lines.append(b"Server-Limit: " + self.limit)
        headers = b"\r\n".join(line for line in lines if line)
        return (
            raw_endpoint.answer(
                head, status=self._kind, headers=headers, body=self._body
            ),
            False,
        )


@contextlib.asynccontextmanager
async def running(*endpoints, service="plain", hosts=HOSTS):
    """Run hosts and these endpoints of one service."""
    site = gateway_site.Site()
    site.put("op", "config", gateway_site.config(prepaid=10_000_000))
    await site.add_endpoint("other", "engines" if service == "plain" else "plain")
    for number, endpoint in enumerate(endpoints):
        await endpoint.start()
        site.register(f"e{number}", service, endpoint.port)
    await site.start(hosts=hosts)
    try:
        yield site
    finally:
        await site.stop()
        for endpoint in endpoints:
            endpoint.stop()


async def ask_for(site, seconds, *, rate=RATE, path="/look/x", **headers):
    """Ask all hosts in turn; return the statuses of all answers."""
    asked = []
    began = time.monotonic()
    while (elapsed := time.monotonic() - began) < seconds:
        process = site.host_processes[len(asked) % len(site.host_processes)]
        attempt = f"r{len(asked)}-{began:.3f}"
        request = site.ask(
            path, attempt=attempt, address=site.address_of(process), **headers
        )
        asked.append(asyncio.create_task(request))
        await asyncio.sleep(max(0.0, (len(asked) / rate) - elapsed))
    return [status for status, _, _ in await asyncio.gather(*asked)]


class FleetTest(support.TestCase):
    def check(self, limit, *, path="/look/x", service="plain", headers=None, **options):
        """Ask a fleet of which one endpoint names a limit; check what that one gets."""

        async def scenario():
            limited = LimitedEndpoint(**options)
            others = [LimitedEndpoint(**options), LimitedEndpoint(**options)]
            async with running(limited, *others, service=service) as site:
                await ask_for(site, 1.0, path=path, **(headers or {}))
                limited.limit = b"%g" % limit
                named_at = time.monotonic()
                statuses = await ask_for(site, SECONDS, path=path, **(headers or {}))
                counted = [at for at in limited.times if at > named_at + CONTACT]
                self.assertLessEqual(most_in_window(counted), allowed(limit))
                self.assertEqual({200}, set(statuses))
                # Its requests are owed to callers.
                self.assertGreater(len(counted), 0)

        self.run_async(scenario())

    def test_an_endpoint_gets_no_more_than_the_limit_that_it_named(self):
        self.check(1.0)
