"""The scenarios `bad-night` and `quiet`, and the request classes and engines that all scenarios use.

All random values are drawn from the scenario's seed. Changing the order of the draws changes the scenario
that a seed stands for.
"""

from __future__ import annotations

from random import Random
from typing import Literal, NamedTuple

from runspool.lab.engine_model import EngineSpec
from runspool.lab.plan import (
    SECOND,
    ClientsPlan,
    EnginePlan,
    FaultPlan,
    FrontPlan,
    RequestClassPlan,
    ScenarioPlan,
    TenantPlan,
)

STEP_TIME = 120  # tenths of a millisecond; duration of a step that decodes, without the part per stream
STEP_TIME_PER_STREAM = 1.5  # tenths of a millisecond that each stream adds to a step
# Bounds of the random factors that multiply the prefill rate and the step time of each engine.
MIN_FACTOR, MAX_FACTOR = 0.9, 1.1
MIN_SLOTS = 2
# Divides the time of a prefill in the mean work of a mixed engine, which prefills in the steps in which it
# also decodes.
MIXED_PREFILL_DIVISOR = 4

# The scenarios bad-night and quiet. Times are in tenths of a millisecond.
BAD_NIGHT_DURATION = 50 * SECOND
BAD_NIGHT_ZONES = ("waw-1", "waw-2", "lodz-1")
BAD_NIGHT_ZONE_ENGINES = ("prefill", "prefill", "decode", "mixed")
BAD_NIGHT_FRONTS = 3
BAD_NIGHT_RATE = 40  # requests per second
FIRST_FAULT_AT = 12 * SECOND  # earliest start of a fault; by then every engine is processing streams
FAULT_FREE_END = 10 * SECOND  # time at the end of the scenario in which no fault starts
# Minimum time from the start of the interval of overlapping faults to FAULT_FREE_END.
MIN_TIME_AFTER_OVERLAP_START = 6 * SECOND
OVERLAP_SECONDS = 5  # seconds; length of the interval in which all overlapping faults start

QUIET_DURATION = 20 * SECOND


class _EngineType(NamedTuple):
    role: Literal["reader", "writer", "mixed"]
    slots: int
    queue_capacity: int
    memory: int
    prefill_rate: float


# The prefill rates are in tokens per tenth of a millisecond, the memory in tokens.
_ENGINE_TYPES = {
    "prefill": _EngineType("reader", 8, 40, 220_000, 1.9),
    "decode": _EngineType("writer", 64, 32, 160_000, 0.7),
    "mixed": _EngineType("mixed", 48, 24, 220_000, 1.2),
}


def source_address(front: int) -> str:
    """Return the loopback address from which the front with this index connects."""
    return f"127.0.0.{11 + front}"


def default_request_classes() -> list[RequestClassPlan]:
    """Return the three request classes of the laboratory's scenarios, one for each value of `idempotency`."""
    return [
        RequestClassPlan(
            name="staff-ask",
            share=0.5,
            idempotency="rerunnable",
            priority_weight=1,
            first_token_objective=15_000,
            first_token_objective_per_1000_tokens=400,
            time_limit=60_000,
            time_per_output_token=600,
            new_prompt_tokens=250,
            output_tokens=60,
            turns=2.5,
            prefix_share=0.8,
            prefix_tokens=1600,
            late_value=0.2,
        ),
        RequestClassPlan(
            name="manager-check",
            share=0.3,
            idempotency="ticketed",
            priority_weight=3,
            first_token_objective=20_000,
            first_token_objective_per_1000_tokens=400,
            time_limit=80_000,
            time_per_output_token=700,
            new_prompt_tokens=320,
            output_tokens=80,
            turns=2.0,
            prefix_share=0.7,
            prefix_tokens=1200,
            late_value=0.1,
            deduplication_scope="zone",
        ),
        RequestClassPlan(
            name="payout-close",
            share=0.2,
            idempotency="exclusive",
            priority_weight=3,
            first_token_objective=30_000,
            first_token_objective_per_1000_tokens=1200,
            time_limit=150_000,
            time_per_output_token=800,
            new_prompt_tokens=1500,
            output_tokens=40,
            turns=1.2,
            prefix_share=0.2,
            prefix_tokens=700,
            late_value=0.2,
        ),
    ]


