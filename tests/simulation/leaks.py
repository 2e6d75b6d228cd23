"""A check for state of requests that a front still holds; once every request has ended, there is none."""

from __future__ import annotations

from runspool.runtime.scheduler_driver import BACKGROUND_TASK
from runspool.scheduling.engine_state import Engine
from runspool.service.cell_scheduler import CellScheduler
from runspool.service.front import Front


def leaked_state(front: Front) -> list[str]:
    """Return a line for each request, task, queue entry, counter or budget that a front still holds."""
    leaks = [f"request {index}" for index in front.requests]
    for cell_scheduler in front.cell_schedulers.values():
        leaks += _leaks_of_scheduler(cell_scheduler)
    return leaks + _leaks_of_admission(front)


def _leaks_of_scheduler(cell_scheduler: CellScheduler) -> list[str]:
    driver = cell_scheduler.driver
    leaks = [f"task {index}" for index in driver.tasks if index != BACKGROUND_TASK]
    if cell_scheduler.open_requests:
        leaks.append(f"{cell_scheduler.name} counts {cell_scheduler.open_requests} requests")
    leaks += [f"attempt of {index}" for index in driver.scheduler.open_attempts]
    leaks += [f"prefill queue: {place}" for place in driver.scheduler.prefill_queue]
    for engine in driver.scheduler.engines.values():
        leaks += _leaks_of_engine(engine)
    return leaks


def _leaks_of_engine(engine: Engine) -> list[str]:
    attempts = {
        "prefills": engine.prefills,
        "waiting_decodes": engine.waiting_decodes,
        "streams": engine.streams,
    }
    leaks = [f"engine {engine.id}: {name} {requests}" for name, requests in attempts.items() if requests]
    if engine.prefill_tokens or engine.stream_tokens:
        tokens = f"prefill tokens {engine.prefill_tokens}, stream tokens {engine.stream_tokens}"
        leaks.append(f"engine {engine.id}: {tokens}")
    return leaks


def _leaks_of_admission(front: Front) -> list[str]:
    router = front.cell_router
    leaks = []
    if router.request_budget.used or router.byte_budget.used:
        leaks.append(f"budgets: {router.request_budget.used} {router.byte_budget.used}")
    if router.migrations.in_flight:
        leaks.append(f"migrations: {router.migrations.in_flight}")
    return leaks
