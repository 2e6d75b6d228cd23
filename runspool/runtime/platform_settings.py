"""What a house grants a front at its start, as the platform words it: one JSON object, read into house terms.

The simulator hands it over in its first message, and a front node finds it in its configuration file.
"""

from __future__ import annotations

from typing import Any, TypeVar

from runspool.scheduling.settings import (
    EngineTypeSettings,
    RequestClassSettings,
    RoutingSettings,
    TenantSettings,
)
from runspool.scheduling.types import DeduplicationScope, Idempotency, Role

T = TypeVar("T")

UNIT_US = 100  # a tenth of a millisecond
LARGEST_NUMBER = 1e15  # no figure in them is larger

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


class InvalidSettingsError(Exception):
    """Something in the object cannot be; the message begins with its key."""


class SettingsSection:
    """An object inside it, and the path that leads there."""

    def __init__(self, said: Any, path: str) -> None:
        if said is None:
            said = {}
        if not isinstance(said, dict):
            raise InvalidSettingsError(f"{path or 'settings'}: no object")
        self.values, self.path = said, path

    def path_of(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def section(self, key: str) -> SettingsSection:
        return SettingsSection(self.values.get(key), self.path_of(key))

    def items(self, key: str) -> list[Any]:
        rows = self.values.get(key)
        if rows is None:
            return []
        if not isinstance(rows, list):
            raise InvalidSettingsError(f"{self.path_of(key)}: no list")
        return rows

    def sections(self, key: str) -> list[SettingsSection]:
        return [SettingsSection(row, f"{self.path_of(key)}[{at}]") for at, row in enumerate(self.items(key))]

    def numbers(self, key: str) -> list[float]:
        return [_number(row, f"{self.path_of(key)}[{at}]") for at, row in enumerate(self.items(key))]

    def number(self, key: str, absent: float) -> float:
        said = self.values.get(key)
        return absent if said is None else _number(said, self.path_of(key))

    def integer(self, key: str, absent: int) -> int:
        return int(self.number(key, absent))

    def duration(self, key: str, absent: int = 0) -> int:
        """Told in microseconds, in tenths of a millisecond here."""
        told = self.number(key, absent)
        if told < 0:
            raise InvalidSettingsError(f"{self.path_of(key)}: {told:.0f} is no time")
        return int(told) // UNIT_US

    def flag(self, key: str) -> bool:
        return bool(self.values.get(key, False))

    def choice(self, key: str, among: dict[str, T], absent: str) -> T:
        said = self.values.get(key, absent)
        if not isinstance(said, str) or said not in among:
            raise InvalidSettingsError(f"{self.path_of(key)}: {said!r} is none of {', '.join(among)}")
        return among[said]


def _number(said: Any, path: str) -> float:
    if isinstance(said, bool) or not isinstance(said, int | float) or not abs(said) < LARGEST_NUMBER:
        raise InvalidSettingsError(f"{path}: {said!r} is no number that can be")
    return float(said)


class PlatformSettings:
    """The house terms, and the indices of their names. Raises Unfit."""

    def __init__(self, said: Any) -> None:
        top = SettingsSection(said, "")
        self.request_classes = _indices(top, "classes")
        self.tenants = _indices(top, "realms")
        self.zones = {str(name): at for at, name in enumerate(top.items("zones"))}
        self.engine_types = {str(name): at for at, name in enumerate(top.items("host-types"))}
        house, limits = top.section("family-info"), top.section("limits")
        rules, prices = top.section("rules"), top.section("prices")
        memory = house.numbers("memory-tokens")
        kinds = [
            EngineTypeSettings(ROLES.get(str(role), Role.MIXED), int(memory[at]) if at < len(memory) else 0)
            for at, role in enumerate(house.items("kind-role"))
        ]
        while len(kinds) < len(self.engine_types):
            kinds.append(EngineTypeSettings(Role.MIXED, 0))
        stretch, paces = house.numbers("aim-us-per-1000-prompt-tokens"), house.numbers("token-aim-us")
        # What a front needs to speak, beside what the decisions are told; times in tenths of a millisecond.
        self.connect_timeout = limits.duration("dial-timeout-us")
        self.idle_timeout = limits.duration("conn-idle-us")
        self.deadlines = [row.duration("deadline-us") for row in top.sections("classes")]
        self.routing = RoutingSettings(
            front_index=top.integer("me", 0),
            front_count=max(1, top.integer("siblings", 1)),
            zone=self.zones.get(str(top.values.get("locality", "")), -1),
            request_classes=[
                _tariff(row, at, stretch, paces) for at, row in enumerate(top.sections("classes"))
            ],
            tenants=[TenantSettings(row.number("quota-rps", 0)) for row in top.sections("realms")],
            engine_types=kinds,
            over_quota_value=top.number("over-share-worth", 1.0),
            response_slack=rules.duration("answer-slack-us"),
            slow_start_initial_fraction=rules.number("cold-from", 1.0),
            slow_start_duration=rules.duration("cold-us"),
            slow_start_overload_multiple=rules.number("tip-multiple", 1.0),
            slow_start_overload_window=rules.duration("fall-us"),
            state_release_timeout=house.duration("release-within-us"),
            max_attempts=limits.integer("max-attempts", 1),
            may_hedge=limits.flag("second-copies"),
            may_cancel=limits.flag("cancel"),
            may_probe=limits.flag("probes"),
            may_reserve=house.flag("ahead"),
            may_send_retry_after=limits.flag("retry-after"),
            max_retry_after=limits.duration("max-retry-after-us"),
            streams_can_resume=house.flag("resume"),
            decode_engines_prefill=house.flag("read-in-place"),
            must_subscribe=top.values.get("discovery") == "on_request",
            subscribe_interval=rules.duration("ask-within-us"),
            cross_rack_price=house.number("cross-cell-price", 0.0),
            cross_zone_price=prices.number("cross-zone", 0.0),
            late_failure_price=prices.number("late-fail", 0.0),
            wasted_work_price=prices.number("waste", 0.0),
        )


def _indices(top: SettingsSection, key: str) -> dict[str, int]:
    return {str(row.values.get("name")): at for at, row in enumerate(top.sections(key))}


def _tariff(row: SettingsSection, at: int, stretch: list[float], paces: list[float]) -> RequestClassSettings:
    def each(told: list[float]) -> int:
        return int(told[at]) // UNIT_US if at < len(told) else 0

    return RequestClassSettings(
        first_token_objective=row.duration("aim-us"),
        first_token_objective_per_1000_tokens=each(stretch),
        time_per_output_token=each(paces),
        priority_weight=row.number("credit", 1.0),
        late_value=row.number("late-value", 0.0),
        idempotency=row.choice("effect", IDEMPOTENCY, "at_most_once"),
        deduplication_scope=row.choice("key-scope", DEDUPLICATION_SCOPES, "all"),
        deduplication_window=row.duration("window-us"),
    )
