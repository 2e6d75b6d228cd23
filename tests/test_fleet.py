"""The jam as a whole: a burst fills the readers, and what each of sixty fronts does about it must not keep
them full when it is over."""

from __future__ import annotations

from tests.fleet import Fleet

BURST = [85, 85, 119, 85, 60, 42]  # new sessions a second in each five seconds


def test_a_jam_of_reads_ends_after_the_burst_that_began_it() -> None:
    fleet = Fleet(60, 12, 2)
    parts = fleet.play(BURST, zones=(0.5, 0.25, 0.25))
    assert min(parts) > 0.6, parts
    assert parts[-1] > 0.9, parts
    assert fleet.overdue < 0.04 * fleet.reads
