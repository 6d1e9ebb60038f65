"""Authenticated streams to the other hosts: dialling, calls, heartbeats, pacing."""

import asyncio
import typing
from collections import abc

import prometheus_client

from dogwoodchute import (
    clock,
    log,
    peer_calls,
    peer_dials,
    peer_handshake,
    peer_link,
    peer_sender,
    peer_tls,
    peer_wire,
    peers,
    settings,
)
from dogwoodchute.coordination import pacing

TICK = 0.2  # seconds between looks at the links
HANDSHAKE_TIMEOUT = 2.0  # seconds
MAX_UNPROVEN = 64  # accepted connections that are not proven yet
BLOCKED_TIMEOUT = 10.0  # seconds that a peer may read nothing
IDLE_TIMEOUT = 60.0  # seconds before a link that nobody wants is closed

OPENED = prometheus_client.Counter(
    "dogwoodchute_peer_streams_opened", "Peer streams opened.", ["side"]
)
DROPPED = prometheus_client.Counter(
    "dogwoodchute_peer_streams_dropped", "Peer streams dropped.", ["cause"]
)


def join_address(number: str, port: int) -> str:
    """Return an address from an IP number and a port."""
    return f"[{number}]:{port}" if ":" in number else f"{number}:{port}"


class Callbacks(typing.NamedTuple):
    """What the owner of the streams is asked and told of proven identities."""

    is_replaced: abc.Callable[
        [peer_wire.Identity], bool
    ]  # a newer incarnation is known

    opened: abc.Callable[[peer_wire.Identity], None]
    closed: abc.Callable[[peer_wire.Identity, str], None]
    received: abc.Callable[[peer_wire.Identity, peer_wire.Message], None]
    paused: abc.Callable[[float], None]  # seconds that this process stood still


