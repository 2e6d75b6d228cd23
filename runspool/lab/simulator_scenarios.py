"""Convert a scenario of the simulator (a "day") to a plan with the same faults for a smaller fleet."""

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

SimulatorScenario = dict[str, Any]  # scenario of the simulator, as decoded from JSON
SimulatorObject = dict[str, Any]  # object in a list of such a scenario

MICROSECONDS_PER_TENTH_MS = 100  # microseconds in a tenth of a millisecond
RATE_PER_ENGINE = 5.5  # requests per second and engine at the simulator's load 1
UNLIMITED_RATE = 1e6  # requests per second; quota that no tenant reaches
HEAVY_WORK = 200_000  # microseconds; request classes whose mean work is longer get long prompts
# The values in plans for those of the simulator.
IDEMPOTENCIES = {"safe": "rerunnable", "keyed": "ticketed", "unsafe": "exclusive"}
DEDUPLICATION_SCOPES = {"all": "all", "zone": "zone", "cell": "rack"}
ENGINE_TYPES = ("prefill", "decode", "mixed")


class InvalidSimulatorScenarioError(RunspoolError):
    """A scenario of the simulator cannot be converted; the message states the reason."""


def plan_from_simulator_scenario(
    scenario: SimulatorScenario, fronts: int, engines: int, scale: float = 1.0
) -> ScenarioPlan:
    """Return a plan with the faults of a simulator scenario for a fleet of the given size.

    A fault that affects some engines or fronts affects the same share of the smaller fleet.

    Args:
        scenario: the scenario that the simulator's draw printed; its times are in microseconds.
        fronts: the number of fronts in the plan.
        engines: the number of engines in the plan.
        scale: the load, as a multiple of the simulator's load per engine.

    Raises:
        InvalidSimulatorScenarioError: `scenario` is not one of the simulator, or has faults of unknown kinds.
    """
    try:
        return _convert(scenario, fronts, engines, scale)
    except (KeyError, TypeError, IndexError, ValueError) as error:
        raise InvalidSimulatorScenarioError(
            f"not a simulator scenario: {type(error).__name__}: {error}"
        ) from None


def _convert(scenario: SimulatorScenario, front_count: int, engine_count: int, scale: float) -> ScenarioPlan:
    unknown = sorted({row["kind"] for row in scenario["troubles"]} - {*SIMULATOR_FAULT_KINDS})
    if unknown:
        raise InvalidSimulatorScenarioError(f"unknown kinds of fault: {', '.join(unknown)}")
    rng = Random(int(scenario.get("noise", 0)) % (1 << 32))
    zones = [str(zone) for zone in scenario["zones"]]
    request_classes = _request_classes(scenario["classes"])
    engines = _engines(scenario, zones, request_classes, engine_count, rng)
    fronts = [
        FrontPlan(f"front-{index}", zones[index % len(zones)], source_address(index))
        for index in range(front_count)
    ]
    faults = _faults(scenario, front_count, engine_count)
    load = float(scenario["traffic"]["load"])
    clients = scenario["clients"]
    return ScenarioPlan(
        name=str(scenario.get("site", "bench")),
        seed=rng.randrange(1 << 30),
        duration=_to_tenths_of_ms(scenario["length"]),
        requests_per_second=scale * load * engine_count * RATE_PER_ENGINE,
        zones=zones,
        request_classes=request_classes,
        tenants=_tenants(scenario),
        fronts=fronts,
        engines=engines,
        faults=faults,
        load_shape=[(float(second), float(multiple)) for second, multiple in scenario["traffic"]["shape"]],
        endpoint_list_delay=_to_tenths_of_ms(scenario["discovery"]["notice"]),
        drain_grace=_to_tenths_of_ms(scenario["drain_grace"]),
        max_attempts=int(scenario["allow"]["max_attempts"]),
        slow_start_overload_multiple=float(scenario["fall_multiple"]),
        slow_start_overload_window=_to_tenths_of_ms(scenario["fall_for"]),
        clients=ClientsPlan(
            retries=int(clients["retries"]),
            backoff=_to_tenths_of_ms(clients["backoff_us"]),
            attempt_time_share=float(clients["try_share"]),
            failover_delay=_to_tenths_of_ms(scenario.get("front_notice", 2_000_000)),
            disconnecting_share=float(clients.get("impatient", 0.0)),
            slow_reading_share=0.0,
        ),
    )


