"""Streams between hosts, over real sockets on loopback."""

import asyncio
import contextlib
import socket
import tempfile

from dogwoodchute import peer_handshake, peer_streams, peer_tls, peer_wire, peers
from dogwoodchute.tests import support, support_fleet, test_server

FAST = {"heartbeat_interval": 0.2, "silent_after": 0.8}


class Forwarder:
    """Forwards connections to `port`.

    `silence` drops all further bytes of the connections that are open then, without
    closing them.
    """

    def __init__(self, *, port):
        self._port = port
        self._tasks = set()
        self._silenced = set()
        self._open = set()
        self.connections = 0

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        return f"{ip}:{port}"

    def silence(self):
        self._silenced |= self._open

    def stop(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader, writer):
        self.connections += 1
        number = self.connections
        self._open.add(number)
        to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self._port)
        for source, target in ((reader, to_writer), (to_reader, writer)):
            task = asyncio.create_task(self._forward(number, source, target))
            self._tasks.add(task)

    async def _forward(self, number, source, target):
        with contextlib.suppress(OSError):
            while data := await source.read(65_536):
                if number not in self._silenced:
                    target.write(data)
        if number not in self._silenced:
            target.close()


class Node:
    """One host's streams, and the arguments of the callbacks that they called."""

    def __init__(self, name, region="dar", **sections):
        sections = {"peers": FAST, **sections}
        self.config = support_fleet.config_of(name, region, **sections)
        self.name = name
        self.clock_offset = 0.0  # seconds
        self.streams = peer_streams.Streams(
            config=self.config, now=self.now, tls=peer_tls.contexts(self.config.tls)
        )
        self.opened = []
        self.replaced = []  # incarnations
        self.closed = []
        self.received = []
        self.paused = []

    def now(self):
        return asyncio.get_running_loop().time() + self.clock_offset

    async def __aenter__(self):
        await self.streams.start(
            f"{self.name}-1",
            peer_streams.Callbacks(
                lambda peer: peer.incarnation in self.replaced,
                self.opened.append,
                lambda peer, reason: self.closed.append(reason),
                lambda peer, message: self.received.append(message),
                self.paused.append,
            ),
        )
        self.streams.handle("echo", self.echo)
        self.streams.handle("fail", self.fail)
        self.streams.handle("count", self.count)
        return self

    async def __aexit__(self, *error):
        await self.streams.stop()

    @property
    def address(self):
        return f"127.0.0.1:{self.streams.port}"

    async def echo(self, peer, body):
        await asyncio.sleep(body.get("pause", 0))
        return {"from": peer, **body}

    async def count(self, peer, body):
        return {"hints": len(self.received)}

    async def fail(self, peer, body):
        raise ValueError("injected")


@contextlib.asynccontextmanager
async def pair(region="dar", **sections):
    """Two nodes, of which the first knows the second's address."""
    async with Node("dar-1", **sections) as one, Node("x-2", region, **sections) as two:
        one.streams.find_address = {"x-2": two.address}.get
        yield one, two


