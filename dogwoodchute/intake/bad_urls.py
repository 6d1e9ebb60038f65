"""Requests whose URL can't be read are answered.

Sanic makes another request of the same URL to answer the error, which fails again: the
connection closed without an answer, and each such request logged a traceback.
"""

import sanic
import sanic.exceptions
from sanic.compat import Header

UNREADABLE = b"*"  # stands for the URL


class Request(sanic.Request):
    """A request; one that Sanic makes to answer an error may have any URL."""

    def __init__(self, url_bytes: bytes, headers: Header, **options: object) -> None:
        try:
            super().__init__(url_bytes=url_bytes, headers=headers, **options)
        except sanic.exceptions.SanicException:
            # Requests of callers have headers; those made for an error have none.
            if headers:
                raise
            super().__init__(url_bytes=UNREADABLE, headers=headers, **options)
