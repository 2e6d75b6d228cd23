"""Live migration of tenants between cells: select the cell for a request, and plan, undo and finish moves.

A move does not weaken the guarantees on how often a request executes, although the fronts do not communicate
with each other. A request belongs to one cell from its admission to its end. A move only changes the cell
that admits *new* requests, from a time that the map states, so a front needs no message to start or end a
move. A front that was killed derives the same state from the map and the clock after its restart. Requests in
flight end in the cell where they started; in particular, a request that must execute at most once never has
an attempt in the new cell. Two fronts with different maps admit a tenant's requests to different cells for a
while, but each request to one cell only.

Requests are independent of each other in this, except for client retries with an idempotency key: only the
deduplication scope that has seen the key drops a duplicate. Such retries go to the cell where the key was
seen, for as long as that cell may still remember the key or execute the earlier try.

The module does no I/O. `now` and `key_binding_time` are in tenths of a millisecond; `unix_ms` is the wall
clock in milliseconds since the epoch.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

from runspool.cells.cell_map import ALL_CELLS, CellMap, Move
from runspool.cells.engine_placement import home_cell
from runspool.errors import RunspoolError

MAX_KEY_BINDINGS = (
    50_000  # idempotency keys remembered; the key that was used least recently is dropped first
)
MAX_CACHED_HOME_CELLS = 20_000  # cached home cells, mostly of sessions; the cache is emptied when it is full
TENTHS_PER_MS = 10


class MigrationStage(Enum):
    """The progress of a move at one front."""

    AHEAD = auto()  # the move has not started
    SETTLING = auto()  # new requests go to the target; requests or idempotency keys remain at the source
    SETTLED = auto()  # no request and no idempotency key remains at the source
    BACK = auto()  # undone: new requests go to the source again


@dataclass(frozen=True, slots=True)
class CellChoice:
    """The cell that admits a request.

    Attributes:
        cell: the name of the cell.
        earlier_cell_unknown: whether the request is a client retry whose earlier try may have been admitted
            to another cell: this front has not seen its idempotency key, and the tenant's home cell may have
            changed recently.
    """

    cell: str
    earlier_cell_unknown: bool = False


@dataclass(slots=True)
class TenantMigrations:
    """Selects the cells of requests at one front while tenants move.

    Attributes:
        cell_map: the map that the front has adopted.
        adopted_unix_ms: when the front adopted the map, in milliseconds since the epoch.
        in_flight: the number of requests that have not ended, by tenant and cell.
        key_bindings: for each idempotency key, its cell and the time until which retries go to that cell; the
            key that was used least recently comes first.
        home_cell_cache: home cells without regard to moves, by tenant and session.
    """

    cell_map: CellMap
    adopted_unix_ms: int = 0
    in_flight: Counter[tuple[str, str]] = field(default_factory=Counter)
    key_bindings: OrderedDict[str, tuple[str, int]] = field(default_factory=OrderedDict)
    home_cell_cache: dict[tuple[str | None, str | None], str] = field(default_factory=dict)

    def adopt(self, cell_map: CellMap, unix_ms: int) -> bool:
        """Adopt a map if its version is higher than the current one; return whether it was adopted.

        The caller must store the time of adoption with the map. A front that learns late of a move has
        admitted the tenant's requests to the old cell until the adoption, not until the start of the move.
        """
        if cell_map.version <= self.cell_map.version:
            return False
        self.cell_map = cell_map
        self.adopted_unix_ms = unix_ms
        self.home_cell_cache.clear()
        return True

    def home_cell(self, unix_ms: int, tenant: str | None, session: str | None) -> str:
        """Return the cell that admits new requests of a tenant at the given time."""
        cell = self._home_cell_without_moves(tenant, session)
        for move in self.cell_map.moves:
            if move.tenant == tenant:
                # `turned_back` is the step of an undone move, and `turned_unix_ms` when it was undone.
                undone = move.step == "turned_back" and unix_ms >= move.turned_unix_ms
                cell = move.target if unix_ms >= move.starts_unix_ms and not undone else move.source
        return cell

    def _home_cell_without_moves(self, tenant: str | None, session: str | None) -> str:
        """Return the home cell without regard to moves.

        The result is cached, because with the 128 cells of a sharded fleet the computation took as much time
        as all engine selections of the scheduler.
        """
        # For a tenant in all cells, and without a tenant, the session determines the cell.
        session_matters = tenant is None or self.cell_map.tenants.get(tenant) == ALL_CELLS
        key = (tenant, session if session_matters else None)
        found = self.home_cell_cache.get(key)
        if found is None:
            if len(self.home_cell_cache) >= MAX_CACHED_HOME_CELLS:
                self.home_cell_cache.clear()
            found = self.home_cell_cache[key] = home_cell(self.cell_map, tenant, session)
        return found

    def choose_cell(
        self,
        now: int,
        unix_ms: int,
        tenant: str | None,
        session: str | None,
        idempotency_key: str | None,
        is_retry: bool,
        key_binding_time: int,
    ) -> CellChoice:
        """Return the cell that admits a request; nothing is recorded.

        A request goes to the cell to which this front has bound its idempotency key. A retry whose key is not
        bound may have executed in another cell if less than `key_binding_time` ago a move of the tenant
        started or was undone, or the front adopted a map. The result is marked accordingly.

        Args:
            now: the front's clock, in tenths of a millisecond.
            unix_ms: the wall clock, in milliseconds since the epoch.
            tenant: the tenant's name, if known.
            session: the session's name, if known.
            idempotency_key: the key by which engines recognize a duplicate, if its deduplication scope is
                smaller than the whole fleet.
            is_retry: whether the client has sent the request before.
            key_binding_time: the deduplication window plus the longest deadline, in tenths of a millisecond.
                A request that is admitted just before a move may be sent to an engine up to its deadline, and
                its key is remembered for the window from then on.
        """
        cell = self.home_cell(unix_ms, tenant, session)
        if idempotency_key is None:
            return CellChoice(cell)
        known = self.key_bindings.get(idempotency_key)
        if known is not None:
            bound_cell, binds_until = known
            if now < binds_until:
                return CellChoice(bound_cell)
        if is_retry and self._moved_within(unix_ms, tenant, key_binding_time):
            return CellChoice(cell, earlier_cell_unknown=True)
        return CellChoice(cell)

    def record_admission(
        self, now: int, tenant: str | None, cell: str, idempotency_key: str | None, key_binding_time: int
    ) -> None:
        """Count a request as in flight in a cell and bind its idempotency key, if any, to that cell."""
        self.in_flight[tenant or "", cell] += 1
        if idempotency_key is not None:
            self.key_bindings[idempotency_key] = (cell, now + key_binding_time)
            self.key_bindings.move_to_end(idempotency_key)
            while len(self.key_bindings) > MAX_KEY_BINDINGS:
                self.key_bindings.popitem(last=False)

    def record_finish(self, tenant: str | None, cell: str) -> None:
        """Count a request that `record_admission` has recorded as ended; its idempotency key stays bound."""
        key = (tenant or "", cell)
        self.in_flight[key] -= 1
        if self.in_flight[key] <= 0:
            del self.in_flight[key]

    def stage(self, now: int, unix_ms: int, move: Move) -> MigrationStage:
        """Return the progress of a move at this front."""
        if move.step == "turned_back" and unix_ms >= move.turned_unix_ms:
            return MigrationStage.BACK
        if unix_ms < move.starts_unix_ms:
            return MigrationStage.AHEAD
        if self.in_flight[move.tenant, move.source]:
            return MigrationStage.SETTLING
        bound = any(
            cell == move.source and now < binds_until for cell, binds_until in self.key_bindings.values()
        )
        return MigrationStage.SETTLING if bound else MigrationStage.SETTLED

    def _moved_within(self, unix_ms: int, tenant: str | None, key_binding_time: int) -> bool:
        """Return whether the tenant's home cell may have changed here less than `key_binding_time` ago.

        It changes when one of the tenant's moves starts or is undone, and it may change when this front
        adopts a map, because the new map may lack moves of the old one.
        """
        change_times = [
            self.adopted_unix_ms,
            *(
                time_ms
                for move in self.cell_map.moves
                if move.tenant == tenant
                for time_ms in (move.starts_unix_ms, move.turned_unix_ms)
            ),
        ]
        return any(
            0 <= unix_ms - time_ms < key_binding_time // TENTHS_PER_MS for time_ms in change_times if time_ms
        )


class MapChangeRefusedError(RunspoolError):
    """A change of the map that is not allowed; the message gives the reason."""


def plan_move(cell_map: CellMap, move: Move, shortages: list[str]) -> CellMap:
    """Return the next version of the map, with a move added.

    Args:
        cell_map: the current map.
        move: the move to add.
        shortages: the shortages of the engine placement under the current map.

    Raises:
        MapChangeRefusedError: the tenant is already being moved, or the target does not exist, is the
            reserve, has no engine of a role or is the source.
    """
    if any(other.tenant == move.tenant and other.step == "planned" for other in cell_map.moves):
        raise MapChangeRefusedError(f"{move.tenant} is already being moved; finish or undo that move first")
    names = cell_map.cell_names()
    if move.target not in names:
        raise MapChangeRefusedError(f"there is no cell {move.target}; there are {', '.join(names)}")
    if move.target == cell_map.reserve:
        raise MapChangeRefusedError(
            f"{move.target} is the reserve, which must stay free for overflow from other cells"
        )
    missing = [shortage for shortage in shortages if shortage.startswith(f"{move.target}: 0 of")]
    if missing:
        raise MapChangeRefusedError(f"{move.target} lacks a role: {missing[0]}")
    if move.source == move.target:
        raise MapChangeRefusedError(f"{move.tenant} is in {move.target} already")
    # The tenant's finished and undone moves are dropped, because the new move replaces their effect.
    return _next_version(
        cell_map, [*(other for other in cell_map.moves if other.tenant != move.tenant), move]
    )


def undo_move(cell_map: CellMap, move_id: str, unix_ms: int) -> CellMap:
    """Return the next version of the map, in which a move is undone from `unix_ms` on.

    Raises:
        MapChangeRefusedError: the move does not exist, or has been finished or undone before.
    """
    found = _find_planned_move(cell_map, move_id)
    undone = found.model_copy(update={"step": "turned_back", "turned_unix_ms": unix_ms})
    return _next_version(cell_map, [undone if move is found else move for move in cell_map.moves])


def finish_move(cell_map: CellMap, move_id: str, unix_ms: int, key_binding_time: int) -> CellMap:
    """Return the next version of the map, in which the target of a move is the tenant's home cell.

    Raises:
        MapChangeRefusedError: the move does not exist, has been finished or undone before, or started less
            than `key_binding_time` ago, so that idempotency keys may still be bound to the source cell.
    """
    found = _find_planned_move(cell_map, move_id)
    remaining_ms = found.starts_unix_ms + key_binding_time // TENTHS_PER_MS - unix_ms
    if remaining_ms > 0:
        raise MapChangeRefusedError(
            f"{move_id} can be finished in {remaining_ms} ms, when {found.source} holds no idempotency keys"
        )
    finished = found.model_copy(update={"step": "done"})
    moves = [finished if move is found else move for move in cell_map.moves]
    return _next_version(cell_map, moves, cell_map.tenants | {found.tenant: found.target})


def _find_planned_move(cell_map: CellMap, move_id: str) -> Move:
    """Return the planned move with an identifier.

    Raises:
        MapChangeRefusedError: the move does not exist, or has been finished or undone.
    """
    found = next((move for move in cell_map.moves if move.id == move_id), None)
    if found is None:
        raise MapChangeRefusedError(f"there is no move {move_id}")
    if found.step != "planned":
        raise MapChangeRefusedError(
            f"{move_id} is {found.step} and cannot be changed; plan a move in the other direction"
        )
    return found


def _next_version(cell_map: CellMap, moves: list[Move], tenants: dict[str, str] | None = None) -> CellMap:
    fields = cell_map.model_dump() | {
        "version": cell_map.version + 1,
        "moves": [move.model_dump() for move in moves],
    }
    if tenants is not None:
        fields["tenants"] = tenants
    return CellMap.model_validate(fields)
