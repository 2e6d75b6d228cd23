"""The resident memory of this process, as the kernel counts it, and its return to the system."""

from __future__ import annotations

import ctypes
import gc
import os

BYTES_PER_MB = 1 << 20
_STATUS_FILE = "/proc/self/statm"
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes; 0 if the system does not tell it."""
    try:
        descriptor = os.open(_STATUS_FILE, os.O_RDONLY | os.O_CLOEXEC)
    except OSError:
        return 0
    try:
        fields = os.read(descriptor, 128).split()
        return int(fields[1]) * _PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0
    finally:
        os.close(descriptor)


def resident_mb() -> float:
    """Return the resident memory of this process in MB, rounded for logs; 0 if it is unknown."""
    return round(resident_bytes() / BYTES_PER_MB, 1)


def return_free_memory() -> None:
    """Free objects that refer to each other, and return free memory to the system where its C library can."""
    gc.collect()
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)
