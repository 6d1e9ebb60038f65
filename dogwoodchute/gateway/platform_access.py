"""What the gateway needs of its platform."""

import typing
from collections import abc

from dogwoodchute.gateway import configuration, rows, upstream
from dogwoodchute.gateway.registered import endpoint_table


class Platform(typing.NamedTuple):
    """The platform's store, formats and names of tables that the gateway uses."""

    store: rows.Store
    wire: upstream.WireFormat
    decode_config: configuration.Decode
    decode_endpoint: endpoint_table.Decode
    config_table: str
    config_key: str
    endpoints_table: str
    # Returns the data centre that a row beside the configuration evacuates, by its key.
    evacuated_data_centre: abc.Callable[[str], str | None]
    # Returns whether the store answers this host directly.
    is_store_reachable: abc.Callable[[], bool]
