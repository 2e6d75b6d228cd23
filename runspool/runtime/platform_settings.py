"""Conversion of the settings that the platform gives a front at its start to `RoutingSettings`.

The settings are a JSON object. The simulator sends it in its first message, and a node reads it from its
configuration file. The platform defines its keys, which this module maps to the names used in the code.
"""

from __future__ import annotations

from typing import Any, TypeVar

from runspool.errors import RunspoolError
from runspool.scheduling.settings import (
    EngineTypeSettings,
    RequestClassSettings,
    RoutingSettings,
    TenantSettings,
)
from runspool.scheduling.types import DeduplicationScope, Idempotency, Role

T = TypeVar("T")

# Microseconds per tenth of a millisecond, the unit of durations inside the program.
US_PER_TENTH_MS = 100
# Exclusive bound on the absolute value of any number in the settings.
NUMBER_LIMIT = 1e15

IDEMPOTENCY = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.KEYED,
    "at_most_once": Idempotency.AT_MOST_ONCE,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.RACK,
}
ROLES = {"read": Role.PREFILL, "write": Role.DECODE, "both": Role.MIXED}


class InvalidSettingsError(RunspoolError):
    """A value in the settings is invalid.

    `key` is the path of the value, such as `classes[2].aim-us`, and `problem` describes what is wrong with
    it.
    """

    def __init__(self, key: str, problem: str) -> None:
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem


class SettingsSection:
    """A JSON object in the settings, with its path.

    The accessors take a key of the object. They raise InvalidSettingsError, with the full path of the value,
    if the value has the wrong type or is out of range. Except in choice(), null is treated as absent.
    """

    def __init__(self, value: object, path: str) -> None:
        """Wrap the decoded JSON `value`, where None is an empty object; `path` is empty for the root.

        Raises:
            InvalidSettingsError: `value` is not an object.
        """
        if value is None:
            value = {}
        if not isinstance(value, dict):
            raise InvalidSettingsError(path or "settings", "is not an object")
        self.values: dict[str, Any] = value
        self.path = path

    def path_of(self, key: str) -> str:
        """Return the path of a key of this object, from the root on."""
        return f"{self.path}.{key}" if self.path else key

    def section(self, key: str) -> SettingsSection:
        """Return the object at `key`; an empty one if absent."""
        return SettingsSection(self.values.get(key), self.path_of(key))

    def items(self, key: str) -> list[Any]:
        """Return the list at `key` with unchecked items; an empty one if absent."""
        rows = self.values.get(key)
        if rows is None:
            return []
        if not isinstance(rows, list):
            raise InvalidSettingsError(self.path_of(key), "is not a list")
        return rows

    def sections(self, key: str) -> list[SettingsSection]:
        """Return the list of objects at `key`; an empty one if absent."""
        path = self.path_of(key)
        return [SettingsSection(row, f"{path}[{index}]") for index, row in enumerate(self.items(key))]

    def numbers(self, key: str) -> list[float]:
        """Return the list of numbers at `key`; an empty one if absent."""
        path = self.path_of(key)
        return [_check_number(row, f"{path}[{index}]") for index, row in enumerate(self.items(key))]

    def number(self, key: str, default: float) -> float:
        """Return the number at `key`, or `default` if absent."""
        value = self.values.get(key)
        return default if value is None else _check_number(value, self.path_of(key))

    def integer(self, key: str, default: int) -> int:
        """Return the number at `key` truncated to an integer, or `default` if absent."""
        return int(self.number(key, default))

    def duration(self, key: str, default_us: int = 0) -> int:
        """Return the duration at `key`, given in microseconds, in whole tenths of a millisecond."""
        microseconds = self.number(key, default_us)
        if microseconds < 0:
            raise InvalidSettingsError(self.path_of(key), f"{microseconds:.0f} is negative")
        return int(microseconds) // US_PER_TENTH_MS

    def flag(self, key: str) -> bool:
        """Return the truth value of the value at `key`; False if absent."""
        return bool(self.values.get(key, False))

    def choice(self, key: str, choices: dict[str, T], default: str) -> T:
        """Return the entry of `choices` for the string at `key`, or for `default` if the key is absent."""
        value = self.values.get(key, default)
        if not isinstance(value, str) or value not in choices:
            raise InvalidSettingsError(self.path_of(key), f"{value!r} is not one of {', '.join(choices)}")
        return choices[value]


def _check_number(value: object, path: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) < NUMBER_LIMIT:
        raise InvalidSettingsError(path, f"{value!r} is not a number of magnitude below 1e15")
    return float(value)


