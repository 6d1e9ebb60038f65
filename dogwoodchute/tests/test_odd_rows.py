"""Rows of other writers: whatever one holds, the rows beside it count."""

import json
import random

import hypothesis
from hypothesis import strategies

from dogwoodchute import bounded_json
from dogwoodchute.coordination import texts
from dogwoodchute.gateway import host_rows, model, rows
from dogwoodchute.gateway.accounts import account_rows
from dogwoodchute.gateway.following import mirror, row_reader, table_copy
from dogwoodchute.gateway.registered import endpoint_limits, endpoint_table
from dogwoodchute.platform import decode
from dogwoodchute.tests import gateway_site, support, test_hosts, warm_endpoints

SOUND = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
    "born": 1_700_000_000_000,
}
DEEP = 100_000
ODD_ENDPOINTS = {
    "nested lists": b"[" * DEEP,
    "nested objects": b'{"a":' * DEEP,
    "nested within": json.dumps(SOUND).encode()[:-1] + b',"x":' + b"[" * DEEP,
    "port 0": {"address": "10.0.0.1:0"},
    "port out of range": {"address": "10.0.0.1:99999"},
    "port of 5,000 digits": {"address": "10.0.0.1:" + "8" * 5000},
    "port in other digits": {"address": "10.0.0.1:٨٠"},
    "negative port": {"address": "10.0.0.1:-80"},
    "no port": {"address": "10.0.0.1"},
    "a name": {"address": "example:80"},
    "any address": {"address": "0.0.0.0:80"},
    "a line break in the address": {"address": "10.0.0.1:80\r\nX: y"},
    "slots beyond a float": {"slots": 10**300},
    "negative slots": {"slots": -1},
    "infinite slots": b'{"slots": Infinity}',
    "a fraction of slots": {"slots": 1.5},
    "a lone surrogate": {"service": "\ud800"},
    "a line break in the service": {"service": "s\nlevel=error"},
    "an endless zone": {"zone": "z" * 100_000},
    "too large a start": {"born": 10**17},
    "an empty software version": {"version": ""},
    "an endless software version": {"version": "v" * 201},
    "a line break in the software version": {"version": "v1\nlevel=error"},
    "a lone surrogate in the software version": {"version": "\ud800"},
    "a software version of null": {"version": None},
    "a software version of true": {"version": True},
    "a fraction as software version": {"version": 1.5},
    "a whole fraction as software version": {"version": 1.0},
    "a negative software version": {"version": -1},
    "too large a software version": {"version": 10**17},
    "a list as software version": {"version": ["v1"]},
    "an object as software version": {"version": {"name": "v1"}},
    "not UTF-8": b"\xff\xfe{}",
    "a number of 5,000 digits": b'{"slots": ' + b"9" * 5000 + b"}",
    "nothing": b"",
}
ODD_CONFIGS = {
    "infinite version": b'{"version": 1e999, "routes": []}',
    "version as text": {"version": "2"},
    "time that is no number": {"timeoutMs": float("nan")},
    "endless time": {"timeoutMs": 1e300},
    "negative time": {"timeoutMs": -1},
    "nested": b'{"version": 2, "routes": ' + b"[" * DEEP,
    "slots beyond a float": {"maxAttempts": 10**400},
}


def endpoint_value(odd):
    if isinstance(odd, bytes):
        return odd
    return json.dumps({**SOUND, **odd}).encode()


def config_value(odd):
    if isinstance(odd, bytes):
        return odd
    plain = gateway_site.config()
    route = {**plain["routes"][0], **odd}
    return json.dumps(
        {**plain, **{k: v for k, v in odd.items() if k == "version"}, "routes": [route]}
    ).encode()


def make_table(listeners=None):
    ignore = endpoint_table.Listeners(
        changed=lambda: None, removed=lambda name: None, restarted=lambda name: None
    )
    return endpoint_table.EndpointTable(
        table="servers",
        decode=decode.endpoint,
        listeners=listeners or ignore,
        limits=endpoint_limits.EndpointLimits(
            host="h1", others=lambda: (), now=lambda: 100.0
        ),
        **warm_endpoints.parts(lambda: 100.0),
        now=lambda: 100.0,
    )


class EndpointsTest(support.TestCase):
    def test_an_odd_entry_names_no_endpoint_and_those_beside_it_hold(self):
        """An entry that was nested too deeply kept the rows after it from a host."""
        for name, odd in ODD_ENDPOINTS.items():
            with self.subTest(name):
                table = make_table()
                changed = [
                    rows.Row("e1", json.dumps(SOUND).encode(), 1),
                    rows.Row("e2", endpoint_value(odd), 2),
                    rows.Row("e3", json.dumps(SOUND).encode(), 3),
                ]
                table.apply_changes({}, changed)
                self.assertEqual(["e1", "e3"], table.names("s"))

    def test_an_odd_key_names_no_endpoint(self):
        for key in ("", "e\r\nX-A: b", "e" * 201, "\ud800"):
            with self.assertRaises(decode.FormatError):
                decode.endpoint(key, json.dumps(SOUND).encode())

    def test_an_entry_that_turned_odd_is_logged_once_until_it_is_sound(self):
        lines = []
        self.patch(
            row_reader.log, "warning", lambda event, **fields: lines.append(event)
        )
        reader = row_reader.RowReader(table="servers", decode=decode.endpoint)
        sound, odd = json.dumps(SOUND).encode(), b"["
        for value in (sound, odd, odd, odd, sound, odd):
            reader.read(rows.Row("e1", value, 1))
        self.assertEqual(["row_unreadable"] * 2, lines)


