"""Followers of tables whose sources are slow or fail."""

import asyncio
import time

from dogwoodchute.coordination import sources
from dogwoodchute.gateway import gossip, model, rows
from dogwoodchute.gateway.following import mirror, table_copy, table_source, tables
from dogwoodchute.gateway.registered import endpoints
from dogwoodchute.tests import support, virtual, warm_endpoints

BOUND = 2.5  # seconds until all hosts must have a change
SIZE = 2000  # bytes of a slow answer
FAILED_CALL = 16  # number of the source's call at which the endpoint is removed
PIECE_PAUSE = 0.1  # seconds between two bytes of a slow answer
CHANGES = table_copy.Changes([rows.Row("config", b"new", 7)], 7, is_snapshot=False)
NO_CHANGES = table_copy.Changes([], 6, is_snapshot=False)


class Trickle:
    """A source that sends its answer a byte at a time."""

    async def start(self):
        self._listening = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._listening.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    def stop(self):
        self._listening.close()

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE)
            while not writer.is_closing():
                writer.write(b"x")
                await writer.drain()
                await asyncio.sleep(PIECE_PAUSE)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


def make_follower(names, ask, store):
    """Return a follower of the hosts `names`, and their order by its chooser."""
    peers = [sources.Peer(n, "r1", n, 1000.0) for n in names]
    own = sources.Peer("own", "r1", "own", 1.0)  # its link is too slow to be a source
    chooser = sources.Sources(name="own", region="r1")
    plan = chooser.plan([*peers, own], store_reachable=True, now=time.monotonic())
    follower = table_source.Follower(
        chooser=chooser,
        peers=lambda: [*peers, own],
        is_store_reachable=lambda: True,
        ask=ask,
        table="op",
        store=store,
        anyone=list,
        now=time.monotonic,
    )
    return follower, [peer.name for peer in plan.peers]


class SlowSourceTest(support.TestCase):
    def seconds_to_change(self, position, *, first_fails=False):
        """Return how long a change takes while the source at `position` is slow."""

        async def check():
            trickle = Trickle()
            address = await trickle.start()
            client = tables.Client()
            order = []

            async def ask(name, table, since, hold):
                number = order.index(name)
                if number == position:
                    return await client.ask(address, table, since, hold)
                if number == 0 and first_fails:
                    return tables.NoAnswer("refused")
                return tables.Answer(CHANGES, 0.1, 100.0, 100.0, False)

            async def store(since, current_at, wait):
                return mirror.Fetched(changes=CHANGES, read_at=time.monotonic())

            follower, order[:] = make_follower(["a", "b", "c"], ask, store)
            asked_at = time.monotonic()
            try:
                async with asyncio.timeout(BOUND + 1.5):
                    fetched = await follower.fetch(6, asked_at - 0.3, 0.6)
                self.assertEqual(7, fetched.changes.version)
            except TimeoutError:
                pass
            finally:
                await client.close()
                trickle.stop()
            return time.monotonic() - asked_at

        return asyncio.run(check())

    def test_news_come_in_time_though_the_first_source_sends_slowly(self):
        self.assertLess(self.seconds_to_change(0), BOUND)

    def test_news_come_in_time_though_another_source_sends_slowly(self):
        self.assertLess(self.seconds_to_change(1, first_fails=True), BOUND)

    def test_a_source_with_a_slow_store_takes_company_that_answers(self):
        """One of two other sources sends slowly; the other has the change."""

        async def check():
            trickle = Trickle()
            address = await trickle.start()
            client = tables.Client()

            async def ask(name, table, since, hold):
                if name == "b":
                    return await client.ask(address, table, since, hold)
                return tables.Answer(CHANGES, 0.1, 100.0, 100.0, False)

            async def store(since, current_at, wait):
                await asyncio.sleep(30.0)

            peers = [sources.Peer(n, "r1", n, 1000.0) for n in ("a", "b", "own")]
            follower = table_source.Follower(
                chooser=sources.Sources(name="own", region="r1"),
                peers=lambda: peers,
                is_store_reachable=lambda: True,
                ask=ask,
                table="op",
                store=store,
                anyone=list,
                now=time.monotonic,
            )
            asked_at = time.monotonic()
            try:
                async with asyncio.timeout(BOUND + 1.5):
                    await follower.fetch(6, asked_at - 0.3, 0.6)
            except TimeoutError:
                pass
            finally:
                await client.close()
                trickle.stop()
            return time.monotonic() - asked_at

        self.assertLess(asyncio.run(check()), BOUND)


