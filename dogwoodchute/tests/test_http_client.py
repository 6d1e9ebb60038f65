"""The platform's HTTP clients, against the in-memory platform served over HTTP."""

from dogwoodchute.platform import http_client, objects, table
from dogwoodchute.standins import platform_server, site
from dogwoodchute.tests import support

TIMEOUT = 5.0  # seconds
SHORT_TIMEOUT = 0.3  # seconds


class HttpClientTest(support.TestCase):
    def run_against_server(self, check, *, timeout=TIMEOUT):
        async def scenario():
            server = platform_server.PlatformServer()
            listener = site.Site(app=server.app())
            await listener.start()
            connection = http_client.Connection(
                address=listener.address, timeout=timeout
            )
            try:
                await check(server, connection)
            finally:
                server.answering.set()
                await connection.close()
                await listener.stop()

        self.run_async(scenario())

    def test_commit_read_and_conflict(self):
        async def check(server, connection):
            client = http_client.table_client(connection)
            writes = [table.Write("a", {"n": 1}), table.Write("b", {"n": 2})]
            first = await client.commit("c1", [table.Check("a", 0)], writes)
            self.assertIsInstance(first, table.Committed)
            again = await client.commit("c2", [table.Check("a", 0)], writes)
            self.assertIsInstance(again, table.Conflict)
            self.assertEqual("c1", again.rows["a"].commit_id)
            found = await client.read(["a", "absent"])
            self.assertEqual({"a"}, set(found.rows))
            self.assertEqual({"n": 1}, found.rows["a"].value)
            scanned = await client.scan("")
            self.assertEqual({"a", "b"}, set(scanned.rows))

        self.run_against_server(check)

    def test_service_down_is_certainly_not_applied(self):
        async def check(server, connection):
            server.table.down = True
            client = http_client.table_client(connection)
            outcome = await client.commit("c1", [], [table.Write("a", {})])
            self.assertIsInstance(outcome, table.Unavailable)
            self.assertIsInstance(await client.read(["a"]), table.Unavailable)

        self.run_against_server(check)

    def test_lost_answer_is_unknown_though_applied(self):
        async def check(server, connection):
            server.lose_answers = 1
            client = http_client.table_client(connection)
            outcome = await client.commit("c1", [], [table.Write("a", {})])
            self.assertIsInstance(outcome, table.Unknown)
            self.assertIn("a", server.table.rows)

        self.run_against_server(check)

    def test_silent_connection_is_unknown(self):
        async def check(server, connection):
            server.answering.clear()
            client = http_client.table_client(connection)
            outcome = await client.commit("c1", [], [table.Write("a", {})])
            self.assertIsInstance(outcome, table.Unknown)

        self.run_against_server(check, timeout=SHORT_TIMEOUT)

    def test_nobody_listening_is_certainly_not_applied(self):
        async def scenario():
            connection = http_client.Connection(address="127.0.0.1:1", timeout=TIMEOUT)
            client = http_client.table_client(connection)
            outcome = await client.commit("c1", [], [table.Write("a", {})])
            await connection.close()
            self.assertIsInstance(outcome, table.Unavailable)

        self.run_async(scenario())

    def test_objects_round_trip(self):
        async def check(server, connection):
            client = http_client.objects_client(connection)
            content = bytes(range(256))
            self.assertIsInstance(await client.put("a/b", content), objects.Stored)
            self.assertEqual(content, (await client.get("a/b")).content)
            self.assertIsInstance(await client.get("a/c"), objects.Absent)
            self.assertEqual(["a/b"], await client.list("a/"))
            await client.delete("a/b")
            self.assertEqual([], await client.list("a/"))
            server.objects.down = True
            self.assertIsInstance(await client.get("a/b"), objects.Unavailable)

        self.run_against_server(check)

    def test_host_list_round_trip(self):
        async def check(server, connection):
            server.hosts.set("dar-1", "127.0.0.1", leaving=True)
            listed = await http_client.hosts_client(connection).fetch()
            self.assertTrue(listed.hosts["dar-1"].leaving)
            self.assertEqual(1, listed.revision)

        self.run_against_server(check)
