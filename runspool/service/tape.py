"""A recording of what a front's desk was told and what it asked for, so that both can be played again."""

from __future__ import annotations

from pathlib import Path
from typing import Any, BinaryIO

import msgspec
import structlog

MOST_BYTES = 1 << 30


class Tape:
    """One JSON array a line: time, word, values. Past its cap it stops, and says so once."""

    def __init__(self, path: Path | None, most_bytes: int = MOST_BYTES) -> None:
        self.out: BinaryIO | None = open(path, "ab", buffering=1 << 16) if path else None  # noqa: SIM115
        self.left = most_bytes

    def line(self, now: int, word: str, *values: Any) -> None:
        if self.out is None:
            return
        raw = msgspec.json.encode([now, word, *values], enc_hook=_named) + b"\n"
        self.left -= len(raw)
        if self.left < 0:
            structlog.get_logger().warning("tape_full")
            self.close()
            return
        self.out.write(raw)

    def close(self) -> None:
        if self.out is not None:
            self.out.close()
            self.out = None


def _named(value: Any) -> Any:
    return value.name
