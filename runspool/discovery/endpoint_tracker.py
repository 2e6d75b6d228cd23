"""What a front makes of the list's news: late, repeated, out of order, with gaps. Free of I/O.

Every entry carries an engine's whole state, so entries are judged one by one: the highest version that named
an engine holds. News out of order is thus taken at once, since a drain counts from when it was told, and what
a gap hides is only missed until the whole list has been asked for. A list service that lost its numbers says
so by another epoch; then only a whole list is believed, and it starts the count anew.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage

GAP_PATIENCE = 2_000  # tenths of a millisecond that missing versions may still come by themselves
MOST_EARLY = 256  # versions held beyond a gap; with more the whole list is cheaper
MOST_ENGINES = 20_000
GONE_KEPT = 1_000  # engines that left, still remembered so that old news does not bring them back


@dataclass(slots=True)
class EndpointTracker:
    """The list as known so far."""

    epoch: str = ""
    version: int = -1  # all news up to this one has been heard
    entries: dict[str, EndpointEntry] = field(default_factory=dict)  # those on or draining, and some gone
    last_versions: dict[str, int] = field(default_factory=dict)  # engine: version that last named it
    early: set[int] = field(default_factory=set)
    gap_since: int | None = None

    def apply(self, now: int, news: EndpointListMessage) -> list[EndpointEntry]:
        """The entries that changed by this news, gone ones as "gone"; `now` in tenths of a millisecond."""
        if news.epoch != self.epoch:
            if not news.whole:
                self._gap(now)
                return []
            self.epoch, self.version, self.early = news.epoch, -1, set()
            self.last_versions = dict.fromkeys(self.last_versions, -1)
        if news.beat:
            if news.version > self.version:
                self._gap(now)
            return []
        if news.whole:
            return self._whole(news)
        if news.version <= self.version or news.version in self.early:
            return []
        changed = [entry for entry in news.engines if self._take(entry, news.version)]
        if news.since is not None and news.since <= self.version:
            self.version = news.version - 1  # nothing can be missing in between
            self.early = {version for version in self.early if version > news.version}
        self.early.add(news.version)
        while self.version + 1 in self.early:
            self.version += 1
            self.early.discard(self.version)
        if self.early:
            self._gap(now)
        else:
            self.gap_since = None
        self._forget()
        return changed

    def restore(self, entries: list[EndpointEntry]) -> list[EndpointEntry]:
        """Takes a list kept by an earlier life: anything the service says is newer."""
        return [entry for entry in entries if self._take(entry, -1)]

    def needs_snapshot(self, now: int) -> bool:
        """True once a gap is not worth waiting for."""
        waited = self.gap_since is not None and now - self.gap_since >= GAP_PATIENCE
        return waited or len(self.early) > MOST_EARLY

    def listed(self) -> list[EndpointEntry]:
        """All that are on or draining."""
        return [entry for entry in self.entries.values() if entry.state != "gone"]

    def _whole(self, news: EndpointListMessage) -> list[EndpointEntry]:
        if news.version < self.version:
            return []  # older than what is known: a repeat of an old list
        named = {entry.engine for entry in news.engines}
        changed = [entry for entry in news.engines if self._take(entry, news.version)]
        for entry in self.listed():
            if entry.engine not in named and self.last_versions[entry.engine] <= news.version:
                gone = EndpointEntry(
                    entry.engine,
                    entry.address,
                    entry.kind,
                    entry.zone,
                    entry.rack,
                    "gone",
                    entry.started_unix_ms,
                )
                self._take(gone, news.version)
                changed.append(gone)
        self.version = news.version
        self.early = {version for version in self.early if version > news.version}
        self.gap_since = None
        self._forget()
        return changed

    def _take(self, entry: EndpointEntry, version: int) -> bool:
        if version < self.last_versions.get(entry.engine, -1):
            return False
        if entry.engine not in self.entries and len(self.entries) >= MOST_ENGINES:
            return False
        before = self.entries.get(entry.engine)
        self.entries[entry.engine] = entry
        self.last_versions[entry.engine] = version
        return before != entry

    def _gap(self, now: int) -> None:
        if self.gap_since is None:
            self.gap_since = now

    def _forget(self) -> None:
        gone = [name for name, entry in self.entries.items() if entry.state == "gone"]
        for name in sorted(gone, key=lambda name: self.last_versions[name])[: max(0, len(gone) - GONE_KEPT)]:
            del self.entries[name], self.last_versions[name]
