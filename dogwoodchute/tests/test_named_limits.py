"""Endpoints in need name the requests a second that they take from all hosts."""

import asyncio
import contextlib
import json
import random
import time

from dogwoodchute import log
from dogwoodchute.coordination import named_limits
from dogwoodchute.gateway import gossip
from dogwoodchute.gateway.registered import endpoint_limits, endpoint_words
from dogwoodchute.tests import gateway_site, raw_endpoint, support, test_odd_rows

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


async def ask_for(site, seconds, *, path="/look/x", prompts=False):
    """Ask all hosts in turn, with prompts of their own; return the statuses."""
    asked = []
    began = time.monotonic()
    while (elapsed := time.monotonic() - began) < seconds:
        process = site.host_processes[len(asked) % len(site.host_processes)]
        attempt = f"r{len(asked)}-{began:.3f}"
        headers = prompt_of(len(asked)) if prompts else {}
        address = site.address_of(process)
        request = site.ask(path, attempt=attempt, address=address, **headers)
        asked.append(asyncio.create_task(request))
        await asyncio.sleep(max(0.0, (len(asked) / RATE) - elapsed))
    return [status for status, _, _ in await asyncio.gather(*asked)]


def prompt_of(number):
    """Return the headers of a prompt that shares nothing with others."""
    return {
        "X_Dogwoodchute_Token_Count": "50,20",
        "X_Dogwoodchute_Prompt_Prefix": f"{number:08x}:50",
    }


class FleetTest(support.TestCase):
    def check(
        self, limit, *, path="/look/x", service="plain", prompts=False, **options
    ):
        """Ask a fleet of which one endpoint names a limit; check what that one gets."""

        async def scenario():
            limited = LimitedEndpoint(**options)
            others = [LimitedEndpoint(**options), LimitedEndpoint(**options)]
            async with running(limited, *others, service=service) as site:
                await ask_for(site, 1.0, path=path, prompts=prompts)
                limited.limit = b"%g" % limit
                named_at = time.monotonic()
                statuses = await ask_for(site, SECONDS, path=path, prompts=prompts)
                counted = [at for at in limited.times if at > named_at + CONTACT]
                self.assertLessEqual(most_in_window(counted), allowed(limit))
                self.assertEqual({200}, set(statuses))
                # Its requests are owed to callers.
                self.assertGreater(len(counted), 0)

        self.run_async(scenario())

    def test_an_endpoint_gets_no_more_than_the_limit_that_it_named(self):
        self.check(1.0)

    def test_so_does_an_engine_by_the_heads_of_its_streams(self):
        body = b"id: 1\ndata: a\n\n"
        self.check(2.5, path="/s/stream", service="engines", prompts=True, body=body)

    def test_refusals_and_errors_name_it_too(self):
        lines = self.collect_lines("endpoint_limit")

        async def scenario():
            refusing = LimitedEndpoint(
                kind=b"503 Busy", headers=b"X-Dogwoodchute-Not-Executed: 1", limit=b"1"
            )
            failing = LimitedEndpoint(kind=b"500 Failed", limit=b"2")
            async with running(refusing, failing, hosts=1) as site:
                for number in range(4):
                    await site.ask("/look/x", attempt=f"a{number}")

        self.run_async(scenario())
        self.assertEqual({"1", "2"}, {line["rate"] for line in lines})

    def test_odd_values_change_nothing_and_are_logged_once(self):
        odd = (b"-1", b"nan", b"inf", b"1e400", b"soon", b"", b"1, 2", b"9" * 5000)
        lines = self.collect_lines("endpoint_limit")
        ignored = []
        self.patch(log, "warning", lambda event, **fields: ignored.append(event))

        async def scenario():
            endpoint = LimitedEndpoint()
            async with running(endpoint, hosts=1) as site:
                for number, value in enumerate((*odd, b"1\r\nServer-Limit: 2")):
                    endpoint.limit = value
                    status, _, _ = await site.ask("/look/x", attempt=f"a{number}")
                    self.assertEqual(200, status, value)

        self.run_async(scenario())
        self.assertEqual([], lines)
        self.assertEqual(1, ignored.count("endpoint_limit_ignored"))

    def test_a_service_at_its_limits_refuses_at_once_and_says_when_to_return(self):
        async def scenario():
            endpoint = LimitedEndpoint(limit=b"0.5")
            async with running(endpoint, hosts=1) as site:
                await site.ask("/look/x", attempt="a0")
                waits = []
                for number in range(3):
                    began = time.monotonic()
                    status, headers, _ = await site.ask("/look/x", attempt=f"b{number}")
                    self.assertEqual(503, status)
                    self.assertLess(time.monotonic() - began, 0.3)
                    waits.append(float(headers["Retry-After"]))
                self.assertEqual(["a0"], endpoint.attempts)
                # A share begins later than it is named; each caller has its own turn.
                for number, wait in enumerate(waits):
                    least = named_limits.GROWTH_DELAY + 2.0 * (number + 1) - 0.5
                    self.assertGreaterEqual(wait, least)
                await asyncio.sleep(named_limits.GROWTH_DELAY + 2.0)
                status, _, _ = await site.ask("/look/x", attempt="c0")
                self.assertEqual(200, status)

        self.run_async(scenario())