def plan_engine(
    name: str,
    engine_type: str,
    zone: str,
    rack: int,
    request_classes: list[RequestClassPlan],
    rng: Random,
    capacity_multiple: float = 1.0,
) -> EnginePlan:
    """Return an engine of a type ("prefill", "decode" or "mixed") whose prefill rate and step time are drawn.

    `capacity_multiple` multiplies its slots and its prefill rate.
    """
    usual = _ENGINE_TYPES[engine_type]
    prefill_rate = usual.prefill_rate * rng.uniform(MIN_FACTOR, MAX_FACTOR) * capacity_multiple
    step_time = STEP_TIME * rng.uniform(MIN_FACTOR, MAX_FACTOR)
    slots = max(MIN_SLOTS, usual.slots * capacity_multiple)
    full_step_time = step_time + STEP_TIME_PER_STREAM * slots
    mean_work = {}
    for request_class in request_classes:
        prompt = request_class.new_prompt_tokens + request_class.prefix_share * request_class.prefix_tokens
        prefill = prompt / prefill_rate
        decode = request_class.output_tokens * full_step_time / slots
        mean_work[request_class.name] = {
            "reader": prefill,
            "writer": decode,
            "mixed": decode + prefill / MIXED_PREFILL_DIVISOR,
        }[usual.role]
    spec = EngineSpec(
        name=name,
        role=usual.role,
        zone=zone,
        rack=rack,
        slots=int(slots),
        queue_capacity=usual.queue_capacity,
        memory=usual.memory,
        prefill_rate=prefill_rate,
        step_time=step_time,
        step_time_per_stream=STEP_TIME_PER_STREAM,
        same_rack_rate=30.0,
        cross_rack_rate=10.0,
        cross_zone_slowdown=2.0,
        slow_start_initial_fraction=0.3,
        slow_start_duration=12 * SECOND,
        slow_start_overload_multiple=2.5,
        slow_start_overload_window=15_000,
        state_ttl=10 * SECOND,
        mean_work=mean_work,
    )
    return EnginePlan(spec, engine_type)


def bad_night(seed: int, duration: int = BAD_NIGHT_DURATION) -> ScenarioPlan:
    """Return a scenario with many faults, of which at least eight kinds are active at the same time.

    The faults include kills of fronts and engines.
    """
    rng = Random(seed)
    request_classes = default_request_classes()
    engines = [
        plan_engine(f"{zone}-{engine_type}-{index}", engine_type, zone, rack, request_classes, rng)
        for rack, zone in enumerate(BAD_NIGHT_ZONES)
        for index, engine_type in enumerate(BAD_NIGHT_ZONE_ENGINES)
    ]
    fronts = [
        FrontPlan(f"front-{index}", BAD_NIGHT_ZONES[index], source_address(index))
        for index in range(BAD_NIGHT_FRONTS)
    ]
    return ScenarioPlan(
        name="bad-night",
        seed=seed,
        duration=duration,
        requests_per_second=BAD_NIGHT_RATE,
        zones=list(BAD_NIGHT_ZONES),
        request_classes=request_classes,
        tenants=[
            TenantPlan("stol-razem", 0.42, 20),
            TenantPlan("pod-lipami", 0.37, 18),
            TenantPlan("mala-kuchnia", 0.21, 11),
        ],
        fronts=fronts,
        engines=engines,
        clients=ClientsPlan(),
        faults=_bad_night_faults(engines, duration, rng),
    )


def quiet(seed: int, duration: int = QUIET_DURATION) -> ScenarioPlan:
    """Return a scenario with the fleet and the workload of `bad_night` and no faults."""
    plan = bad_night(seed)
    plan.name = "quiet"
    plan.duration = duration
    plan.faults = []
    return plan


