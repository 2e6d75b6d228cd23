"""A scenario as plain data: the fleet, the workload, and the faults with their times.

Times are tenths of a millisecond, lengths tokens. The names in stored plans (plan.json, wire.jsonl) are those
given to `field`; where there is none, they are the attribute's.
"""

from __future__ import annotations

from typing import Any, Literal

import msgspec

from runspool.lab.model import EngineSpec

SECOND = 10_000  # tenths of a millisecond


class RequestClassPlan(msgspec.Struct):
    """A request class as its clients know it, with the lengths of its requests.

    `first_token_objective_per_1000_tokens` is added for each 1,000 prompt tokens. A session has `turns`
    requests in the mean, each with `new_prompt_tokens` more; `prefix_share` of the sessions start with one of
    the prefixes of `prefix_tokens` that the class shares. `late_value` is the part of a request's value that
    a late response still has. Duplicates are detected within `deduplication_scope` and for
    `deduplication_window`.
    """

    name: str
    share: float
    idempotency: Literal["rerunnable", "ticketed", "exclusive"] = msgspec.field(name="effect")
    priority_weight: float = msgspec.field(name="gain")
    first_token_objective: int = msgspec.field(name="due")
    first_token_objective_per_1000_tokens: int = msgspec.field(name="due_per_1000")
    time_limit: int = msgspec.field(name="limit")
    time_per_output_token: int = msgspec.field(name="pace")
    new_prompt_tokens: int = msgspec.field(name="new_tokens")
    output_tokens: int = msgspec.field(name="out_tokens")
    turns: float
    prefix_share: float = msgspec.field(name="beginning_share")
    prefix_tokens: int = msgspec.field(name="beginning_tokens")
    late_value: float = msgspec.field(default=0.1, name="late_share")
    deduplication_scope: Literal["all", "zone", "rack"] = msgspec.field(default="all", name="group")
    deduplication_window: int = msgspec.field(default=5 * SECOND, name="window")


class TenantPlan(msgspec.Struct):
    """A tenant: its share of the requests, and the rate that its quota allows."""

    name: str
    share: float
    requests_per_second: float = msgspec.field(name="per_second")


class FrontPlan(msgspec.Struct):
    """A front. It calls from a loopback address of its own, by which engines and audit know it."""

    name: str
    zone: str
    source_address: str = msgspec.field(name="source")
    port: int = 0


class EnginePlan(msgspec.Struct):
    """An engine; `engine_type` is the kind of the fronts' configuration that it belongs to."""

    spec: EngineSpec = msgspec.field(name="make")
    engine_type: str = msgspec.field(name="kind")
    port: int = 0

    @property
    def address(self) -> str:
        """Host and port, as the endpoint list has them."""
        return f"127.0.0.1:{self.port}"


class ClientsPlan(msgspec.Struct):
    """How the clients behave.

    `attempt_time_share` of a request class's time limit is what a client sets as a request's limit.
    `failover_delay` is how long the load balancer goes on sending to a front that is down.
    """

    retries: int = 1
    backoff: int = 1_000
    attempt_time_share: float = msgspec.field(default=1.0, name="limit_share")
    failover_delay: int = msgspec.field(default=2 * SECOND, name="entry_notice")
    disconnecting_share: float = msgspec.field(default=0.01, name="leaving")
    slow_reading_share: float = msgspec.field(default=0.01, name="slow_readers")


class FaultPlan(msgspec.Struct):
    """One fault. What the magnitudes and `mode` mean depends on the kind (see ScenarioRunner, workload).

    `targets` are indices of engines, or of fronts or tenants where the kind concerns these;
    `subject_index` is that of a request class or tenant. `steps` of a balancer_roll are times with the fronts
    that are then restarted.
    """

    kind: str
    starts_at: int = msgspec.field(name="at")
    duration: int = msgspec.field(name="length")
    magnitude: float = msgspec.field(default=1.0, name="size")
    secondary_magnitude: float = msgspec.field(default=0.0, name="extra")
    targets: list[int] = msgspec.field(default_factory=list, name="on")
    subject_index: int = msgspec.field(default=0, name="which")
    mode: str = msgspec.field(default="", name="how")
    steps: list[tuple[int, list[int]]] = []


class ScenarioPlan(msgspec.Struct):
    """A whole scenario.

    `max_time_limit` is the longest that a front accepts, 0 for the library's. `load_shape` has points of time
    in seconds and multiple of `requests_per_second`; without any the load is level. `cells` is a cell map as
    plain data.
    """

    name: str
    seed: int
    duration: int = msgspec.field(name="length")
    requests_per_second: float = msgspec.field(name="rate")
    zones: list[str]
    request_classes: list[RequestClassPlan] = msgspec.field(name="tariffs")
    tenants: list[TenantPlan]
    fronts: list[FrontPlan]
    engines: list[EnginePlan]
    clients: ClientsPlan
    faults: list[FaultPlan] = msgspec.field(name="troubles")
    max_time_limit: int = msgspec.field(default=0, name="longest_limit")
    cells: dict[str, Any] | None = None
    load_shape: list[tuple[float, float]] = msgspec.field(default_factory=list, name="shape")
    endpoint_list_delay: int = msgspec.field(default=3_000, name="list_delay")
    drain_grace: int = 2_500
    state_release_timeout: int = msgspec.field(default=3_000, name="release_within")
    max_attempts: int = msgspec.field(default=5, name="max_shots")
    slow_start_initial_fraction: float = msgspec.field(default=0.27, name="cold_from")
    slow_start_duration: int = msgspec.field(default=14 * SECOND, name="cold_time")
    slow_start_overload_multiple: float = msgspec.field(default=2.5, name="fall_multiple")
    slow_start_overload_window: int = msgspec.field(default=15_000, name="fall_time")


# Kinds of fault that a day of the simulator can have.
SIMULATOR_FAULT_KINDS = (
    "ageing",
    "balancer_roll",
    "burst",
    "class_fail",
    "discovery_stale",
    "flush",
    "heavy_tail",
    "hot_key",
    "neighbour",
    "origin_slow",
    "retry_abuse",
    "shared_slow",
    "slow",
    "tenant_burst",
    "throttle",
)
# Kinds that only the laboratory's own scenarios have.
LABORATORY_FAULT_KINDS = (
    "crash",
    "hang",
    "pause",
    "errors",
    "resets",
    "drain",
    "restart",
    "front_kill",
    "list_noise",
    "leaving",
    "full",
    "cell_move",
    "poison",
    "bad_release",
)
