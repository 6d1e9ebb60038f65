"""Pools of HTTP connections that may go silent together.

Open connections may stop to deliver bytes for good, without a reset and many at the
same moment, while new ones work. What a request without an answer shows of its
connection therefore holds for all connections that were open at that time to the same
address: none of them is used again. Otherwise each further request would find the next
silent one, and wait its whole timeout for it.
"""

import array
import asyncio
import contextvars
import fcntl
import functools
import socket
import termios

import aiohttp
from aiohttp import client_proto

from dogwoodchute import log

# Headers that aiohttp adds and no peer reads; hosts parse thousands of heads a minute.
UNUSED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")
MAX_DOUBTS = 1000  # addresses; the oldest doubts are of connections closed long ago
# The kernel probes idle connections, and drops one whose peer does not acknowledge.
KEEPALIVE_IDLE = 1  # seconds without bytes before the first probe
KEEPALIVE_INTERVAL = 1  # seconds between probes
KEEPALIVE_PROBES = 3  # unanswered ones after which the connection is dropped


class Use:
    """What is known of the connection that carries a request."""

    def __init__(self) -> None:
        self.received = 0  # bytes since the request was sent, where they are counted
        self.is_reused = False  # it carried another request before
        self.is_connected = False  # bytes of the request may have been written
        # Bytes that the peer's kernel had not acknowledged when the connection was
        # closed before the end of an answer; None if it was not, or that is unknown.
        self.unsent: int | None = None


# aiohttp chooses the connection of a request, so the connection finds the `Use` of the
# request that is being sent here.
_current_use: contextvars.ContextVar[Use] = contextvars.ContextVar("use")


def track_use() -> Use:
    """Return what will be known of the connection of the request sent next."""
    use = Use()
    _current_use.set(use)
    return use


class Doubts:
    """Until when the connections to each address were opened that are not used again.

    An address is text of IP and port.
    """

    def __init__(self) -> None:
        self._doubted_at: dict[str, float] = {}  # loop time

    @property
    def has_any(self) -> bool:
        """Whether any address was ever doubted."""
        return bool(self._doubted_at)

    def doubt(self, address: str, reason: str) -> None:
        """Do not use again what is open to `address` now; log it with `reason`."""
        self._doubted_at.pop(address, None)
        self._doubted_at[address] = asyncio.get_running_loop().time()
        if len(self._doubted_at) > MAX_DOUBTS:
            del self._doubted_at[next(iter(self._doubted_at))]
        log.info("connections_doubted", peer=address, reason=reason)

    def covers(self, address: str, opened_at: float) -> bool:
        """Return whether a connection opened at `opened_at` (loop time) is doubted."""
        return opened_at <= self._doubted_at.get(address, float("-inf"))


class PooledConnection(client_proto.ResponseHandler):
    """A connection that is not used again once `doubts` covers it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, *, doubts: Doubts) -> None:
        super().__init__(loop)
        self._doubts = doubts
        self._opened_at = 0.0  # loop time
        self._has_carried = False  # a request was sent on it
        self._use = Use()

    @property
    def is_open(self) -> bool:
        """Whether bytes may still arrive, doubted or not."""
        return super().is_connected()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record when the connection was opened."""
        super().connection_made(transport)
        self._opened_at = self._loop.time()

    def is_connected(self) -> bool:
        """Return whether the connection may carry another request."""
        return self.is_open and not self._is_doubted()

    def set_response_params(self, **params: object) -> None:
        """Prepare for the answer to a new request."""
        self._use = _current_use.get(None) or Use()
        self._use.is_reused, self._has_carried = self._has_carried, True
        self._use.is_connected = True
        super().set_response_params(**params)

    def _record_unsent(self) -> int | None:
        """Record and return the bytes that the peer's kernel has not acknowledged.

        Returns None if this host's kernel does not tell.
        """
        unsent = array.array("i", [0])
        try:
            descriptor = self.transport.get_extra_info("socket").fileno()
            fcntl.ioctl(descriptor, termios.TIOCOUTQ, unsent)
        except OSError as error:
            log.info("unsent_bytes_unknown", reason=str(error))
            return None
        self._use.unsent = unsent[0] + self.transport.get_write_buffer_size()
        return self._use.unsent

    def _is_doubted(self) -> bool:
        if not self._doubts.has_any:
            return False
        peer = self.transport.get_extra_info("peername")
        address = f"{peer[0]}:{peer[1]}" if peer else ""
        return self._doubts.covers(address, self._opened_at)


def connector(
    *,
    doubts: Doubts,
    factory: type[PooledConnection] = PooledConnection,
    factory_options: dict[str, object] | None = None,
    **options: object,
) -> aiohttp.TCPConnector:
    """Return a connector of `factory` connections, without a limit to their number.

    `factory_options` go to `factory`, `options` to the connector.
    """
    made = aiohttp.TCPConnector(limit=0, socket_factory=_probed_socket, **options)
    # aiohttp has no public way to set the class of its connections.
    made._factory = functools.partial(
        factory,
        loop=asyncio.get_running_loop(),
        doubts=doubts,
        **(factory_options or {}),
    )
    return made


def _probed_socket(address: tuple) -> socket.socket:
    """Return a socket whose idle connection the kernel probes."""
    family, kind, protocol = address[:3]
    made = socket.socket(family, kind, protocol)
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    return made


class LazySession:
    """An HTTP session that is opened at its first use, with doubts of its connections.

    `keepalive_timeout` is the seconds for which an unused connection is kept; further
    options go to the session.
    """

    def __init__(self, *, keepalive_timeout: float = 15.0, **options: object) -> None:
        self._keepalive_timeout = keepalive_timeout
        self._options = options
        self._doubts = Doubts()
        self._session: aiohttp.ClientSession | None = None

    def get(self) -> aiohttp.ClientSession:
        """Return the session; needs a running event loop."""
        if self._session is None:
            made = connector(
                doubts=self._doubts, keepalive_timeout=self._keepalive_timeout
            )
            options = {"skip_auto_headers": UNUSED_HEADERS, **self._options}
            self._session = aiohttp.ClientSession(connector=made, **options)
        return self._session

    def doubt(self, address: str, reason: str, *, use: Use) -> None:
        """Do not use again what is open to `address` now; log it with `reason`.

        `use` is of a request without an answer. One on a new connection, or one that
        never got a connection, tells nothing of those that were open before.
        """
        if use.is_reused:
            self._doubts.doubt(address, reason)

    async def close(self) -> None:
        """Close all connections."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()
