"""Base class of the errors that this package raises."""

from __future__ import annotations


class RunspoolError(Exception):
    """Base class for invalid input and for failures at run time.

    Each subclass stands for one kind of failure, holds its details as attributes and builds its message from
    them.
    """