class CallTest(support.TestCase):
    def test_outcomes_of_calls(self):
        async def scenario():
            async with pair() as (one, two):
                call = one.streams.call
                answer = await call("x-2", "echo", {"n": 1}, 5)
                self.assertEqual(peers.Answer(body={"from": "dar-1", "n": 1}), answer)
                for host, kind, body, timeout, expected in (
                    ("x-3", "echo", {}, 5, peers.NotSent),
                    ("x-2", "none", {}, 5, peers.NoAnswer),
                    ("x-2", "fail", {}, 5, peers.NoAnswer),
                    ("x-2", "echo", {"pause": 5}, 0.1, peers.NoAnswer),
                    ("x-2", "echo", {"a": object()}, 5, peers.NotSent),
                    ("x-2", "echo", {"a": b"x" * 5_000_000}, 5, peers.NotSent),
                ):
                    outcome = await call(host, kind, body, timeout)
                    self.assertIsInstance(outcome, expected, (kind, outcome))
                    self.assertEqual(host, outcome.peer)
                self.assertEqual(1, len(one.opened))
                await two.streams.stop()
                await support_fleet.until(lambda: one.closed)
                outcome = await call("x-2", "echo", {}, 5)
                self.assertIsInstance(outcome, peers.NotSent)

        self.run_async(scenario())

    def test_calls_share_a_stream_in_both_directions(self):
        async def scenario():
            async with pair() as (one, two):
                await one.streams.call("x-2", "echo", {}, 5)
                calls = [
                    node.streams.call(host, "echo", {"n": n, "pause": n % 3 / 50}, 5)
                    for n in range(50)
                    for node, host in ((one, "x-2"), (two, "dar-1"))
                ]
                answers = await asyncio.gather(*calls)
                self.assertEqual(
                    sorted([*range(50), *range(50)]),
                    sorted(a.body["n"] for a in answers),
                )
                self.assertEqual((1, 1), (len(one.opened), len(two.opened)))

        self.run_async(scenario())

    def test_a_lost_stream_tells_sent_from_unsent(self):
        async def scenario():
            # One byte a second between regions keeps all calls but the first queued.
            slow = {**FAST, "region_bytes_per_second": 1.0}
            async with pair("aru", peers=slow) as (one, two):
                await one.streams.call("x-2", "echo", {"pad": b"x" * 70_000}, 5)
                first = one.streams.call("x-2", "echo", {"n": 1}, 0.3)
                self.assertIsInstance(await first, peers.NotSent)
            async with pair() as (one, two):
                await one.streams.call("x-2", "echo", {}, 5)
                sent = asyncio.create_task(
                    one.streams.call("x-2", "echo", {"pause": 5}, 5)
                )
                await asyncio.sleep(0.1)
                await two.streams.stop()
                self.assertIsInstance(await sent, peers.NoAnswer)

        self.run_async(scenario())


