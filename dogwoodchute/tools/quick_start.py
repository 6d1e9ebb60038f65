"""Shortens the start of a process that speaks plain HTTP only.

Used before the other imports, most of whose time is the process's start.
"""

import gc
import ssl


def begin() -> None:
    """Skip what delays the imports that follow.

    Garbage isn't looked for, as what is imported stays. TLS contexts load no
    certificates of authorities, which the HTTP client does at its import; a connection
    that needed one would fail.
    """
    gc.disable()
    ssl.SSLContext.load_default_certs = _load_nothing
    ssl.SSLContext.set_default_verify_paths = _load_nothing


def end() -> None:
    """Look for garbage from now on, but not among what was imported."""
    gc.freeze()
    gc.enable()


def _load_nothing(context: ssl.SSLContext, *arguments: object) -> None:
    return
