"""A day written down: who asks, who serves, what goes wrong and when. Plain data, drawn from one seed."""

from __future__ import annotations

from random import Random
from typing import Any, Literal

import msgspec

from runspool.lab.model import Make

SECOND = 10_000


class RequestClassPlan(msgspec.Struct):
    """A tariff as its clients know it; times in tenths of a millisecond, lengths in tokens."""

    name: str
    share: float
    effect: Literal["rerunnable", "ticketed", "exclusive"]
    gain: float
    due: int
    due_per_1000: int
    limit: int
    pace: int
    new_tokens: int
    out_tokens: int
    turns: float
    beginning_share: float
    beginning_tokens: int
    late_share: float = 0.1
    group: Literal["all", "zone", "rack"] = "all"
    window: int = 5 * SECOND


class TenantPlan(msgspec.Struct):
    name: str
    share: float
    per_second: float


class FrontPlan(msgspec.Struct):
    name: str
    zone: str
    source: str  # the loopback address it calls from, by which the far ends know it
    port: int = 0


class EnginePlan(msgspec.Struct):
    make: Make
    kind: str
    port: int = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"


class ClientsPlan(msgspec.Struct):
    retries: int = 1
    backoff: int = 1_000
    limit_share: float = 1.0
    entry_notice: int = 2 * SECOND  # how long the entry layer goes on sending to a dead front
    leaving: float = 0.01
    slow_readers: float = 0.01


class Trouble(msgspec.Struct):
    """One thing that goes wrong. What `size` and `extra` mean depends on the kind; see director.py."""

    kind: str
    at: int
    length: int
    size: float = 1.0
    extra: float = 0.0
    on: list[int] = []
    which: int = 0
    how: str = ""
    steps: list[tuple[int, list[int]]] = []  # balancer_roll: when, which fronts


class Plan(msgspec.Struct):
    name: str
    seed: int
    length: int
    rate: float  # queries a second
    zones: list[str]
    tariffs: list[RequestClassPlan]
    tenants: list[TenantPlan]
    fronts: list[FrontPlan]
    engines: list[EnginePlan]
    clients: ClientsPlan
    troubles: list[Trouble]
    longest_limit: int = 0  # that a front takes, 0 for the library's
    cells: dict[str, Any] | None = None  # a cell map, as plain data
    shape: list[tuple[float, float]] = []  # second, multiple of the rate
    list_delay: int = 3_000
    drain_grace: int = 2_500
    release_within: int = 3_000
    max_shots: int = 5
    cold_from: float = 0.27
    cold_time: int = 14 * SECOND
    fall_multiple: float = 2.5
    fall_time: int = 15_000


