"""Build the configurations of a scenario's fronts.

The result has the form of an evaluated configuration file; runspool.config.schema defines its keys.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import _jsonnet

from runspool.config.loader import LIBRARY_DIRECTORY
from runspool.lab.plan import FrontPlan, RequestClassPlan, ScenarioPlan
from runspool.units import TENTHS_PER_MS

Section = dict[str, Any]  # section of a configuration, as decoded from JSON

HOST = "127.0.0.1"
OVER_QUOTA_VALUE = 0.1  # fraction of its value that a request above the tenant's quota has
SEEDS_PER_PLAN = 100  # a front's seed is so many times the seed of the plan, plus the front's index
LIST_IDLE_TIMEOUT_MS = 5_000  # milliseconds without a message after which a front renews its watch
LIST_RETRY_MS = 200  # milliseconds before a front tries again to watch the endpoint list
LIST_LINE_BYTES = 4 << 20  # bytes; upper bound on a message of the endpoint list

LIBRARY_DEFAULTS = """
        local r = import 'runspool.libsonnet';
        { rules: r.rules, limits: r.limits, prices: r.prices, bounds: r.bounds, engines: r.engines }
    """


def front_configuration(plan: ScenarioPlan, front_index: int, list_port: int, folder: Path) -> Section:
    """Return the configuration of one front.

    Args:
        plan: the plan of the scenario; ports must have been assigned to its fronts.
        front_index: the front's index in the plan.
        list_port: the port of the endpoint list service.
        folder: the folder for the files that the front writes.
    """
    defaults = _library_defaults()
    return {
        "house": _fleet_section(plan, defaults),
        "front": _front_section(plan, front_index, list_port, folder, defaults),
    }


def _library_defaults() -> Section:
    """Return the sections that the configuration library sets by default."""
    defaults: Section = json.loads(
        _jsonnet.evaluate_snippet("defaults", LIBRARY_DEFAULTS, jpathdir=[str(LIBRARY_DIRECTORY)])
    )
    return defaults


def _fleet_section(plan: ScenarioPlan, defaults: Section) -> Section:
    return {
        "fronts": len(plan.fronts),
        "zones": plan.zones,
        "tariffs": {
            request_class.name: _request_class_section(request_class)
            for request_class in plan.request_classes
        },
        "tenants": {
            tenant.name: {"queries_per_second": tenant.requests_per_second} for tenant in plan.tenants
        },
        "kinds": _engine_types_section(plan),
        "rules": defaults["rules"] | _rules_section(plan),
        "limits": defaults["limits"] | {"max_shots": plan.max_attempts},
        "prices": defaults["prices"],
        "over_share": OVER_QUOTA_VALUE,
    }


def _request_class_section(request_class: RequestClassPlan) -> Section:
    return {
        "due_ms": request_class.first_token_objective / TENTHS_PER_MS,
        "due_per_1000_tokens_ms": request_class.first_token_objective_per_1000_tokens / TENTHS_PER_MS,
        "limit_ms": request_class.time_limit / TENTHS_PER_MS,
        "pace_ms_per_token": request_class.time_per_output_token / TENTHS_PER_MS,
        "gain": request_class.priority_weight,
        "late_share": request_class.late_value,
        "effect": request_class.idempotency,
        "group": request_class.deduplication_scope,
        "window_ms": request_class.deduplication_window / TENTHS_PER_MS,
    }


def _engine_types_section(plan: ScenarioPlan) -> Section:
    """Return the engine types of the plan, and the standard types that it lacks with unknown memory (0)."""
    roles_and_memory: dict[str, tuple[str, int]] = {
        "prefill": ("reader", 0),
        "decode": ("writer", 0),
        "mixed": ("mixed", 0),
    }
    for engine in plan.engines:
        roles_and_memory[engine.engine_type] = (engine.spec.role, engine.spec.memory)
    return {
        name: {"role": role, "memory_tokens": memory} for name, (role, memory) in roles_and_memory.items()
    }


def _rules_section(plan: ScenarioPlan) -> Section:
    return {
        "drain_grace_ms": plan.drain_grace / TENTHS_PER_MS,
        "cold_from": plan.slow_start_initial_fraction,
        "cold_ms": plan.slow_start_duration / TENTHS_PER_MS,
        "fall_multiple": plan.slow_start_overload_multiple,
        "fall_ms": plan.slow_start_overload_window / TENTHS_PER_MS,
        "release_within_ms": plan.state_release_timeout / TENTHS_PER_MS,
    }


def _front_section(
    plan: ScenarioPlan, front_index: int, list_port: int, folder: Path, defaults: Section
) -> Section:
    front = plan.fronts[front_index]
    return {
        "name": front.name,
        "number": front_index,
        "zone": front.zone,
        "seed": plan.seed * SEEDS_PER_PLAN + front_index,
        "listen": {"host": HOST, "port": front.port},
        "default_tariff": None,
        "model": "runspool",
        "bounds": defaults["bounds"] | _bounds_section(plan),
        "engines": defaults["engines"] | {"source_address": front.source_address},
        "list": {
            "host": HOST,
            "port": list_port,
            "quiet_ms": LIST_IDLE_TIMEOUT_MS,
            "retry_ms": LIST_RETRY_MS,
            "line_bytes": LIST_LINE_BYTES,
        },
        "memory_file": str(folder / f"{front.name}.list"),
        "cells_file": _cells_file(plan, front, folder),
        "log_level": "info",
    }


def _bounds_section(plan: ScenarioPlan) -> Section:
    return {"longest_limit_ms": plan.max_time_limit / TENTHS_PER_MS} if plan.max_time_limit else {}


def _cells_file(plan: ScenarioPlan, front: FrontPlan, folder: Path) -> str | None:
    return str(folder / f"{front.name}.map") if plan.cells else None