class StreamTest(support.TestCase):
    def test_a_silent_stream_is_dropped_and_dialled_anew(self):
        async def scenario():
            async with pair() as (one, two):
                forwarder = Forwarder(port=two.streams.port)
                address = await forwarder.start()
                one.streams.find_address = {"x-2": address}.get
                one.streams.wanted_addresses = {"x-2": address}
                await support_fleet.until(lambda: one.opened and two.opened)
                forwarder.silence()
                unanswered = await one.streams.call("x-2", "echo", {}, 5)
                self.assertIsInstance(unanswered, peers.NoAnswer)
                await support_fleet.until(lambda: len(two.opened) == 2)
                answer = await one.streams.call("x-2", "echo", {}, 5)
                self.assertIsInstance(answer, peers.Answer)
                await support_fleet.until(lambda: two.closed)
                self.assertEqual(["silent"], one.closed)
                self.assertEqual(2, forwarder.connections)
                forwarder.stop()

        self.run_async(scenario())

    def test_wrong_key_is_refused_by_both(self):
        async def scenario():
            keys = {"fleet_key": "another secret of the fleet"}
            async with Node("dar-1", keys=keys) as one, Node("x-2") as two:
                one.streams.find_address = {"x-2": two.address}.get
                outcome = await one.streams.call("x-2", "echo", {}, 5)
                self.assertIsInstance(outcome, peers.NotSent)
                self.assertEqual("wrong key", outcome.reason)
                self.assertEqual(([], []), (one.opened, two.opened))

        self.run_async(scenario())

    def test_tls_streams_and_no_plain_ones_beside_them(self):
        async def scenario():
            with tempfile.TemporaryDirectory() as folder:
                certificate, key = test_server.write_certificate(folder)
                tls = {"peer_certificate": certificate, "peer_key": key}
                tls["peer_authority"] = certificate
                async with pair(tls=tls) as (one, two), Node("dar-3") as plain:
                    answer = await one.streams.call("x-2", "echo", {}, 5)
                    self.assertIsInstance(answer, peers.Answer)
                    plain.streams.find_address = {"x-2": two.address}.get
                    outcome = await plain.streams.call("x-2", "echo", {}, 5)
                    self.assertIsInstance(outcome, peers.NotSent)

        self.run_async(scenario())

    def test_another_host_at_the_address_is_refused(self):
        async def scenario():
            async with Node("dar-1") as one, Node("x-2") as two:
                one.streams.find_address = {"x-9": two.address}.get
                outcome = await one.streams.call("x-9", "echo", {}, 5)
                self.assertIsInstance(outcome, peers.NotSent)
                self.assertEqual([], two.opened)

        self.run_async(scenario())

    def test_bad_bytes_close_the_connection(self):
        async def scenario():
            async with Node("x-2") as two:
                too_large = peer_wire.LENGTH.pack(3_000) + b"x" * 3_000
                early = peer_wire.encode(peer_wire.Call(1, "echo", {}))
                for data in (b"GET / HTTP/1.1\r\n\r\n", too_large, early):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", two.streams.port
                    )
                    writer.write(data)
                    with contextlib.suppress(ConnectionError):
                        self.assertEqual(b"", await reader.read())
                    writer.close()
                self.assertEqual([], two.opened)

        self.run_async(scenario())

    def test_a_connection_that_proves_nothing_is_closed(self):
        async def scenario():
            async with Node("x-2") as two:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", two.streams.port
                )
                with contextlib.suppress(ConnectionError):
                    self.assertEqual(b"", await reader.read())
                writer.close()

        self.run_async(scenario())

    def test_a_pause_of_this_process_drops_no_stream(self):
        async def scenario():
            async with pair() as (one, two):
                one.streams.wanted_addresses = {"x-2": two.address}
                await support_fleet.until(lambda: one.opened)
                one.clock_offset = 60.0
                await support_fleet.until(lambda: one.paused)
                await asyncio.sleep(0.5)
                self.assertEqual([], one.closed)
                self.assertTrue(59 < one.paused[0] < 62, one.paused)

        self.run_async(scenario())

    def test_a_restarted_peer_replaces_its_streams(self):
        async def scenario():
            async with pair() as (one, two):
                two.streams.find_address = {"dar-1": one.address}.get
                await two.streams.call("dar-1", "echo", {}, 5)
                async with Node("x-2") as again:
                    again.streams._identity = again.streams._identity._replace(
                        incarnation="x-2-2"
                    )
                    again.streams.find_address = {"dar-1": one.address}.get
                    await again.streams.call("dar-1", "echo", {}, 5)
                    self.assertEqual(["replaced"], one.closed)
                    # The older process resumes: its streams must not replace those of
                    # the newer one.
                    one.replaced.append("x-2-1")
                    await asyncio.sleep(0.3)
                    outcome = await two.streams.call("dar-1", "echo", {}, 5)
                    self.assertIsInstance(outcome, peers.NotSent)
                    self.assertEqual(["replaced"], one.closed)
                    answer = await one.streams.call("x-2", "echo", {}, 5)
                    self.assertIsInstance(answer, peers.Answer)
                    self.assertEqual(2, len(one.opened))

        self.run_async(scenario())

    def test_a_peer_that_reads_nothing_is_cut(self):
        async def scenario():
            bounds = {**FAST, "queue_bytes": 300_000}
            async with Node("x-2", peers=bounds) as two:
                reader, writer = await open_raw(two)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, 4096
                )
                body = {"pad": b"x" * 50_000}
                for number in range(400):
                    if two.closed:
                        break
                    call = peer_wire.Call(number, "echo", body)
                    writer.write(peer_wire.encode(call))
                    await asyncio.sleep(0)
                self.assertEqual(["slow reader"], two.closed)
                writer.close()

        self.run_async(scenario())

    def test_calls_go_before_hints_between_regions(self):
        async def scenario():
            slow = {**FAST, "region_bytes_per_second": 60_000.0}
            async with pair("aru", peers=slow) as (one, two):
                await one.streams.call("x-2", "echo", {}, 5)
                hints = peer_wire.Gossip([], [["x" * 100_000]])
                for _ in range(3):
                    self.assertGreater(one.streams.queue_gossip("x-2", hints), 100_000)
                self.assertFalse(one.streams.is_ready_for_gossip("x-2"))
                answer = await one.streams.call("x-2", "count", {}, 10)
                # The call is queued after three hints and overtakes those still queued.
                self.assertLess(answer.body["hints"], 3)
                await support_fleet.until(lambda: len(two.received) == 3)

        self.run_async(scenario())


async def open_raw(node):
    """Return the reader and writer of an authenticated stream to `node`."""
    reader, writer = await asyncio.open_connection("127.0.0.1", node.streams.port)
    key = peer_handshake.stream_key(node.config.keys.fleet_key)
    identity = peer_wire.Identity("raw-1", "raw-1-1", "dar", "dar-a")
    handshake = peer_handshake.DiallingSide(key=key, identity=identity, target="")
    decoder = peer_wire.Decoder(max_bytes=2_000)
    messages = handshake.start()
    while handshake.peer is None:
        for message in messages:
            writer.write(peer_wire.encode(message))
        decoder.feed(await reader.read(2_000))
        message = decoder.next_message()
        messages = handshake.receive(message) if message is not None else []
    return reader, writer
