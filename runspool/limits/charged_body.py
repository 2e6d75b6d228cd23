"""The body of an open request together with its charge in the memory account.

Whoever refers to the object, be it an attempt, a release call or the traceback of an error, does not keep the
bytes alive: they and their charge are given back in one step, by the connection that received the request.
"""

from __future__ import annotations

from runspool.errors import RunspoolError
from runspool.limits.memory_account import MemoryCharge


class BodyReleasedError(RunspoolError):
    """The body of a request was read after the request had ended."""


class ChargedBody:
    """A request body that is charged for as long as its bytes exist."""

    __slots__ = ("_charge", "_data")

    def __init__(self, data: bytes, charge: MemoryCharge) -> None:
        """Take over a body and a charge of its own, which is set to the size of the body."""
        self._data: bytes | None = data
        self._charge = charge
        charge.set(len(data))

    @property
    def data(self) -> bytes:
        """The bytes. The caller must not store them, as they are not charged after release().

        Raises:
            BodyReleasedError: The body has been released.
        """
        if self._data is None:
            raise BodyReleasedError("the body of a request that has ended")
        return self._data

    @property
    def charged_bytes(self) -> int:
        """The number of bytes charged; 0 after release()."""
        return self._charge.size

    def release(self) -> None:
        """Give up the bytes and their charge; further calls have no effect."""
        self._data = None
        self._charge.release()