class Streams:
    """All streams of one host."""

    def __init__(
        self,
        *,
        config: settings.Settings,
        now: abc.Callable[[], float] = clock.monotonic,
        tls: peer_tls.Contexts | None = None,
    ) -> None:
        self.port = 0
        self.known: abc.Callable[[], list[peers.Peer]] = list
        self.hints: dict[str, object] = {}  # what this host says of itself
        self.wanted_addresses: dict[
            str, str
        ] = {}  # addresses by host of streams to keep
        self.find_address: abc.Callable[[str], str | None] = self._wanted_address
        self._config = config
        self._now = now
        self._tls = tls
        self._key = peer_handshake.stream_key(config.keys.fleet_key)
        self._identity: peer_wire.Identity | None = None
        self._callbacks: Callbacks | None = None
        self._calls = peer_calls.Calls(now=now, spawn=self._spawn)
        self._links: dict[str, list[peer_link.Link]] = {}
        self._unproven: set[peer_link.Link] = set()
        self._dials = peer_dials.Dials(own=config.host.id, now=now)
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self._sender = peer_sender.Sender(
            region=config.host.region,
            rate=config.peers.region_bytes_per_second,
            links=self._all,
            now=now,
        )
        self._beats = 0
        self._last_beat = 0.0
        self._last_tick: float | None = None

    @property
    def open_hosts(self) -> list[str]:
        """The hosts with an open stream."""
        return [name for name in self._links if self._link(name) is not None]

    @property
    def recently_open_hosts(self) -> list[str]:
        """The hosts with an open stream, or one that was lost just now."""
        return list({*self.open_hosts, *self._dials.heard()})

    def peer_layer(self) -> peers.Peers:
        """Return the peer layer that the other parts of the daemon use."""
        return peers.Peers(
            call=self.call,
            handle=self.handle,
            known=lambda: self.known(),
            set_hint=self.hints.__setitem__,
        )

    def handle(self, kind: str, handler: peers.Handler) -> None:
        """Register the handler of a kind of call."""
        self._calls.handlers[kind] = handler

    async def start(self, incarnation: str, callbacks: Callbacks) -> None:
        """Listen for peers and begin to keep the wanted streams."""
        place = self._config.host
        self._identity = peer_wire.Identity(
            place.id, incarnation, place.region, place.data_centre
        )
        self._callbacks = callbacks
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            place.address,
            place.peer_port,
            ssl=self._tls and self._tls.listen,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._spawn(self._run())

    async def stop(self) -> None:
        """Close all streams."""
        if self._server is not None:
            self._server.close()
        for link in [*self._all(), *self._unproven]:
            link.close("host stops")
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._sender.stop()

    async def call(
        self, host: str, kind: str, body: dict, timeout: float
    ) -> peers.CallOutcome:
        """Call `host`, dialling it if there is no stream.

        A call that certainly never left is tried once more on a new stream.
        """
        deadline = self._now() + timeout
        reused = self._link(host)
        if reused is not None:
            outcome = await reused.call(kind, body, timeout)
            if not (isinstance(outcome, peers.NotSent) and reused.reason):
                return outcome
        link = await self._dialled(host, deadline - self._now())
        if link is None:
            return peers.NotSent(reason=self._why_not(host), peer=host)
        return await link.call(kind, body, max(0.0, deadline - self._now()))

    def _why_not(self, host: str) -> str:
        if self.find_address(host) is None:
            return "host is unknown"
        return self._dials.of(host).reason or "no stream in time"

    async def _dialled(self, host: str, timeout: float) -> peer_link.Link | None:
        address = self.find_address(host)
        if address is None or timeout <= 0 or self._dials.resting(host):
            return None
        task = self._dial(host, address)
        await asyncio.wait([task], timeout=timeout)
        return self._link(host)

    def is_ready_for_gossip(self, host: str) -> bool:
        """Return whether `host` has a stream on which no hints wait."""
        link = self._link(host)
        return link is not None and not link.outbox.waiting(pacing.GOSSIP)

    def queue_gossip(self, host: str, message: peer_wire.Message) -> int:
        """Queue hints for `host`; return the frame's size, 0 if it can't be sent."""
        link = self._link(host)
        if link is None:
            return 0
        before = link.queued
        link.push(pacing.GOSSIP, message)
        return link.queued - before

    def _wanted_address(self, host: str) -> str | None:
        return self.wanted_addresses.get(host)

    def _link(self, host: str) -> peer_link.Link | None:
        for link in reversed(self._links.get(host, [])):
            if link.open:
                return link
        return None

    def _all(self) -> list[peer_link.Link]:
        return [link for links in self._links.values() for link in links]

    def _make(
        self, handshake: peer_handshake.DiallingSide | peer_handshake.AcceptingSide
    ) -> peer_link.Link:
        link = peer_link.Link(
            handshake=handshake,
            bounds=peer_link.LinkLimits(
                self._config.peers.frame_bytes, self._config.peers.queue_bytes
            ),
            events=peer_link.LinkCallbacks(
                self._opened, self._closed, self._received, self._sender.send
            ),
            now=self._now,
        )
        self._unproven.add(link)
        return link

    def _accept(self) -> asyncio.Protocol:
        accepted = [link for link in self._unproven if not link.dialled]
        if len(accepted) >= MAX_UNPROVEN:
            min(accepted, key=lambda link: link.began).close("too many unproven")
        return self._make(
            peer_handshake.AcceptingSide(key=self._key, identity=self._identity)
        )

    def _dial(self, host: str, address: str) -> asyncio.Task:
        dial = self._dials.of(host)
        if not dial.running:
            dial.task = self._spawn(self._connect(host, address))
        return dial.task

    async def _connect(self, host: str, address: str) -> None:
        number, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        handshake = peer_handshake.DiallingSide(
            key=self._key, identity=self._identity, target=host
        )
        link = self._make(handshake)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT):
                await loop.create_connection(
                    lambda: link,
                    number.strip("[]"),
                    int(port),
                    ssl=self._tls.dial if self._tls is not None else None,
                )
                await link.settled
        except TimeoutError:
            link.close("handshake timed out")
        except (OSError, ValueError) as error:
            link.close(str(error) or type(error).__name__)
        self._dials.ended(host, link.reason)

    def _opened(self, link: peer_link.Link) -> None:
        self._unproven.discard(link)
        if self._callbacks.is_replaced(link.peer):
            link.close("a newer incarnation is known")
            return
        links = self._links.setdefault(link.peer.host, [])
        links.append(link)
        for older in links[:-1]:
            # A peer that dials again, or has restarted, has given up its older link.
            restarted = older.peer.incarnation != link.peer.incarnation
            if restarted or (not link.dialled and not older.dialled):
                older.close("replaced")
        OPENED.labels("dialled" if link.dialled else "accepted").inc()
        log.info(
            "peer_stream_opened",
            peer=link.peer.host,
            incarnation=link.peer.incarnation,
            address=link.address,
            dialled=link.dialled,
        )
        self._callbacks.opened(link.peer)

    def _closed(self, link: peer_link.Link) -> None:
        self._unproven.discard(link)
        if link.peer is None:
            if link.address:
                log.warning(
                    "peer_stream_refused", address=link.address, reason=link.reason
                )
            return
        links = self._links.get(link.peer.host, [])
        if link not in links:
            log.warning(
                "peer_stream_refused",
                peer=link.peer.host,
                incarnation=link.peer.incarnation,
                reason=link.reason,
            )
            return
        links.remove(link)
        if not links:
            self._links.pop(link.peer.host, None)
            self._dials.lost(link.peer.host, link.reason)
        DROPPED.labels(link.reason.split(":")[0][:32]).inc()
        log.info("peer_stream_closed", peer=link.peer.host, reason=link.reason)
        self._callbacks.closed(link.peer, link.reason)

    def _received(self, link: peer_link.Link, message: peer_wire.Message) -> None:
        if isinstance(message, peer_wire.Call):
            self._calls.serve(link, message)
        elif not isinstance(message, peer_wire.Beat):
            self._callbacks.received(link.peer, message)

    async def _run(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                log.exception("peer_tick_failed")
            await asyncio.sleep(TICK)

    def tick(self) -> None:
        """Drop silent links, send heartbeats and dial what is wanted."""
        now = self._now()
        gap = 0.0 if self._last_tick is None else now - self._last_tick - TICK
        self._last_tick = now
        if gap > self._config.peers.silent_after:
            # Silence during our own pause says nothing of the peers.
            for link in self._all():
                link.heard = now
            log.warning("host_paused", seconds=f"{gap:.1f}")
            self._callbacks.paused(gap)
        for link in [*self._unproven]:
            if now - link.began > HANDSHAKE_TIMEOUT + TICK:
                link.close("handshake timed out")
        for link in self._all():
            self._check(link, now)
        if now - self._last_beat >= self._config.peers.heartbeat_interval - TICK / 2:
            self._last_beat = now
            self._beat()
        for host, address in list(self.wanted_addresses.items()):
            if self._link(host) is None and self._dials.due(host):
                self._dial(host, address)
        self._dials.prune(self.wanted_addresses)

    def _check(self, link: peer_link.Link, now: float) -> None:
        unwanted = link.dialled and link.peer.host not in self.wanted_addresses
        if now - link.heard > self._config.peers.silent_after:
            link.close("silent")
        elif link.blocked_since is not None and (
            now - link.blocked_since > BLOCKED_TIMEOUT
        ):
            link.close("slow reader")
        elif unwanted and now - link.used > IDLE_TIMEOUT:
            link.close("idle")

    def _beat(self) -> None:
        self._beats += 1
        for link in self._all():
            if not link.outbox.waiting(pacing.URGENT):
                link.push(pacing.URGENT, peer_wire.Beat(self._beats))

    def _spawn(self, coroutine: abc.Coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
