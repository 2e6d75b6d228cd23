"""Translate the faults of a plan into the commands that switch them on and off at the stand-in engines.

The names of faults and settings are those that `ActiveFaults` of runspool.lab.active_faults accepts.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from runspool.lab.plan import FaultPlan, RequestClassPlan, ScenarioPlan, TenantPlan

Settings = dict[str, object]

# The response faults that the kinds `errors` and `resets` inject. The magnitude is divided evenly between
# them.
ERROR_FAULTS = ("failed_500", "failed_500_after_run")
RESET_FAULTS = ("reset_before_body", "reset_after", "reset_stream")

# Prefill and decode. A request is served by one engine in each stage, and about half of the engines serve a
# stage.
STAGES = 2


@dataclass(frozen=True, slots=True)
class FaultSwitch:
    """A fault by its name, with the settings of the commands that switch it on and off."""

    name: str
    on: Settings
    off: Settings


@dataclass(frozen=True, slots=True)
class EngineFault:
    """A fault to be injected into one engine, which is given by its index in the plan."""

    engine_index: int
    switch: FaultSwitch


def engine_faults(plan: ScenarioPlan, fault: FaultPlan) -> list[EngineFault]:
    """Return the faults to inject into engines for a fault of the plan.

    The result is empty if faults of this kind are not injected by commands to engines. A fault without
    targets applies to all engines.
    """
    build = _BUILDERS.get(fault.kind)
    if build is None:
        return []
    switches = build(plan, fault)
    targets = fault.targets or list(range(len(plan.engines)))
    return [EngineFault(index, switch) for index in targets for switch in switches]


def _hang(plan: ScenarioPlan, fault: FaultPlan) -> list[FaultSwitch]:
    return [FaultSwitch("hang", {"on": True}, {"on": False})]


def _full(plan: ScenarioPlan, fault: FaultPlan) -> list[FaultSwitch]:
    return [_response_fault("full_503", 1.0)]


def _slow(plan: ScenarioPlan, fault: FaultPlan) -> list[FaultSwitch]:
    """Slow down the engine by the factor of the magnitude."""
    return [FaultSwitch("slow", {"times": fault.magnitude}, {"times": 1.0})]


def _slow_links(plan: ScenarioPlan, fault: FaultPlan) -> list[FaultSwitch]:
    """Slow down transfers to other racks by the factor of the magnitude."""
    return [FaultSwitch("links", {"times": fault.magnitude}, {"times": 1.0})]


def _errors(plan: ScenarioPlan, fault: FaultPlan) -> list[FaultSwitch]:
    return [_response_fault(name, fault.magnitude / len(ERROR_FAULTS)) for name in ERROR_FAULTS]


def _resets(plan: ScenarioPlan, fault: FaultPlan) -> list[FaultSwitch]:
    return [_response_fault(name, fault.magnitude / len(RESET_FAULTS)) for name in RESET_FAULTS]


def _response_fault(name: str, share: float) -> FaultSwitch:
    """Return the switch that injects a response fault into a share of the responses."""
    return FaultSwitch("row", {"row": name, "share": share}, {"row": name, "share": 0})


def _class_failure(plan: ScenarioPlan, fault: FaultPlan) -> list[FaultSwitch]:
    """Make the magnitude's share of the requests of one class fail or, in the mode "silence", hang."""
    request_class = plan.request_classes[fault.subject_index % len(plan.request_classes)]
    subject: Settings = {
        "tariff": request_class.name,
        "how": "silence" if fault.mode == "silence" else "error",
    }
    share = min(1.0, fault.magnitude)
    return [FaultSwitch("tariff", subject | {"share": share}, subject | {"share": 0})]


def _throttle(plan: ScenarioPlan, fault: FaultPlan) -> list[FaultSwitch]:
    """Limit the rate of a tenant or request class at an engine.

    The magnitude multiplies the rate that an engine receives if the load is spread evenly over the engines.
    The secondary magnitude sets the time that a rejection takes, as a multiple of the shortest first-token
    objective.
    """
    subjects: Sequence[TenantPlan | RequestClassPlan] = (
        plan.tenants if fault.mode == "tenant" else plan.request_classes
    )
    subject = subjects[fault.subject_index % len(subjects)]
    engines_per_stage = max(1, len(plan.engines) / STAGES)
    even_rate = plan.requests_per_second * subject.share / engines_per_stage
    shortest_objective = min(request_class.first_token_objective for request_class in plan.request_classes)
    return [
        FaultSwitch(
            "throttle",
            {
                "whose": subject.name,
                "per_second": fault.magnitude * even_rate,
                "say_after": round(fault.secondary_magnitude * shortest_objective),
            },
            {"whose": subject.name, "per_second": None, "say_after": 0},
        )
    ]


# The functions that build the switches, by the kind of fault.
_BUILDERS: dict[str, Callable[[ScenarioPlan, FaultPlan], list[FaultSwitch]]] = {
    "hang": _hang,
    "pause": _hang,
    "full": _full,
    "slow": _slow,
    "shared_slow": _slow,
    "origin_slow": _slow_links,
    "errors": _errors,
    "resets": _resets,
    "class_fail": _class_failure,
    "throttle": _throttle,
}
