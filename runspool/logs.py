"""Structured logs: one JSON object a line on standard error. Writing one never fails, blocks or floods."""

from __future__ import annotations

import logging
import os
import select
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import msgspec
import structlog

PIECE_BYTES = 4_096  # a pipe that is ready takes so much at once without blocking
STANDARD_ERROR = 2
LINES_PER_SECOND = 20.0  # that a bounded log may write, in the mean
LINES_AT_ONCE = 200.0  # and in a burst


class SafeSink:
    """Standard error as a log's file. A line that cannot be written now is counted and dropped.

    Against a full pipe that nobody reads holding the whole process up, and against a disk or a reader that is
    gone (ENOSPC, EIO, EPIPE) ending what was only to be logged.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._rest = b""  # of a line of which a part has been written

    def write(self, line: bytes) -> int:
        """Takes the line whole or not at all; the number of its bytes, as files do."""
        note = b'{"event":"log_lines_dropped","count":%d}\n' % self.dropped if self.dropped else b""
        self._rest = self._left(self._rest)
        if not self._rest and self._begun(note + line):
            self.dropped = 0
        else:
            self.dropped += 1
        return len(line)

    def flush(self) -> None:
        """Nothing is held back but the rest of a torn line, which goes ahead of the next."""

    def _begun(self, lines: bytes) -> bool:
        """False where nothing of them could be written."""
        left = self._left(lines)
        if len(left) == len(lines):
            return False
        self._rest = left
        return True

    def _left(self, data: bytes) -> bytes:
        """Writes what can be written now; what cannot."""
        with suppress(OSError):
            while data and self._ready():
                data = data[os.write(self.descriptor, data[:PIECE_BYTES]) :]
        return data

    def _ready(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))


class BoundedLog:
    """Passes lines on to a logger up to a rate; how many it left out is said with the next line."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.log = structlog.get_logger()
        self.room = LINES_AT_ONCE
        self.at = clock()
        self.left_out = 0

    def info(self, event: str, **said: Any) -> None:
        """Writes a line, or counts it as left out."""
        at = self.clock()
        self.room = min(LINES_AT_ONCE, self.room + (at - self.at) * LINES_PER_SECOND)
        self.at = at
        if self.room < 1:
            self.left_out += 1
            return
        self.room -= 1
        if self.left_out:
            said["left_out_before"] = self.left_out
            self.left_out = 0
        self.log.info(event, **said)


def keep_standard_descriptors() -> None:
    """Opens what is closed of standard input, output and error as the null device.

    Against a socket taking the number of a closed one, and getting what is printed there.
    """
    for descriptor in range(STANDARD_ERROR + 1):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # takes the lowest number that is free: this one


def start_logs(level: str) -> None:
    """From `level` on ("debug", "info", "warning", "error"), each with its event, time and level."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_line),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper(), logging.INFO)),
        logger_factory=structlog.BytesLoggerFactory(file=SafeSink(STANDARD_ERROR)),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )


def _line(event: dict[str, Any], **_: Any) -> bytes:
    return msgspec.json.encode(event, enc_hook=str)
