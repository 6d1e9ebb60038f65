"""Requests with a part of a prompt that crashes endpoints."""

import asyncio
import contextlib
import json

from dogwoodchute.coordination import quarantine
from dogwoodchute.tests import crashing_endpoint, gateway_site, support

SHARED = "5a5a5a5a"  # a part that sound requests hold too
ENDPOINTS = 12
# The users' rule: more than three requests that are sent some time after the fifth
# crash break it.
MAX_CRASHES = 5
MAX_FURTHER = 3
STOP_BOUND = 1.0  # seconds; a request that waits has 2.5


@contextlib.asynccontextmanager
async def running():
    """Run a site whose engines are endpoints that a deadly part crashes."""
    async with gateway_site.running() as site:
        gateway = site.host_process.gateway
        # Without a limit no request waits for a commit to the store.
        site.put("op", "config", gateway_site.config(version=2, prepaid=None))
        await support.until(lambda: gateway.config_version == 2)
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


async def ask(site, attempt, *parts, **headers):
    """Request a stream on a prompt of these parts.

    Returns the answer's status and the code of a refusal, None if the answer breaks
    off.
    """
    names = [*parts, f"own{attempt}"]
    prompt = {
        "X_Dogwoodchute_Token_Count": f"{10 * len(names)},8",
        "X_Dogwoodchute_Prompt_Prefix": ",".join(f"{name}:10" for name in names),
    }
    try:
        answer = await site.ask("/s/stream", attempt=attempt, **prompt, **headers)
    except gateway_site.BROKEN:
        return None
    status, _, body = answer
    return status, None if status == 200 else json.loads(body)["error"]["code"]


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
                self.assertEqual([(200, None)] * ENDPOINTS, sound)

        self.run_async(scenario())

    def test_one_that_waits_at_an_endpoint_is_stopped_before_it_crashes_that(self):
        async def scenario():
            async with running() as (site, engines):
                deadly = crashing_endpoint.DEADLY
                waiting = asyncio.create_task(
                    ask(site, "w", SHARED, deadly, X_Waiting="1")
                )
                for number in range(quarantine.CRASHES):
                    await ask(site, f"d{number}", SHARED, deadly)
                done, _ = await asyncio.wait([waiting], timeout=STOP_BOUND)
                self.assertEqual({waiting}, done)
                self.assertEqual((502, "prompt_quarantined"), waiting.result())
                sends = sum(engine.attempts.count("w") for engine in engines)
                self.assertEqual(1, sends)

        self.run_async(scenario())

    def test_a_refusal_says_that_nothing_was_run_and_when_to_come_back(self):
        async def scenario():
            async with running() as (site, engines):
                deadly = crashing_endpoint.DEADLY
                for number in range(quarantine.CRASHES):
                    await ask(site, f"d{number}", SHARED, deadly)
                prompt = {"X_Dogwoodchute_Token_Count": "20,8"}
                prompt["X_Dogwoodchute_Prompt_Prefix"] = f"{deadly}:10,own:10"
                status, headers, body = await site.ask(
                    "/s/stream", attempt="late", **prompt
                )
                self.assertEqual(503, status)
                self.assertEqual(
                    "prompt_quarantined", json.loads(body)["error"]["code"]
                )
                self.assertGreater(float(headers["Retry-After"]), 100.0)
                attempts = [a for engine in engines for a in engine.attempts]
                self.assertNotIn("late", attempts)

        self.run_async(scenario())
