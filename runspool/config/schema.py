"""The schema of a front's configuration, and its translation into the scheduler's settings.

Field names are the keys of users' Jsonnet files and stay as they are; the classes and the tables below say
what they stand for. Units are part of the field names. An unknown field is a fault.
"""

from __future__ import annotations

from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from runspool.scheduling.settings import (
    EngineTypeSettings,
    RequestClassSettings,
    RoutingSettings,
    TenantSettings,
)
from runspool.scheduling.types import DeduplicationScope, Idempotency, Role
from runspool.units import tenths

MILLISECONDS_A_DAY = 86_400_000

Milliseconds = Annotated[float, Field(ge=0, le=MILLISECONDS_A_DAY)]
PositiveMilliseconds = Annotated[float, Field(gt=0, le=MILLISECONDS_A_DAY)]
Fraction = Annotated[float, Field(ge=0, le=1)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Bytes = Annotated[int, Field(ge=256, le=1 << 30)]
Port = Annotated[int, Field(ge=0, le=65535)]


# Users' words for the scheduler's types.
IDEMPOTENCY = {
    "rerunnable": Idempotency.IDEMPOTENT,
    "ticketed": Idempotency.KEYED,
    "exclusive": Idempotency.AT_MOST_ONCE,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "rack": DeduplicationScope.RACK,
}
ROLES = {"reader": Role.PREFILL, "writer": Role.DECODE, "mixed": Role.MIXED}


class ConfigSection(BaseModel):
    """A section whose values must have exactly the declared types, and no others."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class RequestClassConfig(ConfigSection):
    """One request class (`tariffs`): its objectives, its value, and how it may be repeated."""

    due_ms: PositiveMilliseconds
    due_per_1000_tokens_ms: Milliseconds
    limit_ms: PositiveMilliseconds
    pace_ms_per_token: Milliseconds
    gain: Annotated[float, Field(gt=0, le=1000)]
    late_share: Fraction
    effect: Literal["rerunnable", "ticketed", "exclusive"]
    group: Literal["all", "zone", "rack"]
    window_ms: Milliseconds

    @model_validator(mode="after")
    def due_before_limit(self) -> Self:
        """Check that the objective lies within the limit."""
        if self.due_ms > self.limit_ms:
            raise ValueError(f"due_ms {self.due_ms:g} is over limit_ms {self.limit_ms:g}")
        return self

    def request_class_settings(self) -> RequestClassSettings:
        """Return the scheduler's settings of this class, times in tenths of a millisecond."""
        return RequestClassSettings(
            first_token_objective=tenths(self.due_ms),
            first_token_objective_per_1000_tokens=tenths(self.due_per_1000_tokens_ms),
            time_per_output_token=tenths(self.pace_ms_per_token),
            priority_weight=self.gain,
            late_value=self.late_share,
            idempotency=IDEMPOTENCY[self.effect],
            deduplication_scope=DEDUPLICATION_SCOPES[self.group],
            deduplication_window=tenths(self.window_ms),
        )


class TenantConfig(ConfigSection):
    """One tenant: the rate of requests that it has paid for."""

    queries_per_second: Annotated[float, Field(gt=0)]


class EngineTypeConfig(ConfigSection):
    """One type of engines (`kinds`): its role, and the memory for cached tokens."""

    role: Literal["reader", "writer", "mixed"]
    memory_tokens: Annotated[int, Field(ge=0)]


class RulesConfig(ConfigSection):
    """Margins and timeouts of the scheduler (`rules`)."""

    answer_slack_ms: Milliseconds
    drain_grace_ms: Milliseconds
    cold_from: Annotated[float, Field(gt=0, le=1)]
    cold_ms: Milliseconds
    fall_multiple: Annotated[float, Field(gt=0)]
    fall_ms: PositiveMilliseconds
    release_within_ms: Annotated[float, Field(ge=50, le=60_000)]


class AttemptLimitsConfig(ConfigSection):
    """What the scheduler may do for one request (`limits`)."""

    max_shots: Annotated[int, Field(ge=1, le=64)]
    second_copies: Literal[False]  # the scheduler never hedges, so nobody may ask for it
    longest_wait_told_ms: Milliseconds
    writers_read: bool


class PricesConfig(ConfigSection):
    """What a choice costs, as fractions of a request's value (`prices`)."""

    far: Fraction
    zone: Fraction
    late: Fraction
    waste: Fraction


class HouseConfig(ConfigSection):
    """What all fronts share (`house`)."""

    fronts: Count
    zones: Annotated[list[Name], Field(min_length=1)]
    tariffs: Annotated[dict[Name, RequestClassConfig], Field(min_length=1)]
    tenants: dict[Name, TenantConfig]
    kinds: Annotated[dict[Name, EngineTypeConfig], Field(min_length=1)]
    rules: RulesConfig
    limits: AttemptLimitsConfig
    prices: PricesConfig
    over_share: Fraction

    @model_validator(mode="after")
    def zones_differ(self) -> Self:
        """Check that no zone occurs twice."""
        if len(set(self.zones)) < len(self.zones):
            raise ValueError("zones names one twice")
        return self


class ListenConfig(ConfigSection):
    """The address that a front listens on; port 0 stands for any free one."""

    host: str
    port: Port


class FrontBoundsConfig(ConfigSection):
    """The most that a front bears (`bounds`); beyond each, a request is refused before it is accepted."""

    connections: Count
    queries: Count
    head_bytes: Bytes
    query_bytes: Bytes
    head_ms: PositiveMilliseconds
    body_ms: PositiveMilliseconds
    idle_ms: PositiveMilliseconds
    answer_write_ms: PositiveMilliseconds
    stream_silence_ms: PositiveMilliseconds
    longest_limit_ms: PositiveMilliseconds
    drain_ms: PositiveMilliseconds


class EngineClientConfig(ConfigSection):
    """Connections to engines (`engines`): their timeouts and bounds."""

    connect_ms: PositiveMilliseconds
    idle_ms: PositiveMilliseconds
    connections_each: Count
    idle_each: Annotated[int, Field(ge=0)]
    read_answer_bytes: Bytes
    line_bytes: Bytes
    source_address: str | None


class EndpointListConfig(ConfigSection):
    """The service that lists the engines (`list`), and when its watch counts as lost."""

    host: str
    port: Annotated[int, Field(ge=1, le=65535)]
    quiet_ms: PositiveMilliseconds
    retry_ms: PositiveMilliseconds
    line_bytes: Bytes


class FrontProcessConfig(ConfigSection):
    """One front (`front`): its place among the others, its listener, its bounds, its files."""

    name: Name
    number: Annotated[int, Field(ge=0)]
    zone: Name
    seed: int
    listen: ListenConfig
    default_tariff: Name | None
    model: Name
    bounds: FrontBoundsConfig
    engines: EngineClientConfig
    list: EndpointListConfig
    memory_file: str | None
    cells_file: str | None
    log_level: Literal["debug", "info", "warning", "error"]


class FrontConfig(ConfigSection):
    """The whole configuration of a front."""

    house: HouseConfig
    front: FrontProcessConfig

    @model_validator(mode="after")
    def front_fits_house(self) -> Self:
        """Check the front's own values against those that all fronts share."""
        faults = []
        if self.front.zone not in self.house.zones:
            faults.append(f"front.zone {self.front.zone!r} is none of house.zones {self.house.zones}")
        if self.front.number >= self.house.fronts:
            faults.append(f"front.number {self.front.number} is not under house.fronts {self.house.fronts}")
        if self.front.default_tariff not in (None, *self.house.tariffs):
            faults.append(f"front.default_tariff {self.front.default_tariff!r} is none of house.tariffs")
        if self.front.cells_file is not None and self.front.memory_file is None:
            faults.append("front.cells_file needs front.memory_file, or a restart forgets when tenants moved")
        if faults:
            raise ValueError("; ".join(faults))
        return self

    def routing_settings(self) -> RoutingSettings:
        """Return the scheduler's settings: indices by the order of keys, times in tenths of a millisecond."""
        house, rules, limits = self.house, self.house.rules, self.house.limits
        return RoutingSettings(
            front_index=self.front.number,
            front_count=house.fronts,
            zone=house.zones.index(self.front.zone),
            request_classes=[
                request_class.request_class_settings() for request_class in house.tariffs.values()
            ],
            tenants=[TenantSettings(tenant.queries_per_second) for tenant in house.tenants.values()],
            engine_types=[
                EngineTypeSettings(ROLES[engine_type.role], engine_type.memory_tokens)
                for engine_type in house.kinds.values()
            ],
            over_quota_value=house.over_share,
            response_slack=tenths(rules.answer_slack_ms),
            slow_start_initial_fraction=rules.cold_from,
            slow_start_duration=tenths(rules.cold_ms),
            slow_start_overload_multiple=rules.fall_multiple,
            slow_start_overload_window=tenths(rules.fall_ms),
            state_release_timeout=tenths(rules.release_within_ms),
            max_attempts=limits.max_shots,
            may_hedge=limits.second_copies,
            may_cancel=True,
            may_probe=False,
            may_reserve=False,
            may_send_retry_after=True,
            max_retry_after=tenths(limits.longest_wait_told_ms),
            streams_can_resume=False,  # a stopped stream cannot go on at another engine, so none is stopped
            decode_engines_prefill=limits.writers_read,
            must_subscribe=False,
            subscribe_interval=0,
            cross_rack_price=house.prices.far,
            cross_zone_price=house.prices.zone,
            late_failure_price=house.prices.late,
            wasted_work_price=house.prices.waste,
        )
