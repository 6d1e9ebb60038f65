"""Runs Sanic applications inside the daemon's own event loop."""

import asyncio
import socket
import ssl
import time
from collections import abc

import sanic
from sanic.http import constants, http1
from sanic.server import async_server

from dogwoodchute import connection, log
from dogwoodchute.coordination import retry_after
from dogwoodchute.intake import account, bad_urls

MIN_IDLE_TIMEOUT = 1.0  # seconds
MIN_HEADER_BYTES = 2048  # also of requests between hosts
MAX_HEADER_BYTES = http1.Http.HEADER_CEILING
POLL = 0.02  # seconds between checks for connections that have ended
HEAD_TIMEOUT = 10.0  # seconds from a head's first byte to its end
# Multiple of the time that callers may take, as bytes wait on the way.
HEAD_TIMEOUT_FACTOR = 2.0
OVERLOAD_RETRY_AFTER = 1.0  # seconds
REQUEST_SIGNALS = "http."  # prefix of their names
EXCEPTION_SIGNAL = "http.lifecycle.exception"
END_BOUND = 0.2  # seconds that aborted connections get to finish their tasks


class _App(sanic.Sanic):
    """An application without three faults of Sanic.

    It does not parse the source code of its handlers, does not complete an answer whose
    handler has failed, and does not look for receivers of signals that have none.
    """

    def dispatch(self, event: str, **options: object) -> abc.Coroutine:
        """Dispatch a signal; those of each request have no receivers here.

        Sanic looks for them a dozen times a request, a tenth of its processor time.
        """
        if event.startswith(REQUEST_SIGNALS) and event != EXCEPTION_SIGNAL:
            return _dispatch_nothing()
        return super().dispatch(event, **options)

    async def handle_exception(
        self,
        request: sanic.Request,
        exception: BaseException,
        run_middleware: bool = True,
    ) -> None:
        """Answer a request whose handler failed, or break off its answer."""
        stream = request.stream
        if stream is not None and stream.stage is constants.Stage.RESPONSE:
            stream.protocol.force_close(connection.ABORT)
        await super().handle_exception(request, exception, run_middleware)

    def _determine_error_format(self, handler: object) -> str:
        # Sanic parses the source code to guess the format, which raises SystemError
        # in CPython 3.11 if a finalizer runs meanwhile.
        return ""


class Server:
    """A Sanic application and its listener.

    `callers` is the account of what the connections of all listeners hold; without it
    the listener has one of its own.
    """

    def __init__(
        self,
        *,
        name: str,
        body_bytes: int,
        header_bytes: int,
        idle_timeout: float,
        callers: account.Account | None = None,
    ) -> None:
        self.app = _App(name, configure_logging=False, request_class=bad_urls.Request)
        self.app.config.REQUEST_MAX_SIZE = body_bytes
        self.app.config.REQUEST_MAX_HEADER_SIZE = header_bytes
        self.app.config.KEEP_ALIVE_TIMEOUT = idle_timeout
        self.app.config.REQUEST_TIMEOUT = idle_timeout
        self.app.config.RESPONSE_TIMEOUT = 86_400
        # A slow caller may still be reading the end of an answer.
        self.app.config.GRACEFUL_TCP_CLOSE_TIMEOUT = idle_timeout
        # Sanic's touch-up rewrites classes shared by all applications, which fails
        # for the second one of a process.
        self.app.config.TOUCHUP = False
        self.app.ctx.account = callers or account.Account(now=time.monotonic)
        self.app.ctx.head_timeout = HEAD_TIMEOUT
        self.app.config.MOTD = False
        self.app.config.ACCESS_LOG = False
        self.app.on_request(_read_on)
        self._server: async_server.AsyncioServer | None = None
        self.port = 0

    def set_limits(
        self,
        *,
        body_bytes: int,
        header_bytes: int,
        idle_timeout: float,
        header_timeout: float = HEAD_TIMEOUT,
    ) -> None:
        """Set limits, in bytes and seconds, for open and later connections.

        Sanic has one limit of headers for all servers of a process, and a ceiling of
        it, `MAX_HEADER_BYTES`.
        """
        keep_alive_timeout = max(MIN_IDLE_TIMEOUT, idle_timeout)
        if header_bytes > MAX_HEADER_BYTES:
            log.warning("header_limit_capped", wanted=header_bytes, to=MAX_HEADER_BYTES)
        self.app.config.REQUEST_MAX_HEADER_SIZE = max(MIN_HEADER_BYTES, header_bytes)
        self.app.config.REQUEST_MAX_SIZE = body_bytes
        self.app.config.KEEP_ALIVE_TIMEOUT = keep_alive_timeout
        self.app.ctx.head_timeout = HEAD_TIMEOUT_FACTOR * header_timeout
        if self._server is None:
            return
        for open_connection in self._server.connections:
            open_connection.request_max_size = body_bytes
            open_connection.keep_alive_timeout = keep_alive_timeout

    async def start(
        self, address: str, port: int, *, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen at `address` and `port` and set `self.port`.

        Port 0 lets the system choose one.
        """
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((address, port))
        listener.setblocking(False)
        self.port = listener.getsockname()[1]
        self._server = await self.app.create_server(
            sock=listener,
            ssl=tls,
            protocol=connection.Connection,
            return_asyncio_server=True,
            access_log=False,
        )
        await self._server.startup()
        await self._server.before_start()
        await self._server.start_serving()
        await self._server.after_start()

    @property
    def open_connections(self) -> int:
        """The number of open connections; after `close`, of those still answering."""
        return len(self._server.connections) if self._server is not None else 0

    async def close(self) -> None:
        """Accept no new connections or requests; answers under way continue.

        Each further call closes the connections whose answers have ended since.
        """
        if self._server is None:
            return
        if self._server.is_serving():
            self._server.close()
        for open_connection in list(self._server.connections):
            if not open_connection.close_if_idle():
                open_connection.http.keep_alive = False

    async def drain(self, *, within: float) -> None:
        """Close, and wait up to `within` seconds for answers under way to end."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within
        await self.close()
        while self.open_connections and loop.time() < deadline:
            await asyncio.sleep(POLL)
            await self.close()

    async def stop(self, *, within: float = 0.0) -> None:
        """Close the listener and all connections, aborting those left after `within`.

        `within` is in seconds.
        """
        if self._server is None:
            return
        await self._server.before_stop()
        await self.drain(within=within)
        for open_connection in list(self._server.connections):
            open_connection.force_close(connection.STOP)
        # The tasks of aborted connections must end before the event loop does.
        await self.drain(within=END_BOUND)
        await self._server.after_stop()
        sanic.Sanic.unregister_app(self.app)
        self._server = None


async def _dispatch_nothing() -> None:
    return


def _read_on(request: sanic.Request) -> sanic.HTTPResponse | None:
    """Read on while `request`, whose body was read, is answered.

    Refuses it if callers hold too much memory already.
    """
    protocol = request.stream.protocol
    if protocol.admit_request():
        protocol.read_on()
        return None
    request.stream.keep_alive = False
    error = {"code": "overloaded", "message": "The request was not run; retry."}
    headers = {"Retry-After": f"{retry_after.spread(OVERLOAD_RETRY_AFTER):.2f}"}
    return sanic.json({"error": error}, status=503, headers=headers)


def tls_context(certificate: str, key: str) -> ssl.SSLContext | None:
    """Return the TLS context of a listener's PEM files, None if none are set.

    Raises `OSError` or `ssl.SSLError` if a file can't be used.
    """
    if not certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    return context
