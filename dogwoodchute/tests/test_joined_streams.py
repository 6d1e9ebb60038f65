"""ORDER and LOST: streams while endpoints of two software versions serve.

A stream may go on only at the software version that began it.
"""

import asyncio
import contextlib
import random

from dogwoodchute.standins import attempt_endpoint
from dogwoodchute.tests import (
    gateway_process,
    gateway_site,
    stream_callers,
    support,
)

V1, V2 = "v1", "v2"
MIXED = {"e1": V1, "e2": V1, "e3": V1, "e4": V2, "e5": V2, "e6": V2}
SAME = dict.fromkeys(MIXED, V1)
ENDING = ("e1", "e4")  # endpoints that break off streams; two of each version are left
STREAMS = 36
EVENTS = 12  # of each stream
PAUSE = 0.1  # seconds between events
SHORT_PAUSE = 0.03  # seconds between events, if a silence of a second lies between
READ_BEFORE = 2  # events after which a caller loses its connection
MAX_JOINED = 2  # streams; ORDER is broken by more
MIN_SHARE = 0.5  # of the share of new streams that begin; LOST is broken by less
MIN_BROKEN = 6  # streams that a test must break off to tell anything
AT_ONCE = 1.0  # seconds; a caller leaves a host that reads nothing for longer
RETRIES = 2 * STREAMS
# Streams that fill a host's retry budget, so that most of those broken off may go on.
FILLING = 120
UNKNOWN = "of-nobody"  # attempt id
# Of the times at which streams begin, and of the order in which they are taken up: in
# the order in which they began they would get the endpoints that they had.
SEED = 44
SPREAD = 0.3  # seconds in which streams begin, if at random times


class StreamVersionsTest(support.TestCase):
    def check_order(self, streams, *, most=0):
        """Check that at most so many streams hold events of two software versions."""
        for stream in streams:
            ids = [number for number, _ in stream.events]
            self.assertEqual(list(range(1, len(ids) + 1)), ids)
            if stream.is_whole:
                self.assertEqual(EVENTS, len(ids))
        joined = {s.name: s.versions for s in streams if len(s.versions) > 1}
        self.assertLessEqual(len(joined), most, f"{len(joined)} joined: {joined}")

    def check_lost(self, streams):
        """Check that enough streams went on; all of them had begun."""
        self.assertEqual(STREAMS, len(streams))
        went_on = [s for s in streams if s.is_whole]
        self.assertGreaterEqual(len(went_on), MIN_SHARE * len(streams))

    def check_refused(self, streams):
        """Check that no stream went on, and each try was refused at once as not run."""
        self.check_order(streams)
        for stream in streams:
            self.assertEqual(READ_BEFORE, len(stream.events), stream.name)
            self.assertEqual([503], list({f.status for f in stream.failures}))
            for failure in stream.failures:
                self.assertIsNotNone(failure.retry_after)
                self.assertLess(failure.seconds, AT_ONCE)


class EndpointsEndTest(StreamVersionsTest):
    """A host sends a stream on as its endpoint breaks off or goes silent."""

    def break_streams(self, mode):
        async def scenario():
            async with running() as site:
                await fill_retry_budget(site, pause=SHORT_PAUSE)
                for name in ENDING:
                    site.endpoints[name].next_modes = [mode] * RETRIES
                streams = await begin([site.address], spread=SPREAD)
                broken = [s for s in streams if began_at(site, s) in ENDING]
                self.assertGreaterEqual(len(broken), MIN_BROKEN)
                self.check_order(streams)

        self.run_async(scenario())

    def test_a_stream_goes_on_at_no_other_version_after_its_endpoint_ended(self):
        async def scenario():
            async with running() as site:
                await fill_retry_budget(site, pause=PAUSE)
                streams = make_streams()
                reading = asyncio.create_task(
                    read_all(streams, [site.address], spread=SPREAD)
                )
                await support.until(lambda: all(s.events for s in streams))
                ended = [s for s in streams if began_at(site, s) in ENDING]
                self.assertGreaterEqual(len(ended), MIN_BROKEN)
                await site.end_endpoint(ENDING[0])
                await asyncio.sleep(3 * PAUSE)
                self.assertFalse(any(s.is_whole for s in streams))
                await site.end_endpoint(ENDING[1])
                await reading
                self.check_order(streams)

        self.run_async(scenario())

    def test_a_stream_goes_on_at_no_other_version_after_a_fin(self):
        self.break_streams(attempt_endpoint.CLOSE)

    def test_a_stream_goes_on_at_no_other_version_after_an_abort(self):
        self.break_streams(attempt_endpoint.ABORT)

    def test_a_silent_stream_goes_on_at_no_other_version(self):
        self.break_streams(attempt_endpoint.HANG)