class ConfigurationTest(support.TestCase):
    def test_an_odd_configuration_is_refused(self):
        for name, odd in ODD_CONFIGS.items():
            with self.subTest(name), self.assertRaises(decode.FormatError):
                decode.config(config_value(odd))


class JsonTest(support.TestCase):
    def test_numbers_are_finite_and_bounded(self):
        for text in ("1e999", "-1e999", "NaN", "Infinity", "1" * 19, "[" * DEEP, "{"):
            with self.assertRaises(bounded_json.FormatError):
                bounded_json.loads(text)
        self.assertEqual([1.5, -2, "x"], bounded_json.loads('[1.5, -2, "x"]'))


class MirrorTest(support.TestCase):
    def test_a_row_that_a_listener_cannot_take_holds_no_other_one_back(self):
        """The copy had advanced, so no later answer brought the rows after it."""
        changed = [rows.Row(key, b"{}", n) for n, key in enumerate("abc", start=1)]
        taken = []

        async def fetch(since, current_at, wait):
            changes = table_copy.Changes(changed, 3, is_snapshot=True)
            return mirror.Fetched(changes=changes, read_at=1.0)

        def take(all_rows, found):
            for row in found:
                if row.key == "b":
                    raise RecursionError("as for a row that is nested too deeply")
                taken.append(row.key)

        other = []
        table = mirror.Mirror(
            table="t",
            fetch=fetch,
            pause=0.1,
            wait=0.0,
            on_change=take,
            receiving=lambda: False,
            now=lambda: 1.0,
        )
        table.add_listener(lambda all_rows, found: other.extend(found))
        self.run_async(table.step())
        self.assertEqual({"a", "c"}, set(taken))
        self.assertEqual(changed, other)


def mutated(rng, value):
    """Return a sound row's bytes with a few random changes."""
    data = bytearray(value)
    for _ in range(rng.randint(1, 4)):
        position = rng.randrange(len(data) + 1)
        kind = rng.randrange(6)
        if kind == 0:
            data[position : position + rng.randint(1, 9)] = b""
        elif kind == 1:
            data[position:position] = rng.randbytes(rng.randint(1, 9))
        elif kind == 2:
            piece = rng.choice([b"[", b"{", b'"', b"1e999", b"-", b"\\ud800", b"null"])
            data[position:position] = piece * rng.choice([1, 1, 3, 2000])
        elif kind == 3:
            data[position : position + 1] = rng.choice([b"0", b"9" * 400, b"NaN"])
        elif kind == 4 and data:
            data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        else:
            data = data[:position]
    return bytes(data)


class OddHostTest(support.TestCase):
    """A row of a host that names what can't be hashed or sent on."""

    def check(self, key, value):
        reader = row_reader.RowReader(table=host_rows.TABLE, decode=host_rows.decode)
        self.assertIsNone(reader.read(rows.Row(key, value, 1)))

    def test_keys(self):
        value = host_rows.encode(test_hosts.make_host("h9-a"))
        for key in ("h9-\ud800", "h9\n", "h" * 300, ""):
            self.check(key, value)

    def test_names(self):
        for name in ("\ud800", "h9\n", "h" * 300, ""):
            self.check("h9-a", host_rows.encode(test_hosts.make_host("h9", name=name)))


HOST = test_hosts.make_host("h2-a", registered=7)
HOLDING = b"[9000,100,200,3,12.5,4.0,7,50,0]"
FUZZED = [
    (lambda v: decode.endpoint("e1", v), json.dumps(SOUND).encode()),
    (decode.config, json.dumps(gateway_site.config()).encode()),
    (lambda v: host_rows.decode("h2-a", v), host_rows.encode(HOST)),
    (account_rows.decode_holding, HOLDING),
    (account_rows.decode_account, b"[9000,100,1,2,3]"),
]
EXAMPLES = 400  # in CI; `make fuzz` searches longer
ROWS_PER_EXAMPLE = 10


class MutationMachineTest(support.TestCase):
    """Sound rows with random changes, through the same reader as in a host."""

    @support.fuzz_settings(EXAMPLES)
    @hypothesis.given(seed=strategies.integers(0, 2**32))
    def test_whatever_a_row_holds_it_is_decoded_or_left_out(self, seed):
        rng = random.Random(seed)
        for decoder, value in FUZZED:
            reader = row_reader.RowReader(
                table="fuzz", decode=lambda key, data, decoder=decoder: decoder(data)
            )
            for _ in range(ROWS_PER_EXAMPLE):
                found = reader.read(rows.Row("k", mutated(rng, value), 1))
                if isinstance(found, model.Endpoint):
                    self.check_endpoint(found)

    def check_endpoint(self, endpoint):
        ip, _, port = endpoint.address.rpartition(":")
        self.assertEqual(4, len(ip.split(".")))
        self.assertTrue(0 < int(port) < 65536)
        self.assertTrue(0 <= endpoint.slots <= decode.MAX_SLOTS)
        self.assertTrue(endpoint.service.isprintable())
        self.assertTrue(endpoint.software.isprintable())
        self.assertLessEqual(len(endpoint.software), texts.MAX_NAME)
