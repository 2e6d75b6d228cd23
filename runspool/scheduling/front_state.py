"""State of one front for one cell: its settings, its engines, and what it has learned about them.

The modules of this package are functions that operate on a `FrontState`. Only the scheduler driver sets its
clock. Times are tenths of a millisecond.
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

# Assumed prefill rate until a prefill has been timed, in tokens per tenth of a millisecond.
INITIAL_PREFILL_RATE = 1.0
# Repeated prefills that a front may send before any prefill has succeeded.
INITIAL_RETRY_BUDGET = 2.0
# Minimum time between two computations of the rack weights in a large fleet.
RACK_WEIGHTS_INTERVAL = SECOND


class QueuePosition(NamedTuple):
    """The sort key of a request in the prefill queue; the request with the smallest key goes first."""

    is_over_share: bool
    """Whether the request's tenant sends more than its share of the traffic."""
    priority_time: int
    """The arrival time plus a delay, which is the time until the first token is due divided by the priority
    weight."""
    request_index: int


class TenantArrivals(NamedTuple):
    """The exponentially decayed number of requests that a tenant has sent."""

    decayed_count: float = 0.0
    updated_at: int = 0


@dataclass(slots=True, eq=False)
class OpenAttempt:
    """A request's attempt that has not ended; `is_streaming` once its stream has started."""

    engine: Engine
    sent_at: int
    is_streaming: bool = False


class FrontState:
    """The state that all scheduling decisions of one front for one cell share."""

    def __init__(self, settings: RoutingSettings, seed: int) -> None:
        """Create the state; `seed`, unique to this front, seeds its random draws and engine samples."""
        self.settings = settings
        self.random = Random(seed).random
        self.now = 0  # the time of the current step, set by the driver
        self.engines: dict[int, Engine] = {}
        self.open_attempts: dict[int, OpenAttempt] = {}
        """By request index. Releases and other obligations of a request are looked up here: the entries in
        an engine's own dicts only count its load, and are dropped with its record."""
        self.seed = seed
        self.engine_index: EngineIndex[Engine] = EngineIndex((), seed)
        self.sample_count = 0  # engine samples that requests have drawn from a large fleet
        self.active_engines: dict[int, Engine] = {}  # those that have requests of this front, by id
        # preferred for prefills, and not filled with streams
        self.reserved_prefill_engine: Engine | None = None
        self.reserved_decode_engine: Engine | None = None  # preferred for streams
        self.is_subscribed = False  # to the endpoint list

        self.request_classes = [RequestClassState(row) for row in settings.request_classes]
        self.tenant_arrivals = [TenantArrivals()] * len(settings.tenants)
        self.recent_prefixes: list[int] = []  # prefixes of the latest requests that have one
        self.prefill_queue: list[QueuePosition] = []  # sorted, the next request first
        # Repeated prefills that are allowed now; a fraction, which each successful prefill increases.
        self.retry_budget = INITIAL_RETRY_BUDGET

        # Tokens per tenth of a millisecond, by role.
        self.prefill_rates = dict.fromkeys(Role, INITIAL_PREFILL_RATE)
        # Queueing delays of prefills and waits of decodes, over all engines of a role.
        self.role_queueing_delays = {role: DecayingEstimate() for role in Role}
        self.role_decode_waits = {role: DecayingEstimate() for role in Role}
        self.rack_transfer_delays: defaultdict[int, DecayingEstimate] = defaultdict(DecayingEstimate)
        """By rack: the time that a state transfer out of the rack adds to the wait for a first token."""
        # time that a state transfer adds to a wait, over all racks
        self.fleet_transfer_delay = DecayingEstimate()
        # Decayed sum of the durations of responses from mixed engines.
        self.mixed_response_time_sum = 0.0
        # Decayed sum of the durations that the objectives per output token allow for responses of mixed
        # engines.
        self.mixed_allowed_time_sum = 0.0

        self.fleet_statistics_at = -1  # when the statistics below were computed
        self.own_streams_per_engine = 0.0  # this front's streams per engine that can decode
        # This front's streams as a fraction of the memory of all engines that can decode.
        self.own_memory_share = 0.0
        self.rack_weights: dict[int, float] = {}
        """By rack: weight of its prefill engines, which is above 1 if the rack has more decode capacity to
        spare."""
        self.rack_weights_at = -RACK_WEIGHTS_INTERVAL

    def class_state(self, request: Request) -> RequestClassState:
        """Return the state of the request's class, or of the first class where its class is unknown."""
        return self.request_classes[request.request_class or 0]

    def ready_engines(self, role: Role) -> list[Engine]:
        """Return all ready engines of a role, as a list that the caller must not change."""
        return self.engine_index.ready[role]

    def shortest_objective(self) -> int:
        """Return the shortest first-token objective of all request classes, in tenths of a millisecond."""
        return min(row.settings.first_token_objective for row in self.request_classes)