class TakeUpTest(StreamVersionsTest):
    """A caller whose connection broke takes its stream up at another host."""

    def take_up(self, check, *, versions=MIXED, resumes=None):
        """Run `check(streams)` after all streams were taken up at another host."""

        async def scenario():
            async with running(versions, hosts=2) as site:
                first, second = map(site.address_of, site.host_processes)
                streams = await begin([first], most=READ_BEFORE)
                await take_up_all(streams, [second], resumes=resumes)
                check(streams)

        self.run_async(scenario())

    def check_both(self, streams):
        self.check_order(streams, most=MAX_JOINED)
        self.check_lost(streams)

    def test_a_stream_that_is_taken_up_goes_on_at_its_version_only(self):
        self.take_up(self.check_both)

    def test_a_stream_that_is_taken_up_twice_goes_on_at_its_version_only(self):
        """The second take-up names the first attempt as well."""

        async def scenario():
            async with running(hosts=3) as site:
                first, second, third = map(site.address_of, site.host_processes)
                streams = await begin([first], most=READ_BEFORE)
                await take_up_all(streams, [second], most=2 * READ_BEFORE)
                await take_up_all(streams, [third])
                self.check_both(streams)

        self.run_async(scenario())

    def test_a_take_up_that_names_no_attempt_is_refused_as_not_run(self):
        self.take_up(self.check_refused, resumes="")

    def test_a_take_up_of_an_attempt_that_nobody_knows_is_refused_as_not_run(self):
        self.take_up(self.check_refused, resumes=UNKNOWN)

    def test_a_request_without_a_last_event_begins_anew_though_it_names_one(self):
        async def scenario():
            async with running(hosts=2) as site:
                first, second = map(site.address_of, site.host_processes)
                streams = await begin([first], most=READ_BEFORE)
                anew = make_streams("anew")
                named = {"Resumes": streams[0].first_attempt}
                await read_all(anew, [second], **named)
                self.assertTrue(all(s.is_whole for s in anew))
                self.check_order(anew)

        self.run_async(scenario())

    def test_each_take_up_goes_on_while_one_version_has_always_served(self):
        def check(streams):
            self.check_order(streams)
            self.assertTrue(all(s.is_whole for s in streams))

        for resumes in (None, "", UNKNOWN):
            with self.subTest(resumes=resumes):
                self.take_up(check, versions=SAME, resumes=resumes)


class HostsKilledTest(StreamVersionsTest):
    """All hosts are killed at once in mid-stream and come back."""

    def kill_hosts(self, check, *, versions=MIXED, left=()):
        """Run `check(streams)` after all streams were taken up at new processes.

        Endpoints of the software versions in `left` leave while there are no hosts.
        """

        async def scenario():
            async with processes(versions) as hosts:
                site = hosts[0]
                streams = make_streams()
                reading = asyncio.create_task(read_all(streams, addresses(hosts)))
                await support.until(
                    lambda: all(len(s.events) >= READ_BEFORE for s in streams)
                )
                for host in hosts:
                    host.kill()
                self.assertFalse(any(s.is_whole for s in streams))
                await reading
                began_by = {s.name: s.versions for s in streams}
                for name, version in versions.items():
                    if version in left:
                        site.put("servers", name, None)
                        await site.end_endpoint(name)
                await asyncio.gather(*(host.start_again() for host in hosts))
                for stream in streams:
                    stream.failures.clear()
                await take_up_all(streams, reversed(addresses(hosts)))
                check(streams, began_by)

        self.run_async(scenario(), timeout=120.0)

    def test_a_stream_goes_on_at_its_version_only_after_all_hosts_were_killed(self):
        def check(streams, began_by):
            self.check_order(streams, most=MAX_JOINED)
            self.check_lost(streams)

        self.kill_hosts(check)

    def test_a_stream_whose_version_has_left_is_refused_after_all_hosts_died(self):
        def check(streams, began_by):
            old = [s for s in streams if began_by[s.name] == [V1]]
            self.assertGreaterEqual(len(old), MIN_BROKEN)
            self.check_order(streams)
            self.check_refused(old)

        self.kill_hosts(check, left=(V1,))

    def test_each_stream_goes_on_after_all_hosts_were_killed_beside_one_version(self):
        def check(streams, began_by):
            self.check_order(streams)
            self.assertTrue(all(s.is_whole for s in streams))

        self.kill_hosts(check, versions=SAME)


