"""The schema of a front's configuration, and its conversion to the scheduler's settings.

The field names are the keys of users' Jsonnet files and must not be renamed. The unit of a field is part of
its name. Unknown fields are rejected.
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
from runspool.units import ms_to_tenths

MILLISECONDS_PER_DAY = 86_400_000

Milliseconds = Annotated[float, Field(ge=0, le=MILLISECONDS_PER_DAY)]
PositiveMilliseconds = Annotated[float, Field(gt=0, le=MILLISECONDS_PER_DAY)]
Fraction = Annotated[float, Field(ge=0, le=1)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Bytes = Annotated[int, Field(ge=256, le=1 << 30)]
Port = Annotated[int, Field(ge=0, le=65535)]


# The scheduler's types, by the words that configuration files use for them.
IDEMPOTENCY_BY_EFFECT = {
    "rerunnable": Idempotency.IDEMPOTENT,
    "ticketed": Idempotency.KEYED,
    "exclusive": Idempotency.AT_MOST_ONCE,
}
DEDUPLICATION_SCOPE_BY_GROUP = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "rack": DeduplicationScope.RACK,
}
ROLE_BY_NAME = {"reader": Role.PREFILL, "writer": Role.DECODE, "mixed": Role.MIXED}


class ConfigSection(BaseModel):
    """Base class of the sections: immutable, without type conversion, without unknown fields."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class RequestClassConfig(ConfigSection):
    """One request class (a value of `tariffs`).

    Attributes:
        due_ms: the first-token objective for an empty prompt.
        due_per_1000_tokens_ms: the increase of the objective per 1,000 prompt tokens.
        limit_ms: the deadline of a request with an empty prompt whose client states none; it grows with the
            prompt by twice `due_per_1000_tokens_ms`.
        pace_ms_per_token: the objective for the time per output token.
        gain: the value of a response that meets its objectives, relative to the other classes.
        late_share: the fraction of that value that a late response still has; the scheduler does not use it.
        effect: whether a request may be executed repeatedly ("rerunnable"), repeatedly with the same
            idempotency key ("ticketed"), or at most once ("exclusive").
        group: the deduplication scope: the engines among which a duplicate is recognized by its key.
        window_ms: how long engines remember an idempotency key.
    """

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
    def check_objective_within_limit(self) -> Self:
        """Raise ValueError if the first-token objective exceeds the deadline."""
        if self.due_ms > self.limit_ms:
            raise ValueError(f"due_ms {self.due_ms:g} is greater than limit_ms {self.limit_ms:g}")
        return self

    def request_class_settings(self) -> RequestClassSettings:
        """Return the scheduler's settings for this class, with times in tenths of a millisecond."""
        return RequestClassSettings(
            first_token_objective=ms_to_tenths(self.due_ms),
            first_token_objective_per_1000_tokens=ms_to_tenths(self.due_per_1000_tokens_ms),
            time_per_output_token=ms_to_tenths(self.pace_ms_per_token),
            priority_weight=self.gain,
            late_value=self.late_share,
            idempotency=IDEMPOTENCY_BY_EFFECT[self.effect],
            deduplication_scope=DEDUPLICATION_SCOPE_BY_GROUP[self.group],
            deduplication_window=ms_to_tenths(self.window_ms),
        )


class TenantConfig(ConfigSection):
    """One tenant (a value of `tenants`).

    Attributes:
        queries_per_second: the tenant's quota of requests per second, over all fronts.
    """

    queries_per_second: Annotated[float, Field(gt=0)]


class EngineTypeConfig(ConfigSection):
    """One engine type (a value of `kinds`).

    Attributes:
        role: "reader" for prefill, "writer" for decode, or "mixed".
        memory_tokens: the number of cached tokens that an engine's memory holds; 0 if it is not known.
    """

    role: Literal["reader", "writer", "mixed"]
    memory_tokens: Annotated[int, Field(ge=0)]


