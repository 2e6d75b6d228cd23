"""Interning of names from clients and platforms as the small integers that the scheduler works with."""

from __future__ import annotations

from zlib import crc32


def stable_hash(name: str) -> int:
    """Return a 32-bit hash of a name that is the same in every front process."""
    return crc32(name.encode())


class Interner:
    """Assigns each name an index, counted up from 0 and never reused.

    While a new name is added, names not seen for longer than `max_age` are dropped, and so is the name not
    seen for the longest time if there would be more than `max_names`.
    """

    def __init__(self, max_names: int = 0, max_age: int = 0) -> None:
        """Create an empty interner.

        Args:
            max_names: Maximum number of names; 0 for no limit.
            max_age: Maximum time since a name was last seen, in the unit of the times that `intern` gets.
                0 for no limit.
        """
        self.max_names = max_names
        self._max_age = max_age
        self._next = 0
        # Each name's index and the time it was last seen. The names are in the order in which they were last
        # seen, the oldest first.
        self._indices: dict[str, tuple[int, int]] = {}

    def intern(self, name: str, now: int = 0) -> int:
        """Return the index of a name, assigning one if necessary, and mark the name as seen at `now`."""
        index, _ = self._indices.pop(name, (None, 0))
        if index is None:
            index = self._next
            self._next += 1
            while self._indices and (
                (self.max_names and len(self._indices) >= self.max_names) or self._oldest_has_expired(now)
            ):
                del self._indices[next(iter(self._indices))]
        self._indices[name] = index, now
        return index

    def lookup(self, name: str) -> int | None:
        """Return the index of a name, or None if it has none; does not mark the name as seen."""
        return self._indices.get(name, (None, 0))[0]

    def forget(self, name: str) -> None:
        """Remove a name, if known. It gets another index if it is interned again."""
        self._indices.pop(name, None)

    def __len__(self) -> int:
        return len(self._indices)

    def _oldest_has_expired(self, now: int) -> bool:
        return 0 < self._max_age < now - next(iter(self._indices.values()))[1]