def _bad_night_faults(engines: list[EnginePlan], duration: int, rng: Random) -> list[FaultPlan]:
    """Draw the faults of `bad_night`, and return them in the order in which they start."""
    prefills = _shuffled_indices(engines, "prefill", rng)
    decodes = _shuffled_indices(engines, "decode", rng)
    mixed = _shuffled_indices(engines, "mixed", rng)
    span = duration - FIRST_FAULT_AT - FAULT_FREE_END
    overlap_starts_at = FIRST_FAULT_AT + int(rng.random() * (span - MIN_TIME_AFTER_OVERLAP_START))

    def draw_start() -> int:
        """Draw a start within the whole time for faults."""
        return FIRST_FAULT_AT + int(rng.random() * span)

    def draw_overlapping_start() -> int:
        """Draw a start within OVERLAP_SECONDS, so that faults of 8 s or more are all active at their end."""
        return overlap_starts_at + int(rng.random() * OVERLAP_SECONDS * SECOND)

    # The values are drawn in the order in which the arguments are evaluated, so this order must not change.
    faults = [
        FaultPlan("crash", draw_start(), 8 * SECOND, targets=[decodes[0]]),
        FaultPlan("front_kill", draw_start(), 2 * SECOND, targets=[rng.randrange(3)]),
        FaultPlan("front_kill", draw_overlapping_start(), 3 * SECOND, targets=[rng.randrange(3)]),
        FaultPlan("hang", draw_start(), 4 * SECOND, targets=[prefills[0]]),
        FaultPlan("pause", draw_start(), SECOND, targets=[mixed[0]]),
        FaultPlan(
            "slow", draw_overlapping_start(), 10 * SECOND, magnitude=rng.uniform(2, 5), targets=[prefills[1]]
        ),
        FaultPlan("drain", draw_start(), 5 * SECOND, targets=[mixed[1]]),
        FaultPlan("drain", draw_start(), 5 * SECOND, targets=[prefills[2]]),
        FaultPlan("restart", draw_start(), SECOND, targets=[prefills[3]]),
        FaultPlan(
            "errors", draw_overlapping_start(), 8 * SECOND, magnitude=0.2, targets=[decodes[1], mixed[2]]
        ),
        FaultPlan(
            "resets", draw_overlapping_start(), 8 * SECOND, magnitude=0.1, targets=[decodes[2], prefills[1]]
        ),
        FaultPlan("list_noise", draw_overlapping_start(), 10 * SECOND),
        FaultPlan("discovery_stale", draw_start(), 8 * SECOND, magnitude=3 * SECOND),
        FaultPlan("origin_slow", draw_overlapping_start(), 8 * SECOND, magnitude=rng.uniform(2, 6)),
        FaultPlan("flush", draw_start(), 0, magnitude=0.8),
        FaultPlan("burst", draw_start(), 4 * SECOND, magnitude=1.5),
        FaultPlan("heavy_tail", draw_start(), 8 * SECOND, magnitude=10, secondary_magnitude=0.03),
        FaultPlan("hot_key", draw_overlapping_start(), 8 * SECOND, magnitude=0.15),
        FaultPlan(
            "retry_abuse",
            draw_overlapping_start(),
            8 * SECOND,
            magnitude=4,
            secondary_magnitude=0.4,
            subject_index=rng.randrange(3),
        ),
        FaultPlan(
            "throttle",
            draw_overlapping_start(),
            8 * SECOND,
            magnitude=0.2,
            secondary_magnitude=0.2,
            targets=[decodes[1], prefills[4]],
            mode="tenant",
            subject_index=rng.randrange(3),
        ),
        FaultPlan("class_fail", draw_start(), 8 * SECOND, magnitude=1.0, targets=[mixed[2]], mode="silence"),
        FaultPlan("leaving", draw_start(), 8 * SECOND, magnitude=0.1),
    ]
    faults.sort(key=lambda fault: fault.starts_at)
    return faults


def _shuffled_indices(engines: list[EnginePlan], engine_type: str, rng: Random) -> list[int]:
    """Return the indices of the engines of a type in random order."""
    indices = [index for index, engine in enumerate(engines) if engine.engine_type == engine_type]
    rng.shuffle(indices)
    return indices
