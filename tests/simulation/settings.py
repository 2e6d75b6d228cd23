"""The load and the faults of a simulated history, and the plan built from them."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from msgspec.structs import replace

from runspool.lab.plan import ClientsPlan, FrontPlan, RequestClassPlan, ScenarioPlan, TenantPlan
from runspool.lab.scripted_scenarios import plan_engine
from runspool.scheduling.time_units import SECOND

ENGINE_TYPES = ["prefill", "prefill", "prefill", "decode", "decode", "decode", "mixed", "mixed"]
ZONES = ["a", "b"]
TENANTS = ["one", "two"]
FIRST_FRONT_HOST = 11  # the last octet of the first front's loopback address, 127.0.0.11

# One request class for each kind of idempotency, with the names that the configuration uses.
REQUEST_CLASSES = [
    RequestClassPlan("ask", 0.5, "rerunnable", 1, 8_000, 0, 25_000, 1_000, 300, 12, 1.0, 0.0, 0),
    RequestClassPlan("book", 0.3, "exclusive", 2, 9_000, 0, 30_000, 1_000, 300, 12, 1.0, 0.0, 0),
    RequestClassPlan(
        "mark",
        0.2,
        "ticketed",
        1,
        8_000,
        0,
        25_000,
        1_000,
        300,
        12,
        1.0,
        0.0,
        0,
        0.1,
        "zone",
        deduplication_window=12_000,
    ),
]


@dataclass
class SimulationSettings:
    """The load and faults of a history; durations are in tenths of a millisecond, shares are fractions."""

    duration: int = 20 * SECOND
    requests_per_second: float = 40.0
    front_count: int = 3
    failing_attempt_share: float = 0.06  # fraction of the attempts at engines that are up
    disconnecting_client_share: float = 0.08  # fraction of clients that disconnect before their response
    fault_count: int = 12  # number of faults that `FaultInjector` injects
    lost_release_share: float = 0.15  # fraction of the release calls whose connection fails
    slow_start_overload_multiple: float = 1.5
    engine_types: list[str] = field(default_factory=lambda: list(ENGINE_TYPES))


def build_plan(seed: int, settings: SimulationSettings, random: Random) -> ScenarioPlan:
    """Return the laboratory's plan of a history; the speed of each engine is drawn at random."""
    engines = [
        plan_engine(
            f"e{index}",
            engine_type,
            ZONES[index % len(ZONES)],
            index % len(ZONES),
            REQUEST_CLASSES,
            random,
        )
        for index, engine_type in enumerate(settings.engine_types)
    ]
    for planned in engines:
        planned.spec = replace(
            planned.spec, slow_start_overload_multiple=settings.slow_start_overload_multiple
        )
    return ScenarioPlan(
        name="history",
        seed=seed,
        duration=settings.duration,
        requests_per_second=settings.requests_per_second,
        zones=list(ZONES),
        request_classes=REQUEST_CLASSES,
        tenants=[TenantPlan(name, 0.5, settings.requests_per_second) for name in TENANTS],
        fronts=[
            FrontPlan(f"front-{index}", ZONES[index % len(ZONES)], f"127.0.0.{FIRST_FRONT_HOST + index}")
            for index in range(settings.front_count)
        ],
        engines=engines,
        clients=ClientsPlan(),
        faults=[],
        slow_start_overload_multiple=settings.slow_start_overload_multiple,
    )
