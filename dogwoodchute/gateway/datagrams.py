"""The socket of a protocol between hosts that uses UDP datagrams."""

import asyncio

from dogwoodchute import log


class Datagrams(asyncio.DatagramProtocol):
    """Sends and receives datagrams; subclasses define `datagram_received`."""

    def __init__(self) -> None:
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, address: str) -> None:
        """Listen at a local address of IP number and port."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=socket_address(address)
        )

    def stop(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Set the transport for sending; called by asyncio."""
        self._transport = transport

    def error_received(self, exc: Exception) -> None:
        """Log that a host does not listen; its watchers notice that too."""
        log.debug("datagram_failed", reason=str(exc))


def socket_address(address: str) -> tuple[str, int]:
    """Return the IP number and port of an address, as sockets take them."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)
