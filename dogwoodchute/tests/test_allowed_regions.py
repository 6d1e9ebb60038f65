"""Requests are served, resumed and offered only in the regions that they allow."""

import contextlib
import json

from dogwoodchute import log, outcomes
from dogwoodchute.gateway import directory, model
from dogwoodchute.gateway.places import allowed_regions
from dogwoodchute.platform import decode
from dogwoodchute.standins import attempt_endpoint
from dogwoodchute.tests import gateway_calls, gateway_site, support

REGIONS = {"z1": "r1", "z2": "r2"}
R1, R2 = frozenset({"r1"}), frozenset({"r2"})
EVENT_ID = "2"


@contextlib.asynccontextmanager
async def running(*allowed, near=True, far=True):
    """Run a host in r1 with endpoints in r1 (`near`) and r2 (`far`)."""
    site = gateway_site.Site(regions=REGIONS)
    site.put("op", "config", gateway_site.config(regions=allowed))
    for service in ("engines", "plain"):
        if near:
            await site.add_endpoint(f"near-{service}", service)
        if far:
            await site.add_endpoint(f"far-{service}", service, zone="z2")
    await site.start()
    try:
        yield site
    finally:
        await site.stop()


class SiteTest(support.TestCase):
    def test_plain_calls_and_streams_run_in_an_allowed_region_only(self):
        async def scenario():
            async with running("r2") as site:
                for number in range(6):
                    path = ("/look/x", "/s/stream", "/order/x")[number % 3]
                    status, _, _ = await site.ask(path, attempt=f"a{number}")
                    self.assertEqual(200, status)
                self.assertEqual([], site.endpoints["near-plain"].received)
                self.assertEqual([], site.endpoints["near-engines"].received)

        self.run_async(scenario())

    def test_a_try_after_a_loss_stays_in_an_allowed_region(self):
        async def scenario():
            async with running("r2") as site:
                await site.end_endpoint("far-plain")
                status, _, _ = await site.ask("/look/x")
                self.assertIn(status, (502, 503))
                self.assertEqual([], site.endpoints["near-plain"].received)

        self.run_async(scenario())

    def test_a_broken_stream_goes_on_in_an_allowed_region_or_not_at_all(self):
        async def scenario():
            async with running("r2") as site:
                broken = site.endpoints["far-engines"]
                broken.next_modes = [attempt_endpoint.CLOSE]
                with contextlib.suppress(*gateway_site.BROKEN):
                    await site.ask("/s/stream")
                self.assertEqual([], site.endpoints["near-engines"].received)
                self.assertEqual(1, len(broken.received))

        self.run_async(scenario())

    def test_a_stream_that_its_caller_takes_up_goes_on_in_an_allowed_region(self):
        async def scenario():
            async with running("r2") as site:
                taken_up = {"Resumes": "a1", "Last_Event_Id": EVENT_ID}
                status, _, _ = await site.ask("/s/stream", attempt="a2", **taken_up)
                self.assertEqual(200, status)
                self.assertEqual([], site.endpoints["near-engines"].received)
                self.assertEqual(["a2"], site.endpoints["far-engines"].runs)

        self.run_async(scenario())

    def test_without_an_endpoint_there_it_is_refused_at_once_and_logged_once(self):
        errors = []
        self.patch(log, "error", lambda event, **fields: errors.append((event, fields)))

        async def scenario():
            async with running("r2", far=False) as site:
                for number in range(3):
                    status, headers, body = await site.ask(
                        "/look/x", attempt=f"a{number}"
                    )
                    self.assertEqual(503, status)
                    self.assertIn("Retry-After", headers)
                    self.assertIn(b"no_endpoint_in_region", body)
                self.assertEqual([], site.endpoints["near-plain"].received)

        self.run_async(scenario())
        ((event, fields),) = errors
        self.assertEqual("regions_not_served", event)
        self.assertEqual(("no_endpoint", "look"), (fields["reason"], fields["route"]))


