"""The endpoint list as known so far, kept from messages that may be late, repeated, out of order, or missing.

Free of I/O. Every entry carries an engine's complete state, so entries are judged one by one: the highest
version that named an engine holds. A message ahead of a gap is therefore applied at once, since a drain
counts from when it was announced; what the gap hides is missed only until the whole list has been requested.
A list service that lost its version numbers announces another epoch; from then on only a whole list is
accepted, and it restarts the count.

Times are in tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage

GAP_TIMEOUT = 2_000  # tenths of a millisecond that missing versions may still arrive by themselves
MAX_VERSIONS_AHEAD = 256  # versions applied beyond a gap; with more of them the whole list is cheaper
MAX_ENGINES = 20_000  # entries kept; an engine beyond that is ignored
MAX_GONE_ENGINES = 1_000  # removed engines still remembered, so that a late message does not bring them back
NO_VERSION = -1  # below every version


@dataclass(frozen=True, slots=True)
class ListRevision:
    """The state of the list that a decision was taken on.

    Attributes:
        version: every message up to this version had been applied; -1 before the first.
        confirmed_at: when the service was last heard, tenths of a millisecond; None before the first message.
    """

    version: int
    confirmed_at: int | None


@dataclass(slots=True)
class EndpointTracker:
    """The endpoint list as known so far.

    Attributes:
        epoch: the epoch that `version` belongs to.
        version: every message up to this version has been applied; -1 before the first.
        entries: by engine name, the active and draining engines and some removed ones.
        last_versions: by engine name, the version that last named it.
        versions_ahead: versions applied beyond the first missing one.
        gap_since: when the oldest open gap was noticed, None while no version is missing.
        confirmed_at: when a message, changes or none, was last applied; None before the first.
    """

    epoch: str = ""
    version: int = NO_VERSION
    entries: dict[str, EndpointEntry] = field(default_factory=dict)
    last_versions: dict[str, int] = field(default_factory=dict)
    versions_ahead: set[int] = field(default_factory=set)
    gap_since: int | None = None
    confirmed_at: int | None = None

    def revision(self) -> ListRevision:
        """Returns what a decision taken now rests on."""
        return ListRevision(self.version, self.confirmed_at)

    def apply(self, now: int, message: EndpointListMessage) -> list[EndpointEntry]:
        """Applies a message.

        Args:
            now: the current time, tenths of a millisecond.
            message: the message; repeats and older ones change nothing.

        Returns:
            The entries that changed, in the message's order; engines that a whole list leaves out follow,
            with state "gone".
        """
        self.confirmed_at = now
        if message.epoch != self.epoch:
            if not message.is_snapshot:
                self._mark_gap(now)
                return []
            self._start_epoch(message.epoch)
        if message.is_heartbeat:
            if message.version > self.version:
                self._mark_gap(now)
            return []
        if message.is_snapshot:
            return self._apply_snapshot(message)
        if message.version <= self.version or message.version in self.versions_ahead:
            return []
        changed = [entry for entry in message.engines if self._apply_entry(entry, message.version)]
        self._advance(now, message)
        self._forget_gone()
        return changed

    def restore(self, entries: list[EndpointEntry]) -> list[EndpointEntry]:
        """Applies a list stored by an earlier process, as older than anything the service sends.

        Returns:
            The entries that changed.
        """
        return [entry for entry in entries if self._apply_entry(entry, NO_VERSION)]

    def needs_snapshot(self, now: int) -> bool:
        """Returns whether a gap has been open for too long, or hides too much, to wait any longer."""
        timed_out = self.gap_since is not None and now - self.gap_since >= GAP_TIMEOUT
        return timed_out or len(self.versions_ahead) > MAX_VERSIONS_AHEAD

    def active_entries(self) -> list[EndpointEntry]:
        """Returns the entries of all engines that are active or draining."""
        return [entry for entry in self.entries.values() if entry.state != "gone"]

    def _start_epoch(self, epoch: str) -> None:
        self.epoch, self.version, self.versions_ahead = epoch, NO_VERSION, set()
        self.last_versions = dict.fromkeys(self.last_versions, NO_VERSION)

    def _apply_snapshot(self, message: EndpointListMessage) -> list[EndpointEntry]:
        if message.version < self.version:
            return []  # a repeat of an older list
        named = {entry.engine for entry in message.engines}
        changed = [entry for entry in message.engines if self._apply_entry(entry, message.version)]
        for entry in self.active_entries():
            if entry.engine not in named and self.last_versions[entry.engine] <= message.version:
                gone = msgspec.structs.replace(entry, state="gone")
                self._apply_entry(gone, message.version)
                changed.append(gone)
        self.version = message.version
        self._drop_versions_ahead(message.version)
        self.gap_since = None
        self._forget_gone()
        return changed

    def _apply_entry(self, entry: EndpointEntry, version: int) -> bool:
        """Takes an entry unless a newer version named its engine; returns whether it changed anything."""
        if version < self.last_versions.get(entry.engine, NO_VERSION):
            return False
        if entry.engine not in self.entries and len(self.entries) >= MAX_ENGINES:
            return False
        before = self.entries.get(entry.engine)
        self.entries[entry.engine] = entry
        self.last_versions[entry.engine] = version
        return before != entry

    def _advance(self, now: int, message: EndpointListMessage) -> None:
        """Counts a message's version as applied, and with it those before it if none can be missing."""
        if message.since is not None and message.since <= self.version:
            self.version = message.version - 1
            self._drop_versions_ahead(message.version)
        self.versions_ahead.add(message.version)
        while self.version + 1 in self.versions_ahead:
            self.version += 1
            self.versions_ahead.discard(self.version)
        if self.versions_ahead:
            self._mark_gap(now)
        else:
            self.gap_since = None

    def _drop_versions_ahead(self, version: int) -> None:
        self.versions_ahead = {ahead for ahead in self.versions_ahead if ahead > version}

    def _mark_gap(self, now: int) -> None:
        if self.gap_since is None:
            self.gap_since = now

    def _forget_gone(self) -> None:
        """Forgets the removed engines named longest ago, beyond `MAX_GONE_ENGINES`."""
        gone = [name for name, entry in self.entries.items() if entry.state == "gone"]
        oldest_first = sorted(gone, key=lambda name: self.last_versions[name])
        for name in oldest_first[: max(0, len(gone) - MAX_GONE_ENGINES)]:
            del self.entries[name], self.last_versions[name]
