"""The base of every error that this package raises for others to catch."""

from __future__ import annotations


class RunspoolError(Exception):
    """Something that runspool was given, or that it met, is not as it must be.

    Subclasses say what, carry the details as attributes, and make their own message from them.
    """
