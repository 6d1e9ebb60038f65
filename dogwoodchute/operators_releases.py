"""The operators' routes on release notes."""

import asyncio

import sanic

from dogwoodchute import catalog, peers, state
from dogwoodchute.controllers import (
    release_peers,
    release_store,
    release_submit,
    releases,
)
from dogwoodchute.coordination import releases as decisions

SHOWN_DIGEST_LENGTH = 8  # characters
MAX_DIFF = 1000  # revisions
SUBMIT_TIMEOUT = 20.0  # seconds until the answer; the submit itself continues


def add_routes(
    app: sanic.Sanic, *, host: state.HostState, release_controller: releases.Releases
) -> None:
    """Register the routes on `app`."""
    submits: set[asyncio.Task] = set()  # keeps a reference to those in progress

    async def submit(request: sanic.Request) -> sanic.HTTPResponse:
        text = request.body.decode("utf-8", "replace")
        task = asyncio.create_task(release_controller.submit(text))
        submits.add(task)
        task.add_done_callback(submits.discard)
        done, _ = await asyncio.wait({task}, timeout=SUBMIT_TIMEOUT)
        if not done:
            message = "no answer yet; submit the same note again to learn the outcome"
            return _error(503, "answer_lost", message)
        verdict = task.result()
        if isinstance(verdict, release_submit.Accepted):
            return sanic.json({"revision": verdict.revision, "note": verdict.note})
        if isinstance(verdict, release_submit.Refused):
            error = {
                "code": verdict.code,
                "message": "nothing of the note was applied",
                "faults": verdict.faults,
            }
            return sanic.json({"error": error}, status=409)
        message = f"{verdict.reason}; submit the same note again to learn the outcome"
        error = {"code": verdict.code, "message": message, "note": verdict.note}
        return sanic.json({"error": error}, status=503)

    async def show_current(request: sanic.Request) -> sanic.HTTPResponse:
        return sanic.json(redact(catalog.to_plain(host.current)))

    async def diff(request: sanic.Request) -> sanic.HTTPResponse:
        newest = host.current.revision
        try:
            start = int(request.args.get("from", newest - 1))
            last = int(request.args.get("to", newest))
        except ValueError:
            return _error(400, "bad_revision", "give whole numbers as from and to")
        if not 0 <= start < last <= start + MAX_DIFF:
            message = f"give 0 <= from < to, at most {MAX_DIFF} apart"
            return _error(400, "bad_revision", message)
        outcome = await release_store.read_deltas(host.store, start + 1, last)
        if isinstance(outcome, release_store.ReadFailure):
            status = 404 if outcome.missing else 503
            return _error(status, "no_history", outcome.reason)
        deltas = [redact_delta(decisions.to_plain(delta)) for delta in outcome]
        return sanic.json({"from": start, "to": last, "deltas": deltas})

    async def status(request: sanic.Request) -> sanic.HTTPResponse:
        head = await release_store.read_head(host.store)
        head_failed = isinstance(head, release_store.ReadFailure)
        own = {
            "host": host.config.host.id,
            "revision": host.current.revision,
            "why": release_controller.failure,
        }
        return sanic.json(report(own, host.peers.known(), head, head_failed))

    app.add_route(submit, "/ops/v1/releases", methods=["POST"], name="release_submit")
    app.add_route(show_current, "/ops/v1/releases", name="release_current")
    app.add_route(diff, "/ops/v1/releases/diff", name="release_diff")
    app.add_route(status, "/ops/v1/releases/status", name="release_status")


def report(
    own: dict,
    known_peers: list[peers.Peer],
    head: release_store.Head | release_store.ReadFailure,
    head_failed: bool,
) -> dict:
    """Return the accepted revision and the hosts on which it is in force or lags.

    If the head could not be read, the accepted revision is the highest that any host
    reports.
    """
    hosts = [own]
    for peer in known_peers:
        why = peer.hints.get("release_failure", "")
        revision = release_peers.revision_of(peer)
        if not peer.alive:
            why = "no heartbeats"
        elif revision is None:
            why = why or "starting"
        hosts.append({"host": peer.host, "revision": revision, "why": why})
    reported = [h["revision"] for h in hosts if h["revision"] is not None]
    accepted = max(reported) if head_failed else head.revision
    lagging = [h for h in hosts if h["revision"] != accepted]
    for lagging_host in lagging:
        lagging_host["why"] = lagging_host["why"] or "not polled yet"
    return {
        "accepted": accepted,
        "store": head.reason if head_failed else "ok",
        "hosts": len(hosts),
        "in_force": len(hosts) - len(lagging),
        "lagging": lagging,
    }


def redact(plain: dict) -> dict:
    """Return a plain catalog with the digests of bearer keys truncated."""
    accounts = [_truncate_keys(fields) for fields in plain["accounts"]]
    return {**plain, "accounts": accounts}


def redact_delta(plain: dict) -> dict:
    """Return a plain delta with the digests of bearer keys truncated."""
    puts = []
    for kind, fields in plain["puts"]:
        puts.append([kind, _truncate_keys(fields) if kind == "account" else fields])
    return {**plain, "puts": puts}


def _truncate_keys(fields: dict) -> dict:
    return {**fields, "keys": [key[:SHOWN_DIGEST_LENGTH] for key in fields["keys"]]}


def _error(status: int, code: str, message: str) -> sanic.HTTPResponse:
    body = {"error": {"code": code, "message": message}}
    return sanic.json(body, status=status)
