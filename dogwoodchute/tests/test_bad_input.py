"""Bad input to the callers' API gets a clear error, runs nothing and costs nothing."""

import asyncio
import json

import aiohttp

from dogwoodchute.tests import support
from dogwoodchute.tools import demo

CHAT_PATH = "/v1/chat/completions"
VALID_CHAT = {
    "model": "assistant-llm",
    "max_tokens": 4,
    "messages": [{"role": "user", "content": "hello"}],
}


class BadInputTest(support.TestCase):
    def with_demo(self, check):
        async def scenario():
            host = demo.Demo()
            await host.start()
            base = f"http://127.0.0.1:{host.daemon.callers.port}"
            headers = {"Authorization": f"Bearer {demo.CLIENT_KEY}"}
            try:
                async with aiohttp.ClientSession(base, headers=headers) as session:
                    await check(host, session)
            finally:
                await host.stop()

        self.run_async(scenario())

    async def refused(self, session, status, code, *, path=CHAT_PATH, **options):
        """Post a request; check that it is refused and was not run."""
        async with session.post(path, **options) as response:
            text = await response.text()
        error = json.loads(text)["error"]
        self.assertEqual((status, code), (response.status, error["code"]), text)
        self.assertEqual("not_run", error["outcome"])
        self.assertNotEqual("", error["message"])
        return error

    def test_refusals_cost_nothing(self):
        async def check(host, session):
            refused = self.refused
            await refused(session, 400, "bad_request", data=b"{")
            await refused(session, 400, "bad_request", data=b"[]")
            await refused(session, 400, "bad_request", json={"model": "assistant-llm"})
            await refused(
                session, 400, "bad_request", json={**VALID_CHAT, "max_tokens": 0}
            )
            await refused(
                session, 400, "bad_request", json={**VALID_CHAT, "max_tokens": "x"}
            )
            await refused(
                session, 400, "bad_request", json={**VALID_CHAT, "stream": "yes"}
            )
            await refused(session, 400, "bad_request", json={**VALID_CHAT, "n": 2})
            await refused(session, 400, "bad_request", data=b"[" * 100_000)
            image = {"type": "image_url", "image_url": {"url": "http://x"}}
            for content in ([image], 7):
                message = {"role": "user", "content": content}
                body = {**VALID_CHAT, "messages": [message]}
                await refused(session, 400, "bad_request", json=body)
            await refused(
                session, 404, "unknown_service", json={**VALID_CHAT, "model": "no"}
            )
            wrong = {"Authorization": "Bearer nobody"}
            await refused(session, 401, "unknown_key", json=VALID_CHAT, headers=wrong)
            long_key = {"Idempotency-Key": "k" * 129}
            await refused(
                session, 400, "bad_idempotency_key", json=VALID_CHAT, headers=long_key
            )
            await refused(
                session, 404, "unknown_path", path="/v2/none", json=VALID_CHAT
            )
            await refused(session, 405, "method_not_allowed", path="/v1/models")
            await refused(
                session, 404, "unknown_service", path="/services/none/x", json={}
            )
            self.assertEqual([], host.engine.runs)
            self.assertEqual([], host.orders.calls)
            self.assertEqual(0, host.table.rows["budget/growers"].value["drawn"])

        self.with_demo(check)

    def test_oversize_body_is_refused(self):
        async def check(host, session):
            body = b"x" * (host.daemon.host.config.limits.body_bytes + 1)
            await self.refused(session, 413, "body_too_large", data=body)
            self.assertEqual([], host.engine.runs)

        self.with_demo(check)

    def test_key_reused_with_another_body_is_refused(self):
        async def check(host, session):
            headers = {"Idempotency-Key": "one"}
            async with session.post(
                CHAT_PATH, json=VALID_CHAT, headers=headers
            ) as response:
                self.assertEqual(200, response.status)
            other = {**VALID_CHAT, "max_tokens": 5}
            await self.refused(session, 422, "key_reused", json=other, headers=headers)
            self.assertEqual(1, len(host.engine.runs))

        self.with_demo(check)

    def test_key_reused_at_another_service_is_refused(self):
        async def check(host, session):
            current = host.daemon.host.current
            orders = current.services["order-api"]
            account = current.accounts["growers"]
            names = (*account.services, "stock-api")
            services = {
                **current.services,
                "stock-api": orders._replace(name="stock-api"),
            }
            accounts = {"growers": account._replace(services=names)}
            newer = current._replace(
                revision=current.revision + 1, services=services, accounts=accounts
            )
            self.assertTrue(host.daemon.host.adopt(newer))
            headers = {"Idempotency-Key": "one"}
            path = "/services/order-api/items"
            async with session.post(path, json={}, headers=headers) as response:
                self.assertEqual(201, response.status)
            path = "/services/stock-api/items"
            await self.refused(
                session, 422, "key_reused", path=path, json={}, headers=headers
            )

        self.with_demo(check)

    def test_half_sent_request_reaches_nothing(self):
        async def check(host, session):
            port = host.daemon.callers.port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                b"POST /services/order-api/orders HTTP/1.1\r\nHost: x\r\n"
                b"Authorization: Bearer demo-client-key\r\n"
                b"Content-Length: 100\r\n\r\nhalf"
            )
            await writer.drain()
            writer.close()
            async with session.post(CHAT_PATH, json=VALID_CHAT) as response:
                self.assertEqual(200, response.status)
            self.assertEqual([], host.orders.calls)

        self.with_demo(check)

    def test_oversize_head_is_refused(self):
        async def check(host, session):
            size = host.daemon.host.config.limits.header_bytes
            headers = {"X-Padding": "x" * (size + 1)}
            async with session.post(
                CHAT_PATH, json=VALID_CHAT, headers=headers
            ) as response:
                self.assertEqual(431, response.status)
            self.assertEqual([], host.engine.runs)

        self.with_demo(check)
