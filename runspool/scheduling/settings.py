"""The routing settings of the platform, which the scheduler reads once when a front starts.

Times and durations are whole tenths of a millisecond. `price` fields are in the unit of `priority_weight`.

The names that the platform gives these settings are mapped in `runspool.runtime.platform_settings` and
`runspool.config.schema`.
"""

from __future__ import annotations

from dataclasses import dataclass

from runspool.scheduling.types import DeduplicationScope, Idempotency, Role


@dataclass(slots=True)
class RequestClassSettings:
    """Objectives and retry rules of one request class.

    `priority_weight` is the value of a response that meets its objectives, `late_value` the fraction of that
    value that a late response still has. The first-token objective of a request is `first_token_objective`
    plus `first_token_objective_per_1000_tokens` for every 1000 prompt tokens.

    `idempotency` says whether a request may be repeated after it may have been executed. Where engines
    deduplicate requests, they do so within `deduplication_scope` and for `deduplication_window` after the
    first attempt.
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
    """A tenant's quota, which applies to all fronts together."""

    requests_per_second: float


@dataclass(slots=True)
class EngineTypeSettings:
    """Role and memory of one engine type; `memory_tokens` is 0 where the capacity is not known."""

    role: Role
    memory_tokens: int


@dataclass(slots=True)
class RoutingSettings:
    """Limits, permissions and prices that all fronts of a deployment share, and this front's own index.

    Requests and engine records refer to `request_classes`, `tenants` and `engine_types` by list index. The
    `may_` flags say what the platform permits a front to do.

    A newly started engine has the fraction `slow_start_initial_fraction` of its full capacity, which grows to
    1 over `slow_start_duration`. It fails if within `slow_start_overload_window` it receives more than
    `slow_start_overload_multiple` times its current capacity.

    `state_release_timeout` is how long an engine may keep the state of a prefill for a request; by then the
    front must have released it. A timeout of 0 means that no timeout applies.
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
