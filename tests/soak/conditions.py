"""What the seed of a soak decides beside its faults: deadlines, what clients do, how long streams are."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

MAX_DEADLINE_ALLOWANCE = 3.0  # seconds: a longer one does not delay the kill
KILL_DELAY = 0.7  # seconds from the longest deadline to the kill
SHORT_STREAM = 0.06  # seconds


@dataclass(frozen=True, slots=True)
class Conditions:
    """Times are in seconds.

    `resumable`: clients ask for the rest of a stream that ends without its last chunk. `idle_clients` is how
    many each node has that send nothing. With `agents_owe_all` agents work off what they were asked in an
    outage also where its connection has gone. A `long_share` of the streams take up to `longest_stream`.
    """

    longest_deadline: float = 6.0
    resumable: bool = True
    idle_clients: int = 0
    agents_owe_all: bool = False
    longest_stream: float = SHORT_STREAM
    long_share: float = 0.0

    @property
    def kill_after(self) -> float:
        """The earliest SIGKILL after SIGTERM."""
        return min(MAX_DEADLINE_ALLOWANCE, self.longest_deadline) + KILL_DELAY

    def stream_duration(self, request: str) -> float:
        """How long a request's stream takes, the same at any engine."""
        random = Random(f"{request}.stream")
        if random.random() >= self.long_share:
            return SHORT_STREAM
        return random.uniform(0.1, self.longest_stream)


def draw_conditions(seed: int) -> Conditions:
    """Draw the conditions of a seed."""
    random = Random(f"{seed}.conditions")
    return Conditions(
        longest_deadline=random.choice([0.3, 0.5, 0.8, 1.5, 3.0, 6.0]),
        resumable=random.random() < 0.65,
        idle_clients=random.choice([0, 0, 0, 150]),
        longest_stream=random.choice([1.0, 4.0, 10.0]),
        long_share=0.4,
        agents_owe_all=random.random() < 0.5,
    )