class FirstCopyTest(support.TestCase):
    def test_a_starting_host_takes_no_old_copy_while_the_store_answers(self):
        async def check():
            old = table_copy.Changes(
                [rows.Row("config", b"old", 3)], 3, is_snapshot=True
            )

            async def ask(name, table, since, hold):
                return tables.Answer(old, 30.0, 100.0, 100.0, False)

            async def store(since, current_at, wait):
                snapshot = CHANGES._replace(is_snapshot=True)
                return mirror.Fetched(changes=snapshot, read_at=time.monotonic())

            follower, _ = make_follower(["a", "b", "c"], ask, store)
            fetched = await follower.fetch(None, None, 0.6)
            self.assertEqual(7, fetched.changes.version)

        asyncio.run(check())


def plain_endpoint(name, value):
    return model.Endpoint(
        id=name,
        service="plain",
        address="127.0.0.1:1",
        data_centre="z1",
        slots=8,
        state=model.READY,
    )


class RegainedTest(support.TestCase):
    """Entries that expire while the store is unavailable are kept for a while."""

    def make_endpoints(self, now):
        return endpoints.Endpoints(
            deployment=make_deployment(),
            decode=plain_endpoint,
            table_name="servers",
            host_count=lambda: 62,
            other_hosts=lambda: (),
            loads=lambda: gossip.Loads([], 0.0),
            **warm_endpoints.parts(now),
            now=now,
        )

    def test_one_sources_failed_calls_keep_no_gone_endpoint_at_its_followers(self):
        """The store refuses every fourth call of the source and answers other hosts."""
        self.assertLessEqual(self.seconds_kept(lambda call: call % 4 == 0), BOUND)

    def test_one_failed_call_of_a_source_keeps_no_gone_endpoint_at_its_followers(self):
        self.assertLessEqual(self.seconds_kept(lambda call: call == FAILED_CALL), BOUND)

    def test_without_failed_calls_a_gone_endpoint_goes(self):
        self.assertLessEqual(self.seconds_kept(lambda call: False), BOUND)

    def test_hosts_that_regain_the_table_in_turn_keep_no_gone_endpoint_elsewhere(self):
        loop = virtual.Loop()
        self.addCleanup(loop.finish)
        now = loop.time
        answers = [table_copy.Changes([rows.Row("e1", b"", 5)], 5, True)]

        async def from_source(since, current_at, wait):
            return mirror.Fetched(
                changes=answers[-1],
                read_at=now(),
                store_returned_at=now() - 0.1,
                peer="source",
            )

        known_endpoints = self.make_endpoints(now)
        following = self.mirror(from_source, known_endpoints.table.apply_changes, now)
        known_endpoints.table.set_store_returned_at(lambda: following.store_returned_at)
        loop.create_task(following.run())
        loop.run_for(5.0)
        self.assertEqual(1, len(known_endpoints.table.usable("plain")))
        answers.append(table_copy.Changes([rows.Row("e1", None, 9)], 9, False))
        loop.run_for(BOUND)
        self.assertEqual([], known_endpoints.table.usable("plain"))

    def test_answers_without_changes_cost_followers_no_call(self):
        """Guards against a call of each follower for each answer of the store, which
        were the most calls between the hosts of a large fleet."""
        loop = virtual.Loop()
        self.addCleanup(loop.finish)
        calls = 0

        async def from_store(since, current_at, wait):
            changes = table_copy.Changes([], 5, since is None)
            return mirror.Fetched(changes=changes, read_at=loop.time())

        source = self.mirror(from_store, lambda *args: None, loop.time)

        async def from_source(since, current_at, wait):
            nonlocal calls
            calls += 1
            update = await source.changes_since(since, table_source.HOLD)
            return mirror.Fetched(
                changes=update.changes, read_at=update.read_at, peer="source"
            )

        following = self.mirror(from_source, lambda *args: None, loop.time)
        loop.create_task(source.run())
        loop.run_for(1.0)
        loop.create_task(following.run())
        loop.run_for(10.0)
        self.assertLess(calls, 10.0 / table_source.HOLD + 1)
        self.assertLess(loop.time() - following.read_at, sources.MAX_AGE + 0.2)

    def seconds_kept(self, fails):
        """Return the seconds for which a follower keeps a removed endpoint."""
        loop = virtual.Loop()
        self.addCleanup(loop.finish)
        now = loop.time
        state = {"removed": False, "calls": 0}

        async def from_store(since, current_at, wait):
            state["calls"] += 1
            if fails(state["calls"]):
                return rows.Unavailable(reason="status 429")
            if state["removed"]:
                changes = table_copy.Changes([rows.Row("e1", None, 9)], 9, False)
            else:
                changes = table_copy.Changes([rows.Row("e1", b"", 5)], 5, True)
            return mirror.Fetched(changes=changes, read_at=now())

        source = self.mirror(from_store, lambda *args: None, now)

        async def from_source(since, current_at, wait):
            update = await source.changes_since(since, 0.9)
            if update is None:
                return rows.Unavailable(reason="starting")
            return mirror.Fetched(
                changes=update.changes,
                read_at=update.read_at,
                store_returned_at=update.store_returned_at,
                peer="source",
            )

        known_endpoints = self.make_endpoints(now)
        following = self.mirror(from_source, known_endpoints.table.apply_changes, now)
        known_endpoints.table.set_store_returned_at(lambda: following.store_returned_at)
        loop.create_task(source.run())
        loop.create_task(following.run())
        while state["calls"] < FAILED_CALL:
            loop.run_for(0.01)
        self.assertEqual(1, len(known_endpoints.table.usable("plain")))
        state["removed"] = True
        removed_at = loop.time()
        while known_endpoints.table.usable("plain") and loop.time() - removed_at < 20.0:
            loop.run_for(0.05)
        return round(loop.time() - removed_at, 2)

    def mirror(self, fetch, on_change, now):
        return mirror.Mirror(
            table="servers",
            fetch=fetch,
            pause=0.6,
            wait=0.0,
            on_change=on_change,
            receiving=lambda: False,
            now=now,
        )


