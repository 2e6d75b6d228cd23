"""Structured logging: one JSON object per line on standard error. Logging never raises and never blocks."""

from __future__ import annotations

import logging
import os
import select
import time
from collections.abc import Callable
from contextlib import suppress

import msgspec
import structlog

# Maximum number of bytes per write: a pipe that is reported writable accepts PIPE_BUF bytes without blocking.
MAX_WRITE_BYTES = 4_096
STANDARD_ERROR_DESCRIPTOR = 2
LINES_PER_SECOND = 20.0  # long-term average rate of a RateLimitedLog
MAX_BURST_LINES = 200.0  # largest burst of a RateLimitedLog, in lines


class NonBlockingLogFile:
    """A log file on a file descriptor that drops and counts the lines that it cannot write immediately.

    A full pipe without a reader therefore cannot block the process, and a failed disk or a closed pipe
    (ENOSPC, EIO, EPIPE) raises no exception.

    Attributes:
        descriptor: File descriptor that lines are written to. This class does not close it.
        dropped: Number of lines dropped since the last line that was written.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.dropped = 0
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._unwritten = b""  # remainder of a partially written line

    def write(self, line: bytes) -> int:
        """Write a line or drop it; return its length in bytes in both cases, as file objects do.

        The remainder of a partially written line is written before the next line. After dropped lines, the
        next written line is preceded by the event "log_lines_dropped", which holds their count.
        """
        notice = b'{"event":"log_lines_dropped","count":%d}\n' % self.dropped if self.dropped else b""
        self._unwritten = self._write_available(self._unwritten)
        if not self._unwritten and self._start_writing(notice + line):
            self.dropped = 0
        else:
            self.dropped += 1
        return len(line)

    def flush(self) -> None:
        """Do nothing: at most the remainder of one line is buffered, and the next write() sends it first."""

    def _start_writing(self, lines: bytes) -> bool:
        """Write what is possible without blocking and keep the rest; return False if nothing was written."""
        unwritten = self._write_available(lines)
        if len(unwritten) == len(lines):
            return False
        self._unwritten = unwritten
        return True

    def _write_available(self, data: bytes) -> bytes:
        """Write as much as is possible without blocking; return the rest."""
        with suppress(OSError):
            while data and self._is_ready():
                data = data[os.write(self.descriptor, data[:MAX_WRITE_BYTES]) :]
        return data

    def _is_ready(self) -> bool:
        return any(event & select.POLLOUT for _, event in self._poll.poll(0))


class RateLimitedLog:
    """A logger with a rate limit (token bucket).

    After lines were suppressed, the next logged line holds their number in the field "left_out_before".

    Attributes:
        clock: Returns the current time in seconds.
        available_lines: Number of lines that may be logged now. It grows by `LINES_PER_SECOND` per second, up
            to `MAX_BURST_LINES`.
        updated_at: Time at which `available_lines` was computed, in seconds.
        suppressed_lines: Number of lines suppressed since the last logged line.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.log = structlog.get_logger()
        self.available_lines = MAX_BURST_LINES
        self.updated_at = clock()
        self.suppressed_lines = 0

    def info(self, event: str, **fields: object) -> None:
        """Log an event at level "info", or count it as suppressed where the rate limit is exceeded."""
        now = self.clock()
        elapsed = now - self.updated_at
        self.available_lines = min(MAX_BURST_LINES, self.available_lines + elapsed * LINES_PER_SECOND)
        self.updated_at = now
        if self.available_lines < 1:
            self.suppressed_lines += 1
            return
        self.available_lines -= 1
        if self.suppressed_lines:
            fields["left_out_before"] = self.suppressed_lines
            self.suppressed_lines = 0
        self.log.info(event, **fields)


def open_standard_descriptors() -> None:
    """Open the null device in place of a standard input, output or error that is closed.

    Otherwise the next socket would get the number of the closed descriptor, and output for standard output or
    error would be sent to that socket's peer.
    """
    for descriptor in range(STANDARD_ERROR_DESCRIPTOR + 1):
        try:
            os.fstat(descriptor)
        except OSError:
            os.open(os.devnull, os.O_RDWR)  # open() returns the lowest free descriptor, which is this one


def configure_logging(level: str) -> None:
    """Configure structlog to write JSON lines with event, time and level to standard error.

    Args:
        level: Lowest level that is written: "debug", "info", "warning" or "error". Any other value stands for
            "info".
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
        logger_factory=structlog.BytesLoggerFactory(file=NonBlockingLogFile(STANDARD_ERROR_DESCRIPTOR)),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )


def _encode_event(event: dict[str, object], **_options: object) -> bytes:
    return msgspec.json.encode(event, enc_hook=str)
