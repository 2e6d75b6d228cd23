"""Converts a simulator's day to a scenario: its faults, at their times and magnitudes, on a smaller fleet."""

from __future__ import annotations

from random import Random
from typing import Any

from runspool.errors import RunspoolError
from runspool.lab.plan import (
    SECOND,
    SIMULATOR_FAULT_KINDS,
    ClientsPlan,
    EnginePlan,
    FaultPlan,
    FrontPlan,
    RequestClassPlan,
    ScenarioPlan,
    TenantPlan,
)
from runspool.lab.scripted_scenarios import plan_engine, source_address

SimulatorDay = dict[str, Any]  # decoded JSON
SimulatorRow = dict[str, Any]  # an object in it

MICROSECONDS = 100  # in a tenth of a millisecond
RATE_PER_ENGINE = 5.5  # requests a second that load 1 means for each engine
UNLIMITED_RATE = 1e6
HEAVY_WORK = 200_000  # microseconds of mean work from which a request class has long prompts
IDEMPOTENCIES = {"safe": "rerunnable", "keyed": "ticketed", "unsafe": "exclusive"}
DEDUPLICATION_SCOPES = {"all": "all", "zone": "zone", "cell": "rack"}
ENGINE_TYPES = ("prefill", "decode", "mixed")


class UnplayableDayError(RunspoolError):
    """A day that cannot be played; the message names what is wrong."""


def from_simulator_day(day: SimulatorDay, fronts: int, engines: int, scale: float = 1.0) -> ScenarioPlan:
    """Return a scenario with the day's faults for a fleet of the given size.

    Faults of certain engines or fronts concern the same share of the smaller fleet. `scale` is a multiple of
    the load that fits the size. Raises UnplayableDayError for a day that is none or that has other faults.

    Args:
        day: what the simulator's draw printed; its times are microseconds.
        fronts: how many fronts the scenario has.
        engines: how many engines the scenario has.
        scale: by what the rate of requests is multiplied.
    """
    try:
        return _convert(day, fronts, engines, scale)
    except (KeyError, TypeError, IndexError, ValueError) as error:
        raise UnplayableDayError(f"not a bench day: {type(error).__name__} at {error}") from None


def _convert(day: SimulatorDay, front_count: int, engine_count: int, scale: float) -> ScenarioPlan:
    unknown = sorted({row["kind"] for row in day["troubles"]} - {*SIMULATOR_FAULT_KINDS})
    if unknown:
        raise UnplayableDayError(f"kind of trouble that is not known: {', '.join(unknown)}")
    rng = Random(int(day.get("noise", 0)) % (1 << 32))
    zones = [str(zone) for zone in day["zones"]]
    request_classes = _request_classes(day["classes"])
    engines = _engines(day, zones, request_classes, engine_count, rng)
    fronts = [
        FrontPlan(f"front-{index}", zones[index % len(zones)], source_address(index))
        for index in range(front_count)
    ]
    faults = _faults(day, front_count, engine_count)
    load = float(day["traffic"]["load"])
    clients = day["clients"]
    return ScenarioPlan(
        name=str(day.get("site", "bench")),
        seed=rng.randrange(1 << 30),
        duration=_tenths(day["length"]),
        requests_per_second=scale * load * engine_count * RATE_PER_ENGINE,
        zones=zones,
        request_classes=request_classes,
        tenants=_tenants(day),
        fronts=fronts,
        engines=engines,
        faults=faults,
        load_shape=[(float(second), float(multiple)) for second, multiple in day["traffic"]["shape"]],
        endpoint_list_delay=_tenths(day["discovery"]["notice"]),
        drain_grace=_tenths(day["drain_grace"]),
        max_attempts=int(day["allow"]["max_attempts"]),
        slow_start_overload_multiple=float(day["fall_multiple"]),
        slow_start_overload_window=_tenths(day["fall_for"]),
        clients=ClientsPlan(
            retries=int(clients["retries"]),
            backoff=_tenths(clients["backoff_us"]),
            attempt_time_share=float(clients["try_share"]),
            failover_delay=_tenths(day.get("front_notice", 2_000_000)),
            disconnecting_share=float(clients.get("impatient", 0.0)),
            slow_reading_share=0.0,
        ),
    )


