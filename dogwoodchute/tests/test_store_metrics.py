"""Metrics and log lines of the store client and of the copies of its tables."""

import asyncio
import json

import prometheus_client

from dogwoodchute import clock, log, server
from dogwoodchute.gateway import configuration, rows
from dogwoodchute.gateway.following import mirror, table_source
from dogwoodchute.platform import decode, store, store_rows, transport
from dogwoodchute.standins import row_store
from dogwoodchute.tests import gateway_site, support

LIMITS = {"body_bytes": 1 << 20, "header_bytes": 16384, "idle_timeout": 30.0}


def sample(name, **labels):
    value = prometheus_client.REGISTRY.get_sample_value(name, labels)
    return value or 0.0


class StoreMetricsTest(support.TestCase):
    def setUp(self):
        super().setUp()
        self.lines = []
        for level in ("info", "warning"):
            self.patch(log, level, self.record)

    def record(self, event, **fields):
        self.lines.append((event, fields))

    def logged(self, event):
        return [fields for name, fields in self.lines if name == event]

    def test_a_large_answer_is_counted_and_logged(self):
        async def scenario():
            row_table = row_store.RowStore(now=clock.monotonic)
            row_table.commit(
                "", [], [rows.Put("t", "k", b"v" * transport.LARGE_ANSWER_BYTES)]
            )
            listener = server.Server(name=f"s-{id(self)}", **LIMITS)
            row_store.add_routes(listener.app, row_table)
            await listener.start("127.0.0.1", 0)
            client = store.Client(
                address=f"127.0.0.1:{listener.port}",
                relays=lambda: [],
                now=clock.monotonic,
            )
            before = sample("dogwoodchute_store_bytes_received_total", kind="read")
            await store_rows.open_store(client).read("t", "", None, None)
            after = sample("dogwoodchute_store_bytes_received_total", kind="read")
            self.assertGreater(after - before, transport.LARGE_ANSWER_BYTES)
            answered = {"kind": "read", "outcome": "answered"}
            self.assertGreater(
                sample("dogwoodchute_store_call_seconds_count", **answered), 0
            )
            await client.close()
            await listener.stop()

        self.run_async(scenario())
        (fields,) = self.logged("store_call_large")
        self.assertEqual("read", fields["kind"])
        self.assertGreater(fields["bytes"], transport.LARGE_ANSWER_BYTES)

    def test_the_age_of_a_table_is_logged_when_it_is_lost_and_regained(self):
        now = [100.0]
        faults = [row_store.NO_FAULT]
        row_table = row_store.RowStore(now=lambda: now[0])
        table_mirror = mirror.Mirror(
            table="t",
            fetch=table_source.from_store(
                store=row_store.in_process_client(
                    row_table, faults=lambda kind: faults[0]
                ),
                table="t",
                now=lambda: now[0],
            ),
            pause=1.0,
            wait=0.0,
            on_change=lambda all_rows, changed: None,
            receiving=lambda: False,
            now=lambda: now[0],
        )
        asyncio.run(table_mirror.step())
        faults[0] = row_store.Fault(status=503)
        now[0] += 2.0
        asyncio.run(table_mirror.step())
        faults[0] = row_store.NO_FAULT
        now[0] += 3.0
        asyncio.run(table_mirror.step())
        self.assertEqual([2.0], [each["age"] for each in self.logged("table_lost")])
        self.assertEqual([5.0], [each["age"] for each in self.logged("table_regained")])

    def test_adopting_a_configuration_logs_how_long_it_took(self):
        value = json.dumps(gateway_site.config()).encode()
        config_copy = configuration.Configuration(
            table="op",
            key="config",
            decode=decode.config,
            on_config=lambda config: None,
            now=lambda: 101.25,
        )
        config_copy.set_read_at(lambda: 100.0)
        row = rows.Row("config", value, 1)
        config_copy.apply_changes({"config": row}, [row])
        (fields,) = self.logged("config_adopted")
        self.assertEqual((1.25, len(value)), (fields["seconds"], fields["bytes"]))
