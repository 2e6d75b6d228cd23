"""Turns names given by clients and platforms into small integers, which the scheduler works with."""

from __future__ import annotations

from zlib import crc32


def stable_hash(name: str) -> int:
    """A 32-bit number derived from a name; every front process derives the same one."""
    return crc32(name.encode())


class Interner:
    """Assigns each name an index, counted up from 0 and never reused.

    A name that has not been seen for longer than `max_age` is forgotten, and so are the names unseen for
    longest once there are `max_names`. Both happen only while a new name is added.
    """

    def __init__(self, max_names: int = 0, max_age: int = 0) -> None:
        """0 sets no bound; `max_age` is in the unit of the times that intern() is given."""
        self._max_names = max_names
        self._max_age = max_age
        self._next = 0
        # Each name's index and the time it was last seen. The dict's order is that of the last sight, the
        # oldest first.
        self._indices: dict[str, tuple[int, int]] = {}

    def intern(self, name: str, now: int = 0) -> int:
        """The index of a name, assigned if it has none, and marks the name as seen at `now`."""
        index, _ = self._indices.pop(name, (None, 0))
        if index is None:
            index = self._next
            self._next += 1
            while self._indices and (
                (self._max_names and len(self._indices) >= self._max_names) or self._oldest_has_expired(now)
            ):
                del self._indices[next(iter(self._indices))]
        self._indices[name] = index, now
        return index

    def lookup(self, name: str) -> int | None:
        """The index of a name, or None; does not mark the name as seen."""
        return self._indices.get(name, (None, 0))[0]

    def forget(self, name: str) -> None:
        """Removes a name, if known. Interned again, it gets another index."""
        self._indices.pop(name, None)

    def __len__(self) -> int:
        return len(self._indices)

    def _oldest_has_expired(self, now: int) -> bool:
        return 0 < self._max_age < now - next(iter(self._indices.values()))[1]
