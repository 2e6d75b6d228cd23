"""Names from outside become small indices here, and nowhere else."""

from __future__ import annotations


from zlib import crc32


def mark(name: str) -> int:
    """A number that every front draws alike from a name."""
    return crc32(name.encode())


class Door:
    """Hands out an index a name; with a bound, the name unseen for longest is forgotten first."""

    def __init__(self, bound: int = 0) -> None:
        self._bound = bound
        self._next = 0
        self._indices: dict[str, int] = {}

    def index(self, name: str) -> int:
        found = self._indices.pop(name, None)
        if found is None:
            found = self._next
            self._next += 1
            if self._bound and len(self._indices) >= self._bound:
                del self._indices[next(iter(self._indices))]
        self._indices[name] = found
        return found

    def known(self, name: str) -> int | None:
        return self._indices.get(name)
