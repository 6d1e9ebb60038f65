"""The streams to other hosts: dialling, accepting, calls, heartbeats and closing."""

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

TICK_INTERVAL = 0.2  # seconds between checks of the links
HANDSHAKE_TIMEOUT = 2.0  # seconds
MAX_PENDING_HANDSHAKES = 64  # of accepted connections
BLOCKED_TIMEOUT = 10.0  # seconds that a peer may read nothing
IDLE_TIMEOUT = 60.0  # seconds without a call before an unwanted link is closed

OPENED = prometheus_client.Counter(
    "dogwoodchute_peer_streams_opened", "Peer streams opened.", ["side"]
)
DROPPED = prometheus_client.Counter(
    "dogwoodchute_peer_streams_dropped", "Peer streams dropped.", ["cause"]
)


def join_address(ip: str, port: int) -> str:
    """Return an address, with brackets around the IP number if it is IPv6."""
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"


class Callbacks(typing.NamedTuple):
    """Callbacks of the streams' owner. Identities are authenticated."""

    # Returns whether a newer incarnation of the host is known.
    is_replaced: abc.Callable[[peer_wire.Identity], bool]
    opened: abc.Callable[[peer_wire.Identity], None]
    closed: abc.Callable[[peer_wire.Identity, str], None]
    received: abc.Callable[[peer_wire.Identity, peer_wire.Message], None]
    paused: abc.Callable[[float], None]  # seconds that this process did not run


