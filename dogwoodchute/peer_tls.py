"""TLS contexts for mutual authentication of hosts, from the settings' PEM files."""

import ssl
import typing

from dogwoodchute import settings


class Contexts(typing.NamedTuple):
    """The contexts for accepting and for dialling streams."""

    listen: ssl.SSLContext
    dial: ssl.SSLContext


def contexts(tls: settings.TLS) -> Contexts | None:
    """Return the contexts of peer streams, None if no files are set.

    Both ends present a certificate of the fleet's own authority. Hosts are reached by
    IP number and name themselves in the handshake, so names in certificates are not
    checked. Raises `OSError` or `ssl.SSLError` if a file can't be used.
    """
    if not tls.peer_certificate:
        return None
    created = []
    for protocol in (ssl.PROTOCOL_TLS_SERVER, ssl.PROTOCOL_TLS_CLIENT):
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.load_cert_chain(tls.peer_certificate, tls.peer_key)
        context.load_verify_locations(tls.peer_authority)
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        created.append(context)
    return Contexts(*created)
