"""Records what a front's scheduler driver was told and what it asked for, so that both can be replayed.

`runspool.service.recording_format` has the stored form, `runspool.lab.replay` reads it.
"""

from __future__ import annotations

from pathlib import Path
from typing import BinaryIO

import msgspec
import structlog

from runspool.service.recording_format import Event, RecordedAction, to_stored

MAX_BYTES = 1 << 30  # of one recording
BUFFER_BYTES = 1 << 16  # written at once


class EventRecorder:
    """Appends to a file; past its limit it stops, and logs that once. Without a path it records nothing."""

    def __init__(self, path: Path | None, max_bytes: int = MAX_BYTES) -> None:
        self._file: BinaryIO | None = path.open("ab", buffering=BUFFER_BYTES) if path else None
        self._bytes_left = max_bytes

    def record(self, now: int, entry: Event | RecordedAction, *values: object) -> None:
        """Appends one line; `now` in tenths of a millisecond on the front's clock."""
        if self._file is None:
            return
        line = msgspec.json.encode([now, entry, *map(to_stored, values)]) + b"\n"
        self._bytes_left -= len(line)
        if self._bytes_left < 0:
            structlog.get_logger().warning("event_recording_full")
            self.close()
            return
        self._file.write(line)

    def close(self) -> None:
        """Ends the recording; what is recorded afterwards is dropped."""
        if self._file is not None:
            self._file.close()
            self._file = None
