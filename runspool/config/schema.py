"""The shape that terms must have. Units stand in the field names; an unknown field is a fault."""

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

Millis = Annotated[float, Field(ge=0, le=86_400_000)]
SomeMillis = Annotated[float, Field(gt=0, le=86_400_000)]
Share = Annotated[float, Field(ge=0, le=1)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Bytes = Annotated[int, Field(ge=256, le=1 << 30)]
Port = Annotated[int, Field(ge=0, le=65535)]


# The templates' words for the scheduler's types.
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
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class RequestClassConfig(ConfigSection):
    due_ms: SomeMillis
    due_per_1000_tokens_ms: Millis
    limit_ms: SomeMillis
    pace_ms_per_token: Millis
    gain: Annotated[float, Field(gt=0, le=1000)]
    late_share: Share
    effect: Literal["rerunnable", "ticketed", "exclusive"]
    group: Literal["all", "zone", "rack"]
    window_ms: Millis

    @model_validator(mode="after")
    def due_before_limit(self) -> Self:
        if self.due_ms > self.limit_ms:
            raise ValueError(f"due_ms {self.due_ms:g} is over limit_ms {self.limit_ms:g}")
        return self


class TenantConfig(ConfigSection):
    queries_per_second: Annotated[float, Field(gt=0)]


class EngineTypeConfig(ConfigSection):
    role: Literal["reader", "writer", "mixed"]
    memory_tokens: Annotated[int, Field(ge=0)]


class RulesConfig(ConfigSection):
    answer_slack_ms: Millis
    drain_grace_ms: Millis
    cold_from: Annotated[float, Field(gt=0, le=1)]
    cold_ms: Millis
    fall_multiple: Annotated[float, Field(gt=0)]
    fall_ms: SomeMillis
    release_within_ms: Annotated[float, Field(ge=50, le=60_000)]


class AttemptLimitsConfig(ConfigSection):
    max_shots: Annotated[int, Field(ge=1, le=64)]
    second_copies: Literal[False]  # the module sends none; a house that wants them would not get them
    longest_wait_told_ms: Millis
    writers_read: bool


class PricesConfig(ConfigSection):
    far: Share
    zone: Share
    late: Share
    waste: Share


class HouseConfig(ConfigSection):
    """What every front of a house shares."""

    fronts: Count
    zones: Annotated[list[Name], Field(min_length=1)]
    tariffs: Annotated[dict[Name, RequestClassConfig], Field(min_length=1)]
    tenants: dict[Name, TenantConfig]
    kinds: Annotated[dict[Name, EngineTypeConfig], Field(min_length=1)]
    rules: RulesConfig
    limits: AttemptLimitsConfig
    prices: PricesConfig
    over_share: Share

    @model_validator(mode="after")
    def zones_differ(self) -> Self:
        if len(set(self.zones)) < len(self.zones):
            raise ValueError("zones names one twice")
        return self


class ListenConfig(ConfigSection):
    host: str
    port: Port


class FrontBoundsConfig(ConfigSection):
    """What a front bears at most; past each a clean refusal, before the query counts as taken."""

    connections: Count
    queries: Count
    head_bytes: Bytes
    query_bytes: Bytes
    head_ms: SomeMillis
    body_ms: SomeMillis
    idle_ms: SomeMillis
    answer_write_ms: SomeMillis
    stream_silence_ms: SomeMillis
    longest_limit_ms: SomeMillis
    drain_ms: SomeMillis


class EngineClientConfig(ConfigSection):
    """How a front speaks to engines."""

    connect_ms: SomeMillis
    idle_ms: SomeMillis
    connections_each: Count
    idle_each: Annotated[int, Field(ge=0)]
    read_answer_bytes: Bytes
    line_bytes: Bytes
    source_address: str | None


class EndpointListConfig(ConfigSection):
    """Where the list of engines is watched, and when it counts as lost."""

    host: str
    port: Annotated[int, Field(ge=1, le=65535)]
    quiet_ms: SomeMillis
    retry_ms: SomeMillis
    line_bytes: Bytes


class FrontProcessConfig(ConfigSection):
    """One front: its place, its listener, its bounds."""

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
    """All that a front is told at its start."""

    house: HouseConfig
    front: FrontProcessConfig

    @model_validator(mode="after")
    def front_fits_house(self) -> Self:
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
        """The module's view: indices by order, times in tenths of a millisecond."""
        house, rules, limits = self.house, self.house.rules, self.house.limits
        return RoutingSettings(
            front_index=self.front.number,
            front_count=house.fronts,
            zone=house.zones.index(self.front.zone),
            request_classes=[
                RequestClassSettings(
                    tenths(row.due_ms),
                    tenths(row.due_per_1000_tokens_ms),
                    tenths(row.pace_ms_per_token),
                    row.gain,
                    row.late_share,
                    IDEMPOTENCY[row.effect],
                    DEDUPLICATION_SCOPES[row.group],
                    tenths(row.window_ms),
                )
                for row in house.tariffs.values()
            ],
            tenants=[TenantSettings(row.queries_per_second) for row in house.tenants.values()],
            engine_types=[
                EngineTypeSettings(ROLES[row.role], row.memory_tokens) for row in house.kinds.values()
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
            streams_can_resume=False,  # a stopped stream cannot yet go on elsewhere, so none is stopped
            decode_engines_prefill=limits.writers_read,
            must_subscribe=False,
            subscribe_interval=0,
            cross_rack_price=house.prices.far,
            cross_zone_price=house.prices.zone,
            late_failure_price=house.prices.late,
            wasted_work_price=house.prices.waste,
        )
