"""Callers that read streams and take them up again, as the platform's pages allow."""

import asyncio
import time
import typing

import aiohttp

from dogwoodchute import sse
from dogwoodchute.tests import gateway_site

WAIT = 2.5  # seconds that a caller waits for an attempt
TRIES = 3  # to take a stream up, while hosts answer that they did not run it
NO_ANSWER = 0  # status


class Failure(typing.NamedTuple):
    """An attempt that was not answered 200, or not to its end."""

    status: int  # `NO_ANSWER` if the connection broke
    retry_after: float | None  # seconds
    seconds: float  # until it came


class Stream:
    """A stream as its caller received it, over one or more attempts."""

    def __init__(self, *, name):
        self.name = name
        self.first_attempt = None  # id of the attempt that brought the first event
        self.events = []  # pairs of the event's id and the software version it names
        self.failures = []
        self.is_whole = False  # the last answer came to its end
        self._attempts = 0

    @property
    def versions(self):
        """The software versions whose events it holds, in order of appearance."""
        return list(dict.fromkeys(version for _, version in self.events))

    async def read(self, session, address, *, most=None, **headers):
        """Send an attempt to a host and read on; return whether it was answered 200.

        After `most` events in all the caller closes the connection.
        """
        self._attempts += 1
        attempt = f"{self.name}-{self._attempts}"
        all_headers = {
            "Host": "site.example",
            "X-Dogwoodchute-Attempt-Id": attempt,
            "X-Dogwoodchute-Deadline-Ms": str(int(WAIT * 1000)),
            "X-Dogwoodchute-Credential": gateway_site.KEY,
            **headers,
        }
        began = time.monotonic()
        url = f"http://{address}/s/stream"
        self.is_whole = False
        try:
            async with (
                asyncio.timeout(2 * WAIT),
                session.post(url, headers=all_headers) as answer,
            ):
                if answer.status != 200:
                    seconds = time.monotonic() - began
                    pause = answer.headers.get("Retry-After")
                    pause = None if pause is None else float(pause)
                    self.failures.append(Failure(answer.status, pause, seconds))
                    return False
                await self._receive(answer, attempt, most)
                return True
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            seconds = time.monotonic() - began
            self.failures.append(Failure(NO_ANSWER, None, seconds))
            return False

    async def take_up(self, session, address, *, resumes=None, most=None):
        """Take the stream up at a host, in a few tries if that did not run it.

        Each try names the attempt `resumes`, as a rule the one that began the stream,
        none if that is "". Returns whether one was answered 200.
        """
        headers = {"Last-Event-Id": str(self.events[-1][0])}
        named = self.first_attempt if resumes is None else resumes
        if named:
            headers["Resumes"] = named
        for _ in range(TRIES):
            known = len(self.failures)
            if await self.read(session, address, most=most, **headers):
                return True
            failure = self.failures[known]
            if failure.retry_after is None:
                return False
            await asyncio.sleep(min(failure.retry_after, WAIT / 3))
        return False

    async def _receive(self, answer, attempt, most):
        framer = sse.EventFramer()
        async for data in answer.content.iter_any():
            for event in sse.events(framer.feed(data)):
                _, _, text = event.partition(b"data: ")
                version = text.split()[1].decode()
                self.first_attempt = self.first_attempt or attempt
                self.events.append((int(sse.event_id(event)), version))
                if len(self.events) == most:
                    return
        self.is_whole = True


def new_session():
    """Return a session that opens a connection for each attempt."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True, limit=0)
    )
