"""The ids of requests, from when a node accepts one until it can have no further effect. It does no I/O.

An id that comes again, after its client has left or has got an answer, must not be executed a second time. An
id is therefore known while its request is open, and afterwards for as long as an attempt of it may have an
effect; `RequestLifecycle.effect_known_until` decides how long that is.
"""

from __future__ import annotations

# Maximum number of ids that are remembered after their requests. Beyond it, the oldest is forgotten: its
# attempts have had the most time to end.
MAX_REMEMBERED_IDS = 8_192


class RequestIds:
    """The ids that a new request may not have.

    Times are in tenths of a millisecond on the node's clock.

    Attributes:
        open: The ids of the requests that are open.
    """

    def __init__(self) -> None:
        self.open: set[str] = set()
        # The time until which an id is known, by the hash of the id, in the order in which requests ended.
        self._known_until: dict[int, int] = {}

    def is_known(self, request_id: str, now: int) -> bool:
        """Return whether a request with this id is open, or may still have an effect."""
        return request_id in self.open or self._known_until.get(hash(request_id), 0) > now

    def opened(self, request_id: str) -> None:
        """Record that a request has been accepted."""
        self.open.add(request_id)

    def closed(self, request_id: str, now: int, known_until: int | None) -> None:
        """Record the end of a request.

        Args:
            request_id: The id of the request.
            now: The current time.
            known_until: The time until which the id must not be used again; None if it may be.
        """
        self.open.discard(request_id)
        self._forget_expired(now)
        if known_until is not None:
            self._known_until.pop(hash(request_id), None)
            self._known_until[hash(request_id)] = known_until

    @property
    def remembered_count(self) -> int:
        """The number of ids that are known after the end of their requests."""
        return len(self._known_until)

    def _forget_expired(self, now: int) -> None:
        """Forget the ids at the beginning that have expired, and the oldest one if there are too many."""
        while self._known_until:
            oldest = next(iter(self._known_until))
            if len(self._known_until) < MAX_REMEMBERED_IDS and self._known_until[oldest] > now:
                return
            del self._known_until[oldest]
