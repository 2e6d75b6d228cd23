"""The engines that a front knows from its endpoint list, with their addresses and scheduler records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

import structlog

from runspool.discovery.endpoint_tracker import MAX_GONE_ENGINES
from runspool.runtime.interning import Interner, stable_hash
from runspool.scheduling.settings import RoutingSettings
from runspool.scheduling.types import EngineRecord, EngineState
from runspool.service.clock import now
from runspool.service.pending_request import Endpoint
from runspool.service.start_time_converter import StartTimeConverter
from runspool.wire.endpoint_list import EndpointEntry, parse_address

UNKNOWN_ZONE = -2  # zone index of an engine whose zone in the endpoint list is not configured


@dataclass(frozen=True, slots=True)
class EngineReplacement:
    """An engine name that now refers to another process, role or address than before."""

    before: Endpoint
    after: Endpoint

    @property
    def reasons(self) -> list[str]:
        """The names, for logs, of what has changed; empty if the engine is still the same."""
        changes = {
            "started_anew": self.before.started_unix_ms != self.after.started_unix_ms,
            "role": self.before.role is not self.after.role,
            "address": self.before.address != self.after.address,
        }
        return [name for name, has_changed in changes.items() if has_changed]


class EndpointRegistry:
    """Converts endpoint list entries into engine records for the scheduler and endpoints for attempts.

    `endpoints` is keyed by engine index, `engine_records` by engine name. Other objects hold references to
    both, so they are only ever modified in place. `engine_records` is ordered by the time of each engine's
    last change, oldest first.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        engine_types: dict[str, int],
        zones: dict[str, int],
        start_times: StartTimeConverter,
    ) -> None:
        """Initialize an empty registry; `engine_types` and `zones` map configured names to their indices."""
        self.settings = settings
        self.engine_types = engine_types
        self.zones = zones
        self.start_times = start_times
        self.engine_interner = Interner()
        self.endpoints: dict[int, Endpoint] = {}
        self.engine_records: dict[str, EngineRecord] = {}
        self.log = structlog.get_logger()

    def apply(self, changed: Iterable[EndpointEntry]) -> list[EngineReplacement]:
        """Apply changed entries of the endpoint list and delete the oldest removed engines.

        Return the engines whose process, role or address has changed.
        """
        replacements = []
        for entry in changed:
            known = self.engine_records.get(entry.engine)
            before = None if known is None else self.endpoints[known.engine]
            record = self.to_record(entry)
            if record is None:
                continue
            self.engine_records.pop(entry.engine, None)
            self.engine_records[entry.engine] = record
            if before is not None:
                replacements.append(EngineReplacement(before, self.endpoints[record.engine]))
        self._forget_removed()
        return [replacement for replacement in replacements if replacement.reasons]

    def is_withdrawn(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint may no longer be used for new requests.

        This is the case if the engine is not READY in the endpoint list, or if its name now refers to another
        address or role. An attempt checks this after it has connected, because connecting may take longer
        than the grace period of a drain.
        """
        record = self.engine_records.get(endpoint.name)
        if record is None or record.engine != endpoint.index or record.state != EngineState.READY:
            return True
        listed = self.endpoints[record.engine]
        return listed.address != endpoint.address or listed.role is not endpoint.role

    def to_record(self, entry: EndpointEntry) -> EngineRecord | None:
        """Return the scheduler's record for an entry, and update the engine's endpoint.

        If the entry's engine type is not configured or its address is invalid, a warning is logged. The
        engine's previous record is then returned with the state REMOVED, or None if there is no previous one.
        """
        engine_type, address = self.engine_types.get(entry.engine_type), parse_address(entry.address)
        known = self.engine_records.get(entry.engine)
        if engine_type is None or address is None:
            self.log.warning(
                "engine_unusable", engine=entry.engine, kind=entry.engine_type, address=entry.address
            )
            # The previous engine may be draining or may have been replaced, so it must not be used any more.
            return known and replace(known, state=EngineState.REMOVED)
        index = self.engine_interner.intern(entry.engine)
        if known is not None and self.endpoints[index].started_unix_ms == entry.started_unix_ms:
            # The same start is not converted again: the wall clock may have been set in the meantime.
            started_at = known.started_at
        else:
            started_at = self.start_times.to_monotonic(entry.started_unix_ms, now())
        zone = self.zones.get(entry.zone, UNKNOWN_ZONE)
        role = self.settings.engine_types[engine_type].role
        self.endpoints[index] = Endpoint(
            index, entry.engine, address, role, entry.started_unix_ms, zone, entry.rack
        )
        state = EngineState(entry.state)
        return EngineRecord(
            index, engine_type, zone, entry.rack, started_at, state, stable_hash(entry.engine)
        )

    def _forget_removed(self) -> None:
        """Delete the oldest removed engines beyond MAX_GONE_ENGINES.

        This bounds the memory used over weeks in which engines are added and removed. Attempts in progress
        and prefill states hold their own references to the endpoints that they use.
        """
        removed = [
            name for name, record in self.engine_records.items() if record.state == EngineState.REMOVED
        ]
        for name in removed[: max(0, len(removed) - MAX_GONE_ENGINES)]:
            del self.endpoints[self.engine_records.pop(name).engine]
            self.engine_interner.forget(name)