class PlatformSettings:
    """The settings that a platform gives a front.

    `request_classes`, `tenants`, `zones` and `engine_types` map the platform's names to the indices that
    `routing` and the requests use. `connect_timeout`, `idle_timeout` and `deadlines` (one per request class,
    0 for none) are in tenths of a millisecond.
    """

    def __init__(self, value: object) -> None:
        """Convert the decoded JSON object `value`.

        Raises:
            InvalidSettingsError: A value has the wrong type or is out of range.
        """
        top = SettingsSection(value, "")
        self.request_classes = _indices_by_name(top, "classes")
        self.tenants = _indices_by_name(top, "realms")
        self.zones = {str(name): index for index, name in enumerate(top.items("zones"))}
        self.engine_types = {str(name): index for index, name in enumerate(top.items("host-types"))}
        engines, limits = top.section("family-info"), top.section("limits")
        rules, prices = top.section("rules"), top.section("prices")
        engine_types = _engine_types(engines, len(self.engine_types))
        # The front's connections use these settings; the scheduler does not get them.
        per_1000_tokens = engines.numbers("aim-us-per-1000-prompt-tokens")
        per_output_token = engines.numbers("token-aim-us")
        self.connect_timeout = limits.duration("dial-timeout-us")
        self.idle_timeout = limits.duration("conn-idle-us")
        self.deadlines = [row.duration("deadline-us") for row in top.sections("classes")]
        self.routing = RoutingSettings(
            front_index=top.integer("me", 0),
            front_count=max(1, top.integer("siblings", 1)),
            zone=self.zones.get(str(top.values.get("locality", "")), -1),
            request_classes=[
                _request_class(
                    row,
                    objective_per_1000_tokens=_duration_at(per_1000_tokens, index),
                    time_per_output_token=_duration_at(per_output_token, index),
                )
                for index, row in enumerate(top.sections("classes"))
            ],
            tenants=[TenantSettings(row.number("quota-rps", 0)) for row in top.sections("realms")],
            engine_types=engine_types,
            over_quota_value=top.number("over-share-worth", 1.0),
            response_slack=rules.duration("answer-slack-us"),
            slow_start_initial_fraction=rules.number("cold-from", 1.0),
            slow_start_duration=rules.duration("cold-us"),
            slow_start_overload_multiple=rules.number("tip-multiple", 1.0),
            slow_start_overload_window=rules.duration("fall-us"),
            state_release_timeout=engines.duration("release-within-us"),
            max_attempts=limits.integer("max-attempts", 1),
            may_hedge=limits.flag("second-copies"),
            may_cancel=limits.flag("cancel"),
            may_probe=limits.flag("probes"),
            may_reserve=engines.flag("ahead"),
            may_send_retry_after=limits.flag("retry-after"),
            max_retry_after=limits.duration("max-retry-after-us"),
            streams_can_resume=engines.flag("resume"),
            decode_engines_prefill=engines.flag("read-in-place"),
            must_subscribe=top.values.get("discovery") == "on_request",
            subscribe_interval=rules.duration("ask-within-us"),
            cross_rack_price=engines.number("cross-cell-price", 0.0),
            cross_zone_price=prices.number("cross-zone", 0.0),
            late_failure_price=prices.number("late-fail", 0.0),
            wasted_work_price=prices.number("waste", 0.0),
        )


def _indices_by_name(top: SettingsSection, key: str) -> dict[str, int]:
    return {str(row.values.get("name")): index for index, row in enumerate(top.sections(key))}


def _engine_types(engines: SettingsSection, count: int) -> list[EngineTypeSettings]:
    """Return at least `count` engine types.

    Types that the settings do not describe are mixed, and their memory is unknown.
    """
    memory_tokens = engines.numbers("memory-tokens")
    types = [
        EngineTypeSettings(
            ROLES.get(str(role), Role.MIXED),
            int(memory_tokens[index]) if index < len(memory_tokens) else 0,
        )
        for index, role in enumerate(engines.items("kind-role"))
    ]
    while len(types) < count:
        types.append(EngineTypeSettings(Role.MIXED, 0))
    return types


def _duration_at(microseconds: list[float], index: int) -> int:
    """Return the entry at `index` in tenths of a millisecond; 0 if the list is shorter."""
    return int(microseconds[index]) // US_PER_TENTH_MS if index < len(microseconds) else 0


def _request_class(
    row: SettingsSection, objective_per_1000_tokens: int, time_per_output_token: int
) -> RequestClassSettings:
    return RequestClassSettings(
        first_token_objective=row.duration("aim-us"),
        first_token_objective_per_1000_tokens=objective_per_1000_tokens,
        time_per_output_token=time_per_output_token,
        priority_weight=row.number("credit", 1.0),
        late_value=row.number("late-value", 0.0),
        idempotency=row.choice("effect", IDEMPOTENCY, "at_most_once"),
        deduplication_scope=row.choice("key-scope", DEDUPLICATION_SCOPES, "all"),
        deduplication_window=row.duration("window-us"),
    )
