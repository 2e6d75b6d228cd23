"""Structured logs: one JSON object per line on standard error. Writing one never fails or blocks."""

from __future__ import annotations

import logging
import os
import select
import time
from collections.abc import Callable
from contextlib import suppress

import msgspec
import structlog

WRITE_BYTES = 4_096  # a pipe that is ready takes so much at once without blocking (PIPE_BUF)
STANDARD_ERROR = 2  # file descriptor
LINES_PER_SECOND = 20.0  # that a bounded log may write on average
LINES_AT_ONCE = 200.0  # that a bounded log may write in a burst


class SafeSink:
    """A file descriptor as a log's file. A line that cannot be written now is counted and dropped.

    A full pipe that nobody reads thus cannot block the process, and a disk or reader that is gone (ENOSPC,
    EIO, EPIPE) raises nothing.

    Attributes:
        descriptor: where lines are written; it is not closed here.
        dropped: lines dropped since the last one that was written.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._unwritten = b""  # the rest of a line of which a part has been written

    def write(self, line: bytes) -> int:
        """Writes or drops a line; returns the number of its bytes either way, as files do.

        A line of which a part could be written is completed ahead of the next one. After dropped lines, the
        next one written is preceded by the event "log_lines_dropped" with their count.
        """
        notice = b'{"event":"log_lines_dropped","count":%d}\n' % self.dropped if self.dropped else b""
        self._unwritten = self._write_available(self._unwritten)
        if not self._unwritten and self._start_writing(notice + line):
            self.dropped = 0
        else:
            self.dropped += 1
        return len(line)

    def flush(self) -> None:
        """Does nothing: only the rest of a line is ever held back, and it goes ahead of the next."""

    def _start_writing(self, lines: bytes) -> bool:
        """Writes what can be written now and keeps the rest; returns False if nothing could be written."""
        unwritten = self._write_available(lines)
        if len(unwritten) == len(lines):
            return False
        self._unwritten = unwritten
        return True

    def _write_available(self, data: bytes) -> bytes:
        """Writes what can be written without blocking; returns the rest."""
        with suppress(OSError):
            while data and self._is_ready():
                data = data[os.write(self.descriptor, data[:WRITE_BYTES]) :]
        return data

    def _is_ready(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))


class BoundedLog:
    """Passes lines on to a logger up to a rate; the next line passed on says how many were left out.

    Attributes:
        clock: the current time, seconds.
        available_lines: lines that may be passed on at once now; grows by `LINES_PER_SECOND`.
        updated_at: when `available_lines` was computed, seconds.
        left_out: lines left out since the last one passed on.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.log = structlog.get_logger()
        self.available_lines = LINES_AT_ONCE
        self.updated_at = clock()
        self.left_out = 0

    def info(self, event: str, **fields: object) -> None:
        """Logs an event at level "info", or counts it as left out."""
        now = self.clock()
        elapsed = now - self.updated_at
        self.available_lines = min(LINES_AT_ONCE, self.available_lines + elapsed * LINES_PER_SECOND)
        self.updated_at = now
        if self.available_lines < 1:
            self.left_out += 1
            return
        self.available_lines -= 1
        if self.left_out:
            fields["left_out_before"] = self.left_out
            self.left_out = 0
        self.log.info(event, **fields)


def keep_standard_descriptors() -> None:
    """Opens those of standard input, output and error that are closed as the null device.

    A socket would otherwise get the number of a closed one, and with it what is printed there.
    """
    for descriptor in range(STANDARD_ERROR + 1):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # takes the lowest free number: this one


def start_logs(level: str) -> None:
    """Configures structlog to write JSON lines with event, time and level to standard error.

    Args:
        level: the lowest level that is written: "debug", "info", "warning" or "error"; another means "info".
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_encode_event),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper(), logging.INFO)),
        logger_factory=structlog.BytesLoggerFactory(file=SafeSink(STANDARD_ERROR)),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )


def _encode_event(event: dict[str, object], **_options: object) -> bytes:
    return msgspec.json.encode(event, enc_hook=str)
