"""Load balancer between clients and fronts: round robin, preferring fronts in the client's zone."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class LoadBalancer:
    """Selects a front for each attempt of a client. Fronts are given by their index in the plan.

    Attributes:
        addresses: each front's host and port.
        zones: each front's zone.
        is_up: whether each front is considered up; a front that goes down is marked only after a delay.
        selection_counts: how often a front has been selected for clients of each zone.
    """

    addresses: list[tuple[str, int]]
    zones: list[str]
    is_up: list[bool]
    selection_counts: dict[str, int] = field(default_factory=dict)

    def select_front(self, zone: str) -> int:
        """Return the next front for a client in `zone`.

        Select in turn from the fronts in that zone that are up; if there is none, from all fronts that are
        up; if there is none either, from all fronts.
        """
        candidates = [
            index for index, front_zone in enumerate(self.zones) if front_zone == zone and self.is_up[index]
        ]
        if not candidates:
            candidates = [index for index, is_up in enumerate(self.is_up) if is_up]
        if not candidates:
            candidates = list(range(len(self.is_up)))
        turn = self.selection_counts.get(zone, 0)
        self.selection_counts[zone] = turn + 1
        return candidates[turn % len(candidates)]
