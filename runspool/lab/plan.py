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

    Attributes:
        name: of the class.
        share: of all sessions.
        idempotency: whether a request may be executed twice ("rerunnable"), is recognised by its idempotency
            key ("ticketed"), or must not be executed again ("exclusive").
        priority_weight: the value of a request that is served in time.
        first_token_objective: time within which the first token has the full value.
        first_token_objective_per_1000_tokens: what 1,000 prompt tokens add to that.
        time_limit: how long its clients wait.
        time_per_output_token: at which a stream still has the full value.
        new_prompt_tokens: mean length of what each turn adds to the prompt.
        output_tokens: mean length of an answer.
        turns: mean number of requests in a session.
        prefix_share: of the sessions that start with a prefix that others share.
        prefix_tokens: length of such a prefix.
        late_value: the part of its value that a late response still has.
        deduplication_scope: among which engines a repeated idempotency key is recognised.
        deduplication_window: for how long it is.
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

    Attributes:
        retries: how often a request is sent again at most.
        backoff: between an attempt's end and the next.
        attempt_time_share: the part of the request class's time limit that a client gives a request.
        failover_delay: how long the load balancer goes on sending to a front that is down.
        disconnecting_share: of the clients that disconnect before their answer's end.
        slow_reading_share: of the clients that read a stream slowly.
    """

    retries: int = 1
    backoff: int = 1_000
    attempt_time_share: float = msgspec.field(default=1.0, name="limit_share")
    failover_delay: int = msgspec.field(default=2 * SECOND, name="entry_notice")
    disconnecting_share: float = msgspec.field(default=0.01, name="leaving")
    slow_reading_share: float = msgspec.field(default=0.01, name="slow_readers")


class FaultPlan(msgspec.Struct):
    """One fault.

    What magnitudes and mode mean depends on the kind; see the modules fault_injection, engine_faults,
    workload and migration_script of this package.

    Attributes:
        kind: one of SIMULATOR_FAULT_KINDS or LABORATORY_FAULT_KINDS.
        starts_at: from the scenario's start.
        duration: 0 for what happens at once.
        magnitude: how strong it is.
        secondary_magnitude: a second measure of that, for kinds that have one.
        targets: indices of engines, or of fronts or tenants where the kind concerns these.
        subject_index: of the request class or tenant that it concerns.
        mode: a variant of the kind.
        steps: of a balancer_roll: times, each with the fronts that are then restarted.
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

    Attributes:
        name: of the scenario.
        seed: of all that is drawn while it is played.
        duration: for which requests are sent.
        requests_per_second: the mean rate of all clients.
        zones: names of the zones.
        request_classes: what is asked.
        tenants: who asks.
        fronts: the fronts.
        engines: the engines.
        clients: how clients behave.
        faults: what goes wrong.
        max_time_limit: the longest that a front accepts; 0 for the library's default.
        cells: a cell map as plain data, None for a fleet without cells.
        load_shape: points of time (seconds) and multiple of the rate; without any the load is level.
        endpoint_list_delay: between an engine's change and the list's.
        drain_grace: how long requests may still be sent to an engine after the front knows that it drains.
        state_release_timeout: how long a state may be held without an attempt that uses it.
        max_attempts: that a front makes for one request.
        slow_start_initial_fraction: as the fronts are configured, so with those below.
        slow_start_duration: see EngineSpec.
        slow_start_overload_multiple: see EngineSpec.
        slow_start_overload_window: see EngineSpec.
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
