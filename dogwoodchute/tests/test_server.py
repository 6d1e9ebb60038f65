"""The callers' and operators' listeners: idle timeouts and TLS."""

import asyncio
import contextlib
import datetime
import ipaddress
import pathlib
import ssl
import tempfile

import aiohttp
import sanic
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid
from sanic.mixins import routes

from dogwoodchute import connection, server
from dogwoodchute.tests import support


def write_certificate(folder):
    """Write a self-signed certificate of 127.0.0.1; return its path and the key's."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, "test")])
    alternative = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    valid_from = datetime.datetime(2020, 1, 1)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(valid_from)
        .not_valid_after(valid_from + datetime.timedelta(days=36_500))
        .add_extension(x509.SubjectAlternativeName([alternative]), critical=False)
        .sign(key, hashes.SHA256())
    )
    paths = [pathlib.Path(folder) / name for name in ("tls.crt", "tls.key")]
    paths[0].write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    paths[1].write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return [str(path) for path in paths]


@contextlib.asynccontextmanager
async def open_connection(*, idle_timeout):
    """Run a listener and send one request over a new connection.

    Yields the listener and a function that sends another request over the connection.
    """
    listener = server.Server(
        name="idle-test", body_bytes=1000, header_bytes=4096, idle_timeout=idle_timeout
    )

    async def answer(request):
        return sanic.text("hello")

    listener.app.add_route(answer, "/")
    await listener.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", listener.port)

    async def send_request():
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        return (await reader.readuntil(b"hello")).endswith(b"hello")

    await send_request()
    yield listener, send_request
    writer.close()
    await listener.stop()


class IdleTest(support.TestCase):
    def test_a_connection_is_kept_for_fractions_of_a_second(self):
        """With a limit of 1.9 s, connections in use were closed after 1 s."""

        async def scenario():
            async with open_connection(idle_timeout=1.9) as (_, send_request):
                await asyncio.sleep(1.6)
                self.assertTrue(await send_request())

        self.run_async(scenario())

    def test_a_raised_limit_holds_for_open_connections(self):
        """A raised limit did not apply to connections that were open already."""

        async def scenario():
            async with open_connection(idle_timeout=1.0) as (listener, send_request):
                listener.set_limits(
                    body_bytes=1000, header_bytes=4096, idle_timeout=30.0
                )
                await asyncio.sleep(1.7)
                self.assertTrue(await send_request())

        self.run_async(scenario())


class UnreadAnswerTest(support.TestCase):
    """An answer of 20 MB, which is more than the sockets hold."""

    def answered(self, read):
        """Return the bytes that a caller gets that calls `read` until the end."""
        self.patch(connection, "UNREAD_TIMEOUT", 0.6)

        async def answer(request):
            response = await request.respond(content_type="text/plain")
            for _ in range(20):
                await response.send(bytes(1 << 20))

        async def scenario():
            listener = server.Server(
                name="unread-test", body_bytes=1000, header_bytes=4096, idle_timeout=1.0
            )
            listener.app.add_route(answer, "/")
            await listener.start("127.0.0.1", 0)
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", listener.port, limit=1 << 16
            )
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            size = await read(reader)
            writer.close()
            await listener.stop()
            return size

        return self.run_async(scenario())

    def test_a_caller_that_has_stopped_reading_is_closed(self):
        async def read(reader):
            await asyncio.sleep(2.5)
            with contextlib.suppress(ConnectionError):
                return len(await reader.read())
            return 0

        self.assertLess(self.answered(read), 20 << 20)

    def test_a_caller_that_reads_slowly_is_not(self):
        async def read(reader):
            size = 0
            while piece := await reader.read(1 << 18):
                size += len(piece)
                await asyncio.sleep(0.01)
            return size

        self.assertGreater(self.answered(read), 20 << 20)


class TLSTest(support.TestCase):
    def test_listener_speaks_tls_and_refuses_plain(self):
        async def scenario():
            with tempfile.TemporaryDirectory() as folder:
                certificate, key = write_certificate(folder)
                context = server.tls_context(certificate, key)
                trust = ssl.create_default_context(cafile=certificate)
            listener = server.Server(
                name="tls-test", body_bytes=1000, header_bytes=4096, idle_timeout=5
            )

            async def answer(request):
                return sanic.text("hello")

            listener.app.add_route(answer, "/")
            await listener.start("127.0.0.1", 0, tls=context)
            address = f"127.0.0.1:{listener.port}/"
            async with aiohttp.ClientSession() as session:
                async with session.get(f"https://{address}", ssl=trust) as response:
                    self.assertEqual("hello", await response.text())
                with self.assertRaises(aiohttp.ClientError):
                    await session.get(f"http://{address}")
            await listener.stop()

        self.run_async(scenario())

    def test_no_certificate_means_no_tls(self):
        self.assertIsNone(server.tls_context("", ""))

    def test_routes_are_added_while_sources_can_t_be_parsed(self):
        """Sanic's parsing of the handlers' sources failed if a finalizer ran."""

        def parse(source):
            raise SystemError("AST constructor recursion depth mismatch")

        async def handle(request):
            return sanic.response.text("")

        self.patch(routes, "parse", parse)
        listener = server.Server(
            name="unparsed", body_bytes=1, header_bytes=1, idle_timeout=1
        )
        listener.app.add_route(handle, "/", name="handle")


class FailedAnswerTest(support.TestCase):
    """An answer whose handler fails once it has begun."""

    async def ask(self, handler):
        """Return the status, the body, and whether the answer was complete."""
        listener = server.Server(
            name="failing", body_bytes=1000, header_bytes=4096, idle_timeout=5.0
        )
        listener.app.add_route(handler, "/", methods=["GET"], name="failing")
        await listener.start("127.0.0.1", 0)
        body = b""
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://127.0.0.1:{listener.port}/") as response,
            ):
                try:
                    async for data in response.content.iter_any():
                        body += data
                except (aiohttp.ClientError, ConnectionError):
                    return response.status, body, False
                return response.status, body, True
        finally:
            await listener.stop()

    def test_an_answer_whose_handler_fails_never_looks_complete(self):
        """Sanic wrote the last chunk behind what had been sent."""
        errors = (ValueError("bad"), sanic.exceptions.ServerError("bad"), OSError(5))
        for error in errors:

            async def handler(request, error=error):
                response = await request.respond(content_type="text/plain")
                await response.send(b"half")
                await asyncio.sleep(0.05)
                raise error

            received = self.run_async(self.ask(handler))
            self.assertEqual((200, b"half", False), received, error)

    def test_a_failure_before_an_answer_is_answered(self):
        async def handler(request):
            raise ValueError("bad")

        status, _, is_complete = self.run_async(self.ask(handler))
        self.assertEqual((500, True), (status, is_complete))

    def test_a_failure_behind_a_whole_answer_changes_nothing(self):
        async def handler(request):
            response = await request.respond(content_type="text/plain")
            await response.send(b"whole", True)
            raise ValueError("bad")

        self.assertEqual((200, b"whole", True), self.run_async(self.ask(handler)))
