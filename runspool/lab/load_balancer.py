"""The plain load balancer in front of the fronts: round robin, in the client's zone where it can."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class LoadBalancer:
    """Picks a front for each attempt of a client. Fronts are indices in the plan.

    Attributes:
        addresses: each front's host and port.
        zones: each front's zone.
        is_up: whether each front is taken to be up; one that went down is found out after a while.
        turns: how often a front was picked for a client of each zone.
    """

    addresses: list[tuple[str, int]]
    zones: list[str]
    is_up: list[bool]
    turns: dict[str, int] = field(default_factory=dict)

    def pick(self, zone: str) -> int:
        """Return the next front for a client in `zone`: one there that is up, else any up, else any."""
        candidates = [
            index for index, front_zone in enumerate(self.zones) if front_zone == zone and self.is_up[index]
        ]
        if not candidates:
            candidates = [index for index, is_up in enumerate(self.is_up) if is_up]
        if not candidates:
            candidates = list(range(len(self.is_up)))
        turn = self.turns.get(zone, 0)
        self.turns[zone] = turn + 1
        return candidates[turn % len(candidates)]
