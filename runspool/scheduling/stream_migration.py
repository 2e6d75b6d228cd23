"""Which streams are stopped here to go on elsewhere: from an overloaded engine, or before a shutdown."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from runspool.scheduling.actions import Action, MigrateStream, Sleep
from runspool.scheduling.fleet_statistics import PACKING_THRESHOLD, load
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.time_units import MILLISECOND, SECOND
from runspool.scheduling.types import Role

OVERLOAD_THRESHOLD = 1.2  # fraction of an engine's capacity above which a stream is stopped
SHUTDOWN_SPREAD = SECOND  # over which the streams are moved before a shutdown
SHORTEST_PAUSE = 25 * MILLISECOND  # between two of them


def stream_to_migrate(front: FrontState) -> int | None:
    """The request index of the smallest stream on the most overloaded engine, where a peer has room."""
    engines = [e for e in front.active_engines.values() if e.ready and e.role is not Role.PREFILL]
    overloaded = [e for e in engines if e.streams and load(front, e) > OVERLOAD_THRESHOLD]
    worst = max(overloaded, key=lambda e: load(front, e), default=None)
    if worst is None:
        return None
    if not any(load(front, e) < PACKING_THRESHOLD for e in front.ready_engines(worst.role)):
        return None
    started = (index for index in worst.streams if index not in worst.waiting_decodes)
    return min(started, key=worst.streams.__getitem__, default=None)


def migrate_before_shutdown(front: FrontState, deadline: int) -> Generator[Action, Any, None]:
    """Move this front's streams before it is killed after `deadline`, or they would break.

    As late as can be, for others may be restarting too; the newest first and spread over a second.
    """
    yield Sleep(max(front.now, deadline - SHUTDOWN_SPREAD))
    while front.settings.streams_can_resume:
        # From the requests: an engine's own list goes with its record once the engine is started anew. Those
        # at draining engines too: nothing else would end them in time.
        started = [index for index, attempt in front.open_attempts.items() if attempt.is_streaming]
        is_late = front.now >= deadline
        newest = [max(started)] if started else []
        for index in started if is_late else newest:
            yield MigrateStream(index)
        pause = max(SHORTEST_PAUSE, (deadline - front.now) // (len(started) + 1))
        yield Sleep(front.now + SHORTEST_PAUSE if is_late else min(deadline, front.now + pause))
