"""The limits on what a peer can make this process store, compute or wait for, and their monitor.

A peer is a client, an engine or a discovery service. Each limit has a name, under which the monitor counts
and logs every time that a peer has reached it.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

import structlog

from runspool.limits.process_memory import resident_mb


class PeerLimit(Enum):
    """A limit on a peer; the value is its name in logs and counters."""

    # Bytes of a request's head, and of blank lines before it.
    REQUEST_HEAD_BYTES = "request_head_bytes"
    # Fields in a request's head, or in its trailer section.
    REQUEST_FIELDS = "request_fields"
    # Bytes of a request's body.
    REQUEST_BODY_BYTES = "request_body_bytes"
    # Bytes of a request between parts of its body: chunk sizes, chunk extensions and the trailer section.
    REQUEST_FRAMING_BYTES = "request_framing_bytes"
    # Time until the head or the body of a request is complete.
    REQUEST_HEAD_TIME = "request_head_time"
    REQUEST_BODY_TIME = "request_body_time"
    # Memory that all connections together hold.
    MEMORY = "memory"
    # Number of client connections.
    CLIENTS = "clients"
    # Time for which clients' input may be worked on in one iteration of the event loop; the rest waits.
    WORK_TIME = "work_time"
    # Bytes of a response's head, interim responses included.
    RESPONSE_HEAD_BYTES = "response_head_bytes"
    # Bytes of a response between parts of its body.
    RESPONSE_FRAMING_BYTES = "response_framing_bytes"
    # Size that a response states for its body or for a chunk of it.
    RESPONSE_STATED_BYTES = "response_stated_bytes"
    # Time without an event, or without a part of the text, of a stream that has started.
    STREAM_IDLE_TIME = "stream_idle_time"
    # Bytes of one event of a stream.
    EVENT_BYTES = "event_bytes"
    # Bytes of the body of a response that is not a stream.
    RESPONSE_BODY_BYTES = "response_body_bytes"


class PeerLimitMonitor:
    """Counts how often peers have reached each limit, and logs it without flooding the log.

    Attributes:
        counts: The counters, which the owner may share; their names begin with "limit_".
    """

    def __init__(self, counts: Counter[str] | None = None) -> None:
        self.counts: Counter[str] = Counter() if counts is None else counts
        self.log = structlog.get_logger()

    def reached(self, limit: PeerLimit, **details: object) -> None:
        """Count that a peer has reached a limit; log the 1st, 2nd, 4th, 8th, ... time.

        The log line also holds the resident memory of the process, because a limit that is reached often
        bounds only what it counts.
        """
        name = f"limit_{limit.value}"
        self.counts[name] += 1
        times = self.counts[name]
        if times.bit_count() == 1:
            self.log.warning(
                "peer_limit_reached", limit=limit.value, times=times, resident_mb=resident_mb(), **details
            )
