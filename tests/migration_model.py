"""A model of two fronts and one request during the move of a tenant, explored in every interleaving.

The fronts adopt published maps in any order and may be killed; an operator plans, undoes and finishes moves;
the client retries. One request is enough: requests do not interact in a move, as the cell of each depends
only on the map, the clock and its own ticket.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Any

from runspool.cells import tenant_migration
from runspool.cells.cell_map import CellMap, Move
from runspool.cells.tenant_migration import CellChoice, MapChangeRefusedError, TenantMigrations
from tests.cell_maps import cell_map_with

WINDOW = 50_000  # deduplication window of requests with a ticket, in tenths of a millisecond
TICK_MS = WINDOW // 10 // 2  # the time step of the model: half a window
TICK = TICK_MS * 10
TICKS_PER_WINDOW = 2
MOVE_START_MS = 2 * TICK_MS
REQUEST_DURATION = 10 * TICK_MS  # the longest request lasts one tick; in tenths of a millisecond
BINDING_TIME = WINDOW + REQUEST_DURATION  # for which a ticket binds its request to a cell

# The last tick of the exploration. With 5, it visited 588,682 and 201,272 states for the two kinds of
# idempotency in 47 s and found no violation.
LAST_TICK = 4
MAX_MAPS = 3  # maps that are published, including the first two
MAX_ATTEMPTS = 2  # attempts of the client
MAX_KILLS = 1  # kills of fronts

NO_FRONT = -1  # stands for a front's number while no front has the request
TICKET = "k"

# Results of an attempt for the client.
UNKNOWN = "unknown"
REJECTED = "dismissed"

# Idempotency, as the configuration names it.
AT_MOST_ONCE = "exclusive"
KEYED = "ticketed"

ChooseCell = Callable[..., CellChoice]


def make_move(name: str = "m", starts_unix_ms: int = MOVE_START_MS) -> Move:
    """Return the move of the tenant from cell a to cell b."""
    return Move.model_validate(
        {"id": name, "tenant": "t", "source": "a", "target": "b", "starts_unix_ms": starts_unix_ms}
    )


MAP_BEFORE_MOVE = cell_map_with("a", "b", "c", tenants={"t": "a"})
MAP_WITH_MOVE = tenant_migration.plan_move(MAP_BEFORE_MOVE, make_move(), [])


@dataclass(frozen=True)
class FrontState:
    """The state of a front.

    `ticket` holds the cell to which the request's ticket is bound and the time until which it is bound.
    """

    cell_map: CellMap
    adopted_unix_ms: int = 0
    ticket: tuple[str, int] | None = None


@dataclass(frozen=True)
class State:
    """A state of the model.

    `in_progress_at` is the front at which the request is in progress, `last_front` the front of its last
    attempt, and `admitted_at` the tick at which that front admitted it. `executions` holds each cell in which
    the request had its effect, with the tick.
    """

    published: tuple[CellMap, ...]
    tick: int
    fronts: tuple[FrontState, FrontState]
    idempotency: str
    attempts: int = 0
    in_progress_at: int = NO_FRONT
    cell: str = ""
    executions: tuple[tuple[str, int], ...] = ()
    last_result: str = ""
    last_front: int = NO_FRONT
    kills: int = 0
    admitted_at: int = 0

    @property
    def unix_ms(self) -> int:
        """The wall-clock time in Unix milliseconds."""
        return self.tick * TICK_MS


def next_states(state: State, choose_cell: ChooseCell = TenantMigrations.choose_cell) -> list[State]:
    """Return every state that one step can reach."""
    return (
        _clock_steps(state)
        + _operator_steps(state)
        + [step for number in range(len(state.fronts)) for step in _front_steps(state, number)]
        + _request_steps(state, choose_cell)
    )


def _clock_steps(state: State) -> list[State]:
    """Advance the clock, but not past the time limit of the request in progress, which is one tick."""
    is_request_due = state.in_progress_at >= 0 and state.tick > state.admitted_at
    if state.tick >= LAST_TICK or is_request_due:
        return []
    return [replace(state, tick=state.tick + 1)]


def _operator_steps(state: State) -> list[State]:
    if len(state.published) >= MAX_MAPS:
        return []
    changes = _cached_changes(state.published[-1], f"m{len(state.published)}", state.unix_ms)
    return [replace(state, published=(*state.published, cell_map)) for cell_map in changes]


def _front_steps(state: State, number: int) -> list[State]:
    """Have the front adopt a newer map, or kill it."""
    front = state.fronts[number]
    steps = [
        _with_front(state, number, replace(front, cell_map=cell_map, adopted_unix_ms=state.unix_ms))
        for cell_map in state.published
        if cell_map.version > front.cell_map.version
    ]
    if state.kills < MAX_KILLS:
        # The map and its adoption time survive on disk. Tickets are lost, and clients do not learn the result
        # of an attempt that was in progress.
        killed = _with_front(state, number, replace(front, ticket=None))
        if state.in_progress_at == number:
            killed = replace(killed, in_progress_at=NO_FRONT, last_result=UNKNOWN)
        steps.append(replace(killed, kills=state.kills + 1))
    return steps


def _request_steps(state: State, choose_cell: ChooseCell) -> list[State]:
    if state.in_progress_at >= 0:
        return _end_attempt(state)
    if state.attempts >= MAX_ATTEMPTS:
        return []
    steps = []
    for number in range(len(state.fronts)):
        if _may_send(state, number):
            steps += _send_to(state, number, choose_cell)
    return steps


def _end_attempt(state: State) -> list[State]:
    steps = [replace(state, in_progress_at=NO_FRONT, last_result=UNKNOWN)]
    if not any(cell == state.cell for cell, _ in state.executions):
        steps.append(replace(state, executions=(*state.executions, (state.cell, state.tick))))
    if not state.executions:
        steps.append(replace(state, in_progress_at=NO_FRONT, last_result=REJECTED))
    return steps


def _may_send(state: State, number: int) -> bool:
    """Return whether the client may send the request to a front.

    A client repeats a request that may have executed only if it is keyed, and only at the same front and
    within the deduplication window.
    """
    if state.last_result != UNKNOWN:
        return True
    is_window_over = bool(state.executions) and state.tick - state.executions[0][1] >= TICKS_PER_WINDOW
    return state.idempotency == KEYED and number == state.last_front and not is_window_over


def _send_to(state: State, number: int, choose_cell: ChooseCell) -> list[State]:
    """Send the request to a front, which admits it to a cell unless its earlier cell is unknown."""
    front = state.fronts[number]
    now = state.tick * TICK
    migrations = TenantMigrations(front.cell_map, front.adopted_unix_ms)
    if front.ticket is not None:
        migrations.key_bindings[TICKET] = front.ticket
    ticket = TICKET if state.idempotency == KEYED else None
    is_retry = state.attempts > 0
    choice = choose_cell(migrations, now, state.unix_ms, "t", None, ticket, is_retry, BINDING_TIME)
    if choice.earlier_cell_unknown:
        return []
    migrations.record_admission(now, "t", choice.cell, ticket, BINDING_TIME)
    admitted = _with_front(state, number, replace(front, ticket=migrations.key_bindings.get(TICKET)))
    return [
        replace(
            admitted,
            attempts=state.attempts + 1,
            in_progress_at=number,
            cell=choice.cell,
            last_front=number,
            last_result="",
            admitted_at=state.tick,
        )
    ]


def _possible_changes(newest: CellMap, name: str, unix_ms: int) -> list[CellMap]:
    """Return the maps that an operator may publish next."""
    changes = []
    with suppress(MapChangeRefusedError):
        changes.append(tenant_migration.plan_move(newest, make_move(name, unix_ms + TICK_MS), []))
    with suppress(MapChangeRefusedError):
        changes.append(tenant_migration.undo_move(newest, newest.moves[-1].id, unix_ms))
    with suppress(MapChangeRefusedError):
        changes.append(tenant_migration.finish_move(newest, newest.moves[-1].id, unix_ms, BINDING_TIME))
    return changes


_maps_by_json: dict[str, CellMap] = {}
_changes_by_key: dict[tuple[int, str, int], list[CellMap]] = {}


def _cached_changes(newest: CellMap, name: str, unix_ms: int) -> list[CellMap]:
    key = (id(newest), name, unix_ms)
    if key not in _changes_by_key:
        _changes_by_key[key] = [_interned(cell_map) for cell_map in _possible_changes(newest, name, unix_ms)]
    return _changes_by_key[key]


def _interned(cell_map: CellMap) -> CellMap:
    """Return one object for all equal maps, so that states can be compared by identity."""
    return _maps_by_json.setdefault(cell_map.model_dump_json(), cell_map)


def _with_front(state: State, number: int, front: FrontState) -> State:
    return replace(state, fronts=(front, state.fronts[1]) if number == 0 else (state.fronts[0], front))


def _key(state: State) -> tuple[Any, ...]:
    """Return a key that is equal only for equal states."""
    fronts = tuple((id(front.cell_map), front.adopted_unix_ms, front.ticket) for front in state.fronts)
    return (
        tuple(map(id, state.published)),
        state.tick,
        fronts,
        state.attempts,
        state.in_progress_at,
        state.cell,
        state.executions,
        state.last_result,
        state.last_front,
        state.kills,
        state.admitted_at,
    )


def explore(
    idempotency: str, choose_cell: ChooseCell = TenantMigrations.choose_cell
) -> tuple[int, list[State]]:
    """Visit every reachable state, up to the first in which the effect may have happened in two cells.

    Return the number of states visited, and a list that holds this first violation or is empty.
    """
    first_map = _interned(MAP_BEFORE_MOVE)
    maps = (first_map, _interned(MAP_WITH_MOVE))
    start = State(maps, 1, (FrontState(first_map), FrontState(first_map)), idempotency)
    visited, to_visit, violations = {_key(start)}, [start], []
    while to_visit:
        state = to_visit.pop()
        if len({cell for cell, _ in state.executions}) > 1:
            violations.append(state)
            break
        for following in next_states(state, choose_cell):
            key = _key(following)
            if key not in visited:
                visited.add(key)
                to_visit.append(following)
    return len(visited), violations