def make_streams(prefix="s", count=STREAMS):
    return [
        stream_callers.Stream(name=f"{prefix}{number}")
        for number in range(1, count + 1)
    ]


async def fill_retry_budget(site, *, pause):
    """Let short streams run; set the `pause` of later ones."""
    for endpoint in site.endpoints.values():
        endpoint.pause = 0.0
    await read_all(make_streams("filling", FILLING), [site.address])
    for endpoint in site.endpoints.values():
        endpoint.pause = pause


def addresses(hosts):
    return [host.address for host in hosts]


def began_at(site, stream):
    """Return the name of the endpoint that began a stream."""
    for name, endpoint in site.endpoints.items():
        for request in endpoint.received:
            is_resumed = "last-event-id" in request.headers
            if request.attempt_id == stream.first_attempt and not is_resumed:
                return name
    raise LookupError(stream.name)


async def read_all(streams, at, *, spread=0.0, **options):
    """Let callers begin `streams` within `spread` seconds, at hosts in turn.

    Returns when all have ended. `options` are those of `read`.
    """
    at = list(at)
    rng = random.Random(SEED)

    async def read(stream, address, pause):
        await asyncio.sleep(pause)
        await stream.read(session, address, **options)

    async with stream_callers.new_session() as session:
        await asyncio.gather(
            *(
                read(stream, at[number % len(at)], rng.uniform(0.0, spread))
                for number, stream in enumerate(streams)
            )
        )


async def begin(at, **options):
    """Return streams that began at hosts; `options` are those of `read_all`."""
    streams = make_streams()
    await read_all(streams, at, **options)
    return streams


async def take_up_all(streams, at, **options):
    """Let the callers of `streams` take them up at hosts in turn."""
    at = list(at)
    in_order = random.Random(SEED).sample(streams, len(streams))
    async with stream_callers.new_session() as session:
        await asyncio.gather(
            *(
                stream.take_up(session, at[number % len(at)], **options)
                for number, stream in enumerate(in_order)
            )
        )


async def add_endpoints(site, versions):
    site.put("op", "config", gateway_site.config())
    for name, software in versions.items():
        await site.add_endpoint(
            name, "engines", software=software, events=EVENTS, pause=PAUSE
        )
    await site.add_endpoint("p1", "plain")


@contextlib.asynccontextmanager
async def running(versions=MIXED, *, hosts=1):
    """Run hosts in this process, beside endpoints of these software versions."""
    site = gateway_site.Site()
    await add_endpoints(site, versions)
    await site.start(hosts=hosts, in_touch=True)
    try:
        yield site
    finally:
        await site.stop()


@contextlib.asynccontextmanager
async def processes(versions):
    """Run two hosts as processes, beside endpoints of these software versions.

    The first one has the store and the endpoints.
    """
    hosts = [gateway_process.GatewayProcess(node=name) for name in ("h1", "h2")]
    try:
        await add_endpoints(hosts[0], versions)
        store = await hosts[0].start_store()
        await asyncio.gather(*(host.start(store=store) for host in hosts))
        yield hosts
    finally:
        for host in reversed(hosts):
            await host.stop()
