"""A proxy whose open connections can be made silent for good, while new ones work."""

import asyncio
import contextlib


class SilentProxy:
    """Passes connections on to a port of this machine, until they are made silent."""

    def __init__(self):
        self.opened = 0
        self._open = []  # events that make the open connections silent
        self._listener = None
        self._writers = set()
        self._ways = set()

    @property
    def address(self):
        return f"127.0.0.1:{self._listener.sockets[0].getsockname()[1]}"

    async def start(self, port):
        """Listen at a free port, and pass connections on to `port`."""

        async def serve(reader, writer):
            await self._serve(reader, writer, port)

        self._listener = await asyncio.start_server(serve, "127.0.0.1", 0)

    async def stop(self):
        self._listener.close()
        for writer in self._writers:
            writer.transport.abort()
        for way in self._ways:
            way.cancel()

    def silence(self, *, share=1.0):
        """Make a share of the open connections, the oldest ones, silent for good.

        They stay open and are not reset. Returns how many they are.
        """
        count = round(share * len(self._open))
        for silent in self._open[:count]:
            silent.set()
        del self._open[:count]
        return count

    async def _serve(self, reader, writer, port):
        silent = asyncio.Event()
        self._open.append(silent)
        self.opened += 1
        onward_reader, onward_writer = await asyncio.open_connection("127.0.0.1", port)
        self._writers |= {writer, onward_writer}
        ways = [
            asyncio.create_task(self._pass_on(reader, onward_writer, silent)),
            asyncio.create_task(self._pass_on(onward_reader, writer, silent)),
        ]
        self._ways.update(ways)
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        if silent.is_set():
            return
        self._open.remove(silent)
        writer.close()
        onward_writer.close()

    async def _pass_on(self, reader, writer, silent):
        with contextlib.suppress(OSError):
            while data := await reader.read(1 << 16):
                if silent.is_set():
                    break
                writer.write(data)
                await writer.drain()
        if silent.is_set():
            # Not even the end of the connection arrives.
            await asyncio.Event().wait()
