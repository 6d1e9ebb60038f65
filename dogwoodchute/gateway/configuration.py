"""Holds the configuration in force, which a process never replaces by an older one."""

from collections import abc

from dogwoodchute import log
from dogwoodchute.gateway import model, rows
from dogwoodchute.gateway.following import row_reader

Decode = abc.Callable[[bytes], model.Config]


class Configuration:
    """The newest configuration that this host has read.

    `on_config` is called with each configuration that comes into force.
    """

    def __init__(
        self,
        *,
        table: str,
        key: str,
        decode: Decode,
        on_config: abc.Callable[[model.Config], None],
        now: abc.Callable[[], float],
    ) -> None:
        self._key = key
        self._reader = row_reader.RowReader(
            table=table, decode=lambda key, value: decode(value)
        )
        self._on_config = on_config
        self._now = now
        self._current: model.Config | None = None
        self._read_at: abc.Callable[[], float | None] = lambda: None

    def set_read_at(self, read_at: abc.Callable[[], float | None]) -> None:
        """Set the source of the time of the last read of the table.

        `read_at` returns monotonic seconds, or None before the first read.
        """
        self._read_at = read_at

    @property
    def current(self) -> model.Config | None:
        """The configuration in force, None before the first one was read."""
        return self._current

    def service(self, name: str) -> model.Service | None:
        """Return a service of the configuration in force, None if it names none."""
        return self._current.services.get(name) if self._current is not None else None

    @property
    def read_at(self) -> float | None:
        """Monotonic seconds of the last successful read, None before the first one."""
        return self._read_at()

    def apply_changes(
        self, all_rows: dict[str, rows.Row], changed: list[rows.Row]
    ) -> None:
        """Adopt a new version of the configuration if its row has changed."""
        row = all_rows.get(self._key)
        if row is None or row not in changed:
            return
        config = self._reader.read(row)
        if config is None:
            return
        before = self._current.version if self._current is not None else None
        if before is not None and config.version <= before:
            log.info("config_not_newer", version=config.version, current=before)
            return
        self._current = config
        read_at = self._read_at()
        log.info(
            "config_adopted",
            version=config.version,
            before=before,
            row_version=row.version,
            routes=sum(len(prefixes) for prefixes in config.routes.values()),
            accounts=len(config.accounts),
            bytes=len(row.value),
            seconds=None if read_at is None else round(self._now() - read_at, 3),
        )
        self._on_config(config)
