"""The conditions of a soak other than its faults: deadlines, client behaviour, agents, stream durations."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

MAX_DEADLINE_ALLOWANCE = 3.0  # seconds of the longest deadline that delay the kill of a node, at most
KILL_DELAY = 0.7  # seconds between SIGTERM and SIGKILL in addition to the allowed deadline
SHORT_STREAM = 0.06  # seconds that a stream takes unless it is a long one


@dataclass(frozen=True, slots=True)
class Conditions:
    """The conditions of one soak. Times are in seconds.

    Attributes:
        longest_deadline: the longest deadline of a request.
        resumable: whether clients request the rest of a stream that ends without its last chunk.
        idle_clients: the number of connections to each node that send nothing.
        agents_owe_all: whether agents, after an outage, also process the calls whose connections the node
            has closed meanwhile.
        longest_stream: the longest duration of a long stream.
        long_share: the share of the requests whose streams are long.
    """

    longest_deadline: float = 6.0
    resumable: bool = True
    idle_clients: int = 0
    agents_owe_all: bool = False
    longest_stream: float = SHORT_STREAM
    long_share: float = 0.0

    @property
    def kill_after(self) -> float:
        """The shortest time after SIGTERM at which the platform sends SIGKILL to a node."""
        return min(MAX_DEADLINE_ALLOWANCE, self.longest_deadline) + KILL_DELAY

    def stream_duration(self, request: str) -> float:
        """Return how long a request's stream takes, which is the same at every engine."""
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
