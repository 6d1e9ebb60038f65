"""Configurations are checked before they are sent."""

import contextlib
import copy
import io
import json
import pathlib
import random
import tempfile

from dogwoodchute.platform import config_check, config_diff, decode
from dogwoodchute.tests import support
from dogwoodchute.tools import dogwoodctl

GOOD = {
    "version": 7,
    "routes": [
        {
            "name": "orders",
            "hostname": "shop.example",
            "prefix": "/orders/",
            "kind": "non_idempotent",
            "timeoutMs": 2000,
            "targetLatencyMs": 200,
            "service": "counter",
        },
        {
            "name": "drafts",
            "hostname": "shop.example",
            "prefix": "/drafts/",
            "kind": "streaming",
            "timeoutMs": 9000,
            "targetLatencyMs": 800,
            "maxAttempts": 2,
            "resumable": True,
            "trafficSplit": [{"service": "engines", "weight": 1}],
            "allowedRegions": ["north"],
        },
    ],
    "services": [
        {"name": "counter"},
        {"name": "engines", "engine": {"slots": 8, "kvCapacity": 1000, "stride": 4}},
    ],
    "tenants": [{"name": "ann", "apiKeys": ["secret"], "prepaid": 5000}],
    "limits": {"maxBodyBytes": 4096},
}
ORDERS, DRAFTS = 0, 1  # numbers of the routes


def changed(*path, to):
    """Return the good configuration with the value at a path replaced."""
    plain = copy.deepcopy(GOOD)
    *way, last = path
    place = plain
    for step in way:
        place = place[step]
    place[last] = to
    return plain


def found(plain):
    """Return the findings on a configuration, as (severity, entry) and their text."""
    findings = config_check.check(json.dumps(plain).encode())
    return {(each.severity, each.entry): each.text for each in findings}


class ConfigCheckTest(support.TestCase):
    def check(self, plain, severity, entry, words):
        findings = found(plain)
        self.assertIn((severity, entry), findings)
        self.assertIn(words, findings[severity, entry])

    def test_a_good_configuration_has_no_findings(self):
        self.assertEqual({}, found(GOOD))

    def test_entries_that_can_never_match_are_errors(self):
        double = changed("routes", ORDERS, "prefix", to="/drafts/")
        cases = [
            (double, "route orders", "a later route"),
            (
                changed("routes", ORDERS, "prefix", to="/orders"),
                "route orders",
                "slash",
            ),
            (
                changed("routes", ORDERS, "hostname", to="shop.example:80"),
                "route orders",
                "no host name",
            ),
            (
                changed("routes", ORDERS, "service", to="conter"),
                "route orders",
                "unknown service 'conter'",
            ),
            (
                changed("routes", DRAFTS, "trafficSplit", 0, "weight", to=0),
                "route drafts",
                "no service any weight",
            ),
            (changed("routes", to=[]), "configuration", "no routes"),
        ]
        for plain, entry, words in cases:
            self.check(plain, config_check.ERROR, entry, words)

    def test_what_a_host_would_refuse_is_told_with_its_entry(self):
        kind = changed("routes", ORDERS, "kind", to="sometimes")
        self.check(kind, config_check.ERROR, "route orders", "sometimes")
        prepaid = changed("tenants", 0, "prepaid", to="many")
        self.check(prepaid, config_check.ERROR, "tenant ann", "many")
        self.check(changed("limits", to=[1]), config_check.ERROR, "limits", "")

    def test_limits_that_contradict_each_other_are_warnings(self):
        route, tenant = "route orders", "tenant ann"
        cases = [
            (("routes", ORDERS, "targetLatencyMs"), 3000, route, "beyond timeoutMs"),
            (("routes", ORDERS, "maxAttempts"), 3, route, "maxAttempts"),
            (("routes", ORDERS, "resumable"), True, route, "resumable"),
            (("services", 0, "coldStartS"), 5, "service counter", "only one of"),
            (("tenants", 0, "prepaid"), 0, tenant, "no tokens"),
            (("tenants", 0, "allowedRegions"), ["south"], tenant, "route drafts"),
            (("limits", "headerTimeoutMs"), 60000, "limits", "headerTimeoutMs"),
        ]
        for path, value, entry, words in cases:
            plain = changed(*path, to=value)
            self.check(plain, config_check.WARNING, entry, words)

    def test_a_key_of_two_tenants_is_an_error_and_is_not_shown(self):
        twin = {"name": "bob", "apiKeys": ["secret"]}
        plain = changed("tenants", to=[GOOD["tenants"][0], twin])
        self.check(plain, config_check.ERROR, "tenant bob", "shares a key with ann")
        self.assertNotIn("secret", str(found(plain)))

    def test_errors_are_found_wherever_a_host_would_refuse(self):
        """Random damage: the check never fails, and passes only what a host adopts."""
        rng = random.Random(5)
        damage = [None, "", "x", -1, 10**20, 1.5, [], {}, [None], True, float("nan")]
        for _ in range(2000):
            plain = copy.deepcopy(GOOD)
            place = plain
            while True:
                keys = list(place) if isinstance(place, dict) else range(len(place))
                key = rng.choice(list(keys))
                deeper = isinstance(place[key], dict | list) and place[key]
                if not deeper or rng.random() < 0.3:
                    place[key] = rng.choice(damage)
                    break
                place = place[key]
            value = json.dumps(plain).encode()
            findings = config_check.check(value)
            try:
                decode.config(value)
            except decode.FormatError:
                severities = {each.severity for each in findings}
                self.assertIn(config_check.ERROR, severities, plain)


