"""What a house grants a front at its start, as the platform words it: one JSON object, read into house terms.

The simulator hands it over in its first message, and a front node finds it in its configuration file.
"""

from __future__ import annotations

from typing import Any, TypeVar

from runspool.decisions.interface import (
    Effect,
    Group,
    HouseTerms,
    KindTerms,
    Role,
    TariffTerms,
    TenantTerms,
)

T = TypeVar("T")

UNIT_US = 100  # a tenth of a millisecond
MOST = 1e15  # no figure in them is larger

EFFECTS = {
    "idempotent": Effect.RERUNNABLE,
    "deduplicated": Effect.TICKETED,
    "at_most_once": Effect.EXCLUSIVE,
}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.RACK}
ROLES = {"read": Role.READER, "write": Role.WRITER, "both": Role.MIXED}


class Unfit(Exception):
    """Something in the object cannot be; the message begins with its key."""


class Part:
    """An object inside it, and the path that leads there."""

    def __init__(self, said: Any, path: str) -> None:
        if said is None:
            said = {}
        if not isinstance(said, dict):
            raise Unfit(f"{path or 'settings'}: no object")
        self.said, self.path = said, path

    def of(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def part(self, key: str) -> Part:
        return Part(self.said.get(key), self.of(key))

    def rows(self, key: str) -> list[Any]:
        rows = self.said.get(key)
        if rows is None:
            return []
        if not isinstance(rows, list):
            raise Unfit(f"{self.of(key)}: no list")
        return rows

    def parts(self, key: str) -> list[Part]:
        return [Part(row, f"{self.of(key)}[{at}]") for at, row in enumerate(self.rows(key))]

    def numbers(self, key: str) -> list[float]:
        return [_number(row, f"{self.of(key)}[{at}]") for at, row in enumerate(self.rows(key))]

    def number(self, key: str, absent: float) -> float:
        said = self.said.get(key)
        return absent if said is None else _number(said, self.of(key))

    def whole(self, key: str, absent: int) -> int:
        return int(self.number(key, absent))

    def time(self, key: str, absent: int = 0) -> int:
        """Told in microseconds, in tenths of a millisecond here."""
        told = self.number(key, absent)
        if told < 0:
            raise Unfit(f"{self.of(key)}: {told:.0f} is no time")
        return int(told) // UNIT_US

    def flag(self, key: str) -> bool:
        return bool(self.said.get(key, False))

    def choice(self, key: str, among: dict[str, T], absent: str) -> T:
        said = self.said.get(key, absent)
        if not isinstance(said, str) or said not in among:
            raise Unfit(f"{self.of(key)}: {said!r} is none of {', '.join(among)}")
        return among[said]


def _number(said: Any, path: str) -> float:
    if isinstance(said, bool) or not isinstance(said, int | float) or not abs(said) < MOST:
        raise Unfit(f"{path}: {said!r} is no number that can be")
    return float(said)


class Granted:
    """The house terms, and the indices of their names. Raises Unfit."""

    def __init__(self, said: Any) -> None:
        top = Part(said, "")
        self.tariffs = _indices(top, "classes")
        self.tenants = _indices(top, "realms")
        self.zones = {str(name): at for at, name in enumerate(top.rows("zones"))}
        self.kinds = {str(name): at for at, name in enumerate(top.rows("host-types"))}
        house, limits = top.part("family-info"), top.part("limits")
        rules, prices = top.part("rules"), top.part("prices")
        memory = house.numbers("memory-tokens")
        kinds = [
            KindTerms(ROLES.get(str(role), Role.MIXED), int(memory[at]) if at < len(memory) else 0)
            for at, role in enumerate(house.rows("kind-role"))
        ]
        while len(kinds) < len(self.kinds):
            kinds.append(KindTerms(Role.MIXED, 0))
        stretch, paces = house.numbers("aim-us-per-1000-prompt-tokens"), house.numbers("token-aim-us")
        # What a front needs to speak, beside what the decisions are told; times in tenths of a millisecond.
        self.connect_within = limits.time("dial-timeout-us")
        self.idle_for = limits.time("conn-idle-us")
        self.hard_limits = [row.time("deadline-us") for row in top.parts("classes")]
        self.terms = HouseTerms(
            me=top.whole("me", 0),
            fronts=max(1, top.whole("siblings", 1)),
            zone=self.zones.get(str(top.said.get("locality", "")), -1),
            tariffs=[_tariff(row, at, stretch, paces) for at, row in enumerate(top.parts("classes"))],
            tenants=[TenantTerms(row.number("quota-rps", 0)) for row in top.parts("realms")],
            kinds=kinds,
            over_share=top.number("over-share-worth", 1.0),
            answer_slack=rules.time("answer-slack-us"),
            cold_from=rules.number("cold-from", 1.0),
            cold_time=rules.time("cold-us"),
            fall_multiple=rules.number("tip-multiple", 1.0),
            fall_time=rules.time("fall-us"),
            release_within=house.time("release-within-us"),
            max_shots=limits.whole("max-attempts", 1),
            second_copies=limits.flag("second-copies"),
            may_recall=limits.flag("cancel"),
            may_probe=limits.flag("probes"),
            may_hold=house.flag("ahead"),
            may_say_when=limits.flag("retry-after"),
            longest_wait_told=limits.time("max-retry-after-us"),
            resumes=house.flag("resume"),
            writers_read=house.flag("read-in-place"),
            must_ask=top.said.get("discovery") == "on_request",
            ask_within=rules.time("ask-within-us"),
            far_price=house.number("cross-cell-price", 0.0),
            zone_price=prices.number("cross-zone", 0.0),
            late_price=prices.number("late-fail", 0.0),
            waste_price=prices.number("waste", 0.0),
        )


def _indices(top: Part, key: str) -> dict[str, int]:
    return {str(row.said.get("name")): at for at, row in enumerate(top.parts(key))}


def _tariff(row: Part, at: int, stretch: list[float], paces: list[float]) -> TariffTerms:
    def each(told: list[float]) -> int:
        return int(told[at]) // UNIT_US if at < len(told) else 0

    return TariffTerms(
        due=row.time("aim-us"),
        due_per_1000=each(stretch),
        pace=each(paces),
        gain=row.number("credit", 1.0),
        late_share=row.number("late-value", 0.0),
        effect=row.choice("effect", EFFECTS, "at_most_once"),
        group=row.choice("key-scope", GROUPS, "all"),
        window=row.time("window-us"),
    )
