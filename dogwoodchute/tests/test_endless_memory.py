"""Endpoints that send bytes without end to many requests at the same time.

Another operator's host kept them all, ran out of memory, and ended with the requests of
all its callers.
"""

import asyncio

import aiohttp

from dogwoodchute.tests import gateway_process, gateway_site, support, test_unending

MEMORY = 150 << 20  # bytes that the users allow a process on their smaller site
AT_ONCE = 48  # requests to the faulty endpoint
BODIES = {
    "chunks": test_unending.ENDLESS["chunks"],
    "body without length": test_unending.ENDLESS["body without length"],
    "body with length": (
        test_unending.HEAD + b"Content-Length: 4000000000\r\n\r\n",
        b"x",
    ),
    "trailer lines": (
        test_unending.CHUNKED + b"100000\r\n" + b"x" * 0x100000 + b"\r\n0\r\n",
        b"X-A: b\r\n",
    ),
}
STREAMS = {
    "event": (test_unending.CHUNKED, b"fff0\r\n" + b"x" * 0xFFF0 + b"\r\n"),
    "event without length": (test_unending.HEAD + b"\r\n", b"x"),
}


class EndlessMemoryTest(support.TestCase):
    def check(self, path, service, sound_path, answers):
        for name, (first, then) in answers.items():
            self.run_async(self.send(path, service, sound_path, name, first, then))

    async def send(self, path, service, sound_path, name, first, then):
        """Send requests to an endless endpoint, and others beside them."""
        endpoint = test_unending.Endless(first=first, then=then, slow=False)
        gateway = gateway_process.GatewayProcess()
        gateway.put("op", "config", gateway_site.config())
        await gateway.add_endpoint("e1", "engines")
        await gateway.add_endpoint("p1", "plain")
        try:
            await gateway.start()
            gateway.put("servers", "p1" if service == "plain" else "e1", None)
            gateway.register("endless", service, await endpoint.start())
            await asyncio.sleep(2.0)  # until the host has read this

            async def ask(number):
                try:
                    status, _, _ = await gateway.ask(path, attempt=f"a{number}")
                except (*gateway_site.BROKEN, aiohttp.ClientOSError):
                    return None
                return status

            async def ask_beside():
                while not all(each.done() for each in asked):
                    status, _, _ = await gateway.ask(sound_path, attempt="sound")
                    self.assertEqual(200, status, name)
                    await asyncio.sleep(0.02)

            asked = [asyncio.create_task(ask(number)) for number in range(AT_ONCE)]
            await ask_beside()
            statuses = {await each for each in asked}
            self.assertLessEqual(statuses, {502, 503, 504, None}, name)
            self.assertGreater(endpoint.requests, AT_ONCE / 2, name)
            self.assertIsNone(gateway.process.poll(), name)
            self.assertLess(peak_memory(gateway.process.pid), MEMORY, name)
        finally:
            endpoint.stop()
            await gateway.stop()

    def test_bodies_without_end_are_not_kept(self):
        self.check("/order/x", "plain", "/s/stream", BODIES)

    def test_events_without_end_are_not_kept(self):
        self.check("/o/x", "engines", "/look/x", STREAMS)


def peak_memory(process):
    """Return the most bytes of memory that a process has used, as `proc` counts."""
    with open(f"/proc/{process}/status", encoding="ascii") as status:
        fields = dict(line.split(":", 1) for line in status)
    return int(fields["VmHWM"].split()[0]) << 10
