"""Selection of streams that this front interrupts so that their clients resume them.

A client resumes its stream on another engine if its engine is overloaded, and through another front if this
front shuts down.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from runspool.scheduling.actions import Action, MigrateStream, Sleep
from runspool.scheduling.fleet_statistics import PACKING_THRESHOLD, load
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.time_units import MILLISECOND, SECOND
from runspool.scheduling.types import Role

# Load of an engine, as a fraction of its capacity, above which one of its streams is interrupted.
OVERLOAD_THRESHOLD = 1.2
# Time before the shutdown deadline over which streams are interrupted.
SHUTDOWN_MIGRATION_PERIOD = SECOND
# Shortest time between two interruptions before a shutdown.
MIN_MIGRATION_PAUSE = 25 * MILLISECOND


def stream_to_migrate(front: FrontState) -> int | None:
    """Return the request index of the smallest stream on the most overloaded engine.

    None if no engine is overloaded, or if no engine of the same role has capacity to spare.
    """
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
    """Interrupt this front's streams before the process may be killed at `deadline`.

    The streams are interrupted as late as possible, because their clients resume them through other fronts,
    which may be restarting as well. The newest stream goes first, and the interruptions are spread over
    `SHUTDOWN_MIGRATION_PERIOD`.
    """
    yield Sleep(max(front.now, deadline - SHUTDOWN_MIGRATION_PERIOD))
    while front.settings.streams_can_resume:
        # Streams are taken from the open attempts because an engine's own entries are dropped with its record
        # when it restarts. Streams on draining engines are included, since nothing else would end them in
        # time.
        started = [index for index, attempt in front.open_attempts.items() if attempt.is_streaming]
        is_late = front.now >= deadline
        newest = [max(started)] if started else []
        for index in started if is_late else newest:
            yield MigrateStream(index)
        pause = max(MIN_MIGRATION_PAUSE, (deadline - front.now) // (len(started) + 1))
        yield Sleep(front.now + MIN_MIGRATION_PAUSE if is_late else min(deadline, front.now + pause))