class SchedulerMarginsConfig(ConfigSection):
    """Margins and timeouts of the scheduler (`rules`).

    Attributes:
        answer_slack_ms: the time reserved before a deadline for delivering the response.
        drain_grace_ms: the time for which an engine that drains may still receive requests; fronts do not
            use it.
        cold_from: slow start: the fraction of its capacity that an engine has at its start.
        cold_ms: slow start: the time until an engine has its full capacity.
        fall_multiple: the multiple of its current capacity at which an engine in slow start fails.
        fall_ms: the period over which the load of an engine in slow start is compared with its capacity.
        release_within_ms: the time within which unused prefill state must be released.
    """

    answer_slack_ms: Milliseconds
    drain_grace_ms: Milliseconds
    cold_from: Annotated[float, Field(gt=0, le=1)]
    cold_ms: Milliseconds
    fall_multiple: Annotated[float, Field(gt=0)]
    fall_ms: PositiveMilliseconds
    release_within_ms: Annotated[float, Field(ge=50, le=60_000)]


class AttemptLimitsConfig(ConfigSection):
    """Limits on what the scheduler may do for one request (`limits`).

    Attributes:
        max_shots: the maximum number of attempts.
        second_copies: whether the scheduler may hedge; always false, because it does not implement hedging.
        longest_wait_told_ms: the longest delay that a front tells a rejected client to wait before a retry.
        writers_read: whether decode engines may run prefill.
    """

    max_shots: Annotated[int, Field(ge=1, le=64)]
    second_copies: Literal[False]
    longest_wait_told_ms: Milliseconds
    writers_read: bool


class PricesConfig(ConfigSection):
    """The costs that engine selection weighs, as fractions of a request's value (`prices`).

    Attributes:
        far: using an engine in another rack.
        zone: using an engine in another zone.
        late: an attempt that fails late; the scheduler does not use it.
        waste: work whose result is not used; the scheduler does not use it.
    """

    far: Fraction
    zone: Fraction
    late: Fraction
    waste: Fraction


class SharedConfig(ConfigSection):
    """The settings that all fronts of a deployment share (`house`).

    Attributes:
        fronts: the number of fronts.
        zones: the names of the zones.
        tariffs: the request classes by name.
        tenants: the tenants by name.
        kinds: the engine types by name.
        rules: margins and timeouts of the scheduler.
        limits: limits on what the scheduler may do for one request.
        prices: the costs that engine selection weighs.
        over_share: the fraction of its value that a request above the tenant's quota has; the scheduler does
            not use it.
    """

    fronts: Count
    zones: Annotated[list[Name], Field(min_length=1)]
    tariffs: Annotated[dict[Name, RequestClassConfig], Field(min_length=1)]
    tenants: dict[Name, TenantConfig]
    kinds: Annotated[dict[Name, EngineTypeConfig], Field(min_length=1)]
    rules: SchedulerMarginsConfig
    limits: AttemptLimitsConfig
    prices: PricesConfig
    over_share: Fraction

    @model_validator(mode="after")
    def check_zones_are_unique(self) -> Self:
        """Raise ValueError if a zone occurs twice."""
        if len(set(self.zones)) < len(self.zones):
            raise ValueError("zones contains the same name twice")
        return self


class ListenConfig(ConfigSection):
    """The address that a front listens on (`listen`); port 0 selects any free port."""

    host: str
    port: Port


class FrontLimitsConfig(ConfigSection):
    """Limits and timeouts of a front's connections from clients (`bounds`).

    A request beyond a limit is refused before it is accepted.

    Attributes:
        connections: the maximum number of client connections.
        queries: the maximum number of requests in progress.
        head_bytes: the maximum size of a request's head, that is, its first line and headers.
        query_bytes: the maximum size of a request's body.
        head_ms: the time from the first byte of a head to its end.
        body_ms: the time from the end of the head to the end of the body.
        idle_ms: the time for which a connection without a request is kept open.
        answer_write_ms: the time for which a client may leave a response unread.
        stream_silence_ms: the time for which an engine may send nothing in a stream that has started.
        longest_limit_ms: the longest deadline that a client may set.
        drain_ms: the time that requests in progress have to end when the front stops.
    """

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
    """Limits and timeouts of a front's connections to engines (`engines`).

    Attributes:
        connect_ms: the timeout for establishing a connection.
        idle_ms: the time for which an idle connection is kept open.
        connections_each: the maximum number of connections per engine.
        idle_each: the maximum number of idle connections kept per engine.
        read_answer_bytes: the maximum size of a response body that is not a stream.
        line_bytes: the maximum size of one event in a response stream.
        source_address: the local address to connect from, or None for the system's choice.
    """

    connect_ms: PositiveMilliseconds
    idle_ms: PositiveMilliseconds
    connections_each: Count
    idle_each: Annotated[int, Field(ge=0)]
    read_answer_bytes: Bytes
    line_bytes: Bytes
    source_address: str | None


