"""An endpoint that answers before it has read a long body, and ends in raw ways."""

import contextlib
import re
import socket
import struct
import threading
import time
import typing
from collections import abc

from dogwoodchute.tests import raw_endpoint

LENGTH = re.compile(rb"Content-Length: (\d+)", re.IGNORECASE)
# Value of SO_LINGER with which a close sends a reset.
RESET = struct.pack("ii", 1, 0)
READ_SIZE = 65536  # bytes
NOTHING_TO_REPORT = (
    b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
PAUSE = 0.01  # seconds; a host has seen what came before


class Plan(typing.NamedTuple):
    """How an endpoint answers a request with a body."""

    share: float  # of the body that it reads before it answers
    headers: bytes  # of the answer, each with its line end
    body: bytes  # what it sends of the answer's body
    end: abc.Callable[[socket.socket], None]
    pause: float = 0.0  # seconds between the answer and the end


class EarlyEndpoint:
    """Answers each request as `plan` says, from a thread for each connection.

    With a small `receive_buffer` (bytes) most of a body stays in the host's kernel
    until it is read.
    """

    def __init__(self, *, receive_buffer: int | None = None):
        self.plan: Plan | None = None
        self.attempts = []  # attempt ids, in order
        self._listening = socket.create_server(("127.0.0.1", 0), backlog=100)
        if receive_buffer is not None:
            self._listening.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        self.port = self._listening.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        # A close alone doesn't wake the thread that accepts.
        self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connected, _ = self._listening.accept()
                threading.Thread(
                    target=self._serve, args=(connected,), daemon=True
                ).start()

    def _serve(self, connected):
        with connected, contextlib.suppress(OSError):
            data = b""
            while raw_endpoint.HEAD_END not in data:
                received = connected.recv(READ_SIZE)
                if not received:
                    return
                data += received
            head, _, body = data.partition(raw_endpoint.HEAD_END)
            if head.startswith(raw_endpoint.REPORT):
                connected.sendall(NOTHING_TO_REPORT)
                return
            plan = self.plan
            left = int(plan.share * int(LENGTH.search(head).group(1))) - len(body)
            while left > 0:
                received = connected.recv(min(left, READ_SIZE))
                if not received:
                    return
                left -= len(received)
            attempt = raw_endpoint.ATTEMPT.search(head).group(1)
            self.attempts.append(attempt.decode())
            connected.sendall(
                b"HTTP/1.1 200 OK\r\nX-Dogwoodchute-Attempt-Id: %b\r\n"
                b"X-Dogwoodchute-Response-Signature: sig\r\n%b\r\n%b"
                % (attempt, plan.headers, plan.body)
            )
            time.sleep(plan.pause)
            plan.end(connected)


def reset(connected):
    """Close a connection with a reset."""
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    connected.close()


def close(connected):
    """Close a connection; the kernel resets it if bytes of it were not read."""
    connected.close()


def end_then_read_on(connected):
    """End the answer (FIN), and read the rest of the request."""
    connected.shutdown(socket.SHUT_WR)
    while connected.recv(READ_SIZE):
        pass


def end_then_reset(connected):
    """End the answer (FIN); reset the connection while the rest is still sent."""
    connected.shutdown(socket.SHUT_WR)
    time.sleep(PAUSE)
    reset(connected)