class ConfigDiffTest(support.TestCase):
    def lines(self, plain):
        before = decode.config(json.dumps(GOOD).encode())
        return config_diff.differences(
            before, decode.config(json.dumps(plain).encode())
        )

    def test_it_tells_what_changes(self):
        plain = changed("version", to=8)
        self.assertEqual([], self.lines(plain))
        plain["routes"][ORDERS]["timeoutMs"] = 3000
        plain["tenants"][0]["apiKeys"] = ["other", "third"]
        plain["services"].append({"name": "more"})
        del plain["routes"][DRAFTS]
        self.assertEqual(
            [
                "route shop.example/drafts/: removed",
                "route shop.example/orders/: timeout 2.0 -> 3.0",
                "service more: added",
                "tenant ann: 2 keys added, 1 removed",
            ],
            self.lines(plain),
        )

    def test_an_old_version_is_told(self):
        self.assertIn("not above 7", self.lines(GOOD)[0])


class CommandTest(support.TestCase):
    def run_check(self, plain, *options):
        """Return the exit code and the output."""
        with tempfile.TemporaryDirectory() as folder:
            new, current = pathlib.Path(folder, "new"), pathlib.Path(folder, "current")
            new.write_text(json.dumps(plain), encoding="utf-8")
            current.write_text(json.dumps(GOOD), encoding="utf-8")
            words = [option.format(current=current) for option in options]
            with contextlib.redirect_stdout(io.StringIO()) as output:
                code = dogwoodctl.main(["config", "check", str(new), *words])
        return code, output.getvalue()

    def test_a_good_configuration_is_compared_with_the_one_in_force(self):
        code, text = self.run_check(changed("version", to=8), "--in-force", "{current}")
        self.assertEqual(0, code)
        self.assertIn("no difference", text)
        self.assertIn("0 errors, 0 warnings", text)

    def test_errors_end_it_with_code_1(self):
        code, text = self.run_check(changed("routes", ORDERS, "kind", to="sometimes"))
        self.assertEqual(1, code)
        self.assertIn("error: route orders", text)

    def test_a_file_that_is_missing_is_wrong_usage(self):
        with contextlib.redirect_stderr(io.StringIO()):
            code = dogwoodctl.main(["config", "check", "/nowhere/x.json"])
        self.assertEqual(2, code)
