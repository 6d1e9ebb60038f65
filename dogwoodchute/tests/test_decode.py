"""Decoding of the platform's rows and settings file, valid and invalid."""

import json
import pathlib
import tempfile

from dogwoodchute.gateway import filters, model
from dogwoodchute.platform import boot, decode
from dogwoodchute.tests import gateway_site, support


def config(**changed):
    return decode.config(json.dumps({**gateway_site.config(), **changed}).encode())


class ConfigTest(support.TestCase):
    def test_times_become_seconds_and_kinds_the_projects_words(self):
        route = model.route_of(config(), "site.example", "/s/x")
        self.assertEqual((3.0, 0.5), (route.timeout, route.target_latency))
        self.assertEqual(model.STREAM, route.kind)
        self.assertTrue(route.resumable)
        self.assertEqual("ann", config().accounts_by_key[gateway_site.KEY])

    def test_the_longest_prefix_that_begins_the_path_wins(self):
        base = gateway_site.config()["routes"][0]
        routes = [
            {**base, "name": name, "prefix": prefix}
            for name, prefix in [("all", "/"), ("a", "/a/"), ("ab", "/a/b/")]
        ]
        several = config(routes=routes)
        cases = [("/a/b/c", "ab"), ("/a/bc", "a"), ("/a", "all"), ("/x/a/b/", "all")]
        for path, name in cases:
            route = model.route_of(several, "site.example", path)
            self.assertEqual(name, route.name, path)
        self.assertIsNone(model.route_of(several, "other.example", "/a/"))

    def test_a_split_follows_its_weights(self):
        base = {**gateway_site.config()["routes"][0]}
        split = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
        with_split = config(routes=[{**base, "trafficSplit": split}])
        route = model.route_of(with_split, "site.example", base["prefix"])
        chosen = [filters.choose_service(route, f"attempt-{n}") for n in range(2000)]
        self.assertAlmostEqual(0.1, chosen.count("y") / 2000, delta=0.03)

    def test_a_row_that_breaks_the_format_is_refused(self):
        for value in (b"", b"[]", b"{}", b'{"version": 1, "routes": [{}]}'):
            self.assertRaises(decode.FormatError, decode.config, value)


class EndpointTest(support.TestCase):
    GOOD = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "state": "ready",
        "slots": 4,
    }

    def test_a_good_entry(self):
        endpoint = decode.endpoint("i1", json.dumps({**self.GOOD, "new": 1}).encode())
        self.assertEqual(
            model.Endpoint("i1", "s", "10.0.0.1:80", "z1", model.READY, 4), endpoint
        )

    def test_the_software_version_is_a_text_or_the_digits_of_a_number(self):
        cases = [({}, ""), ({"version": 0}, "0"), ({"version": 12}, "12")]
        cases += [({"version": text}, text) for text in ("v1", "1.0 β", "v" * 200)]
        for change, expected in cases:
            value = json.dumps({**self.GOOD, **change}).encode()
            self.assertEqual(expected, decode.endpoint("i1", value).software)

    def test_a_process_that_starts_again_has_the_software_version_of_its_row(self):
        for born, version in [(7, "v2"), (8, "v1")]:
            change = {"born": born, "version": version}
            value = json.dumps({**self.GOOD, **change}).encode()
            endpoint = decode.endpoint("i1", value)
            self.assertEqual(
                (born, version), (endpoint.started_at_ms, endpoint.software)
            )

    def test_entries_of_other_writers_are_refused(self):
        changes = [
            {"service": None},
            {"address": "10.0.0.1"},
            {"address": 5},
            {"state": "odd"},
            {"slots": "4"},
            {"slots": True},
            {"zone": ""},
        ]
        for change in changes:
            value = json.dumps({**self.GOOD, **change}).encode()
            self.assertRaises(decode.FormatError, decode.endpoint, "i1", value)
        self.assertRaises(decode.FormatError, decode.endpoint, "i1", b"\xff\x00")


SETTINGS = """
node = "h1"
ip = "10.0.0.1"
zone = "z1"
region = "r1"
portRange = [7000, 7015]
seeds = ["10.0.0.2:5"]
unknown = "ignored"
[zones]
z1 = "r1"
z2 = "r2"
[listen]
front = "10.0.0.1:1"
ready = "10.0.0.1:2"
control = "10.0.0.1:3"
directory = "10.0.0.1:4"
[bounds]
graceS = 8
retrySlack = 54
[limits]
linkMbps = 7.5
[platform]
address = "10.9.9.9:1"
"""


class SettingsTest(support.TestCase):
    def load(self, text):
        path = self.settings_path()
        path.write_text(text, encoding="utf-8")
        return boot.load(path)

    def settings_path(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return pathlib.Path(folder.name) / "boot.toml"

    def test_settings_are_decoded_and_unknown_keys_ignored(self):
        found = self.load(SETTINGS)
        self.assertEqual("10.0.0.1:7000", found.gossip)
        self.assertEqual((8.0, 54.0), (found.bounds.grace, found.bounds.retry_slack))
        self.assertEqual({"z1": "r1", "z2": "r2"}, found.regions)
        self.assertEqual(7.5, found.link_mbps)
        without = self.load(SETTINGS.replace("linkMbps = 7.5", ""))
        self.assertEqual(1000.0, without.link_mbps)

    def test_the_store_s_rates_are_decoded(self):
        found = self.load(SETTINGS)
        self.assertEqual((600.0, 200.0), (found.commits, found.part_commits))
        found = self.load(SETTINGS + "writesPerS = 300\npartWritesPerS = 50\n")
        self.assertEqual((300.0, 50.0), (found.commits, found.part_commits))
        bad = SETTINGS + "partWritesPerS = 0\n"
        self.assertRaises(boot.SettingsError, self.load, bad)

    def test_bad_settings_get_a_clear_error(self):
        for text, word in [
            (SETTINGS.replace('node = "h1"', ""), "node"),
            (SETTINGS.replace("[listen]", "[other]"), "listen"),
            (SETTINGS.replace("[7000, 7015]", "[]"), "boot.toml"),
            ("node = ", "boot.toml"),
        ]:
            error = self.assertRaises(boot.SettingsError, self.load, text)
            self.assertIn(word, str(error))
        missing = self.settings_path()
        self.assertRaises(boot.SettingsError, boot.load, missing)
