"""A listener that answers with raw bytes, and may end its connections early."""

import asyncio
import contextlib

HEAD_END = b"\r\n\r\n"


@contextlib.asynccontextmanager
async def serving(*answers, hold=None):
    """Answer request after request with `answers`, the last one from then on.

    Each is followed by the end (FIN) of its connection, once the event `hold` is set if
    there is one. Yields the address and the list of the heads that arrived.
    """
    heads = []

    async def serve(reader, writer):
        with (
            contextlib.suppress(asyncio.IncompleteReadError, ConnectionError),
            contextlib.closing(writer),
        ):
            heads.append(await reader.readuntil(HEAD_END))
            writer.write(answers[min(len(heads), len(answers)) - 1])
            await writer.drain()
            if hold is not None:
                await hold.wait()

    listening = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = listening.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}", heads
    finally:
        listening.close()


def answer(body, *headers, status=b"200 OK"):
    """Return an answer with `body` and `headers`, without a length of its own."""
    return b"\r\n".join([b"HTTP/1.1 " + status, *headers]) + HEAD_END + body
