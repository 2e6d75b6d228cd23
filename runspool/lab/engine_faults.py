"""Faults that a stand-in engine has for a time: what switches each on, and what switches it off.

The words are those of the engines' fault commands (StandInEngine).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from runspool.lab.plan import FaultPlan, RequestClassPlan, ScenarioPlan, TenantPlan

Settings = dict[str, object]

# The rows of response faults that the kinds `errors` and `resets` share their magnitude over.
ERROR_ROWS = ("failed_500", "failed_500_after_run")
RESET_ROWS = ("reset_before_body", "reset_after", "reset_stream")

STAGES = 2  # prefill and decode; a request meets one engine of about half the fleet at each


@dataclass(frozen=True, slots=True)
class FaultSwitch:
    """One fault of an engine: its name, and the settings that switch it on and off."""

    name: str
    on: Settings
    off: Settings


@dataclass(frozen=True, slots=True)
class EngineFault:
    """A fault of one engine, by the engine's index in the plan."""

    engine_index: int
    switch: FaultSwitch


def engine_faults(plan: ScenarioPlan, fault: FaultPlan) -> list[EngineFault]:
    """Return what a fault sets at each engine; nothing where it is not a fault of this sort.

    A fault without targets concerns all engines.
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
    return [FaultSwitch("slow", {"times": fault.magnitude}, {"times": 1.0})]


def _slow_links(plan: ScenarioPlan, fault: FaultPlan) -> list[FaultSwitch]:
    return [FaultSwitch("links", {"times": fault.magnitude}, {"times": 1.0})]


def _errors(plan: ScenarioPlan, fault: FaultPlan) -> list[FaultSwitch]:
    return [_response_fault(row, fault.magnitude / len(ERROR_ROWS)) for row in ERROR_ROWS]


def _resets(plan: ScenarioPlan, fault: FaultPlan) -> list[FaultSwitch]:
    return [_response_fault(row, fault.magnitude / len(RESET_ROWS)) for row in RESET_ROWS]


def _response_fault(row: str, share: float) -> FaultSwitch:
    return FaultSwitch("row", {"row": row, "share": share}, {"row": row, "share": 0})


def _class_failure(plan: ScenarioPlan, fault: FaultPlan) -> list[FaultSwitch]:
    request_class = plan.request_classes[fault.subject_index % len(plan.request_classes)]
    subject: Settings = {
        "tariff": request_class.name,
        "how": "silence" if fault.mode == "silence" else "error",
    }
    share = min(1.0, fault.magnitude)
    return [FaultSwitch("tariff", subject | {"share": share}, subject | {"share": 0})]


def _throttle(plan: ScenarioPlan, fault: FaultPlan) -> list[FaultSwitch]:
    """Limit a tenant or request class to a multiple of its even share of the load at an engine."""
    rows: Sequence[TenantPlan | RequestClassPlan] = (
        plan.tenants if fault.mode == "tenant" else plan.request_classes
    )
    row = rows[fault.subject_index % len(rows)]
    engines_per_stage = max(1, len(plan.engines) / STAGES)
    even_rate = plan.requests_per_second * row.share / engines_per_stage
    shortest_objective = min(row.first_token_objective for row in plan.request_classes)
    return [
        FaultSwitch(
            "throttle",
            {
                "whose": row.name,
                "per_second": fault.magnitude * even_rate,
                "say_after": round(fault.secondary_magnitude * shortest_objective),
            },
            {"whose": row.name, "per_second": None, "say_after": 0},
        )
    ]


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
