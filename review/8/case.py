"""Whole streams are cut off at their end as their server takes no new channel then."""

import asyncio
import contextlib
import pathlib
import socket
import struct
import time

from review.lab import site as lab

CLIENTS = 6  # of each host, each with one kept channel
ROUNDS = 4
EVENTS = 10
EVENT_PAUSE = 0.2  # seconds
FULL_AFTER = 1.0  # seconds after the start of a round's streams
FULL_FOR = 2.5  # seconds
BORN = int(time.time() * 1000)
MAX_CUT = 3  # the rule bears so many


class Server:
    """A sound model server, which resets new channels while its queue is long."""

    def __init__(self):
        self.is_full = False
        self.refused = 0  # channels that were reset
        self.ended = set()  # requests whose streams were sent to their end

    async def handle(self, reader, writer):
        """Serve one channel."""
        if self.is_full:
            self.refused += 1
            reset = struct.pack("ii", 1, 0)
            channel = writer.transport.get_extra_info("socket")
            channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            writer.transport.abort()
            return
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while await self._answer(reader, writer):
                pass
        writer.close()

    async def _answer(self, reader, writer):
        line, fields = await lab.read_head(reader)
        await lab.read_body(reader, fields)
        if "/api/report" in line:
            report = b'{"born":%d,"stage":"both","models":[],"state":"ready"}' % BORN
            kind = b"Content-Type: application/json\r\n"
            writer.write(lab.answer(fields, report, extra=kind))
            await writer.drain()
            return True
        stream = b"Content-Type: text/event-stream\r\n"
        if "/short" in line:
            writer.write(lab.answer(fields, event(1), extra=stream))
            await writer.drain()
            return True
        attempt = fields["x-dogwoodchute-attempt-id"]
        head = lab.answer(fields, b"", extra=stream)
        writer.write(head.replace(b"Content-Length: 0\r\n", b""))
        for number in range(1, EVENTS + 1):
            writer.write(event(number))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE)
        self.ended.add(attempt)
        return False  # the end of the channel ends the answer


def event(number):
    """Return the bytes of an event."""
    return b"id: %d\ndata: abcd\n\n" % number


def question(path, attempt):
    """Return the bytes of a request for a stream."""
    fields = [
        "X-Dogwoodchute-Model: m",
        "X-Dogwoodchute-Token-Count: 100,40",
        "X-Dogwoodchute-Prompt-Prefix: 5c1e07a2:80,91bd3f06:20",
    ]
    return lab.request(path, attempt, fields=fields, deadline=6000)


async def read_answer(reader):
    """Return the status and the body of an answer that came to its proper end."""
    line, fields = await lab.read_head(reader)
    return line.split(" ")[1], await lab.read_body(reader, fields)


async def client(host, name, server, found, record):
    """Ask for a short stream, then for a longer one on the same, kept channel."""
    reader, writer = await asyncio.open_connection(*host.front)
    attempt = f"{host.name}-{name}"
    try:
        writer.write(question("/summary/short", f"{attempt}-a"))
        status, _ = await read_answer(reader)
        if status != "200":
            record.write(f"{attempt}: the short one got {status}; not counted")
            return
        writer.write(question("/summary/long", f"{attempt}-b"))
        began = time.monotonic()
        try:
            status, body = await read_answer(reader)
            is_whole = body == b"".join(event(n) for n in range(1, EVENTS + 1))
            end = f"{status}, {'whole' if is_whole else 'not whole'}"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            end = f"channel closed without an end: {type(error).__name__}"
            if f"{attempt}-b" in server.ended:
                found.append(attempt)
        waited = time.monotonic() - began
        record.write(f"{attempt}: {end} after {waited:.2f} s")
    finally:
        writer.transport.abort()


async def scenario(site, record):
    """Let servers be full for a while in which streams end."""
    await site.start_store()
    engine = {"slots": 64, "kvCapacity": 404_774, "stride": 4}
    options = {"timeoutMs": 6000, "targetLatencyMs": 1200}
    routes = [lab.route("summary", "/summary/", "streaming", "llm", **options)]
    services = [{"name": "llm", "engine": engine}]
    site.put("op", "config", lab.config(routes, services=services))
    server = Server()
    for number in range(3):
        address = await site.serve(server.handle)
        site.register(f"i-{number}", "llm", address, born=BORN)
    hosts = await site.start_hosts("edge-1", "edge-2")
    await asyncio.sleep(3.0)  # hosts are in touch
    found = []
    for number in range(ROUNDS):
        calls = [
            asyncio.create_task(client(host, f"{number}-{each}", server, found, record))
            for host in hosts
            for each in range(CLIENTS)
        ]
        await asyncio.sleep(FULL_AFTER)
        server.is_full = lab.TROUBLE
        await asyncio.sleep(FULL_FOR)
        server.is_full = False
        await asyncio.gather(*calls)
        await asyncio.sleep(1.0)
    record.write(f"new channels that the servers reset while full: {server.refused}")
    record.write(f"streams that were sent whole and cut at the caller: {len(found)}")
    return lab.BROKEN if len(found) > MAX_CUT else lab.HELD


lab.run(pathlib.Path(__file__).parent, scenario)
