"""Interning of names as small integers, and eviction of unused names."""

from __future__ import annotations

from runspool.runtime.interning import Interner


def test_name_is_evicted_at_its_maximum_age_or_beyond_the_maximum_number() -> None:
    interner = Interner(max_names=3, max_age=100)
    first, second = interner.intern("a", 0), interner.intern("b", 60)
    assert interner.intern("a", 90) == first  # used again, so b is now the least recently used
    assert interner.intern("c", 161) not in (first, second) and len(interner) == 2
    assert interner.lookup("b") is None and interner.lookup("a") == first
    for number, name in enumerate("defg"):
        interner.intern(name, 162 + number)
    assert len(interner) == 3 and interner.lookup("a") is None
