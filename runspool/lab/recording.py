"""Recordings of what clients, engines and the endpoint list saw, one JSON object a line.

docs/operators/recordings.md lists the fields. Every process writes a file of its own, unbuffered, so that a
killed one loses nothing; the files are then merged by time. All processes of a machine share the monotonic
clock that the times come from (tenths of a millisecond).
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from runspool.errors import RunspoolError
from runspool.service.clock import now

Event = dict[str, Any]  # `t` is its time, `what` its kind

FILE_MODE = 0o644
NO_FILE = -1  # the descriptor of a recorder that records nothing


class UnreadableRecordingError(RunspoolError):
    """A recording that cannot be judged; the message names file and line where there is one."""


class Recorder:
    """Appends events to a file, each by one unbuffered write; without a path it records nothing."""

    def __init__(self, path: Path | None) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.file = os.open(path, flags, FILE_MODE) if path is not None else NO_FILE

    def line(self, what: str, **fields: object) -> None:
        """Append the line of one event, stamped with the time now."""
        if self.file >= 0:
            os.write(self.file, msgspec.json.encode({"t": now(), "what": what, **fields}) + b"\n")

    def close(self) -> None:
        """Close the file; later events are dropped. May be called again."""
        if self.file >= 0:
            os.close(self.file)
            self.file = NO_FILE


def merge_recordings(parts: Iterable[Path], whole: Path) -> int:
    """Merge recordings into one by time and return its count of lines.

    Events of the same time keep the order of `parts`. Lines that were cut off by a kill are left out.
    """
    lines: list[tuple[int, int, bytes]] = []  # time, order of reading, line
    for part in parts:
        for raw in part.read_bytes().split(b"\n"):
            if raw:
                try:
                    lines.append((int(msgspec.json.decode(raw)["t"]), len(lines), raw))
                except (msgspec.DecodeError, KeyError, TypeError, ValueError):
                    continue
    lines.sort()
    whole.write_bytes(b"".join(raw + b"\n" for _, _, raw in lines))
    return len(lines)


def read_recording(path: Path) -> list[Event]:
    """Return the events of a recording; raise UnreadableRecordingError for a file that is none."""
    try:
        lines = path.read_bytes().split(b"\n")
    except OSError as error:
        raise UnreadableRecordingError(f"{path}: {error.strerror}") from None
    events: list[Event] = []
    for number, raw in enumerate(lines, 1):
        if not raw:
            continue
        try:
            event = msgspec.json.decode(raw)
        except msgspec.DecodeError as error:
            raise UnreadableRecordingError(f"{path}:{number}: {error}") from None
        if not isinstance(event, dict) or not isinstance(event.get("t"), int) or "what" not in event:
            raise UnreadableRecordingError(f"{path}:{number}: no event with t and what")
        events.append(event)
    return events
