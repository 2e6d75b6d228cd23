"""What every watch on the endpoint list does with its messages and interruptions, whatever the protocol."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from runspool.discovery.endpoint_tracker import EndpointTracker
from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage

MAX_LOGGED_ENGINES = 20  # named in one log line; its count covers all


class WatchListener:
    """Applies messages to a tracker, passes on what changed, and logs changes and interruptions.

    Attributes:
        tracker: the list as known so far.
        on_changed: called with the entries that a message changed, if any.
        on_lost: for the watch to call, once for each interruption.
        consecutive_losses: interruptions since the last message.
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
        """Applies a message; `on_changed` is called before this returns."""
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

    def connection_lost(self, fault: Exception) -> None:
        """Counts an interruption; logs the 1st, 2nd, 4th, 8th and so on, so that the log cannot fill up."""
        self.consecutive_losses += 1
        if self.consecutive_losses.bit_count() == 1:
            self.log.warning(
                "endpoint_list_lost",
                reason=str(fault) or type(fault).__name__,
                losses=self.consecutive_losses,
                version=self.tracker.version,
            )
