"""Protocol-independent handling of the messages and interruptions of a watch on the endpoint list."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from runspool.discovery.endpoint_tracker import EndpointTracker
from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage

MAX_LOGGED_ENGINES = 20  # maximum number of engines listed in one log line


class WatchListener:
    """Applies messages to a tracker, reports changed entries, and logs changes and interruptions.

    Attributes:
        tracker: Known state of the list.
        now: Returns the current time in tenths of a millisecond.
        on_changed: Called with the changed entries of a message, if there are any.
        on_lost: Called by the watch once for each interruption.
        consecutive_losses: Number of interruptions since the last message.
    """

    def __init__(
        self,
        tracker: EndpointTracker,
        now: Callable[[], int],
        on_changed: Callable[[list[EndpointEntry]], None],
        on_lost: Callable[[], None],
    ) -> None:
        self.tracker = tracker
        self.now = now
        self.on_changed = on_changed
        self.on_lost = on_lost
        self.log = structlog.get_logger()
        self.consecutive_losses = 0

    def receive(self, message: EndpointListMessage) -> None:
        """Apply a message, and call `on_changed` if it changed any entry."""
        self.consecutive_losses = 0
        changed = self.tracker.apply(self.now(), message)
        if changed:
            self.log.info(
                "endpoint_list_changed",
                version=message.version,
                whole=message.is_snapshot,
                engines={entry.engine: entry.state for entry in changed[:MAX_LOGGED_ENGINES]},
                count=len(changed),
            )
            self.on_changed(changed)

    def connection_lost(self, error: Exception) -> None:
        """Count an interruption; log only the 1st, 2nd, 4th, 8th and so on, to limit the log's size."""
        self.consecutive_losses += 1
        if self.consecutive_losses.bit_count() == 1:
            self.log.warning(
                "endpoint_list_lost",
                reason=str(error) or type(error).__name__,
                losses=self.consecutive_losses,
                version=self.tracker.version,
            )
