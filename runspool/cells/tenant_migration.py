"""Live migration of tenants: which cell admits a request while its tenant may be moving. Free of I/O.

What keeps the guarantees without any communication among fronts: a request belongs to one cell from its
admission to its end. A move changes only where *new* requests are admitted, at a moment that the map states,
so a front needs no message to begin or end one; one that was killed restarts and finds the same answer in
map and clock. What was in flight ends where it is: an exclusive request that may have executed is never sent
in the new cell, since no attempt of it ever leaves the old. Two fronts with different maps admit a tenant's
requests to different cells for a while, each request whole.

One thing does reach over requests: a retry of a ticketed request, whose repeat only the deduplication group
that has seen its ticket would drop. Such retries go to the cell where the ticket was seen, until nothing of
it can bind any more.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto

from runspool.cells.cell_map import SPREAD, CellMap, Move
from runspool.cells.engine_placement import home_cell
from runspool.errors import RunspoolError

MAX_TICKETS = 50_000
MAX_CACHED_HOMES = 20_000  # home cells, of sessions mostly; the cache is emptied when full
TENTHS_PER_MS = 10


class MigrationStage(Enum):
    """Where a move stands at this front."""

    AHEAD = auto()  # its moment has not come
    SETTLING = auto()  # new requests go to the new cell, old ones or tickets still bind the old
    SETTLED = auto()  # nothing binds the old cell any more
    BACK = auto()  # undone: new requests go to the old cell again


@dataclass(frozen=True, slots=True)
class CellChoice:
    """The cell that admits a request.

    `earlier_cell_unknown` marks a retry whose ticket this front has not seen while its tenant moves.
    """

    cell: str
    earlier_cell_unknown: bool = False


@dataclass(slots=True)
class TenantMigrations:
    """A front's moves under its map; times in tenths of a millisecond, moments in Unix milliseconds."""

    cell_map: CellMap
    adopted_unix_ms: int = 0
    # (tenant, cell): requests that have not ended
    in_flight: Counter[tuple[str, str]] = field(default_factory=Counter)
    # By ticket, the longest unused first: its cell, and until when it binds
    tickets: OrderedDict[str, tuple[str, int]] = field(default_factory=OrderedDict)
    home_cache: dict[tuple[str | None, str | None], str] = field(default_factory=dict)

    def adopt(self, cell_map: CellMap, unix_ms: int) -> bool:
        """Takes a newer map; False, with nothing changed, for an older one or the same.

        The moment must be stored with the map: a front that has just learned of an old move has itself just
        moved.
        """
        if cell_map.version <= self.cell_map.version:
            return False
        self.cell_map = cell_map
        self.adopted_unix_ms = unix_ms
        self.home_cache.clear()
        return True

    def home_cell(self, unix_ms: int, tenant: str | None, session: str | None) -> str:
        """The cell that admits new requests of a tenant at a moment."""
        cell = self._home_without_moves(tenant, session)
        for move in self.cell_map.moves:
            if move.tenant == tenant:
                undone = move.step == "turned_back" and unix_ms >= move.turned_unix_ms
                cell = move.target if unix_ms >= move.starts_unix_ms and not undone else move.source
        return cell

    def _home_without_moves(self, tenant: str | None, session: str | None) -> str:
        """The map's home cell, cached: among 128 shards it cost as much as all the scheduler's picks."""
        session_matters = tenant is None or self.cell_map.tenants.get(tenant) == SPREAD
        key = (tenant, session if session_matters else None)
        found = self.home_cache.get(key)
        if found is None:
            if len(self.home_cache) >= MAX_CACHED_HOMES:
                self.home_cache.clear()
            found = self.home_cache[key] = home_cell(self.cell_map, tenant, session)
        return found

    def choose_cell(
        self,
        now: int,
        unix_ms: int,
        tenant: str | None,
        session: str | None,
        ticket: str | None,
        is_retry: bool,
        binding_time: int,
    ) -> CellChoice:
        """The cell that admits a request. Changes nothing.

        `ticket` is given only for request classes whose repeats are dropped by a group smaller than all. A
        retry with a ticket seen here goes where it was seen. One whose ticket this front has not seen is of
        unknown place while a move of its tenant began less than `binding_time` ago: it may have executed in
        either cell. `binding_time` is the deduplication window and the longest deadline together: a request
        admitted just before a move may be sent up to its deadline, and is remembered for a window from then.
        """
        cell = self.home_cell(unix_ms, tenant, session)
        if ticket is None:
            return CellChoice(cell)
        known = self.tickets.get(ticket)
        if known is not None:
            ticket_cell, binds_until = known
            if now < binds_until:
                return CellChoice(ticket_cell)
        if is_retry and self._moved_within(unix_ms, tenant, binding_time):
            return CellChoice(cell, earlier_cell_unknown=True)
        return CellChoice(cell)

    def record_admission(
        self, now: int, tenant: str | None, cell: str, ticket: str | None, binding_time: int
    ) -> None:
        """Counts a request as in flight in a cell and binds its ticket, if any, to that cell."""
        self.in_flight[tenant or "", cell] += 1
        if ticket is not None:
            self.tickets[ticket] = (cell, now + binding_time)
            self.tickets.move_to_end(ticket)
            while len(self.tickets) > MAX_TICKETS:
                self.tickets.popitem(last=False)

    def record_finish(self, tenant: str | None, cell: str) -> None:
        """Counts a request recorded by record_admission() as ended; its ticket still binds."""
        key = (tenant or "", cell)
        self.in_flight[key] -= 1
        if self.in_flight[key] <= 0:
            del self.in_flight[key]

    def stage(self, now: int, unix_ms: int, move: Move) -> MigrationStage:
        """Where a move stands at this front."""
        if move.step == "turned_back" and unix_ms >= move.turned_unix_ms:
            return MigrationStage.BACK
        if unix_ms < move.starts_unix_ms:
            return MigrationStage.AHEAD
        if self.in_flight[move.tenant, move.source]:
            return MigrationStage.SETTLING
        bound = any(cell == move.source and now < binds_until for cell, binds_until in self.tickets.values())
        return MigrationStage.SETTLING if bound else MigrationStage.SETTLED

    def _moved_within(self, unix_ms: int, tenant: str | None, binding_time: int) -> bool:
        """Whether new requests of the tenant may have changed cells here less than `binding_time` ago.

        That is by a moment of its moves, or because this front took a new map, which may have dropped the
        moves of the old one.
        """
        moments = [
            self.adopted_unix_ms,
            *(
                moment
                for move in self.cell_map.moves
                if move.tenant == tenant
                for moment in (move.starts_unix_ms, move.turned_unix_ms)
            ),
        ]
        return any(0 <= unix_ms - moment < binding_time // TENTHS_PER_MS for moment in moments if moment)


class MigrationRefusedError(RunspoolError):
    """A change of the map that must not be made; the message says why."""


def plan_move(cell_map: CellMap, move: Move, shortages: list[str]) -> CellMap:
    """The next map with a move planned. `shortages` are those of the placement under the present map.

    Raises MigrationRefusedError where the tenant is being moved already, or where the target does not exist,
    is the reserve, lacks a role or is the source.
    """
    if any(other.tenant == move.tenant and other.step == "planned" for other in cell_map.moves):
        raise MigrationRefusedError(f"{move.tenant} is already being moved; finish or undo that first")
    names = cell_map.names()
    if move.target not in names:
        raise MigrationRefusedError(f"there is no cell {move.target}; there are {', '.join(names)}")
    if move.target == cell_map.reserve:
        raise MigrationRefusedError(
            f"{move.target} is the reserve: a tenant there would leave overflow no room"
        )
    missing = [shortage for shortage in shortages if shortage.startswith(f"{move.target}: 0 of")]
    if missing:
        raise MigrationRefusedError(f"{move.target} lacks a role: {missing[0]}")
    if move.source == move.target:
        raise MigrationRefusedError(f"{move.tenant} is in {move.target} already")
    # A move that was finished or undone before has no effect any more once another is planned.
    return _next_version(
        cell_map, [*(other for other in cell_map.moves if other.tenant != move.tenant), move]
    )


def undo_move(cell_map: CellMap, move_id: str, unix_ms: int) -> CellMap:
    """The next map with a move undone from a moment on.

    Raises MigrationRefusedError where there is no such move or it is not under way.
    """
    found = _move_under_way(cell_map, move_id)
    undone = found.model_copy(update={"step": "turned_back", "turned_unix_ms": unix_ms})
    return _next_version(cell_map, [undone if move is found else move for move in cell_map.moves])


def finish_move(cell_map: CellMap, move_id: str, unix_ms: int, binding_time: int) -> CellMap:
    """The next map with a move folded into the tenants' homes.

    Raises MigrationRefusedError where it is not under way, or began less than `binding_time` (tenths of a
    millisecond) ago: its tickets still bind the old cell.
    """
    found = _move_under_way(cell_map, move_id)
    remaining_ms = found.starts_unix_ms + binding_time // TENTHS_PER_MS - unix_ms
    if remaining_ms > 0:
        raise MigrationRefusedError(
            f"{move_id} can be finished in {remaining_ms} ms, when no ticket binds {found.source} any more"
        )
    finished = found.model_copy(update={"step": "done"})
    moves = [finished if move is found else move for move in cell_map.moves]
    return _next_version(cell_map, moves, cell_map.tenants | {found.tenant: found.target})


def _move_under_way(cell_map: CellMap, move_id: str) -> Move:
    found = next((move for move in cell_map.moves if move.id == move_id), None)
    if found is None:
        raise MigrationRefusedError(f"there is no move {move_id}")
    if found.step != "planned":
        raise MigrationRefusedError(f"{move_id} is {found.step}; plan a move the other way")
    return found


def _next_version(cell_map: CellMap, moves: list[Move], tenants: dict[str, str] | None = None) -> CellMap:
    fields = cell_map.model_dump() | {
        "version": cell_map.version + 1,
        "moves": [move.model_dump() for move in moves],
    }
    if tenants is not None:
        fields["tenants"] = tenants
    return CellMap.model_validate(fields)
