"""At which software version streams begin and go on, with the store and without it."""

import random

from dogwoodchute.gateway import calls, model, rows
from dogwoodchute.gateway.streams import stream_origins, version_notes
from dogwoodchute.standins import row_store
from dogwoodchute.tests import gateway_calls, support, virtual

SERVICE = "engines"
ROUTE = model.Route(
    "r", "h", "/", model.STREAM, 3.0, 0.5, 0, ((SERVICE, 1),), 2, True, True
)
CONFIG = model.Config(1, {"h": {"/": ROUTE}}, {}, {}, {}, model.Limits())
REFUSED = row_store.Fault(status=503)


def endpoint(name, software):
    made = model.Endpoint(name, SERVICE, "127.0.0.1:1", "z1", model.READY, 8)
    return made._replace(software=software)


class Host:
    """The origins of one host, and whether the store refuses it."""

    def __init__(self, loop, store, *, seed):
        self.versions = {"v1"}
        self.is_refused = False
        self.origins = stream_origins.Origins(
            config=lambda: CONFIG,
            versions=lambda service: frozenset(self.versions),
            store=row_store.in_process_client(
                store, faults=self.inject, timeout=lambda latency: 1.2
            ),
            ranks_first=lambda key: True,
            host_count=lambda: 2,
            commits=600.0,
            now=loop.time,
            rng=random.Random(seed),
        )
        self.loop = loop
        loop.create_task(self.origins.run())

    def inject(self, kind):
        return REFUSED if self.is_refused else row_store.NO_FAULT

    def call(self, attempt="a1", **fields):
        made = gateway_calls.call(attempt_id=attempt, **fields)
        made.route, made.service = ROUTE, model.Service(SERVICE, None)
        made.deadline = self.loop.time() + 3.0
        return made

    def begin(self, call, software):
        """Let an endpoint begin a call's stream; return whether it may."""
        chosen = endpoint("e", software)
        self.origins.prepare(call, chosen)
        call.send = calls.Send(endpoint=chosen, at=self.loop.time())
        return self.loop.run_until_complete(self.origins.settle(call))

    def find(self, resumes):
        call = self.call("a9", last_event_id="3", resumes=resumes)
        return self.loop.run_until_complete(self.origins.find(call))


class OriginsTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.loop = virtual.Loop()
        self.addCleanup(self.loop.finish)
        self.store = row_store.RowStore(now=self.loop.time)
        self.host = Host(self.loop, self.store, seed=1)
        self.other = Host(self.loop, self.store, seed=2)
        self.loop.run_for(1.0)

    def set_versions(self, *versions):
        for host in (self.host, self.other):
            host.versions = set(versions)
        self.loop.run_for(1.0)

    def refuse_all(self):
        for host in (self.host, self.other):
            host.is_refused = True

    def check_unclear(self, code, found):
        self.assertIsInstance(found, stream_origins.Unclear)
        self.assertEqual(code, found.code)

    def test_in_calm_nothing_is_written_for_a_stream(self):
        version = self.store.version
        self.assertTrue(self.host.begin(self.host.call(), "v1"))
        self.assertEqual(version, self.store.version)
        self.assertEqual("v1", self.other.find("a1"))

    def test_a_stream_of_a_newer_version_is_known_to_other_hosts(self):
        self.set_versions("v1", "v2")
        self.assertTrue(self.host.begin(self.host.call(), "v2"))
        self.assertEqual("v2", self.other.find("a1"))

    def test_a_stream_of_endpoints_without_a_version_goes_on_beside_another(self):
        """Guards against the unknown version being taken for no version."""
        store = row_store.RowStore(now=self.loop.time)
        host = Host(self.loop, store, seed=4)
        host.versions = {""}
        self.loop.run_for(1.0)
        self.assertTrue(host.begin(host.call(), ""))
        host.versions = {"", "v2"}
        self.loop.run_for(1.0)
        self.assertEqual("", host.find("a1"))

    def test_a_note_that_no_host_can_apply_stops_no_later_one(self):
        broken = []

        def fail_once(notes, all_rows, changed):
            if not broken:
                broken.append(changed)
                raise ValueError("a fault")
            real(notes, all_rows, changed)

        real = version_notes.VersionNotes.apply_changes
        self.patch(version_notes.VersionNotes, "apply_changes", fail_once)
        late = Host(self.loop, self.store, seed=5)
        self.loop.run_for(2.0)
        self.assertTrue(broken)
        self.assertEqual("v1", late.find("a1"))

    def test_an_earlier_try_at_another_version_leaves_no_wrong_record(self):
        self.set_versions("v1", "v2")
        call = self.host.call()
        self.host.origins.prepare(call, endpoint("e2", "v2"))
        self.loop.run_for(0.5)
        self.assertTrue(self.host.begin(call, "v1"))
        self.assertEqual("v1", self.other.find("a1"))

    def test_a_stream_that_has_begun_runs_at_its_version_only(self):
        self.set_versions("v1", "v2")
        call = self.host.call()
        self.host.begin(call, "v2")
        endpoints = {v: endpoint(v, v) for v in ("v1", "v2")}
        self.assertEqual(["v2"], list(self.host.origins.usable(call, endpoints)))

    def test_a_version_without_endpoints_is_told_as_gone(self):
        self.set_versions("v1", "v2")
        self.host.begin(self.host.call(), "v2")
        self.set_versions("v1")
        self.check_unclear("stream_software_gone", self.other.find("a1"))

    def test_without_the_store_take_ups_go_on_while_one_version_serves(self):
        self.refuse_all()
        self.assertEqual("v1", self.other.find("a1"))

    def test_without_the_store_a_take_up_beside_two_versions_is_unclear(self):
        self.refuse_all()
        self.set_versions("v1", "v2")
        self.check_unclear("stream_origin_unknown", self.other.find("a1"))

    def test_without_the_store_new_streams_begin_at_the_base(self):
        self.set_versions("v1", "v2")
        self.refuse_all()
        call = self.host.call()
        self.assertFalse(self.host.begin(call, "v2"))
        endpoints = {v: endpoint(v, v) for v in ("v1", "v2")}
        usable = self.host.origins.usable(call, endpoints)
        self.assertEqual(["v1"], list(usable))
        self.assertTrue(self.host.begin(self.host.call("a2"), "v1"))

    def test_without_the_store_the_only_version_left_serves_on(self):
        self.set_versions("v1", "v2")
        self.refuse_all()
        self.set_versions("v2")
        self.assertTrue(self.host.begin(self.host.call(), "v2"))
        began = self.loop.time()
        self.assertTrue(self.host.begin(self.host.call("a2"), "v2"))
        self.assertLess(self.loop.time() - began, 0.1)
        # Nobody else can tell that, so no other version goes on with it.
        self.set_versions("v1", "v2")
        self.check_unclear("stream_origin_unknown", self.other.find("a1"))

    def test_a_note_that_cannot_be_read_makes_take_ups_unclear(self):
        put = rows.Put(version_notes.TABLE, SERVICE, b"{}")
        self.store.commit(version_notes.PART, [], [put])
        late = Host(self.loop, self.store, seed=3)
        self.loop.run_for(0.1)
        self.check_unclear("stream_origin_unknown", late.find("a1"))