class RestrictTest(support.TestCase):
    def call(self, route, account):
        call = gateway_calls.call()
        call.config = model.Config(1, {}, {}, {}, {}, model.Limits())
        call.route = plain_route(allowed_regions=route)
        call.service = model.Service("s", None)
        call.account = model.Account("ann", frozenset(), None, None, account)
        return call

    def outcome(self, call):
        served = outcomes.Answered(status=200, tokens=0, endpoint="e")

        async def proceed():
            return served

        restrict = allowed_regions.restrict(has_endpoint=lambda service, regions: True)

        async def scenario():
            return await restrict(call, proceed)

        return self.run_async(scenario())

    def test_both_route_and_client_account_bind(self):
        cases = [
            (None, None, None),
            (R1, None, R1),
            (None, R2, R2),
            (R1 | R2, R2, R2),
        ]
        for route, account, allowed in cases:
            call = self.call(route, account)
            self.assertIsInstance(self.outcome(call), outcomes.Answered)
            self.assertEqual(allowed, call.allowed_regions)

    def test_without_a_region_in_common_nothing_runs(self):
        refused = self.outcome(self.call(R1, R2))
        self.assertIsInstance(refused, outcomes.NotRun)
        self.assertEqual((503, "no_allowed_region"), (refused.status, refused.code))
        self.assertGreater(refused.retry_after, 0)


class DirectoryTest(support.TestCase):
    HOSTS = (
        directory.Candidate("a1", "za", "r1"),
        directory.Candidate("b1", "zb", "r2"),
        directory.Candidate("c1", "zc", "r3"),
    )

    def ask(self, *, region="r1", data_centre="za", allowed=None):
        return directory.addresses(
            self.HOSTS, data_centre=data_centre, region=region, allowed=allowed
        )

    def test_hosts_of_other_regions_are_named_only_where_all_requests_may_be_kept(self):
        self.assertEqual(["a1", "b1", "c1"], self.ask())
        self.assertEqual(["a1", "b1"], self.ask(allowed=R2))
        self.assertEqual(["a1"], self.ask(allowed=R1))
        self.assertEqual(["a1"], self.ask(allowed=frozenset()))

    def test_a_caller_in_a_region_without_hosts_gets_those_of_an_allowed_one(self):
        far = {"region": "r4", "data_centre": "zd"}
        self.assertEqual(["b1"], self.ask(allowed=R2, **far))
        self.assertEqual([], self.ask(allowed=frozenset(), **far))

    def test_what_all_routes_of_a_name_and_all_client_accounts_allow(self):
        routes = {
            "one": {"/": plain_route(allowed_regions=R1 | R2), "/a/": plain_route()},
            "two": {"/": plain_route(allowed_regions=R1), "/a/": plain_route()},
            "free": {"/": plain_route()},
        }
        account = model.Account("ann", frozenset(), None, None, R2)
        config = model.Config(1, routes, {}, {"ann": account}, {}, model.Limits())
        by_name = allowed_regions.RegionsByName(config=lambda: config)
        self.assertEqual(R2, by_name.find("one"))
        self.assertEqual(frozenset(), by_name.find("two"))
        self.assertEqual(R2, by_name.find("free"))
        self.assertIsNone(by_name.find("unknown"))
        config = config._replace(accounts={})
        self.assertIsNone(by_name.find("free"))
        self.assertEqual(R1, by_name.find("two"))


class DecodeTest(support.TestCase):
    def test_an_empty_list_or_none_allows_all_regions(self):
        for regions, allowed in (([], None), (None, None), (["r1"], R1)):
            plain = gateway_site.config(regions=regions or ())
            plain["tenants"][0]["allowedRegions"] = regions
            config = decode.config(json.dumps(plain).encode())
            self.assertEqual(allowed, config.accounts["ann"].allowed_regions)
            route = model.route_of(config, "site.example", "/look/x")
            self.assertEqual(allowed, route.allowed_regions)

    def test_what_is_no_list_of_names_makes_no_configuration(self):
        """A configuration that allows more than its writer meant must not serve."""
        for odd in ("r1", [1], [["r1"]], {"r1": 1}, 1):
            plain = gateway_site.config()
            plain["routes"][0]["allowedRegions"] = odd
            value = json.dumps(plain).encode()
            self.assertRaises(decode.FormatError, decode.config, value)


def plain_route(**fields):
    """Return a route of plain calls."""
    route = model.Route(
        name="r",
        host="h",
        prefix="/",
        kind=model.IDEMPOTENT,
        timeout=1.0,
        target_latency=0.5,
        priority=0,
        splits=(("s", 1),),
        max_attempts=2,
        public=False,
        resumable=False,
    )
    return route._replace(**fields)