def _tenths(microseconds: str | float) -> int:
    return int(microseconds) // MICROSECONDS


def _request_classes(rows: list[SimulatorRow]) -> list[RequestClassPlan]:
    request_classes = [_request_class(row) for row in rows]
    total = sum(request_class.share for request_class in request_classes)
    for request_class in request_classes:
        request_class.share /= total
    return request_classes


def _request_class(row: SimulatorRow) -> RequestClassPlan:
    idempotency = IDEMPOTENCIES[row["effect"]]
    scope = DEDUPLICATION_SCOPES[row["group"]]
    heavy = float(row["work"]) > HEAVY_WORK
    return RequestClassPlan(
        name=row["name"],
        share=float(row["share"]),
        idempotency=idempotency,  # type: ignore[arg-type]
        priority_weight=float(row["worth"]),
        first_token_objective=_tenths(row["aim"]),
        first_token_objective_per_1000_tokens=400,
        time_limit=_tenths(row["deadline"]),
        time_per_output_token=700,
        new_prompt_tokens=1500 if heavy else 250,
        output_tokens=60,
        turns=1.3 if heavy else 2.0,
        prefix_share=0.2 if heavy else 0.8,
        prefix_tokens=1500,
        late_value=float(row["late_worth"]),
        deduplication_scope=scope,  # type: ignore[arg-type]
        deduplication_window=_tenths(row["window"]),
    )


def _engines(
    day: SimulatorDay, zones: list[str], request_classes: list[RequestClassPlan], count: int, rng: Random
) -> list[EnginePlan]:
    type_names = [row["name"] for row in day["tiers"][0]["kinds"]]
    servers = day["servers"]
    return [
        plan_engine(
            f"engine-{index}",
            _engine_type(type_names[servers[picked]["kind"]]),
            zones[servers[picked]["zone"]],
            int(servers[picked]["cell"]),
            request_classes,
            rng,
        )
        for index, picked in enumerate(_pick_servers(servers, count))
    ]


def _engine_type(name: str) -> str:
    return name if name in ENGINE_TYPES else "mixed"


def _pick_servers(servers: list[SimulatorRow], count: int) -> list[int]:
    """Return servers so that each type and zone has its share and no type that there is gets lost."""
    order = sorted(
        range(len(servers)), key=lambda index: (servers[index]["kind"], servers[index]["zone"], index)
    )
    picked = [order[index * len(order) // count] for index in range(count)]
    for kind in {row["kind"] for row in servers} - {servers[index]["kind"] for index in picked}:
        picked[-1 - kind % count] = next(index for index in order if servers[index]["kind"] == kind)
    return picked


def _tenants(day: SimulatorDay) -> list[TenantPlan]:
    tenants = [TenantPlan(row["name"], float(row["share"]), UNLIMITED_RATE) for row in day.get("tenants", [])]
    return tenants or [TenantPlan("all", 1.0, UNLIMITED_RATE)]


def _faults(day: SimulatorDay, front_count: int, engine_count: int) -> list[FaultPlan]:
    server_count, balancer_count = len(day["servers"]), len(day["balancers"])
    faults = []
    for row in day["troubles"]:
        targets = _scale_indices(row["on"], server_count, engine_count)
        steps = [
            (_tenths(step["at"]), _scale_indices(step["stop"], balancer_count, front_count))
            for step in row.get("steps", [])
        ]
        magnitude = float(row["size"])
        if row["kind"] == "discovery_stale":
            magnitude *= SECOND
        faults.append(
            FaultPlan(
                kind=row["kind"],
                starts_at=_tenths(row["at"]),
                duration=_tenths(row["len"]),
                magnitude=magnitude,
                secondary_magnitude=float(row["extra"]),
                targets=targets,
                subject_index=int(row["which"]),
                mode=row.get("how", ""),
                steps=steps,
            )
        )
    return faults


def _scale_indices(indices: list[int], count: int, smaller_count: int) -> list[int]:
    """Return the same share of a smaller set, at least one where there was one."""
    if not indices:
        return []
    wanted = max(1, round(len(indices) * smaller_count / count))
    return sorted({index * smaller_count // count for index in indices})[:wanted]
