"""Tracks the endpoint list by messages that may be late, repeated, out of order or missing. It does no I/O.

An entry holds the complete state of an engine, so for each engine the entry with the highest version applies.
A message that arrives after a gap in the versions is therefore applied immediately, because a drain takes
effect when it is announced. The changes in the gap are missing until their messages or the whole list
arrive. A list service that has lost its version numbers begins a new epoch. The tracker applies no entries of
the new epoch until a whole list arrives, which begins a new sequence of versions.

Times are in tenths of a millisecond.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage

# Time, in tenths of a millisecond, for missing versions to arrive late before the whole list is requested.
GAP_TIMEOUT = 2_000
# Maximum number of versions applied beyond the first missing one. Above it, requesting the whole list is the
# cheaper way to close the gap.
MAX_VERSIONS_AHEAD = 256
MAX_ENGINES = 20_000  # maximum number of entries; further engines are ignored
# Number of removed engines whose versions are kept, so that a late message does not add such an engine again.
MAX_GONE_ENGINES = 1_000
NO_VERSION = -1  # lower than every version


@dataclass(frozen=True, slots=True)
class ListRevision:
    """Identifies the state of the list at the time of a decision.

    Attributes:
        version: Version up to which all messages had been applied; -1 if the epoch's whole list was missing.
        last_message_at: Time of the last message of any kind from the list service; None before the first.
    """

    version: int
    last_message_at: int | None


@dataclass(slots=True)
class EndpointTracker:
    """The known state of the endpoint list.

    Attributes:
        epoch: Epoch of `version`.
        version: Version up to which all messages have been applied; -1 until the epoch's first whole list.
        entries: Entries by engine name: active and draining engines, and recently removed ones.
        engine_versions: Highest version of the epoch that held an entry of the engine, by engine name; -1 if
            there was none yet.
        versions_ahead: Versions applied after the first missing version.
        gap_since: Time at which missing versions were first detected. It becomes None with each whole list,
            and with each other message after which no applied version is ahead of a missing one.
        last_message_at: Time of the last message of any kind, even one without effect; None before the first.
    """

    epoch: str = ""
    version: int = NO_VERSION
    entries: dict[str, EndpointEntry] = field(default_factory=dict)
    engine_versions: dict[str, int] = field(default_factory=dict)
    versions_ahead: set[int] = field(default_factory=set)
    gap_since: int | None = None
    last_message_at: int | None = None

    def revision(self) -> ListRevision:
        """Return the revision that a decision made now is based on."""
        return ListRevision(self.version, self.last_message_at)

    def apply(self, now: int, message: EndpointListMessage) -> list[EndpointEntry]:
        """Apply a message.

        Args:
            now: Current time.
            message: The message. Repeated and outdated messages of the same epoch have no effect on the
                entries. A whole list of another epoch always begins that epoch.

        Returns:
            The changed entries in the order of the message, followed by an entry with the state "gone" for
            each engine that a whole list no longer contains.
        """
        self.last_message_at = now
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
        """Apply a list that an earlier process stored. Any message of the service takes precedence over it.

        Returns:
            The changed entries.
        """
        return [entry for entry in entries if self._apply_entry(entry, NO_VERSION)]

    def needs_snapshot(self, now: int) -> bool:
        """Return whether to request the whole list.

        This is the case if a gap is older than GAP_TIMEOUT, or if more than MAX_VERSIONS_AHEAD versions after
        a gap have been applied.
        """
        timed_out = self.gap_since is not None and now - self.gap_since >= GAP_TIMEOUT
        return timed_out or len(self.versions_ahead) > MAX_VERSIONS_AHEAD

    def listed_entries(self) -> list[EndpointEntry]:
        """Return the entries of all active and draining engines."""
        return [entry for entry in self.entries.values() if entry.state != "gone"]

    def _start_epoch(self, epoch: str) -> None:
        self.epoch, self.version, self.versions_ahead = epoch, NO_VERSION, set()
        self.engine_versions = dict.fromkeys(self.engine_versions, NO_VERSION)

    def _apply_snapshot(self, message: EndpointListMessage) -> list[EndpointEntry]:
        if message.version < self.version:
            return []  # an outdated list that arrived late
        listed = {entry.engine for entry in message.engines}
        changed = [entry for entry in message.engines if self._apply_entry(entry, message.version)]
        for entry in self.listed_entries():
            if entry.engine not in listed and self.engine_versions[entry.engine] <= message.version:
                gone = msgspec.structs.replace(entry, state="gone")
                self._apply_entry(gone, message.version)
                changed.append(gone)
        self.version = message.version
        self._drop_versions_ahead(message.version)
        self.gap_since = None
        self._forget_gone()
        return changed

    def _apply_entry(self, entry: EndpointEntry, version: int) -> bool:
        """Store an entry unless a newer one is known for its engine; return whether it was a change."""
        if version < self.engine_versions.get(entry.engine, NO_VERSION):
            return False
        if entry.engine not in self.entries and len(self.entries) >= MAX_ENGINES:
            return False
        previous = self.entries.get(entry.engine)
        self.entries[entry.engine] = entry
        self.engine_versions[entry.engine] = version
        return previous != entry

    def _advance(self, now: int, message: EndpointListMessage) -> None:
        """Record the versions that a message covers as applied.

        A message covers its own version, and all versions after `since` if that is stated.
        """
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
        """Remove the oldest entries of removed engines beyond `MAX_GONE_ENGINES`."""
        gone = [name for name, entry in self.entries.items() if entry.state == "gone"]
        oldest_first = sorted(gone, key=lambda name: self.engine_versions[name])
        for name in oldest_first[: max(0, len(gone) - MAX_GONE_ENGINES)]:
            del self.entries[name], self.engine_versions[name]
