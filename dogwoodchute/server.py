"""Runs Sanic applications inside the daemon's own event loop."""

import asyncio
import socket
import ssl

import sanic
from sanic.server import async_server

from dogwoodchute import connection

MIN_IDLE_TIMEOUT = 1.0  # seconds
POLL = 0.02  # seconds between looks at connections that are to end
END_BOUND = 0.2  # seconds in which connections end that were cut


class _App(sanic.Sanic):
    """An application that does not read the sources of its handlers."""

    def _determine_error_format(self, handler: object) -> str:
        # Sanic parses the sources, which raises SystemError in CPython 3.11 if a
        # finalizer runs meanwhile.
        return ""


class Server:
    """One listening HTTP application."""

    def __init__(
        self, *, name: str, body_bytes: int, header_bytes: int, idle_timeout: float
    ) -> None:
        self.app = _App(name, configure_logging=False)
        self.app.config.REQUEST_MAX_SIZE = body_bytes
        self.app.config.REQUEST_MAX_HEADER_SIZE = header_bytes
        self.app.config.KEEP_ALIVE_TIMEOUT = idle_timeout
        self.app.config.REQUEST_TIMEOUT = idle_timeout
        self.app.config.RESPONSE_TIMEOUT = 86_400
        # The end of an answer may still be on its way to a slow caller.
        self.app.config.GRACEFUL_TCP_CLOSE_TIMEOUT = idle_timeout
        # Touch-up rewrites shared classes, which fails for a second application.
        self.app.config.TOUCHUP = False
        self.app.config.MOTD = False
        self.app.config.ACCESS_LOG = False
        self._server: async_server.AsyncioServer | None = None
        self.port = 0

    def limit(self, *, body_bytes: int, idle_timeout: float) -> None:
        """Set limits, in bytes and seconds, for all connections."""
        kept = max(MIN_IDLE_TIMEOUT, idle_timeout)
        self.app.config.REQUEST_MAX_SIZE = body_bytes
        self.app.config.KEEP_ALIVE_TIMEOUT = kept
        if self._server is None:
            return
        for each in self._server.connections:
            each.request_max_size = body_bytes
            each.keep_alive_timeout = kept

    async def start(
        self, address: str, port: int, *, tls: ssl.SSLContext | None = None
    ) -> None:
        """Listen at `address` and `port`, 0 for any; sets `self.port`."""
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
    def busy(self) -> int:
        """Connections that are open; after `close`, those with answers under way."""
        return len(self._server.connections) if self._server is not None else 0

    async def close(self) -> None:
        """Take no new connections or requests; answers under way go on.

        A repeat also closes connections whose answers have ended since.
        """
        if self._server is None:
            return
        if self._server.is_serving():
            self._server.close()
        for each in list(self._server.connections):
            if not each.close_if_idle():
                each.http.keep_alive = False

    async def drain(self, *, within: float) -> None:
        """Close, and wait at most `within` seconds until callers have their answers."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + within
        await self.close()
        while self.busy and loop.time() < deadline:
            await asyncio.sleep(POLL)
            await self.close()

    async def stop(self, *, within: float = 0.0) -> None:
        """Close the listener and all connections, busy ones after `within` seconds."""
        if self._server is None:
            return
        await self._server.before_stop()
        await self.drain(within=within)
        for each in list(self._server.connections):
            each.cut(connection.STOP)
        # The tasks of connections that were cut must not outlast the loop.
        await self.drain(within=END_BOUND)
        await self._server.after_stop()
        sanic.Sanic.unregister_app(self.app)
        self._server = None


def tls_context(certificate: str, key: str) -> ssl.SSLContext | None:
    """Return the context of a listener's PEM files, None where none are set.

    Raises `OSError` or `ssl.SSLError` if a file can't be used.
    """
    if not certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(certificate, key)
    return context
