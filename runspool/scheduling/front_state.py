"""What one front knows: its settings, the engines, and what it has learned of them and of its traffic.

The modules of this package are functions over a `FrontState`; only the scheduler's driver sets its clock.
Times are tenths of a millisecond.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from runspool.scheduling.engine_index import EngineIndex
from runspool.scheduling.engine_state import DecayingEstimate, Engine, RequestClassState
from runspool.scheduling.settings import RoutingSettings
from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import Request, Role

INITIAL_PREFILL_RATE = 1.0  # tokens a tenth of a millisecond, before any prefill has been timed
INITIAL_RETRY_BUDGET = 2.0  # repeated prefills
RACK_BALANCE_INTERVAL = SECOND  # in a large fleet, between two counts of the racks' decode capacity


class QueuePosition(NamedTuple):
    """A request's place in the prefill queue; the least goes first."""

    is_over_share: bool
    """Whether its tenant sends more than its share."""
    priority_time: int
    """The sooner its first token is due, and the higher its priority, the earlier."""
    request_index: int


class TenantArrivals(NamedTuple):
    """How many requests of a tenant have come of late."""

    decayed_count: float = 0.0
    updated_at: int = 0


@dataclass(slots=True, eq=False)
class OpenAttempt:
    """A request's attempt that has not ended, or the stream that it has become."""

    engine: Engine
    sent_at: int
    is_streaming: bool = False


class FrontState:
    """The state that all decisions of one front share."""

    def __init__(self, settings: RoutingSettings, seed: int) -> None:
        """`seed` is this front's own: it starts its random draws and orders its samples of a large fleet."""
        self.settings = settings
        self.random = Random(seed).random
        self.now = 0
        self.engines: dict[int, Engine] = {}
        self.open_attempts: dict[int, OpenAttempt] = {}
        """By request index. Whatever is owed for a request is found here: an engine's own entries only count
        its load, and go with its record."""
        self.seed = seed
        self.engine_index: EngineIndex[Engine] = EngineIndex((), seed)
        self.sample_count = 0  # samples of a large fleet that requests have looked at
        self.active_engines: dict[int, Engine] = {}  # those with a request of this front
        self.reserved_prefill_engine: Engine | None = None
        self.reserved_decode_engine: Engine | None = None
        self.is_subscribed = False

        self.request_classes = [RequestClassState(row) for row in settings.request_classes]
        self.tenant_arrivals = [TenantArrivals()] * len(settings.tenants)
        self.recent_prefixes: list[int] = []  # of the last requests that have one
        self.prefill_queue: list[QueuePosition] = []  # the most pressing first
        self.retry_budget = INITIAL_RETRY_BUDGET  # repeated prefills that are allowed now

        self.prefill_rates = dict.fromkeys(Role, INITIAL_PREFILL_RATE)  # tokens a tenth of a millisecond
        self.usual_queueing_delays = {role: DecayingEstimate() for role in Role}
        self.usual_decode_waits = {role: DecayingEstimate() for role in Role}
        self.rack_transfer_delays: defaultdict[int, DecayingEstimate] = defaultdict(DecayingEstimate)
        """Rack: what a transfer of state out of it adds to the wait for a first token."""
        self.usual_transfer_delay = DecayingEstimate()
        self.mixed_answer_time = 0.0  # decayed sum of answers' times at mixed engines
        self.mixed_answer_time_allowed = 0.0  # the same of what their classes allow

        self.fleet_statistics_at = -1
        self.mean_streams = 0.0  # this front's, over the decode engines
        self.mean_memory_use = 0.0  # this front's fraction of the decode engines' memory
        self.rack_balance: dict[int, float] = {}
        """Rack: its decode engines with room for each prefill engine; 1 is the fleet's mean."""
        self.rack_balance_at = -RACK_BALANCE_INTERVAL

    def class_state(self, request: Request) -> RequestClassState:
        """The request's class; the first one where it has none that is known."""
        return self.request_classes[request.request_class or 0]

    def ready_engines(self, role: Role) -> list[Engine]:
        """All ready engines of a role; not to be changed."""
        return self.engine_index.ready[role]

    def shortest_objective(self) -> int:
        """The first token objective of the class in the most hurry."""
        return min(row.settings.first_token_objective for row in self.request_classes)