# Kinds of trouble that a day can hold, the bench's and the product's own.
BENCH_KINDS = (
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
OWN_KINDS = (
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


def tariffs() -> list[RequestClassPlan]:
    return [
        RequestClassPlan(
            "staff-ask", 0.5, "rerunnable", 1, 15_000, 400, 60_000, 600, 250, 60, 2.5, 0.8, 1600, 0.2
        ),
        RequestClassPlan(
            "manager-check",
            0.3,
            "ticketed",
            3,
            20_000,
            400,
            80_000,
            700,
            320,
            80,
            2.0,
            0.7,
            1200,
            0.1,
            "zone",
        ),
        RequestClassPlan(
            "payout-close", 0.2, "exclusive", 3, 30_000, 1200, 150_000, 800, 1500, 40, 1.2, 0.2, 700, 0.2
        ),
    ]


def engine(
    name: str,
    kind: str,
    zone: str,
    rack: int,
    plan_tariffs: list[RequestClassPlan],
    rng: Random,
    strength: float = 1.0,
) -> EnginePlan:
    """An engine of a kind (prefill, decode, mixed) with its own speed; `strength` scales what it bears."""
    said = {
        "slots": {"prefill": 8, "decode": 64, "mixed": 48}[kind],
        "queue": {"prefill": 40, "decode": 32, "mixed": 24}[kind],
        "memory": {"prefill": 220_000, "decode": 160_000, "mixed": 220_000}[kind],
        "read_rate": {"prefill": 1.9, "decode": 0.7, "mixed": 1.2}[kind] * rng.uniform(0.9, 1.1),
        "step": 120 * rng.uniform(0.9, 1.1),
        "per_stream": 1.5,
    }
    said["slots"] = max(2, said["slots"] * strength)
    said["read_rate"] *= strength
    role: Literal["reader", "writer", "mixed"] = {  # type: ignore[assignment]
        "prefill": "reader",
        "decode": "writer",
        "mixed": "mixed",
    }[kind]
    step_full = said["step"] + said["per_stream"] * said["slots"]
    work = {}
    for row in plan_tariffs:
        prompt = row.new_tokens + row.beginning_share * row.beginning_tokens
        read, write = prompt / said["read_rate"], row.out_tokens * step_full / said["slots"]
        work[row.name] = {"reader": read, "writer": write, "mixed": write + read / 4}[role]
    make = Make(
        name=name,
        role=role,
        zone=zone,
        rack=rack,
        slots=int(said["slots"]),
        queue=int(said["queue"]),
        memory=int(said["memory"]),
        read_rate=said["read_rate"],
        step=said["step"],
        per_stream=said["per_stream"],
        near_rate=30.0,
        far_rate=10.0,
        zone_slower=2.0,
        cold_from=0.3,
        cold_time=12 * SECOND,
        fall_multiple=2.5,
        fall_time=15_000,
        state_kept=10 * SECOND,
        work=work,
    )
    return EnginePlan(make, kind)


def bad_night(seed: int, length: int = 50 * SECOND) -> Plan:
    """A night on which at least eight kinds of trouble overlap, killed fronts and writers among them."""
    rng = Random(seed)
    zones = ["waw-1", "waw-2", "lodz-1"]
    rows = tariffs()
    kinds = ["prefill", "prefill", "decode", "mixed"]
    engines = [
        engine(f"{zone}-{kind}-{at}", kind, zone, number, rows, rng)
        for number, zone in enumerate(zones)
        for at, kind in enumerate(kinds)
    ]
    fronts = [FrontPlan(f"front-{at}", zones[at], f"127.0.0.{11 + at}") for at in range(3)]
    readers = [at for at, one in enumerate(engines) if one.kind == "prefill"]
    writers = [at for at, one in enumerate(engines) if one.kind == "decode"]
    mixed = [at for at, one in enumerate(engines) if one.kind == "mixed"]
    for pool in (readers, writers, mixed):
        rng.shuffle(pool)
    busy = 12 * SECOND  # by then streams are everywhere
    span = length - 22 * SECOND

    def at() -> int:
        return busy + int(rng.random() * span)

    storm = busy + int(rng.random() * (span - 6 * SECOND))

    def at_once() -> int:
        """Within the five seconds after which all that last eight are there together."""
        return storm + int(rng.random() * 5 * SECOND)

    troubles = [
        Trouble("crash", at(), 8 * SECOND, on=[writers[0]]),
        Trouble("front_kill", at(), 2 * SECOND, on=[rng.randrange(3)]),
        Trouble("front_kill", at_once(), 3 * SECOND, on=[rng.randrange(3)]),
        Trouble("hang", at(), 4 * SECOND, on=[readers[0]]),
        Trouble("pause", at(), SECOND, on=[mixed[0]]),
        Trouble("slow", at_once(), 10 * SECOND, size=rng.uniform(2, 5), on=[readers[1]]),
        Trouble("drain", at(), 5 * SECOND, on=[mixed[1]]),
        Trouble("drain", at(), 5 * SECOND, on=[readers[2]]),
        Trouble("restart", at(), SECOND, on=[readers[3]]),
        Trouble("errors", at_once(), 8 * SECOND, size=0.2, on=[writers[1], mixed[2]]),
        Trouble("resets", at_once(), 8 * SECOND, size=0.1, on=[writers[2], readers[1]]),
        Trouble("list_noise", at_once(), 10 * SECOND),
        Trouble("discovery_stale", at(), 8 * SECOND, size=3 * SECOND),
        Trouble("origin_slow", at_once(), 8 * SECOND, size=rng.uniform(2, 6)),
        Trouble("flush", at(), 0, size=0.8),
        Trouble("burst", at(), 4 * SECOND, size=1.5),
        Trouble("heavy_tail", at(), 8 * SECOND, size=10, extra=0.03),
        Trouble("hot_key", at_once(), 8 * SECOND, size=0.15),
        Trouble("retry_abuse", at_once(), 8 * SECOND, size=4, extra=0.4, which=rng.randrange(3)),
        Trouble(
            "throttle",
            at_once(),
            8 * SECOND,
            size=0.2,
            extra=0.2,
            on=[writers[1], readers[4]],
            how="tenant",
            which=rng.randrange(3),
        ),
        Trouble("class_fail", at(), 8 * SECOND, size=1.0, on=[mixed[2]], how="silence", which=0),
        Trouble("leaving", at(), 8 * SECOND, size=0.1),
    ]
    troubles.sort(key=lambda one: one.at)
    return Plan(
        name="bad-night",
        seed=seed,
        length=length,
        rate=40,
        zones=zones,
        tariffs=rows,
        tenants=[
            TenantPlan("stol-razem", 0.42, 20),
            TenantPlan("pod-lipami", 0.37, 18),
            TenantPlan("mala-kuchnia", 0.21, 11),
        ],
        fronts=fronts,
        engines=engines,
        clients=ClientsPlan(),
        troubles=troubles,
    )


def quiet(seed: int, length: int = 20 * SECOND) -> Plan:
    """The bad night's fleet and crowd with nothing going wrong."""
    plan = bad_night(seed, 50 * SECOND)
    plan.name, plan.length, plan.troubles = "quiet", length, []
    return plan


class UnplayableDayError(Exception):
    """A day that cannot be played; names what is wrong."""


def from_bench(day: dict[str, Any], fronts: int, engines: int, scale: float = 1.0) -> Plan:
    """A bench day's kinds of trouble, at their times and sizes, for a fleet of the given size.

    `day` is what the bench's draw prints (times in microseconds). Troubles that name engines or fronts take
    the same share of the smaller fleet. Raises Unplayable with the name of what cannot be played.
    """
    try:
        unknown = sorted({row["kind"] for row in day["troubles"]} - {*BENCH_KINDS})
        if unknown:
            raise UnplayableDayError(f"kind of trouble that is not known: {', '.join(unknown)}")
        rng = Random(int(day.get("noise", 0)) % (1 << 32))
        zones = [str(zone) for zone in day["zones"]]
        rows = [_bench_tariff(row) for row in day["classes"]]
        total = sum(row.share for row in rows)
        for row in rows:
            row.share /= total
        kinds = [kind["name"] for kind in day["tiers"][0]["kinds"]]
        servers = day["servers"]
        there = [
            engine(
                f"engine-{at}",
                _kind(kinds[servers[pick]["kind"]]),
                zones[servers[pick]["zone"]],
                int(servers[pick]["cell"]),
                rows,
                rng,
            )
            for at, pick in enumerate(_spread(servers, engines))
        ]
        plans = [
            FrontPlan(f"front-{at}", zones[at % len(zones)], f"127.0.0.{11 + at}") for at in range(fronts)
        ]
        many, many_fronts = len(servers), len(day["balancers"])
        troubles = []
        for row in day["troubles"]:
            on = _scaled(row["on"], many, engines)
            steps = [
                (int(step["at"]) // 100, _scaled(step["stop"], many_fronts, fronts))
                for step in row.get("steps", [])
            ]
            size = float(row["size"])
            if row["kind"] == "discovery_stale":
                size *= SECOND
            troubles.append(
                Trouble(
                    row["kind"],
                    int(row["at"]) // 100,
                    int(row["len"]) // 100,
                    size,
                    float(row["extra"]),
                    on,
                    int(row["which"]),
                    row.get("how", ""),
                    steps,
                )
            )
        load = float(day["traffic"]["load"])
        clients = day["clients"]
        return Plan(
            name=str(day.get("site", "bench")),
            seed=rng.randrange(1 << 30),
            length=int(day["length"]) // 100,
            rate=scale * load * engines * 5.5,
            zones=zones,
            tariffs=rows,
            tenants=[TenantPlan(row["name"], float(row["share"]), 1e6) for row in day.get("tenants", [])]
            or [TenantPlan("all", 1.0, 1e6)],
            fronts=plans,
            engines=there,
            troubles=troubles,
            shape=[(float(at), float(times)) for at, times in day["traffic"]["shape"]],
            list_delay=int(day["discovery"]["notice"]) // 100,
            drain_grace=int(day["drain_grace"]) // 100,
            max_shots=int(day["allow"]["max_attempts"]),
            fall_multiple=float(day["fall_multiple"]),
            fall_time=int(day["fall_for"]) // 100,
            clients=ClientsPlan(
                retries=int(clients["retries"]),
                backoff=int(clients["backoff_us"]) // 100,
                limit_share=float(clients["try_share"]),
                entry_notice=int(day.get("front_notice", 2_000_000)) // 100,
                leaving=float(clients.get("impatient", 0.0)),
                slow_readers=0.0,
            ),
        )
    except (KeyError, TypeError, IndexError, ValueError) as fault:
        raise UnplayableDayError(f"not a bench day: {type(fault).__name__} at {fault}") from None


def _bench_tariff(row: dict[str, Any]) -> RequestClassPlan:
    effect = {"safe": "rerunnable", "keyed": "ticketed", "unsafe": "exclusive"}[row["effect"]]
    group = {"all": "all", "zone": "zone", "cell": "rack"}[row["group"]]
    heavy = float(row["work"]) > 200_000
    return RequestClassPlan(
        row["name"],
        float(row["share"]),
        effect,  # type: ignore[arg-type]
        float(row["worth"]),
        int(row["aim"]) // 100,
        400,
        int(row["deadline"]) // 100,
        700,
        1500 if heavy else 250,
        60,
        1.3 if heavy else 2.0,
        0.2 if heavy else 0.8,
        1500,
        float(row["late_worth"]),
        group,  # type: ignore[arg-type]
        int(row["window"]) // 100,
    )


def _kind(name: str) -> str:
    return name if name in ("prefill", "decode", "mixed") else "mixed"


def _spread(servers: list[dict[str, Any]], count: int) -> list[int]:
    """Servers to play, so that each kind and zone keeps its share and every kind that there is stays."""
    order = sorted(range(len(servers)), key=lambda at: (servers[at]["kind"], servers[at]["zone"], at))
    picked = [order[at * len(order) // count] for at in range(count)]
    for kind in {row["kind"] for row in servers} - {servers[at]["kind"] for at in picked}:
        picked[-1 - kind % count] = next(at for at in order if servers[at]["kind"] == kind)
    return picked


def _scaled(on: list[int], many: int, few: int) -> list[int]:
    """The same share of a smaller crowd, at least one where there was one."""
    if not on:
        return []
    count = max(1, round(len(on) * few / many))
    return sorted({at * few // many for at in on})[:count]
