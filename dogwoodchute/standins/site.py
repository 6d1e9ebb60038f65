"""Runs a stand-in's HTTP application on the loopback interface."""

from aiohttp import web


class Site:
    """The HTTP server of one stand-in; `address` is set by `start`."""

    def __init__(self, *, app: web.Application) -> None:
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        self.address = ""

    async def start(self, port: int = 0) -> None:
        """Listen on loopback at `port`, 0 for any free one; set `self.address`."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        host, bound_port = self._runner.addresses[0][:2]
        self.address = f"{host}:{bound_port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self._runner.cleanup()
