"""Requests and calls as the gateway decodes them, for tests without sockets."""

from dogwoodchute.gateway import calls

REQUEST = calls.Request(
    attempt_id="a1",
    host="site.example",
    method="POST",
    path="/s/stream",
    query="",
    headers=(),
    body=b"",
    key=None,
    wait=None,
    prompt=None,
    last_event_id=None,
)


def call(*, received=0.0, **fields):
    """Return a call of a request with these fields."""
    return calls.Call(request=REQUEST._replace(**fields), reply=None, received=received)
