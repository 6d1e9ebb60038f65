"""Common parts of the commands of `dogwoodctl`: connection, output, exit codes."""

import dataclasses
import json
import os
import ssl
import sys
import typing
from collections import abc

import aiohttp
import cappa
import rich.console
import rich.table
import uvloop

EXIT_REFUSED = 1  # the daemon refused, with the reason on standard error
EXIT_USAGE = 2  # the command line is wrong
EXIT_UNREACHABLE = 3  # no daemon answered
TIMEOUT = 30.0  # seconds


@dataclasses.dataclass(kw_only=True)
class Connection:
    """Options that every command takes."""

    at: typing.Annotated[
        str, cappa.Arg(long="--at", help="IP number and port of a host's operator side")
    ] = os.environ.get("DOGWOODCTL_AT", "127.0.0.1:8081")
    ca: typing.Annotated[
        str, cappa.Arg(long="--ca", help="PEM file to trust; set it to use TLS")
    ] = os.environ.get("DOGWOODCTL_CA", "")
    as_json: typing.Annotated[
        bool, cappa.Arg(long="--json", help="Print JSON instead of a table")
    ] = False


class Refused(Exception):
    """The daemon refused a request."""

    def __init__(self, *, status: int, error: dict) -> None:
        parts = [error[key] for key in ("code", "message") if error.get(key)]
        super().__init__(": ".join(parts) or str(status))
        self.status = status
        self.error = error


async def _send(connection: Connection, method: str, path: str, **options) -> object:
    headers = {"Authorization": f"Bearer {os.environ.get('DOGWOODCTL_KEY', '')}"}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT)
    url = f"http://{connection.at}{path}"
    if connection.ca:
        url = f"https://{connection.at}{path}"
        options["ssl"] = ssl.create_default_context(cafile=connection.ca)
    async with (
        aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
        session.request(method, url, **options) as response,
    ):
        text = await response.text()
        try:
            body = json.loads(text)
        except ValueError:
            body = text
        if response.status < 400:
            return body
        error = body.get("error", {}) if isinstance(body, dict) else {"message": text}
        raise Refused(status=response.status, error=error)


def call(connection: Connection, method: str, path: str, **options) -> object:
    """Send one request to the daemon and return the parsed body.

    `options` are those of `aiohttp.ClientSession.request`. Raises `cappa.Exit` after
    printing a message if the daemon refuses or can't be reached.
    """
    try:
        return uvloop.run(_send(connection, method, path, **options))
    except Refused as refusal:
        for fault in refusal.error.get("faults", []):
            print(fault, file=sys.stderr)
        print(f"refused ({refusal.status}): {refusal}", file=sys.stderr)
        raise cappa.Exit(code=EXIT_REFUSED) from refusal
    except (OSError, aiohttp.ClientError, TimeoutError) as error:
        print(
            f"no daemon at {connection.at} ({error}); set --at or DOGWOODCTL_AT",
            file=sys.stderr,
        )
        raise cappa.Exit(code=EXIT_UNREACHABLE) from error


def show(
    connection: Connection,
    body: object,
    *,
    columns: abc.Sequence[str] = (),
    rows: abc.Iterable[abc.Sequence[object]] = (),
) -> None:
    """Print `body` as JSON with --json, otherwise the rows as a table."""
    if connection.as_json:
        print(json.dumps(body, indent=2, sort_keys=True))
        return
    table = rich.table.Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(str(value) for value in row))
    rich.console.Console(width=160).print(table)
