"""What a chat's run knows of its engine: how to call it, its pace and its bounds."""

import typing
from collections import abc

import aiohttp

from dogwoodchute.coordination import cadence


class EngineTiming(typing.NamedTuple):
    """How long an engine has taken between events, and the bounds that follow."""

    first_event: cadence.GapEstimator  # from sending the request to the first event
    event_gap: cadence.GapEstimator  # between events


class EngineClient(typing.NamedTuple):
    """The HTTP sessions and the request with which the engine is called."""

    pooled: aiohttp.ClientSession
    fresh: aiohttp.ClientSession  # opens a connection for each request
    url: str
    body: dict
    headers: dict[str, str]
    # Raises `aiohttp.ClientError` if an answer is for another request.
    check_answer: abc.Callable[[aiohttp.ClientResponse], None]
    # Cancels the run; returns the tokens used, None if the engine reports none.
    cancel: abc.Callable[[], abc.Awaitable[int | None]]
    cancel_in_background: abc.Callable[[], None]  # doesn't wait for the reply


class StreamLimits(typing.NamedTuple):
    """Limits on a stream, in seconds."""

    total: float  # from now
    caller_idle: float  # for one write to the caller
