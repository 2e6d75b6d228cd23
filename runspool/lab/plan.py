"""The plan of a scenario as plain data: its fleet, its workload, and its faults with their times.

Times are tenths of a millisecond, and lengths are tokens. Plans are stored in plan.json and wire.jsonl. An
attribute is stored under the `name` that its field gives, otherwise under its own name.
"""

from __future__ import annotations

from typing import Any, Literal

import msgspec

from runspool.lab.engine_model import EngineSpec

SECOND = 10_000  # tenths of a millisecond


class RequestClassPlan(msgspec.Struct):
    """A request class: its objectives, and the sessions that its clients send.

    Attributes:
        name: the name of the class.
        share: the share of all sessions that belong to the class, from 0 to 1.
        idempotency: "rerunnable" if a request may be executed more than once, "ticketed" if engines recognise
            a repeated request by its idempotency key, "exclusive" if it must not be executed again.
        priority_weight: the value of a request that is served within its objectives.
        first_token_objective: the time within which the first token has to arrive for the full value.
        first_token_objective_per_1000_tokens: the time that each 1,000 prompt tokens add to the objective.
        time_limit: the time for which clients wait. Each 1,000 prompt tokens add twice the time that
            they add to the objective.
        time_per_output_token: the maximum mean time per token at which a stream has its full value.
        new_prompt_tokens: the mean number of tokens that each turn adds to the prompt.
        output_tokens: the mean length of a response.
        turns: the mean number of requests in a session.
        prefix_share: the share of sessions whose prompt starts with a prefix that other sessions have too.
        prefix_tokens: the length of such a prefix.
        late_value: the fraction of its value that a late response has.
        deduplication_scope: which engines share their knowledge of idempotency keys: all of them, those in a
            zone, or those in a rack.
        deduplication_window: the time for which engines recognise an idempotency key.
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
    """A tenant, with its share of the sessions (0 to 1) and the request rate that its quota allows."""

    name: str
    share: float
    requests_per_second: float = msgspec.field(name="per_second")


class FrontPlan(msgspec.Struct):
    """A front. It connects from its own loopback address, by which engines and the audit identify it."""

    name: str
    zone: str
    source_address: str = msgspec.field(name="source")
    port: int = 0


class EnginePlan(msgspec.Struct):
    """An engine; `engine_type` is the name of its engine type in the configuration of the fronts."""

    spec: EngineSpec = msgspec.field(name="make")
    engine_type: str = msgspec.field(name="kind")
    port: int = 0

    @property
    def address(self) -> str:
        """The host and port, as published in the endpoint list."""
        return f"127.0.0.1:{self.port}"


class ClientsPlan(msgspec.Struct):
    """The behaviour of the clients and of the load balancer that they use.

    Attributes:
        retries: the maximum number of retries of a request.
        backoff: the time between the end of an attempt and the next attempt.
        attempt_time_share: the time for which a client waits, as a fraction of the request class's time
            limit.
        failover_delay: the time for which the load balancer keeps sending requests to a front that is down.
        disconnecting_share: the share of requests whose client may disconnect before the end of the response.
        slow_reading_share: the share of streamed requests whose client reads the response slowly.
    """

    retries: int = 1
    backoff: int = 1_000
    attempt_time_share: float = msgspec.field(default=1.0, name="limit_share")
    failover_delay: int = msgspec.field(default=2 * SECOND, name="entry_notice")
    disconnecting_share: float = msgspec.field(default=0.01, name="leaving")
    slow_reading_share: float = msgspec.field(default=0.01, name="slow_readers")


class FaultPlan(msgspec.Struct):
    """One fault.

    The meaning of the magnitudes and the mode depends on the kind. The modules fault_injection,
    engine_fault_commands, workload and tenant_migrator of this package define it.

    Attributes:
        kind: one of SIMULATOR_FAULT_KINDS or LABORATORY_FAULT_KINDS.
        starts_at: when the fault begins, counted from the start of the scenario.
        duration: how long it lasts; 0 for an instantaneous fault.
        magnitude: the strength of the fault.
        secondary_magnitude: a second parameter, for kinds that have one.
        targets: indices in the plan of the engines that it affects; of fronts or tenants for kinds that
            affect these.
        subject_index: the index in the plan of the request class or tenant that it affects, for kinds that
            affect one; the number of the migration for cell_move.
        mode: the variant of the kind.
        steps: for balancer_roll: times from the start of the scenario, each with the indices of the fronts
            that are restarted then.
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
    """The plan of a scenario.

    Attributes:
        name: the name of the scenario.
        seed: the seed from which the workload and other random values are derived.
        duration: the time during which clients start requests.
        requests_per_second: the mean request rate of all clients together.
        zones: the names of the zones.
        request_classes: the request classes.
        tenants: the tenants.
        fronts: the fronts.
        engines: the engines.
        clients: the behaviour of the clients.
        faults: the faults to inject.
        max_time_limit: the longest time limit that the fronts accept; 0 for the default of the configuration
            library.
        cells: the cell map as plain data; None for a fleet without cells.
        load_shape: points (time in seconds, multiple of the mean rate) between which the load is
            interpolated; empty for a constant load.
        endpoint_list_delay: the time from a change of an engine's state to its publication in the list.
        drain_grace: the time for which a front may still send requests to an engine after it has learned that
            the engine is draining.
        state_release_timeout: the time within which a front must release a prefill state that no attempt
            uses.
        max_attempts: the maximum number of attempts that a front makes for a request.
        slow_start_initial_fraction: the value in the fronts' configuration, which may differ from that of the
            engines (see EngineSpec); this applies to the next three attributes too.
        slow_start_duration: see slow_start_initial_fraction.
        slow_start_overload_multiple: see slow_start_initial_fraction.
        slow_start_overload_window: see slow_start_initial_fraction.
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


# The kinds of fault that scenarios of the simulator contain.
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
# The kinds of fault that only the laboratory's own scenarios contain.
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