class ShareTest(support.TestCase):
    """Hosts that divide a rate, on simulated time, each with its own list of hosts."""

    def run_fleet(self, rate, hosts, *, seconds=60.0, changes=0, seed=1, lag=1.0):
        """Let all hosts send whenever they may; return the times of all requests.

        Hosts leave and come back; each other host learns of it up to `lag` seconds
        later.
        """
        rng = random.Random(seed)
        names = [f"host-{number}" for number in range(hosts)]
        shares, lists, news = {}, {}, []
        for name in names:
            shares[name] = named_limits.Share(endpoint="e1", host=name, now=0.0)
            lists[name] = {other for other in names if other != name}
            shares[name].update(rate, lists[name], 0.0)
        for _ in range(changes):
            at, name = rng.uniform(5.0, seconds - 10.0), rng.choice(names)
            for host in names:
                if host != name:
                    news.append((at + rng.uniform(0.0, lag), host, name, False))
                    back_at = at + rng.uniform(3.0, 3.0 + lag)
                    news.append((back_at, host, name, True))
        news.sort(reverse=True)
        times, now = [], 0.0
        while now < seconds:
            now += min(0.05, 0.2 / max(1.0, rate))
            while news and news[-1][0] <= now:
                _, host, name, is_there = news.pop()
                (lists[host].add if is_there else lists[host].discard)(name)
                shares[host].update(rate, lists[host], now)
            for share in shares.values():
                if share.wait(now) <= 0.0:
                    share.take(now)
                    times.append(now)
        return times

    def test_the_sum_keeps_the_limit_and_uses_it(self):
        for rate in (0.3, 1.0, 1.1, 2.5, 7.0, 40.0):
            for hosts in (1, 3, 9, 195):
                times = self.run_fleet(rate, hosts)
                self.assertLessEqual(
                    most_in_window(times), allowed(rate), (rate, hosts)
                )
                self.assertGreater(len(times), 0.8 * 50.0 * rate, (rate, hosts))

    def test_the_sum_keeps_the_limit_while_hosts_come_and_go(self):
        for seed in range(8):
            for rate, hosts in ((1.0, 9), (2.5, 9), (1.0, 60)):
                times = self.run_fleet(rate, hosts, changes=12, seed=seed)
                most = most_in_window(times)
                self.assertLessEqual(most, allowed(rate), (seed, rate, hosts))

    def test_an_endpoint_that_takes_none_is_asked_now_and_then(self):
        times = self.run_fleet(0.0, 9)
        self.assertLessEqual(most_in_window(times), 2)
        self.assertGreaterEqual(len(times), 3)

    def test_a_limit_that_changes_all_the_time_leaves_a_share(self):
        share = named_limits.Share(endpoint="e1", host="h1", now=0.0)
        sent = 0
        for step in range(400):
            now = step * 0.1
            share.update(1.0 + 0.1 * (step % 3), [], now)
            if share.wait(now) <= 0.0:
                share.take(now)
                sent += 1
        self.assertGreater(sent, 25)


class WordsTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.endpoint = test_odd_rows.decode.endpoint(
            "e1", json.dumps(test_odd_rows.SOUND).encode()
        )
        self.limits = endpoint_limits.EndpointLimits(
            host="h1", others=lambda: (), now=lambda: self.now
        )

    def rates(self):
        return {name: rate for name, rate, _ in self.limits.said()}

    def test_an_answer_without_the_header_ends_a_limit(self):
        self.limits.hear(self.endpoint, 1.0, sent_at=99.0)
        self.now = 101.0
        self.limits.hear(self.endpoint, None, sent_at=100.5)
        self.assertEqual(0.0, self.limits.wait("e1"))
        self.assertEqual({"e1": None}, self.rates())

    def test_an_older_answer_does_not_end_it(self):
        self.limits.hear(self.endpoint, 1.0, sent_at=99.0)
        self.now = 101.0
        self.limits.hear(self.endpoint, None, sent_at=99.5)
        self.assertEqual({"e1": 1.0}, self.rates())

    def test_a_younger_word_beats_an_older_one_that_arrives_later(self):
        self.limits.learn("e1", 2.0, 99.0)
        self.limits.learn("e1", 1.0, 98.0)
        self.assertEqual({"e1": 2.0}, self.rates())
        self.limits.learn("e1", None, 99.5)
        self.limits.learn("e1", 2.0, 99.2)
        self.assertEqual({"e1": None}, self.rates())
        self.limits.learn("e1", 3.0, 99.8)
        self.assertEqual({"e1": 3.0}, self.rates())

    def test_an_end_beats_an_older_word_that_was_not_heard_before(self):
        self.limits.learn("e1", None, 99.5)
        self.limits.learn("e1", 1.0, 99.0)
        self.assertEqual({"e1": None}, self.rates())
        self.assertFalse(self.limits.has_any)

    def test_a_limit_of_which_nobody_hears_expires(self):
        self.limits.hear(self.endpoint, 0.0, sent_at=99.0)
        self.now += endpoint_limits.LIFETIME + 0.1
        self.assertEqual(0.0, self.limits.wait("e1"))
        self.assertFalse(self.limits.has_any)

    def test_one_that_is_gone_or_restarted_begins_anew(self):
        self.limits.hear(self.endpoint, 1.0, sent_at=99.0)
        self.limits.forget("e1")
        self.assertEqual(0.0, self.limits.wait("e1"))
        self.assertEqual([], self.limits.said())

    def test_words_survive_a_datagram_and_odd_ones_do_not(self):
        words = (
            endpoint_words.Word("e1", 1, 0.5),
            endpoint_words.Word("e2", 2, 0.25, endpoint_words.LIMIT, 1.5),
            endpoint_words.Word("e3", 3, 0.0, endpoint_words.LIMIT, None),
        )
        report = gossip.LoadReport("h1", 1, 0, 0, 1, 0.0, {}, words)
        self.assertEqual(words, gossip.decode(gossip.encode(report)).words)
        for odd in (
            words[1]._replace(rate=float("nan")),
            words[1]._replace(rate=-1.0),
            words[1]._replace(rate="much"),
            words[1]._replace(age=float("inf")),
            words[1]._replace(kind="unheard"),
            ("e1",),
        ):
            data = gossip.encode(report._replace(words=(odd,)))
            self.assertIsNone(gossip.decode(data), odd)

    def test_that_an_endpoint_leaves_is_told_before_limits(self):
        limits = [
            endpoint_words.Word(f"e{number}", 1, 0.1, endpoint_words.LIMIT, 1.0)
            for number in range(endpoint_words.MAX_WORDS)
        ]
        leaving = endpoint_words.Word("gone", 1, 4.0)
        told = endpoint_words.recent([*limits, leaving])
        self.assertEqual(leaving, told[0])
        self.assertEqual(endpoint_words.MAX_WORDS, len(told))
