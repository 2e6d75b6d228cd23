"""Write and read recordings: the events of clients, engines and endpoint list, one JSON object per line.

docs/operators/recordings.md documents the fields. Each process writes its own file without buffering, so that
no event is lost when the process is killed. The files are merged by time afterwards. Times are tenths of a
millisecond on the monotonic clock, which all processes on a machine share.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from runspool.errors import RunspoolError
from runspool.service.clock import now

Event = dict[str, Any]  # `t` is the time of the event, `what` its kind

FILE_MODE = 0o644
NO_FILE = -1  # file descriptor of a recorder without a file


class UnreadableRecordingError(RunspoolError):
    """A recording cannot be read or audited; the message names the file and line if they are known."""


class Recorder:
    """Appends events to a file, each with one unbuffered write; does nothing if the path is None."""

    def __init__(self, path: Path | None) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.file = os.open(path, flags, FILE_MODE) if path is not None else NO_FILE

    def record_event(self, what: str, **fields: object) -> None:
        """Append a line for an event of the kind `what`, with the present time."""
        if self.file >= 0:
            os.write(self.file, msgspec.json.encode({"t": now(), "what": what, **fields}) + b"\n")

    def close(self) -> None:
        """Close the file, if it is open; later events are not recorded."""
        if self.file >= 0:
            os.close(self.file)
            self.file = NO_FILE


def merge_recordings(parts: Iterable[Path], whole: Path) -> int:
    """Merge the recordings `parts` by time into the file `whole`, and return its number of lines.

    Events with the same time are written in the order of `parts`. Lines that cannot be decoded, because a
    kill truncated them, are omitted.
    """
    lines: list[tuple[int, int, bytes]] = []  # (time, number in reading order, line)
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
    """Return the events of a recording.

    Raises:
        UnreadableRecordingError: the file cannot be read or is not a recording.
    """
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
            raise UnreadableRecordingError(f"{path}:{number}: not an event with integer t and what")
        events.append(event)
    return events
