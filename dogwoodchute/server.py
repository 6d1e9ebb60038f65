"""Runs Sanic applications inside the daemon's own event loop."""

import socket
import ssl

import sanic
from sanic.server import async_server

from dogwoodchute import connection


class Server:
    """One listening HTTP application."""

    def __init__(
        self, *, name: str, body_bytes: int, header_bytes: int, idle_timeout: float
    ) -> None:
        self.app = sanic.Sanic(name, configure_logging=False)
        self.app.config.REQUEST_MAX_SIZE = body_bytes
        self.app.config.REQUEST_MAX_HEADER_SIZE = header_bytes
        self.app.config.KEEP_ALIVE_TIMEOUT = int(idle_timeout)
        self.app.config.REQUEST_TIMEOUT = int(idle_timeout)
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
        """Set limits, in bytes and seconds, for connections that open from now on."""
        self.app.config.REQUEST_MAX_SIZE = body_bytes
        self.app.config.KEEP_ALIVE_TIMEOUT = max(1, int(idle_timeout))

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
        for connection in list(self._server.connections):
            if not connection.close_if_idle():
                connection.http.keep_alive = False

    async def stop(self) -> None:
        """Close the listener and all idle connections."""
        if self._server is None:
            return
        await self._server.before_stop()
        await self.close()
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
