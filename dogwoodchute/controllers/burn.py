"""Counts how well this host meets objectives, and keeps the fleet's summaries.

Each host writes one object for each hour and overwrites it every minute. Once an hour
is over, one host merges the hour's objects into one for the fleet; a table row decides
which merge is valid and names the objects in it. So the object store holds the last
two hours by host, and one object for each earlier hour. A summary that is written
after the merge is read in addition to it.
"""

import typing
from collections import abc

import msgpack
import xxhash
from hdrh import histogram

from dogwoodchute import catalog, clock, controller, log, state
from dogwoodchute.coordination import burn
from dogwoodchute.platform import objects, table

MINUTE = 60.0  # seconds
MERGED_WIDTH = 300  # seconds of one bucket in a merged summary
HOUR = 3600  # seconds
MERGE_DELAY = 180.0  # seconds after an hour's end
KEPT_HOURS = 73
SEPARATE_HOURS = 2  # past hours for which summaries of single hosts are read too
LOWEST, HIGHEST, DIGITS = 1, 600_000, 2  # milliseconds, significant digits
PREFIX = "burn/"


class Place(typing.NamedTuple):
    """Where a request ran, `-` if it did not."""

    place: str  # region/data centre
    endpoint: str


def place_of(endpoint: catalog.Endpoint | None) -> Place:
    """Return the place of an endpoint, None if the request reached no endpoint."""
    if endpoint is None:
        return Place("-", "-")
    return Place(f"{endpoint.region}/{endpoint.data_centre}", endpoint.name)


def hour_row(hour: int) -> str:
    """Return the key of the row that names the valid merged summary of an hour."""
    return f"burn/{hour:08d}"