class Streams:
    """All streams of one host.

    The owner sets `known`, `find_address` and `wanted_addresses`.
    """

    def __init__(
        self,
        *,
        config: settings.Settings,
        now: abc.Callable[[], float] = clock.monotonic,
        tls: peer_tls.Contexts | None = None,
    ) -> None:
        self.port = 0
        self.known: abc.Callable[[], list[peers.Peer]] = list
        self.hints: dict[str, object] = {}  # what this host reports of itself
        # Addresses by host of the streams to keep open.
        self.wanted_addresses: dict[str, str] = {}
        self.find_address: abc.Callable[[str], str | None] = self._wanted_address
        self._config = config
        self._now = now
        self._tls = tls
        self._key = peer_handshake.stream_key(config.keys.fleet_key)
        self._identity: peer_wire.Identity | None = None
        self._callbacks: Callbacks | None = None
        self._handlers = peer_calls.CallHandlers(now=now, spawn=self._spawn)
        self._links: dict[str, list[peer_link.Link]] = {}
        self._pending: set[peer_link.Link] = set()  # handshake not complete
        self._dials = peer_dials.DialSchedule(own_name=config.host.id, now=now)
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self._sender = peer_sender.Sender(
            region=config.host.region,
            rate=config.peers.region_bytes_per_second,
            links=self._all_links,
            now=now,
        )
        self._heartbeat_number = 0
        self._heartbeat_at = 0.0  # when the last was sent
        self._ticked_at: float | None = None

    @property
    def open_hosts(self) -> list[str]:
        """The hosts with an open stream."""
        return [name for name in self._links if self._find_open_link(name) is not None]

    @property
    def recently_open_hosts(self) -> list[str]:
        """The hosts with an open stream, or one that was lost a moment ago."""
        return list({*self.open_hosts, *self._dials.recently_open()})

    def peer_layer(self) -> peers.Peers:
        """Return the peer layer for the rest of the daemon."""
        return peers.Peers(
            call=self.call,
            handle=self.handle,
            known=lambda: self.known(),
            set_hint=self.hints.__setitem__,
        )

    def handle(self, kind: str, handler: peers.Handler) -> None:
        """Register the handler of a kind of call."""
        self._handlers.by_kind[kind] = handler

    async def start(self, incarnation: str, callbacks: Callbacks) -> None:
        """Listen for peers, and start to keep the wanted streams open."""
        host = self._config.host
        self._identity = peer_wire.Identity(
            host.id, incarnation, host.region, host.data_centre
        )
        self._callbacks = callbacks
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            host.address,
            host.peer_port,
            ssl=self._tls and self._tls.listen,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._spawn(self._run())

    async def stop(self) -> None:
        """Close all streams."""
        if self._server is not None:
            self._server.close()
        for link in [*self._all_links(), *self._pending]:
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

        A call that certainly was not sent because the stream was closed is retried
        once on a new stream.
        """
        deadline = self._now() + timeout
        reused = self._find_open_link(host)
        if reused is not None:
            outcome = await reused.call(kind, body, timeout)
            if not (isinstance(outcome, peers.NotSent) and reused.close_reason):
                return outcome
        link = await self._wait_for_dial(host, deadline - self._now())
        if link is None:
            return peers.NotSent(reason=self._dial_failure(host), peer=host)
        return await link.call(kind, body, max(0.0, deadline - self._now()))

    def _dial_failure(self, host: str) -> str:
        if self.find_address(host) is None:
            return "host is unknown"
        return self._dials.state_of(host).failure or "no stream in time"

    async def _wait_for_dial(self, host: str, timeout: float) -> peer_link.Link | None:
        address = self.find_address(host)
        if address is None or timeout <= 0 or self._dials.is_backing_off(host):
            return None
        task = self._dial(host, address)
        await asyncio.wait([task], timeout=timeout)
        return self._find_open_link(host)

    def is_ready_for_gossip(self, host: str) -> bool:
        """Return whether `host` has a stream on which no gossip waits to be sent."""
        link = self._find_open_link(host)
        return link is not None and not link.outbox.has_waiting(pacing.GOSSIP)

    def queue_gossip(self, host: str, message: peer_wire.Message) -> int:
        """Queue gossip for `host`; return the frame's size, 0 if it can't be sent."""
        link = self._find_open_link(host)
        if link is None:
            return 0
        queued_before = link.queued_bytes
        link.queue(pacing.GOSSIP, message)
        return link.queued_bytes - queued_before

    def _wanted_address(self, host: str) -> str | None:
        return self.wanted_addresses.get(host)

    def _find_open_link(self, host: str) -> peer_link.Link | None:
        """Return the newest open link to `host`."""
        for link in reversed(self._links.get(host, [])):
            if link.is_open:
                return link
        return None

    def _all_links(self) -> list[peer_link.Link]:
        return [link for links in self._links.values() for link in links]

    def _new_link(
        self, handshake: peer_handshake.DiallingSide | peer_handshake.AcceptingSide
    ) -> peer_link.Link:
        link = peer_link.Link(
            handshake=handshake,
            limits=peer_link.LinkLimits(
                self._config.peers.frame_bytes, self._config.peers.queue_bytes
            ),
            callbacks=peer_link.LinkCallbacks(
                self._opened, self._closed, self._received, self._sender.send
            ),
            now=self._now,
        )
        self._pending.add(link)
        return link

    def _accept(self) -> asyncio.Protocol:
        accepted = [link for link in self._pending if not link.dialled]
        if len(accepted) >= MAX_PENDING_HANDSHAKES:
            min(accepted, key=lambda link: link.started_at).close("too many unproven")
        return self._new_link(
            peer_handshake.AcceptingSide(key=self._key, identity=self._identity)
        )

    def _dial(self, host: str, address: str) -> asyncio.Task:
        dial = self._dials.state_of(host)
        if not dial.is_running:
            dial.task = self._spawn(self._connect(host, address))
        return dial.task

    async def _connect(self, host: str, address: str) -> None:
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        handshake = peer_handshake.DiallingSide(
            key=self._key, identity=self._identity, target=host
        )
        link = self._new_link(handshake)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT):
                await loop.create_connection(
                    lambda: link,
                    ip.strip("[]"),
                    int(port),
                    ssl=self._tls.dial if self._tls is not None else None,
                )
                await link.opened_or_closed
        except TimeoutError:
            link.close("handshake timed out")
        except (OSError, ValueError) as error:
            link.close(str(error) or type(error).__name__)
        self._dials.record_attempt(host, link.close_reason)

    def _opened(self, link: peer_link.Link) -> None:
        self._pending.discard(link)
        if self._callbacks.is_replaced(link.peer):
            link.close("a newer incarnation is known")
            return
        links = self._links.setdefault(link.peer.host, [])
        links.append(link)
        for older in links[:-1]:
            # A peer that dials again or has restarted no longer uses its older link.
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
        self._pending.discard(link)
        if link.peer is None:
            if link.address:
                log.warning(
                    "peer_stream_refused",
                    address=link.address,
                    reason=link.close_reason,
                )
            return
        links = self._links.get(link.peer.host, [])
        if link not in links:
            log.warning(
                "peer_stream_refused",
                peer=link.peer.host,
                incarnation=link.peer.incarnation,
                reason=link.close_reason,
            )
            return
        links.remove(link)
        if not links:
            self._links.pop(link.peer.host, None)
            self._dials.record_loss(link.peer.host, link.close_reason)
        DROPPED.labels(link.close_reason.split(":")[0][:32]).inc()
        log.info("peer_stream_closed", peer=link.peer.host, reason=link.close_reason)
        self._callbacks.closed(link.peer, link.close_reason)

    def _received(self, link: peer_link.Link, message: peer_wire.Message) -> None:
        if isinstance(message, peer_wire.Call):
            self._handlers.start(link, message)
        elif not isinstance(message, peer_wire.Beat):
            self._callbacks.received(link.peer, message)

    async def _run(self) -> None:
        while True:
            try:
                self.tick()
            except Exception:
                log.exception("peer_tick_failed")
            await asyncio.sleep(TICK_INTERVAL)

    def tick(self) -> None:
        """Close unusable links, send heartbeats and dial the wanted hosts."""
        now = self._now()
        pause = (
            0.0 if self._ticked_at is None else now - self._ticked_at - TICK_INTERVAL
        )
        self._ticked_at = now
        if pause > self._config.peers.silent_after:
            # While this process did not run it could not receive either, so that
            # silence says nothing about the peers.
            for link in self._all_links():
                link.received_at = now
            log.warning("host_paused", seconds=f"{pause:.1f}")
            self._callbacks.paused(pause)
        for link in [*self._pending]:
            if now - link.started_at > HANDSHAKE_TIMEOUT + TICK_INTERVAL:
                link.close("handshake timed out")
        for link in self._all_links():
            self._close_if_unusable(link, now)
        if (
            now - self._heartbeat_at
            >= self._config.peers.heartbeat_interval - TICK_INTERVAL / 2
        ):
            self._heartbeat_at = now
            self._send_heartbeats()
        for host, address in list(self.wanted_addresses.items()):
            if self._find_open_link(host) is None and self._dials.is_due(host):
                self._dial(host, address)
        self._dials.prune(self.wanted_addresses)

    def _close_if_unusable(self, link: peer_link.Link, now: float) -> None:
        unwanted = link.dialled and link.peer.host not in self.wanted_addresses
        if now - link.received_at > self._config.peers.silent_after:
            link.close("silent")
        elif link.blocked_since is not None and (
            now - link.blocked_since > BLOCKED_TIMEOUT
        ):
            link.close("slow reader")
        elif unwanted and now - link.used_at > IDLE_TIMEOUT:
            link.close("idle")

    def _send_heartbeats(self) -> None:
        self._heartbeat_number += 1
        for link in self._all_links():
            if not link.outbox.has_waiting(pacing.URGENT):
                link.queue(pacing.URGENT, peer_wire.Beat(self._heartbeat_number))

    def _spawn(self, coroutine: abc.Coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
