"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import msgspec
import structlog


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
        wrapper_class=structlog.make_filtering_bound_logger(getattr(logging, level.upper())),
        logger_factory=structlog.BytesLoggerFactory(file=sys.stderr.buffer),
        cache_logger_on_first_use=True,
    )


def _line(event: dict[str, Any], **_: Any) -> bytes:
    return msgspec.json.encode(event, enc_hook=str)
