"""Runs the handlers of calls that peers make."""

from collections import abc

from dogwoodchute import log, peer_link, peer_wire, peers
from dogwoodchute.coordination import pacing

MAX_RUNNING = 256  # calls of one link that are handled at once


class Calls:
    """The handlers of one host by kind of call."""

    def __init__(
        self,
        *,
        now: abc.Callable[[], float],
        spawn: abc.Callable[[abc.Coroutine], object],
    ) -> None:
        self.handlers: dict[str, peers.Handler] = {}
        self._now = now
        self._spawn = spawn

    def serve(self, link: peer_link.Link, call: peer_wire.Call) -> None:
        """Begin to handle a call that came on `link`."""
        link.used = self._now()
        handler = self.handlers.get(call.kind)
        if handler is None:
            reason = f"no handler of {call.kind}"
            answer(link, peer_wire.Failure(call.number, reason, False))
            return
        if link.running >= MAX_RUNNING:
            answer(link, peer_wire.Failure(call.number, "peer is busy", True))
            return
        link.running += 1
        self._spawn(self._handle(link, call, handler))

    async def _handle(
        self, link: peer_link.Link, call: peer_wire.Call, handler: peers.Handler
    ) -> None:
        try:
            body = await handler(link.peer.host, call.body)
            result = peer_wire.Reply(call.number, body)
        except Exception as error:
            log.exception("peer_call_failed", peer=link.peer.host, kind=call.kind)
            result = peer_wire.Failure(call.number, type(error).__name__, False)
        finally:
            link.running -= 1
        answer(link, result)


def answer(link: peer_link.Link, message: peer_wire.Reply | peer_wire.Failure) -> None:
    """Send the end of a call; a link whose other side does not read is closed."""
    try:
        ticket = link.push(pacing.REQUEST, message)
    except peer_wire.FrameError as error:
        failure = peer_wire.Failure(message.number, str(error), False)
        ticket = link.push(pacing.REQUEST, failure)
    if ticket is None:
        link.close("slow reader")
