"""Whether an endpoint has outlived an answer that only the end of its connection ends.

The kernel closes the connections of a killed process as a sound endpoint closes one at
the end of such an answer. Only what the process says afterwards tells the two apart.
"""

import asyncio
import typing
from collections import abc

import aiohttp
import prometheus_client
import yarl

from dogwoodchute import bounded_read, log
from dogwoodchute.gateway import model

TIMEOUT = 0.5  # seconds for the endpoint to say that it still runs
MAX_STARTS = 4096  # endpoints whose starts are remembered
RESET_PAUSE = 0.05  # seconds before the question after a connection that was reset

checks = prometheus_client.Counter(
    "dogwoodchute_unframed_ends",
    "Answers without framing that their endpoints ended, by whether these still ran.",
    ["outlived"],
)


# By endpoint: the start that it told last, and the loop time when it told that first.
Starts = dict[str, tuple[int, float]]


class Question(typing.NamedTuple):
    """Asks an endpoint about itself."""

    path: str
    headers: abc.Callable[[model.Endpoint], list[tuple[str, str]]]
    # Returns the Unix milliseconds at which the endpoint that answers was started, None
    # if it does not say. Raises `ValueError` if another endpoint answers.
    parse_start: abc.Callable[[int, bytes], int | None]


async def has_outlived(
    session: aiohttp.ClientSession,
    question: Question,
    endpoint: model.Endpoint,
    *,
    request: str,
    sent_at: float,
    starts: Starts,
) -> bool:
    """Return whether the process of an endpoint runs after the end of an answer.

    `session` keeps no connections and shares none with requests. `request` is the id
    of the request that was answered, sent at the loop time `sent_at`; `starts` keeps
    what endpoints tell. Without a clear answer in `TIMEOUT` seconds the process counts
    as ended.
    """
    reason = None
    try:
        async with asyncio.timeout(TIMEOUT):
            started = await _ask_until_answered(session, question, endpoint)
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        reason = str(error) or type(error).__name__
    else:
        if started and not _has_begun_it(endpoint, started, sent_at, starts):
            reason = "it has started again"
        elif not started and endpoint.id in starts:
            reason = "it does not tell its start any more"
    checks.labels(str(reason is None).lower()).inc()
    log.info(
        "answer_end_checked",
        request=request,
        endpoint=endpoint.id,
        outlived=reason is None,
        reason=reason,
    )
    return reason is None


def _has_begun_it(
    endpoint: model.Endpoint, started: int, sent_at: float, starts: Starts
) -> bool:
    """Return whether the process that has `started` then got a request at `sent_at`."""
    told, told_at = starts.pop(endpoint.id, (None, 0.0))
    if told != started:
        told_at = asyncio.get_running_loop().time()
    starts[endpoint.id] = started, told_at
    if len(starts) > MAX_STARTS:
        del starts[next(iter(starts))]
    # The row may be older than a process that told its start before the request.
    return endpoint.started_at_ms in (0, started) or told_at <= sent_at


async def _ask_until_answered(
    session: aiohttp.ClientSession, question: Question, endpoint: model.Endpoint
) -> int | None:
    while True:
        try:
            return await _ask(session, question, endpoint)
        except aiohttp.ClientConnectorError:
            raise
        except (aiohttp.ClientError, OSError):
            # An endpoint with many connections or a long queue resets new ones.
            if session.closed:
                raise
        await asyncio.sleep(RESET_PAUSE)


async def _ask(
    session: aiohttp.ClientSession, question: Question, endpoint: model.Endpoint
) -> int | None:
    if session.closed:
        raise aiohttp.ClientConnectionError("this host stops")
    url = yarl.URL(f"http://{endpoint.address}{question.path}", encoded=True)
    headers = question.headers(endpoint)
    async with session.get(
        url,
        headers=headers,
        allow_redirects=False,
        skip_auto_headers=("User-Agent", "Accept-Encoding"),
    ) as response:
        content = await bounded_read.read(response, limit=bounded_read.MAX_REPORT)
        return question.parse_start(response.status, content)