class Recorder:
    """Counts the events of this host in the current hour."""

    def __init__(self, *, wall: abc.Callable[[], float] = clock.wall) -> None:
        self._wall = wall
        self.hour = int(wall() // HOUR)
        # Counts [total, bad], in all maps.
        self._buckets: dict = {}  # by service, measure, place and minute
        self._endpoints: dict = {}  # by service, measure and endpoint
        self._times: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def count(
        self, service: str, place: Place, measure: str, total: int, bad: int
    ) -> None:
        """Count `total` events of one measure, of which `bad` missed the objective."""
        minute = int(self._wall() // MINUTE * MINUTE)
        leaf = self._buckets.setdefault((service, measure, place.place, minute), [0, 0])
        leaf[0] += total
        leaf[1] += bad
        leaf = self._endpoints.setdefault((service, measure, place.endpoint), [0, 0])
        leaf[0] += total
        leaf[1] += bad

    def record_time(self, service: str, measure: str, seconds: float) -> None:
        """Record a duration in the histogram of its service and measure."""
        times = self._times.get((service, measure))
        if times is None:
            times = histogram.HdrHistogram(LOWEST, HIGHEST, DIGITS)
            self._times[service, measure] = times
        times.record_value(min(HIGHEST, max(LOWEST, int(seconds * 1000))))

    def summary(self) -> dict:
        """Return the counts of the current hour as nested maps."""
        buckets: dict = {}
        for (service, measure, place, minute), leaf in self._buckets.items():
            by_place = buckets.setdefault(service, {}).setdefault(measure, {})
            by_place.setdefault(place, {})[str(minute)] = list(leaf)
        endpoints: dict = {}
        for (service, measure, endpoint), leaf in self._endpoints.items():
            by_measure = endpoints.setdefault(service, {}).setdefault(measure, {})
            by_measure[endpoint] = list(leaf)
        times: dict = {}
        for (service, measure), found in self._times.items():
            times.setdefault(service, {})[measure] = found.encode()
        return {
            "width": int(MINUTE),
            "buckets": buckets,
            "endpoints": endpoints,
            "times": times,
        }

    def start_new_hour(self) -> tuple[int, dict] | None:
        """Start a new hour if the current one is over.

        Return the hour that ended and its summary, or None.
        """
        hour = int(self._wall() // HOUR)
        if hour == self.hour:
            return None
        ended = (self.hour, self.summary())
        self.hour = hour
        self._buckets.clear()
        self._endpoints.clear()
        self._times.clear()
        return ended


def merge(summaries: list[dict], width: int) -> dict:
    """Return the sum of summaries, with buckets of at least `width` seconds."""
    merged: dict = {"width": width, "buckets": {}, "endpoints": {}, "times": {}}
    for summary in summaries:
        for service, measures in summary["buckets"].items():
            for measure, places in measures.items():
                for place, leaves in places.items():
                    wide_buckets: dict = {}
                    for start, leaf in leaves.items():
                        key = str(int(start) // width * width)
                        burn.merge(wide_buckets, {key: leaf})
                    change = {service: {measure: {place: wide_buckets}}}
                    burn.merge(merged["buckets"], change)
        burn.merge(merged["endpoints"], summary["endpoints"])
        _merge_times(merged["times"], summary["times"])
    return merged


def _merge_times(into: dict, times: dict) -> None:
    for service, measures in times.items():
        for measure, encoded in measures.items():
            found = into.setdefault(service, {})
            if measure not in found:
                found[measure] = encoded
                continue
            total = histogram.HdrHistogram.decode(found[measure])
            total.decode_and_add(encoded)
            found[measure] = total.encode()


class BurnSummaries:
    """Writes the summaries of this host, and merges and reads those of the fleet."""

    def __init__(
        self,
        *,
        host: state.HostState,
        recorder: Recorder,
        wall: abc.Callable[[], float] = clock.wall,
    ) -> None:
        self._host = host
        self._recorder = recorder
        self._wall = wall
        self._unwritten: dict[int, dict] = {}
        # By hour; a merged summary never changes.
        self._merged_summaries: dict[int, dict] = {}

    async def step(self) -> None:
        """Write this host's summaries, merge the last hour and delete old hours."""
        ended = self._recorder.start_new_hour()
        if ended is not None:
            self._unwritten[ended[0]] = ended[1]
        self._unwritten[self._recorder.hour] = self._recorder.summary()
        for hour in sorted(self._unwritten):
            name = f"{PREFIX}{hour:08d}/{self._host.incarnation}"
            content = msgpack.packb(self._unwritten[hour])
            outcome = await self._host.objects.put(name, content)
            if not isinstance(outcome, objects.Stored):
                log.warning("burn_summary_not_written", hour=hour)
                return
            del self._unwritten[hour]
        last = int((self._wall() - MERGE_DELAY) // HOUR) - 1
        await self._merge_hour(last)
        await self._delete_merged(last - KEPT_HOURS)

    def controller(self) -> controller.Controller:
        """Return the controller that writes and merges summaries."""
        return controller.periodic("burn", self.step, interval=MINUTE, final=self.step)

    async def _merge_hour(self, hour: int) -> None:
        found = await self._host.store.read([hour_row(hour)])
        if isinstance(found, table.Unavailable) or found.rows:
            return
        sources = await self._read_host_summaries(hour)
        if not sources:
            return
        digests = {name: xxhash.xxh64_hexdigest(c) for name, c in sources.items()}
        summaries = [msgpack.unpackb(packed) for packed in sources.values()]
        content = msgpack.packb(merge(summaries, MERGED_WIDTH))
        name = f"{PREFIX}{hour:08d}-merged/{self._host.incarnation}"
        outcome = await self._host.objects.put(name, content)
        if not isinstance(outcome, objects.Stored):
            return
        value = {"name": name, "sources": digests}
        outcome = await self._host.store.commit(
            f"burn-{hour}-{self._host.incarnation}",
            [table.Check(hour_row(hour), 0)],
            [table.Write(hour_row(hour), value)],
        )
        if isinstance(outcome, table.Conflict):
            await self._host.objects.delete(name)
        if not isinstance(outcome, table.Committed):
            return
        for source in sources:
            await self._host.objects.delete(source)
        log.info("burn_merged", hour=hour, summaries=len(sources))

    async def _delete_merged(self, hour: int) -> None:
        self._merged_summaries.pop(hour, None)
        found = await self._host.store.read([hour_row(hour)])
        if isinstance(found, table.Unavailable) or not found.rows:
            return
        row = found.rows[hour_row(hour)]
        await self._host.objects.delete(row.value["name"])
        await self._host.store.commit(
            f"burn-drop-{hour}-{self._host.incarnation}",
            [table.Check(row.key, row.version)],
            [table.Write(row.key, None)],
        )

    async def _read_host_summaries(self, hour: int) -> dict[str, bytes]:
        names = await self._host.objects.list(f"{PREFIX}{hour:08d}/")
        if isinstance(names, objects.Unavailable):
            return {}
        contents = {}
        for name in names:
            found = await self._host.objects.get(name)
            if isinstance(found, objects.Found):
                contents[name] = found.content
        return contents

    async def gather(self) -> tuple[list[dict], list[str]]:
        """Return the fleet's summaries of all kept hours, and remarks on what is amiss.

        The remarks name summaries that are late or missing. The counts of this host
        for the current hour are up to date.
        """
        current_hour = int(self._wall() // HOUR)
        hours = range(current_hour - KEPT_HOURS + 1, current_hour + 1)
        found = await self._host.store.read([hour_row(hour) for hour in hours])
        if isinstance(found, table.Unavailable):
            found = table.Rows(rows={})
        summaries = []
        remarks = []
        for hour in hours:
            row = found.rows.get(hour_row(hour))
            if row is not None:
                merged = await self._read_merged(hour, row)
                if merged is None:
                    remarks.append(f"missing: merged summary of hour {hour}")
                else:
                    summaries.append(merged)
            if hour >= current_hour - SEPARATE_HOURS:
                sources = row.value["sources"] if row is not None else {}
                unmerged, unmerged_remarks = await self._read_unmerged(hour, sources)
                summaries += unmerged
                remarks += unmerged_remarks if row is not None else []
        unwritten = {**self._unwritten, self._recorder.hour: self._recorder.summary()}
        return (
            summaries + list(unwritten.values()),
            remarks + await self._missing(current_hour),
        )

    async def _read_unmerged(
        self, hour: int, merged: dict[str, str]
    ) -> tuple[list[dict], list[str]]:
        """Return hosts' summaries that the merged one lacks, and remarks on them."""
        summaries = []
        remarks = []
        for name, content in (await self._read_host_summaries(hour)).items():
            is_own = name.endswith(f"/{self._host.incarnation}")
            if is_own and (hour in self._unwritten or hour == self._recorder.hour):
                continue
            if name not in merged:
                remarks.append(f"late: {name}")
                summaries.append(msgpack.unpackb(content))
            elif merged[name] != xxhash.xxh64_hexdigest(content):
                remarks.append(f"late, its newest counts left out: {name}")
        return summaries, remarks

    async def _missing(self, hour: int) -> list[str]:
        """Return remarks that name live peers without a summary of the current hour."""
        if self._wall() % HOUR < 2 * MINUTE:
            return []
        names = await self._host.objects.list(f"{PREFIX}{hour:08d}/")
        if isinstance(names, objects.Unavailable):
            return ["missing: all of this hour but this host's, no object store"]
        written = {name.rpartition("/")[2] for name in names}
        live = [peer for peer in self._host.peers.known() if peer.alive]
        return [f"missing: {p.host}" for p in live if p.incarnation not in written]

    async def _read_merged(self, hour: int, row: table.Row) -> dict | None:
        if hour not in self._merged_summaries:
            found = await self._host.objects.get(row.value["name"])
            if not isinstance(found, objects.Found):
                return None
            self._merged_summaries[hour] = msgpack.unpackb(found.content)
        return self._merged_summaries[hour]
