"""An endpoint as a process of its own, whose answers end with their connection.

Run as a program it prints its port, and goes on until it is killed.
"""

import asyncio
import subprocess
import sys

from dogwoodchute.tests import raw_endpoint, test_faulty_answers

PAUSE = 0.02  # seconds between events
EVENTS = 5  # of each stream, after which the process waits to be killed


async def serve():
    """Begin unframed streams, and never end them."""

    async def handle(reader, writer):
        head = await reader.readuntil(raw_endpoint.HEAD_END)
        headers = test_faulty_answers.UNFRAMED_STREAM
        writer.write(raw_endpoint.answer(head, headers=headers, framed=False))
        for number in range(1, EVENTS + 1):
            writer.write(test_faulty_answers.event(number))
            await asyncio.sleep(PAUSE)
        await asyncio.sleep(3600)

    listening = await asyncio.start_server(handle, "127.0.0.1", 0)
    print(listening.sockets[0].getsockname()[1], flush=True)
    await listening.serve_forever()


def start():
    """Start such a process; return it and its port."""
    process = subprocess.Popen(
        [sys.executable, "-m", __name__], stdout=subprocess.PIPE, text=True
    )
    return process, int(process.stdout.readline())


if __name__ == "__main__":
    asyncio.run(serve())