class EndpointListConfig(ConfigSection):
    """The service that publishes the endpoint list (`list`).

    Attributes:
        host: the host of the service.
        port: the port of the service.
        quiet_ms: the time without data after which the watch counts as lost, and after which another attempt
            to open it starts.
        retry_ms: the delay before the watch is opened again.
        line_bytes: the maximum length of a line of the watch.
    """

    host: str
    port: Annotated[int, Field(ge=1, le=65535)]
    quiet_ms: PositiveMilliseconds
    retry_ms: PositiveMilliseconds
    line_bytes: Bytes


class FrontProcessConfig(ConfigSection):
    """The settings of one front (`front`).

    Attributes:
        name: the front's name in logs and in response headers.
        number: the front's index, from 0 to one less than the number of fronts.
        zone: the zone that the front runs in.
        seed: the seed of the front's random number generators.
        listen: the address to listen on.
        default_tariff: the request class of requests that name none; if None, they are refused.
        model: the model name in responses.
        bounds: limits and timeouts of client connections.
        engines: limits and timeouts of engine connections.
        list: the service that publishes the endpoint list.
        memory_file: the file that stores the last endpoint list, or None.
        cells_file: the file with the cell map, or None for a front without cells.
        log_level: the lowest level of the messages that are logged.
    """

    name: Name
    number: Annotated[int, Field(ge=0)]
    zone: Name
    seed: int
    listen: ListenConfig
    default_tariff: Name | None
    model: Name
    bounds: FrontLimitsConfig
    engines: EngineClientConfig
    list: EndpointListConfig
    memory_file: str | None
    cells_file: str | None
    log_level: Literal["debug", "info", "warning", "error"]


class FrontConfig(ConfigSection):
    """The complete configuration of a front."""

    house: SharedConfig
    front: FrontProcessConfig

    @model_validator(mode="after")
    def check_front_against_shared_settings(self) -> Self:
        """Raise ValueError if the front's own settings contradict the shared settings or each other."""
        errors = []
        if self.front.zone not in self.house.zones:
            errors.append(f"front.zone {self.front.zone!r} is not in house.zones {self.house.zones}")
        if self.front.number >= self.house.fronts:
            errors.append(f"front.number {self.front.number} is not below house.fronts {self.house.fronts}")
        if self.front.default_tariff not in (None, *self.house.tariffs):
            errors.append(f"front.default_tariff {self.front.default_tariff!r} is not in house.tariffs")
        if self.front.cells_file is not None and self.front.memory_file is None:
            # The time at which the cell map was adopted is stored beside memory_file.
            errors.append(
                "front.cells_file requires front.memory_file, or a restart forgets when tenants moved"
            )
        if errors:
            raise ValueError("; ".join(errors))
        return self

    def routing_settings(self) -> RoutingSettings:
        """Return the scheduler's settings, with times in tenths of a millisecond.

        Request classes, tenants, engine types and zones are numbered in the order of the configuration.
        """
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
                EngineTypeSettings(ROLE_BY_NAME[engine_type.role], engine_type.memory_tokens)
                for engine_type in house.kinds.values()
            ],
            over_quota_value=house.over_share,
            response_slack=ms_to_tenths(rules.answer_slack_ms),
            slow_start_initial_fraction=rules.cold_from,
            slow_start_duration=ms_to_tenths(rules.cold_ms),
            slow_start_overload_multiple=rules.fall_multiple,
            slow_start_overload_window=ms_to_tenths(rules.fall_ms),
            state_release_timeout=ms_to_tenths(rules.release_within_ms),
            max_attempts=limits.max_shots,
            may_hedge=limits.second_copies,
            may_cancel=True,
            may_probe=False,
            may_reserve=False,
            may_send_retry_after=True,
            max_retry_after=ms_to_tenths(limits.longest_wait_told_ms),
            streams_can_resume=False,  # another engine cannot continue an interrupted stream
            decode_engines_prefill=limits.writers_read,
            must_subscribe=False,
            subscribe_interval=0,
            cross_rack_price=house.prices.far,
            cross_zone_price=house.prices.zone,
            late_failure_price=house.prices.late,
            wasted_work_price=house.prices.waste,
        )
