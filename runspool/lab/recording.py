"""What the far ends saw, one JSON object a line. docs/operators/recordings.md lists the fields.

Every process writes a file of its own, unbuffered, so that a killed one loses nothing; a day merges them by
time. All processes of a machine share the monotonic clock that the times come from (tenths of a millisecond).
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from runspool.service.clock import now

Event = dict[str, Any]


class Recorder:
    def __init__(self, path: Path | None) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.file = os.open(path, flags, 0o644) if path is not None else -1

    def line(self, what: str, **said: Any) -> None:
        if self.file >= 0:
            os.write(self.file, msgspec.json.encode({"t": now(), "what": what, **said}) + b"\n")

    def close(self) -> None:
        if self.file >= 0:
            os.close(self.file)
            self.file = -1


def merge_recordings(parts: Iterable[Path], whole: Path) -> int:
    """Joins recordings in order of time; lines cut by a kill are left out. Returns the count of lines."""
    lines: list[tuple[int, int, bytes]] = []
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


class UnreadableRecordingError(Exception):
    """A recording that cannot be judged."""


def read_recording(path: Path) -> list[Event]:
    """The events of a recording; raises Unreadable naming file and line."""
    events: list[Event] = []
    try:
        raws = path.read_bytes().split(b"\n")
    except OSError as fault:
        raise UnreadableRecordingError(f"{path}: {fault.strerror}") from None
    for number, raw in enumerate(raws, 1):
        if not raw:
            continue
        try:
            event = msgspec.json.decode(raw)
        except msgspec.DecodeError as fault:
            raise UnreadableRecordingError(f"{path}:{number}: {fault}") from None
        if not isinstance(event, dict) or not isinstance(event.get("t"), int) or "what" not in event:
            raise UnreadableRecordingError(f"{path}:{number}: no event with t and what")
        events.append(event)
    return events
