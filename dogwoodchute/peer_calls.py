"""Runs the handlers of calls from peers."""

from collections import abc

from dogwoodchute import log, peer_link, peer_wire, peers
from dogwoodchute.coordination import pacing

MAX_RUNNING_CALLS = 256  # calls of one link that are handled at once


class CallHandlers:
    """The handlers of one host by kind of call.

    `spawn` starts a task for a handler.
    """

    def __init__(
        self,
        *,
        now: abc.Callable[[], float],
        spawn: abc.Callable[[abc.Coroutine], object],
    ) -> None:
        self.by_kind: dict[str, peers.Handler] = {}
        self._now = now
        self._spawn = spawn

    def start(self, link: peer_link.Link, call: peer_wire.Call) -> None:
        """Start the handler of a call that was received on `link`."""
        link.used_at = self._now()
        handler = self.by_kind.get(call.kind)
        if handler is None:
            reason = f"no handler of {call.kind}"
            send_result(link, peer_wire.Failure(call.number, reason, False))
            return
        if link.running_calls >= MAX_RUNNING_CALLS:
            send_result(link, peer_wire.Failure(call.number, "peer is busy", True))
            return
        link.running_calls += 1
        self._spawn(self._run(link, call, handler))

    async def _run(
        self, link: peer_link.Link, call: peer_wire.Call, handler: peers.Handler
    ) -> None:
        try:
            body = await handler(link.peer.host, call.body)
            result = peer_wire.Reply(call.number, body)
        except Exception as error:
            log.exception("peer_call_failed", peer=link.peer.host, kind=call.kind)
            result = peer_wire.Failure(call.number, type(error).__name__, False)
        finally:
            link.running_calls -= 1
        send_result(link, result)


def send_result(
    link: peer_link.Link, message: peer_wire.Reply | peer_wire.Failure
) -> None:
    """Queue the result of a call.

    A result that can't be encoded is replaced by a `Failure`. If the queue is full, the
    other side reads too slowly and the link is closed.
    """
    try:
        ticket = link.queue(pacing.REQUEST, message)
    except peer_wire.FrameError as error:
        failure = peer_wire.Failure(message.number, str(error), False)
        ticket = link.queue(pacing.REQUEST, failure)
    if ticket is None:
        link.close("slow reader")
