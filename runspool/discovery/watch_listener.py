"""What every watch on the list does with its news and its breaks, whatever the protocol."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from runspool.discovery.endpoint_tracker import EndpointTracker
from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage


class WatchListener:
    """Feeds `changed` with entries as they become known; the watch calls `lost`, once for each break."""

    def __init__(
        self,
        following: EndpointTracker,
        now: Callable[[], int],
        changed: Callable[[list[EndpointEntry]], None],
        lost: Callable[[], None],
    ) -> None:
        self.following = following
        self.now = now
        self.changed = changed
        self.lost = lost
        self.log = structlog.get_logger()
        self.losses = 0  # one after the other, with no news between

    def receive(self, news: EndpointListMessage) -> None:
        self.losses = 0
        changed = self.following.apply(self.now(), news)
        if changed:
            self.log.info(
                "endpoint_list_changed",
                version=news.version,
                whole=news.whole,
                engines={entry.engine: entry.state for entry in changed[:20]},
                count=len(changed),
            )
            self.changed(changed)

    def connection_lost(self, fault: Exception) -> None:
        self.losses += 1
        if self.losses.bit_count() == 1:  # the 1st, 2nd, 4th, 8th: a long loss must not fill the log
            self.log.warning(
                "endpoint_list_lost",
                reason=str(fault) or type(fault).__name__,
                losses=self.losses,
                version=self.following.version,
            )
