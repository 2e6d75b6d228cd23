"""Records the events and actions of a scheduler driver to a file, from which they can be replayed.

`runspool.service.recording_format` defines the format; `runspool.lab.replay` reads it.
"""

from __future__ import annotations

from pathlib import Path
from typing import BinaryIO

import msgspec
import structlog

from runspool.service.recording_format import RecordedAction, RecordedEvent, to_stored

MAX_BYTES = 1 << 30  # maximum size of one recording
BUFFER_BYTES = 1 << 16  # size of the write buffer


class EventRecorder:
    """Appends entries to a recording file.

    At the size limit the recording ends, and a warning is logged once. Without a path nothing is recorded.
    """

    def __init__(self, path: Path | None, max_bytes: int = MAX_BYTES) -> None:
        self._file: BinaryIO | None = path.open("ab", buffering=BUFFER_BYTES) if path else None
        self._bytes_left = max_bytes

    def record(self, now: int, entry: RecordedEvent | RecordedAction, *values: object) -> None:
        """Append one line; `now` is in tenths of a millisecond on the front's clock."""
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
        """Close the file; later entries are discarded."""
        if self._file is not None:
            self._file.close()
            self._file = None
