"""Detects hosts that fell silent, by heartbeats between neighbours.

Each host sends heartbeats, by UDP datagrams, to the few hosts that watch it. One that
misses them asks the host directly, and marks its row as down if it does not answer. So
a death is known on all hosts as soon as the row's change is.
"""

import asyncio
import random
from collections import abc

import aiohttp
import msgpack
import prometheus_client
import sanic

from dogwoodchute import log
from dogwoodchute.coordination import watch_ring
from dogwoodchute.gateway import datagrams, host_rows

INTERVAL = 0.5  # seconds between heartbeats
SILENCE = 1.6  # seconds without a heartbeat after which a host is asked: three missed
MAX_SILENCE = 25.6  # seconds; doubles for hosts that were marked as down and lived
MAX_MARKED = 64  # incarnations that this host marked as down and remembers
QUESTION_TIMEOUT = 0.6  # seconds for a direct question and its answer
PATH = "/alive"  # answers a direct question
FORMAT = 1  # version of the datagrams; others are ignored

silent_hosts = prometheus_client.Counter(
    "dogwoodchute_silent_hosts",
    "Watched hosts whose heartbeats were missed, by the result of a direct question.",
    ["result"],
)

# Asks the host at a control address whether it lives; returns whether it answered.
Question = abc.Callable[[str], abc.Awaitable[bool]]


class _Watched:
    """What this host knows of one that it watches."""

    def __init__(self, *, now: float, row_version: int) -> None:
        self.heard_at = now  # monotonic seconds of the last sign of life
        self.row_version = row_version
        self.question: asyncio.Task | None = None


class Liveness(datagrams.Datagrams):
    """Sends this host's heartbeats, and watches a few other hosts.

    `live` returns the other live hosts, and the same tuple until one changes.
    """

    def __init__(
        self,
        *,
        id: str,
        name: str,
        live: abc.Callable[[], tuple[host_rows.Host, ...]],
        row_version: abc.Callable[[str], int],
        is_alive: Question,
        mark_down: abc.Callable[[host_rows.Host], abc.Awaitable[None]],
        now: abc.Callable[[], float],
    ) -> None:
        super().__init__()
        self._id = id  # of this incarnation
        self._name = name  # of this host
        self._live = live
        self._row_version = row_version  # by id of the incarnation
        self._is_alive = is_alive
        self._mark_down = mark_down
        self._now = now
        self._last_live: tuple[host_rows.Host, ...] | None = None
        self._watchers: list[tuple[str, int]] = []  # addresses
        self._watched: dict[str, _Watched] = {}  # by id of the incarnation
        self._watched_hosts: list[host_rows.Host] = []
        # Seconds of silence after which an incarnation is asked, if this host marked it
        # as down before and has not heard from it since.
        self._silences: dict[str, float] = {}
        self._checked_at = now()

    async def run(self) -> None:
        """Send heartbeats and watch until cancelled."""
        while True:
            try:
                self.step()
            except Exception:
                log.exception("liveness_failed")
            await asyncio.sleep(INTERVAL * random.uniform(0.9, 1.0))

    def step(self) -> None:
        """Send one heartbeat to each watcher, and check the watched hosts."""
        self._update_neighbours()
        heartbeat = encode(self._id)
        for address in self._watchers:
            self._transport.sendto(heartbeat, address)
        self._check()

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Record another host's heartbeat; called by asyncio."""
        sender = _sender(data)
        if sender is None:
            log.warning("heartbeat_unreadable", peer=f"{addr[0]}:{addr[1]}")
            return
        watched = self._watched.get(sender)
        if watched is not None:
            watched.heard_at = self._now()
            self._silences.pop(sender, None)

    def _update_neighbours(self) -> None:
        """Find this host's neighbours anew if the live hosts have changed."""
        live = self._live()
        if live is self._last_live:
            return
        self._last_live = live
        by_name = {host.name: host for host in live}
        found = watch_ring.neighbours(self._name, by_name)
        self._watchers = [
            datagrams.socket_address(by_name[name].heartbeats)
            for name in found.watchers
        ]
        self._watched_hosts = [by_name[name] for name in found.watched]
        self._watched = {host.id: self._watch(host) for host in self._watched_hosts}

    def _watch(self, host: host_rows.Host) -> _Watched:
        """Return what is known of a watched host; a row's change is a sign of life."""
        version = self._row_version(host.id)
        watched = self._watched.get(host.id)
        if watched is None:
            return _Watched(now=self._now(), row_version=version)
        if watched.row_version != version:
            watched.row_version = version
            watched.heard_at = self._now()
        return watched

    def _check(self) -> None:
        """Ask the hosts that were silent for too long."""
        now = self._now()
        pause, self._checked_at = now - self._checked_at, now
        if pause > 2 * INTERVAL:
            # This host stood still itself and may have missed what was sent to it.
            for watched in self._watched.values():
                watched.heard_at = now
            return
        for host in self._watched_hosts:
            watched = self._watched[host.id]
            is_asked = watched.question is not None and not watched.question.done()
            silence = self._silences.get(host.id, SILENCE)
            if is_asked or now - watched.heard_at < silence:
                continue
            watched.question = asyncio.create_task(self._ask(host, watched))

    async def _ask(self, host: host_rows.Host, watched: _Watched) -> None:
        """Ask a silent host directly; mark it as down if it does not answer."""
        heard_at = watched.heard_at
        silent_for = self._now() - heard_at
        is_alive = await self._is_alive(host.control)
        silent_hosts.labels("alive" if is_alive else "down").inc()
        log.info(
            "host_silent", peer=host.id, seconds=f"{silent_for:.2f}", alive=is_alive
        )
        if is_alive or watched.heard_at > heard_at:
            watched.heard_at = self._now()
            return
        watched.heard_at = self._now()
        self._allow_more_silence(host.id)
        await self._mark_down(host)

    def _allow_more_silence(self, incarnation: str) -> None:
        """Give a host more time from now on, in case it lives but isn't heard."""
        silence = self._silences.pop(incarnation, SILENCE)
        self._silences[incarnation] = min(MAX_SILENCE, 2 * silence)
        if len(self._silences) > MAX_MARKED:
            del self._silences[next(iter(self._silences))]


def encode(sender: str) -> bytes:
    """Return the datagram of a heartbeat of the incarnation `sender`."""
    return msgpack.packb([FORMAT, sender])


def _sender(data: bytes) -> str | None:
    """Return the sender of a heartbeat, None if the datagram is none."""
    try:
        version, sender = msgpack.unpackb(data)
    except (ValueError, TypeError):
        return None
    return sender if version == FORMAT and isinstance(sender, str) else None


class Client:
    """Asks other hosts directly whether they live."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def is_alive(self, address: str) -> bool:
        """Return whether the host at a control address answers in time."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(force_close=True),
                timeout=aiohttp.ClientTimeout(total=QUESTION_TIMEOUT),
            )
        try:
            async with self._session.get(f"http://{address}{PATH}") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, ValueError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            log.info("question_unanswered", peer=address, reason=reason)
            return False


def add_routes(app: sanic.Sanic) -> None:
    """Answer other hosts' questions whether this one lives."""

    async def handle(request: sanic.Request) -> sanic.HTTPResponse:
        return sanic.empty(status=200)

    app.add_route(handle, PATH, name="alive")
