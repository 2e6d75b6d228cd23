"""The engines that a front knows from its endpoint list, and how each of them is reached."""

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
from runspool.service.wall_clock import WallClock
from runspool.wire.endpoint_list import EndpointEntry, parse_address

UNKNOWN_ZONE = -2  # the list names a zone that is not configured


@dataclass(frozen=True, slots=True)
class EngineReplacement:
    """An entry that says another process, role or address now stands behind an engine's name."""

    before: Endpoint
    after: Endpoint

    @property
    def reasons(self) -> list[str]:
        """What has changed, as logs name it."""
        changes = {
            "started_anew": self.before.started_unix_ms != self.after.started_unix_ms,
            "role": self.before.role is not self.after.role,
            "address": self.before.address != self.after.address,
        }
        return [name for name, has_changed in changes.items() if has_changed]


class EndpointRegistry:
    """Turns entries of the endpoint list into the scheduler's records and the endpoints of attempts.

    `endpoints` is keyed by engine index, `engine_records` by engine name; both are changed in place only.
    `engine_records` is ordered by the last change of each engine, the oldest first.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        engine_types: dict[str, int],
        zones: dict[str, int],
        wall_clock: WallClock,
    ) -> None:
        """`engine_types` and `zones` map configured names to their indices."""
        self.settings = settings
        self.engine_types = engine_types
        self.zones = zones
        self.wall_clock = wall_clock
        self.engine_interner = Interner()
        self.endpoints: dict[int, Endpoint] = {}
        self.engine_records: dict[str, EngineRecord] = {}
        self.log = structlog.get_logger()

    def apply(self, changed: Iterable[EndpointEntry]) -> list[EngineReplacement]:
        """Takes in the entries that have changed, and forgets the engines that were removed long ago.

        Returns the engines that were replaced by it.
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
        """Whether the engine is no longer READY in the list, or its name now stands for another one.

        That is so too where it has another address or role. An attempt asks this once it is connected:
        connecting may take longer than a drain's grace period.
        """
        record = self.engine_records.get(endpoint.name)
        if record is None or record.engine != endpoint.index or record.state != EngineState.READY:
            return True
        listed = self.endpoints[record.engine]
        return listed.address != endpoint.address or listed.role is not endpoint.role

    def to_record(self, entry: EndpointEntry) -> EngineRecord | None:
        """The scheduler's record of an entry, whose endpoint is updated too.

        Where the entry's type or address is unusable, the record known before, as REMOVED; None where there
        was none.
        """
        engine_type, address = self.engine_types.get(entry.engine_type), parse_address(entry.address)
        known = self.engine_records.get(entry.engine)
        if engine_type is None or address is None:
            self.log.warning(
                "engine_unusable", engine=entry.engine, kind=entry.engine_type, address=entry.address
            )
            # The engine known before may be draining or another by now, so it must not be used any more.
            return known and replace(known, state=EngineState.REMOVED)
        index = self.engine_interner.intern(entry.engine)
        if known is not None and self.endpoints[index].started_unix_ms == entry.started_unix_ms:
            started_at = known.started_at  # the wall clock may have been set since: still the same start
        else:
            started_at = self.wall_clock.started(entry.started_unix_ms, now())
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
        """Bounds what is kept over weeks in which engines come and go.

        An attempt that is still out, or a state that still waits, has its endpoint at hand.
        """
        removed = [
            name for name, record in self.engine_records.items() if record.state == EngineState.REMOVED
        ]
        for name in removed[: max(0, len(removed) - MAX_GONE_ENGINES)]:
            del self.endpoints[self.engine_records.pop(name).engine]
            self.engine_interner.forget(name)
