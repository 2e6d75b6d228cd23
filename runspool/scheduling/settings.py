"""What the platform's settings tell the scheduler, read once when a front starts.

Times and durations are whole tenths of a millisecond; `price` fields are in units of a request's priority
weight.
The settings readers (`runspool.runtime.platform_settings`, `runspool.config.schema`) hold the names that the
platform gives these figures.
"""

from __future__ import annotations

from dataclasses import dataclass

from runspool.scheduling.types import DeduplicationScope, Idempotency, Role


@dataclass(slots=True)
class RequestClassSettings:
    """Objectives and retry rules of one class of requests.

    `priority_weight` is what a response within its objectives is worth, `late_value` the part of it that
    a late
    one still is. `first_token_objective` grows by `first_token_objective_per_1000_tokens` with the prompt.
    """

    first_token_objective: int
    first_token_objective_per_1000_tokens: int
    time_per_output_token: int
    priority_weight: float
    late_value: float
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    deduplication_window: int


@dataclass(slots=True)
class TenantSettings:
    """A tenant's quota over the whole fleet of fronts."""

    requests_per_second: float


@dataclass(slots=True)
class EngineTypeSettings:
    """What engines of one type do, and how many tokens their memory holds (0: not told)."""

    role: Role
    memory_tokens: int


@dataclass(slots=True)
class RoutingSettings:
    """The limits, rights and prices that all fronts of a deployment share.

    `request_classes`, `tenants` and `engine_types` are indexed by the small integers that requests and engine
    records carry. A cold engine serves `slow_start_initial_fraction` of its capacity at its start, which
    grows to all of it over `slow_start_duration`; it fails where it gets over `slow_start_overload_multiple`
    times its present capacity within `slow_start_overload_window`. A timeout of 0 means that none is set.
    """

    front_index: int
    front_count: int
    zone: int
    request_classes: list[RequestClassSettings]
    tenants: list[TenantSettings]
    engine_types: list[EngineTypeSettings]
    over_quota_value: float
    response_slack: int
    slow_start_initial_fraction: float
    slow_start_duration: int
    slow_start_overload_multiple: float
    slow_start_overload_window: int
    state_release_timeout: int
    max_attempts: int
    may_hedge: bool
    may_cancel: bool
    may_probe: bool
    may_reserve: bool
    may_send_retry_after: bool
    max_retry_after: int
    streams_can_resume: bool
    decode_engines_prefill: bool
    must_subscribe: bool
    subscribe_interval: int
    cross_rack_price: float
    cross_zone_price: float
    late_failure_price: float
    wasted_work_price: float