def make_deployment():
    return model.Deployment(
        host="h1",
        data_centre="z1",
        region="r1",
        regions={"z1": "r1"},
        callers="127.0.0.1:0",
        readiness="127.0.0.1:0",
        control="127.0.0.1:0",
        gossip="127.0.0.1:0",
        heartbeats="127.0.0.1:0",
        directory="127.0.0.1:0",
        seeds=(),
        store="127.0.0.1:1",
        bounds=model.Bounds(grace=3.0),
    )


class RetriesTest(support.TestCase):
    def test_a_host_that_served_before_it_knew_the_fleet_keeps_to_its_share(self):
        host_count = [1]
        service_endpoints = endpoints.Endpoints(
            deployment=make_deployment(),
            decode=plain_endpoint,
            table_name="servers",
            host_count=lambda: host_count[0],
            other_hosts=lambda: (),
            loads=lambda: gossip.Loads([], 0.0),
            **warm_endpoints.parts(time.monotonic),
            now=time.monotonic,
        )
        service_endpoints.count_request("plain")
        host_count[0] = 62
        for _ in range(2000):
            service_endpoints.count_request("plain")
        retries = 0
        while service_endpoints.take_retry("plain"):
            retries += 1
        share = endpoints.BUDGET_SHARE * model.Bounds().retry_slack / 62
        self.assertLessEqual(retries, max(1.0, share) + 1)
