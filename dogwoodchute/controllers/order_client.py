"""Sends orders to engines over HTTP."""

import dataclasses
import typing
from collections import abc

import aiohttp

from dogwoodchute import bounded_read
from dogwoodchute.coordination import orders

REPORT_TIMEOUT = 2.0  # seconds
PATH = "/orders"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reported:
    """The state that an engine reports, after an order or when polled."""

    state: dict


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Stale:
    """The engine refused the order: it has had one with a higher fencing number."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NoAnswer:
    """The engine gave no usable answer; an order may have taken effect."""

    reason: str
    peer: str
    step: str = "order"


Answer = Reported | Stale | NoAnswer


class Engines(typing.NamedTuple):
    """The operations on an engine, which is named by its address."""

    report: abc.Callable[[str], abc.Awaitable[Answer]]
    order: abc.Callable[[str, dict], abc.Awaitable[Answer]]
    close: abc.Callable[[], abc.Awaitable[None]]


def http_engines() -> Engines:
    """Return the operations over HTTP; each call uses a fresh connection."""
    sessions: list[aiohttp.ClientSession] = []

    async def call(method: str, address: str, seconds: float, body: dict | None):
        if not sessions:
            connector = aiohttp.TCPConnector(force_close=True)
            sessions.append(aiohttp.ClientSession(connector=connector))
        timeout = aiohttp.ClientTimeout(total=seconds)
        url = f"http://{address}{PATH}"
        try:
            async with sessions[0].request(
                method, url, json=body, timeout=timeout
            ) as response:
                if response.status == 409:
                    return Stale()
                if response.status != 200:
                    reason = f"engine answered {response.status}"
                    return NoAnswer(reason=reason, peer=address)
                report = await bounded_read.read_report(response)
                return Reported(state=report["state"])
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            reason = str(error) or type(error).__name__
            return NoAnswer(reason=reason, peer=address)
        except (KeyError, TypeError) as error:
            return NoAnswer(reason=f"bad answer: {error!r}", peer=address)

    async def report(address: str) -> Answer:
        return await call("GET", address, REPORT_TIMEOUT, None)

    async def order(address: str, body: dict) -> Answer:
        return await call("POST", address, orders.MAX_DELIVERY, body)

    async def close() -> None:
        for session in sessions:
            await session.close()
        sessions.clear()

    return Engines(report=report, order=order, close=close)
