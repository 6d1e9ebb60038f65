"""Requests with a part of a prompt that crashes endpoints."""

import contextlib

from dogwoodchute.tests import crashing_endpoint, gateway_site, support

SHARED = "5a5a5a5a"  # a part that sound requests hold too
ENDPOINTS = 12
# The users' rule: more than three requests that are sent some time after the fifth
# crash break it.
MAX_CRASHES = 5
MAX_FURTHER = 3


@contextlib.asynccontextmanager
async def running():
    """Run a site whose engines are endpoints that a deadly part crashes."""
    async with gateway_site.running() as site:
        gateway = site.host_process.gateway
        engines = []
        for number in range(ENDPOINTS):
            engine = crashing_endpoint.CrashingEndpoint(name=f"c{number}")
            await engine.start()
            engines.append(engine)
            site.register(engine.name, "engines", engine.port)
        site.put("servers", "e1", None)
        await support.until(lambda: gateway.ready_endpoints("engines") == ENDPOINTS)
        try:
            yield site, engines
        finally:
            for engine in engines:
                engine.stop()


async def ask(site, attempt, *parts):
    """Request a stream on a prompt of these parts; return the answer's status.

    Returns None if the answer breaks off.
    """
    names = [*parts, f"own{attempt}"]
    prompt = {
        "X_Dogwoodchute_Token_Count": f"{10 * len(names)},8",
        "X_Dogwoodchute_Prompt_Prefix": ",".join(f"{name}:10" for name in names),
    }
    try:
        return (await site.ask("/s/stream", attempt=attempt, **prompt))[0]
    except gateway_site.BROKEN:
        return None


class DeadlyPartTest(support.TestCase):
    def test_a_part_that_crashes_endpoints_does_not_crash_all_of_them(self):
        async def scenario():
            async with running() as (site, engines):
                sound = []
                for number in range(ENDPOINTS):
                    deadly = crashing_endpoint.DEADLY
                    await ask(site, f"d{number}", SHARED, deadly)
                    sound.append(await ask(site, f"s{number}", SHARED, f"p{number}"))
                reached = sum(len(engine.deadly_attempts) for engine in engines)
                self.assertLessEqual(reached, MAX_CRASHES + MAX_FURTHER)
                self.assertEqual([200] * ENDPOINTS, sound)

        self.run_async(scenario())