def _to_tenths_of_ms(microseconds: str | float) -> int:
    """Convert microseconds to tenths of a millisecond."""
    return int(microseconds) // MICROSECONDS_PER_TENTH_MS


def _request_classes(rows: list[SimulatorObject]) -> list[RequestClassPlan]:
    """Convert the request classes, with shares that add up to 1."""
    request_classes = [_request_class(row) for row in rows]
    total = sum(request_class.share for request_class in request_classes)
    for request_class in request_classes:
        request_class.share /= total
    return request_classes


def _request_class(row: SimulatorObject) -> RequestClassPlan:
    idempotency = IDEMPOTENCIES[row["effect"]]
    scope = DEDUPLICATION_SCOPES[row["group"]]
    heavy = float(row["work"]) > HEAVY_WORK
    return RequestClassPlan(
        name=row["name"],
        share=float(row["share"]),
        idempotency=idempotency,  # type: ignore[arg-type]
        priority_weight=float(row["worth"]),
        first_token_objective=_to_tenths_of_ms(row["aim"]),
        first_token_objective_per_1000_tokens=400,
        time_limit=_to_tenths_of_ms(row["deadline"]),
        time_per_output_token=700,
        new_prompt_tokens=1500 if heavy else 250,
        output_tokens=60,
        turns=1.3 if heavy else 2.0,
        prefix_share=0.2 if heavy else 0.8,
        prefix_tokens=1500,
        late_value=float(row["late_worth"]),
        deduplication_scope=scope,  # type: ignore[arg-type]
        deduplication_window=_to_tenths_of_ms(row["window"]),
    )


def _engines(
    scenario: SimulatorScenario,
    zones: list[str],
    request_classes: list[RequestClassPlan],
    count: int,
    rng: Random,
) -> list[EnginePlan]:
    type_names = [row["name"] for row in scenario["tiers"][0]["kinds"]]
    servers = scenario["servers"]
    return [
        plan_engine(
            f"engine-{index}",
            _engine_type(type_names[servers[selected]["kind"]]),
            zones[servers[selected]["zone"]],
            int(servers[selected]["cell"]),
            request_classes,
            rng,
        )
        for index, selected in enumerate(_select_servers(servers, count))
    ]


def _engine_type(name: str) -> str:
    """Return the engine type for a type of the simulator; unknown types become mixed engines."""
    return name if name in ENGINE_TYPES else "mixed"


def _select_servers(servers: list[SimulatorObject], count: int) -> list[int]:
    """Return the indices of `count` servers that represent all servers.

    Each type and each zone keeps about its share, and each type has at least one server.
    """
    order = sorted(
        range(len(servers)), key=lambda index: (servers[index]["kind"], servers[index]["zone"], index)
    )
    selected = [order[index * len(order) // count] for index in range(count)]
    for kind in {row["kind"] for row in servers} - {servers[index]["kind"] for index in selected}:
        selected[-1 - kind % count] = next(index for index in order if servers[index]["kind"] == kind)
    return selected


def _tenants(scenario: SimulatorScenario) -> list[TenantPlan]:
    """Convert the tenants; a scenario without tenants gets one that sends all requests."""
    tenants = [
        TenantPlan(row["name"], float(row["share"]), UNLIMITED_RATE) for row in scenario.get("tenants", [])
    ]
    return tenants or [TenantPlan("all", 1.0, UNLIMITED_RATE)]


def _faults(scenario: SimulatorScenario, front_count: int, engine_count: int) -> list[FaultPlan]:
    """Convert the faults; the simulator gives the magnitude of discovery_stale in seconds."""
    server_count, balancer_count = len(scenario["servers"]), len(scenario["balancers"])
    faults = []
    for row in scenario["troubles"]:
        targets = _scale_indices(row["on"], server_count, engine_count)
        steps = [
            (_to_tenths_of_ms(step["at"]), _scale_indices(step["stop"], balancer_count, front_count))
            for step in row.get("steps", [])
        ]
        magnitude = float(row["size"])
        if row["kind"] == "discovery_stale":
            magnitude *= SECOND
        faults.append(
            FaultPlan(
                kind=row["kind"],
                starts_at=_to_tenths_of_ms(row["at"]),
                duration=_to_tenths_of_ms(row["len"]),
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
    """Scale indices into `count` items to indices into `smaller_count` items.

    The result has about the same share of the items, and is empty only if `indices` is.
    """
    if not indices:
        return []
    wanted = max(1, round(len(indices) * smaller_count / count))
    return sorted({index * smaller_count // count for index in indices})[:wanted]
