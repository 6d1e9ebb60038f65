"""The whole path of a request through one host, over loopback sockets."""

import asyncio

import aiohttp

from dogwoodchute.coordination import escrow
from dogwoodchute.gateway import upstream
from dogwoodchute.gateway.accounts import account_rows
from dogwoodchute.standins import attempt_endpoint, row_store
from dogwoodchute.tests import gateway_site, support

TOKENS = {
    "X_Dogwoodchute_Token_Count": "1000,40",
    "X_Dogwoodchute_Prompt_Prefix": "aa:800,bb:200",
}


async def stop(gateway):
    await gateway.leave()
    await gateway.stop()


async def ask_before_and_without_the_store(site):
    """Return the statuses of a stream and of another one once the store is away."""
    first = await site.ask("/s/stream", attempt="t0", **TOKENS)
    await asyncio.sleep(0.3)
    site.faults = lambda kind: row_store.Fault(status=503)
    await asyncio.sleep(2.2)
    again = await site.ask("/s/stream", attempt="t1", **TOKENS)
    return [first[0], again[0]]


async def adopt(site, config):
    """Put a configuration of version 2 and wait until the host has it."""
    site.put("op", "config", config)
    await support.until(lambda: site.host_process.gateway.config_version == 2)


class GatewayTest(support.TestCase):
    def test_an_answer_passes_unchanged_and_headers_are_clean(self):
        async def scenario():
            async with gateway_site.running() as site:
                status, headers, body = await site.ask(
                    "/look/x%2Fy?q=%20",
                    method="GET",
                    X_Dogwoodchute_Tenant="forged",
                    X_Dogwoodchute_Hold="forged",
                    X_Own="kept",
                )
                self.assertEqual((200, b"answer of p1"), (status, body))
                signature = headers["X-Dogwoodchute-Response-Signature"]
                self.assertEqual("sig-p1", signature)
                forwarded = site.endpoints["p1"].received[0].headers
                self.assertEqual("ann", forwarded["x-dogwoodchute-tenant"])
                self.assertEqual("p1", forwarded["x-dogwoodchute-target-instance"])
                self.assertEqual("kept", forwarded["x-own"])
                self.assertNotIn("x-dogwoodchute-hold", forwarded)
                self.assertNotIn("x-dogwoodchute-credential", forwarded)
                self.assertLessEqual(int(forwarded["x-dogwoodchute-deadline-ms"]), 2500)

        self.run_async(scenario())

    def test_what_the_configuration_does_not_allow_is_refused(self):
        async def scenario():
            async with gateway_site.running() as site:
                self.assertEqual(404, (await site.ask("/none/x"))[0])
                self.assertEqual(401, (await site.ask("/look/x", key="bad"))[0])
                self.assertEqual(401, (await site.ask("/look/x", key=None))[0])
                self.assertEqual(200, (await site.ask("/open/x", key=None))[0])
                bad = await site.ask("/s/stream", X_Dogwoodchute_Token_Count="many")
                self.assertEqual(400, bad[0])
                self.assertEqual(1, len(site.endpoints["p1"].received))

        self.run_async(scenario())

    def test_a_new_configuration_is_in_force_at_once(self):
        async def scenario():
            async with gateway_site.running() as site:
                site.put("op", "config", gateway_site.config(version=5, keys=["new"]))
                gate = site.host_process.gateway
                await support.until(lambda: gate.config_version == 5)
                self.assertEqual(401, (await site.ask("/look/x"))[0])
                self.assertEqual(200, (await site.ask("/look/x", key="new"))[0])
                site.put("op", "config", gateway_site.config(version=4))
                await asyncio.sleep(0.2)
                self.assertEqual(401, (await site.ask("/look/x"))[0])

        self.run_async(scenario())

    def test_a_row_tells_of_the_input_of_a_stream_that_has_begun(self):
        async def scenario():
            async with gateway_site.running() as site:
                site.endpoints["e1"].pause = 0.8
                config = gateway_site.config(version=2)
                for route in config["routes"]:
                    # A quarter of this may pass until the first tokens are drawn.
                    route.update(targetLatencyMs=8000, timeoutMs=9000)
                await adopt(site, config)
                part = account_rows.part_of("ann")
                wait = {"X_Dogwoodchute_Deadline_Ms": "9000"}
                request = asyncio.create_task(site.ask("/s/stream", **TOKENS, **wait))

                def held():
                    read = site.store.read("holdings", part, None, None).rows
                    return read and account_rows.decode_holding(read[0].value)

                await support.until(lambda: held() and held().spent)
                self.assertFalse(request.done())
                self.assertEqual((1000, 40), (held().spent, held().reserved))
                await request
                await support.until(lambda: held().spent == 1020)
                await support.until(lambda: held().reserved == 0)

        self.run_async(scenario())

    def test_a_broken_stream_goes_on_at_another_engine_each_event_once(self):
        async def scenario():
            async with gateway_site.running() as site:
                other = await site.add_endpoint("e2", "engines")
                first = site.endpoints["e1"]
                # Whichever is asked first breaks off; the stream resumes at the other.
                first.next_modes = other.next_modes = [attempt_endpoint.BREAK]
                await support.until(
                    lambda: site.host_process.gateway.endpoint_count == 3
                )
                status, _, body = await site.ask("/s/stream", attempt="b1", **TOKENS)
                events = b"".join(
                    b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, 6)
                )
                self.assertEqual((200, events), (status, body))
                self.assertEqual(["b1"], first.runs)
                self.assertEqual(["b1"], other.runs)

        self.run_async(scenario())

    def test_a_broken_stream_that_may_not_run_twice_is_cut(self):
        async def scenario():
            async with gateway_site.running() as site:
                site.endpoints["e1"].next_modes = [attempt_endpoint.BREAK]
                with self.assertRaises(aiohttp.ClientError):
                    await site.ask("/o/stream", **TOKENS)
                self.assertEqual(["a1"], site.endpoints["e1"].runs)

        self.run_async(scenario())

    def test_an_endpoint_whose_address_another_has_gets_no_more(self):
        """Guards against sending each request to a listed endpoint that has ended."""

        async def scenario():
            async with gateway_site.running() as site:
                plain = site.endpoints["p1"]
                port = int(site.addresses["p1"].rpartition(":")[2])
                site.register("ended", "plain", port)
                await support.until(
                    lambda: site.host_process.gateway.endpoint_count == 3
                )
                for number in range(8):
                    answer = await site.ask(
                        "/look/x", method="GET", attempt=f"n{number}"
                    )
                    self.assertEqual(200, answer[0])
                self.assertLessEqual(plain.misdirected, 1)
                self.assertEqual(8, len(plain.runs))

        self.run_async(scenario())

    def test_an_endpoint_that_ended_gets_one_request_while_the_store_is_away(self):
        """Guards against using it again after 4 s though its row has not changed."""

        async def scenario():
            async with gateway_site.running() as site:
                plain = site.endpoints["p1"]
                port = int(site.addresses["p1"].rpartition(":")[2])
                site.register("ended", "plain", port)
                await support.until(
                    lambda: site.host_process.gateway.endpoint_count == 3
                )
                site.faults = lambda kind: row_store.Fault(status=503)
                for number in range(16):
                    await site.ask("/look/x", method="GET", attempt=f"n{number}")
                    await asyncio.sleep(0.3)
                self.assertEqual(1, plain.misdirected)
                site.faults = lambda kind: row_store.NO_FAULT
                site.register("ended", "plain", port)
                await support.until(
                    lambda: site.host_process.gateway.ready_endpoints("plain") == 2
                )

        self.run_async(scenario())

    def test_a_request_to_an_endpoint_that_ended_goes_on_at_another(self):
        """Guards against a 503 on a route with one attempt, though nothing was run."""

        async def scenario():
            async with gateway_site.running() as site:
                # Without a budget no request waits for a commit and is refused for it.
                await adopt(site, gateway_site.config(version=2, prepaid=None))
                engine = site.endpoints["e1"]
                port = int(site.addresses["e1"].rpartition(":")[2])
                site.register("ended", "engines", port)
                await support.until(
                    lambda: site.host_process.gateway.endpoint_count == 3
                )
                for number in range(12):
                    prompt = {**TOKENS, "X_Dogwoodchute_Prompt_Prefix": f"{number}:90"}
                    answer = await site.ask("/o/stream", attempt=f"n{number}", **prompt)
                    self.assertEqual(200, answer[0])
                self.assertEqual(1, engine.misdirected)
                self.assertEqual(12, len(engine.runs))

        self.run_async(scenario())

    def test_an_endpoint_to_which_connecting_took_too_long_is_tried_once_more(self):
        """The only sound endpoint counted as tried, though nothing was sent to it."""

        async def scenario():
            async with gateway_site.running() as site:
                real = upstream.Upstream.send
                sends = []

                async def send(connections, call, endpoint, **options):
                    sends.append(call.request.attempt_id)
                    if sends.count(call.request.attempt_id) <= slow:
                        return upstream.NotSent(
                            reason="slow", peer=endpoint.id, timed_out=True
                        )
                    return await real(connections, call, endpoint, **options)

                self.patch(upstream.Upstream, "send", send)
                slow = 1
                status, _, _ = await site.ask("/order/x", attempt="once")
                self.assertEqual(200, status)
                slow = 9
                status, _, _ = await site.ask("/order/x", attempt="always")
                self.assertEqual(503, status)
                self.assertEqual(["once"] * 2 + ["always"] * 2, sends)
                self.assertEqual(["once"], site.endpoints["p1"].runs)

        self.run_async(scenario())

    def test_the_configuration_bounds_the_headers_of_requests(self):
        """Its limit was read and not applied."""

        async def scenario():
            async with gateway_site.running() as site:
                large = {"X_Large": "x" * 4000}
                status, _, _ = await site.ask("/look/x", attempt="a1", **large)
                self.assertEqual(200, status)
                plain = gateway_site.config(version=2)
                site.put("op", "config", {**plain, "limits": {"maxHeaderBytes": 3000}})
                gateway = site.host_process.gateway
                await support.until(lambda: gateway.config_version == 2)
                status, _, _ = await site.ask("/look/x", attempt="a2", **large)
                self.assertIn(status, (413, 431))
                status, _, _ = await site.ask("/look/x", attempt="a3")
                self.assertEqual(200, status)
                self.assertEqual(["a1", "a3"], site.endpoints["p1"].runs)

        self.run_async(scenario())

    def test_the_last_endpoint_of_an_idempotent_call_gets_all_its_time(self):
        """Guards against giving up after 0.3 s for a retry without another endpoint."""

        async def scenario():
            async with gateway_site.running() as site:
                plain = site.endpoints["p1"]
                plain.delay = 1.0
                answer = await site.ask("/look/x", method="GET")
                self.assertEqual(200, answer[0])
                self.assertEqual(["a1"], plain.runs)

        self.run_async(scenario())

    def test_not_run_is_only_said_of_what_did_not_run(self):
        async def scenario():
            async with gateway_site.running() as site:
                plain = site.endpoints["p1"]
                cases = [
                    (attempt_endpoint.SHED, 503),
                    (attempt_endpoint.OTHER_ID, 502),
                    (attempt_endpoint.UNSIGNED, 502),
                    (attempt_endpoint.ERROR, 500),
                ]
                for number, (mode, expected) in enumerate(cases):
                    plain.next_modes = [mode]
                    answer = await site.ask("/order/x", attempt=f"n{number}")
                    self.assertEqual(expected, answer[0], mode)
                    self.assertEqual(expected == 503, "Retry-After" in answer[1])
                plain.next_modes = [attempt_endpoint.SILENT]
                late = await site.ask(
                    "/order/x", attempt="n9", X_Dogwoodchute_Deadline_Ms="300"
                )
                self.assertEqual(504, late[0])
                self.assertEqual(5, len(plain.received))

        self.run_async(scenario())

    def test_an_idempotent_call_is_sent_to_a_second_endpoint(self):
        async def scenario():
            async with gateway_site.running() as site:
                other = await site.add_endpoint("p2", "plain")
                await support.until(
                    lambda: site.host_process.gateway.endpoint_count == 3
                )
                plain = site.endpoints["p1"]
                plain.next_modes = other.next_modes = [attempt_endpoint.ERROR]
                answer = await site.ask("/look/x", method="GET")
                self.assertEqual(200, answer[0])
                self.assertEqual(["a1"], plain.runs)
                self.assertEqual(["a1"], other.runs)

        self.run_async(scenario())

    def test_a_caller_that_leaves_stops_the_run(self):
        async def scenario():
            async with gateway_site.running() as site:
                engine = site.endpoints["e1"]
                engine.events, engine.pause = 1000, 0.05
                with self.assertRaises(TimeoutError):
                    async with asyncio.timeout(0.5):
                        await site.ask("/s/stream", **TOKENS)
                await support.until(lambda: engine.cancelled == 1, seconds=1.0)

        self.run_async(scenario())

    def test_the_budget_covers_requests_at_their_most_and_no_more(self):
        async def scenario():
            async with gateway_site.running() as site:
                site.put("op", "config", gateway_site.config(version=2, prepaid=3300))
                gate = site.host_process.gateway
                await support.until(lambda: gate.config_version == 2)
                statuses = []
                for number in range(4):
                    answer = await site.ask("/s/stream", attempt=f"t{number}", **TOKENS)
                    statuses.append(answer[0])
                # Each uses 1000 tokens and 20 for its five events.
                self.assertEqual([200, 200, 200, 402], statuses)
                self.assertEqual(3, len(site.endpoints["e1"].runs))

        self.run_async(scenario())

    def test_without_the_store_what_was_drawn_is_spent(self):
        async def scenario():
            async with gateway_site.running() as site:
                statuses = await ask_before_and_without_the_store(site)
                self.assertEqual([200, 200], statuses)
                self.assertEqual(200, (await site.ask("/look/x"))[0])

        self.run_async(scenario())

    def test_a_slow_endpoint_is_waited_for_if_there_is_no_other(self):
        """Guards against breaking a stream off with no endpoint to resume at."""

        async def scenario():
            async with gateway_site.running() as site:
                site.endpoints["e1"].events, site.endpoints["e1"].pause = 2, 1.4
                site.endpoints["p1"].delay = 0.6
                wait = {"X_Dogwoodchute_Deadline_Ms": "3000"}
                status, _, body = await site.ask("/s/stream", **TOKENS, **wait)
                self.assertEqual((200, 2), (status, body.count(b"data:")))
                self.assertEqual(200, (await site.ask("/look/x"))[0])
                self.assertEqual(1, len(site.endpoints["e1"].received))

        self.run_async(scenario())

    def test_a_slow_stream_is_waited_for_if_the_retry_budget_is_spent(self):
        """Guards against breaking off more slow streams than the budget can retry."""

        async def scenario():
            async with gateway_site.running() as site:
                await site.add_endpoint("e2", "engines")
                await support.until(
                    lambda: site.host_process.gateway.endpoint_count == 3
                )
                for name in ("e1", "e2"):
                    site.endpoints[name].events, site.endpoints[name].pause = 2, 1.25
                wait = {"X_Dogwoodchute_Deadline_Ms": "3000"}
                requests = [
                    site.ask("/s/stream", attempt=f"t{n}", **wait) for n in range(12)
                ]
                for status, _, body in await asyncio.gather(*requests):
                    self.assertEqual((200, 2), (status, body.count(b"data:")))

        self.run_async(scenario())

    def test_a_planned_stop_finishes_what_is_under_way(self):
        async def scenario():
            async with gateway_site.running() as site:
                engine = site.endpoints["e1"]
                engine.events, engine.pause = 10, 0.05
                request = asyncio.create_task(site.ask("/s/stream", **TOKENS))
                await support.until(lambda: engine.runs)
                stopping = asyncio.create_task(stop(site.host_process.gateway))
                await asyncio.sleep(0.05)
                self.assertFalse(site.host_process.gateway.ready())
                status, headers, body = await request
                self.assertEqual(200, status)
                self.assertEqual(10, body.count(b"data:"))
                await stopping
                part = account_rows.part_of("ann")
                held = site.store.read("holdings", part, None, None).rows
                shared = site.store.read("accounts", part, None, None).rows
                self.assertEqual(1, len(held))
                row = account_rows.decode_account(shared[0].value)
                self.assertEqual(escrow.Account(drawn=1040), row)
                bills = site.store.read("bills", part, None, None).rows
                self.assertEqual(b'[["a1",1000,40]]', bills[0].value)

        self.run_async(scenario())
