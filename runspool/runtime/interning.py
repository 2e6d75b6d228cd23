"""Names from outside become small indices here, and nowhere else."""

from __future__ import annotations

from zlib import crc32


def stable_hash(name: str) -> int:
    """A number that every front draws alike from a name."""
    return crc32(name.encode())


class Interner:
    """Hands out an index a name. A name unseen for `keeps` (in the unit of index()'s time) is forgotten, and
    past `bound` names the one unseen for longest; 0 sets no bound."""

    def __init__(self, bound: int = 0, keeps: int = 0) -> None:
        self._bound = bound
        self._keeps = keeps
        self._next = 0
        self._indices: dict[str, tuple[int, int]] = {}  # index and when seen, the longest unseen first

    def intern(self, name: str, now: int = 0) -> int:
        found, _ = self._indices.pop(name, (None, 0))
        if found is None:
            found = self._next
            self._next += 1
            while self._indices and ((self._bound and len(self._indices) >= self._bound) or self._aged(now)):
                del self._indices[next(iter(self._indices))]
        self._indices[name] = found, now
        return found

    def lookup(self, name: str) -> int | None:
        return self._indices.get(name, (None, 0))[0]

    def forget(self, name: str) -> None:
        """A name that comes again gets another index."""
        self._indices.pop(name, None)

    def __len__(self) -> int:
        return len(self._indices)

    def _aged(self, now: int) -> bool:
        return 0 < self._keeps < now - next(iter(self._indices.values()))[1]
