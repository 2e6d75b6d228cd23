"""The schema of the cell map, which assigns engines and tenants to cells.

A cell is a group of engines that serves a part of the tenants, so that a fault or an overload caused by one
tenant does not reach the others. The map is a versioned document. Every front keeps its own copy, and two
fronts may hold different versions at the same time. The map names no front, so one file serves all of them.

Operators write the map and it is stored on disk, so the field names are part of its format. An unknown field
or a contradiction raises pydantic's ValidationError.
"""

from __future__ import annotations

from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
EnginePattern = Annotated[str, Field(min_length=1, max_length=128)]
Fraction = Annotated[float, Field(ge=0, le=1)]
Milliseconds = Annotated[float, Field(ge=0, le=86_400_000)]

MAX_CELLS = 256  # maximum number of cells, or of shards, in a map
MAX_TENANTS = 100_000  # maximum number of tenants in a map
MAX_MOVES = 1_000  # maximum number of moves in a map
WHOLE_FLEET = "whole"  # the name of the single cell that a map without cells stands for
# Stands in place of a tenant's cell: its sessions are spread over all cells, each session in one cell.
ALL_CELLS = "*"

AssignmentMethod = Literal["fixed", "shuffle", "rendezvous"]
MoveStep = Literal["planned", "done", "turned_back"]


class MapSection(BaseModel):
    """Base class of the sections of the map: immutable, strictly typed, without unknown fields."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Cell(MapSection):
    """One named cell.

    Attributes:
        weight: the share of the engines that the cell receives, relative to the weights of the other cells.
        readers: the minimum number of engines that can run prefill; fewer are reported as a shortage.
        writers: the minimum number of engines that can run decode; fewer are reported as a shortage.
        engines: shell-style patterns of engine names, for the assignment method "fixed" only.
    """

    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    readers: Annotated[int, Field(ge=1, le=10_000)] = 1
    writers: Annotated[int, Field(ge=1, le=10_000)] = 1
    engines: list[EnginePattern] = []


class Shards(MapSection):
    """Settings of shuffle sharding.

    Attributes:
        count: the number of shards.
        readers: the number of prefill engines per shard.
        writers: the number of decode engines per shard.
        mixed: the number of mixed engines per shard.
    """

    count: Annotated[int, Field(ge=1, le=MAX_CELLS)] = 16
    readers: Annotated[int, Field(ge=1, le=1000)] = 2
    writers: Annotated[int, Field(ge=1, le=1000)] = 2
    mixed: Annotated[int, Field(ge=0, le=1000)] = 1


class Overflow(MapSection):
    """Limits on the requests that an overloaded cell sends to the reserve cell.

    Attributes:
        from_turned_away: overflow starts when the cell rejects more than this fraction of its requests.
        until_turned_away: overflow ends when the cell rejects less than this fraction of its requests.
        most_queries: the maximum number of the cell's requests at the reserve at the same time, per front.
        most_share: the maximum fraction of the cell's new requests that are sent to the reserve.
        settle_ms: the time in milliseconds between two increases of the fraction.
    """

    from_turned_away: Fraction = 0.3
    until_turned_away: Fraction = 0.05
    most_queries: Annotated[int, Field(ge=0, le=1_000_000)] = 50
    most_share: Fraction = 0.5
    settle_ms: Milliseconds = 1000

    @model_validator(mode="after")
    def check_thresholds(self) -> Self:
        """Raise ValueError unless the threshold that ends overflow is below the one that starts it."""
        if self.until_turned_away >= self.from_turned_away:
            raise ValueError("until_turned_away must be below from_turned_away, or overflow would flap")
        return self


class Move(MapSection):
    """The migration of one tenant from one cell to another.

    Attributes:
        id: the identifier that operators use for the move.
        tenant: the tenant that moves.
        source: the cell that the tenant leaves.
        target: the cell that the tenant moves to.
        step: "planned" until the move is finished ("done") or undone ("turned_back").
        starts_unix_ms: from this time on, new requests go to the target cell; milliseconds since the epoch.
        turned_unix_ms: for an undone move, from this time on new requests go to the source cell again;
            milliseconds since the epoch.
        warm: asks the target cell to prefill the tenant's sessions before the move starts.
    """

    id: Name
    tenant: Name
    source: Name
    target: Name
    step: MoveStep = "planned"
    starts_unix_ms: Annotated[int, Field(ge=0)] = 0
    turned_unix_ms: Annotated[int, Field(ge=0)] = 0
    warm: bool = False


class CellMap(MapSection):
    """The complete map. Without named cells or shards, one cell contains the whole fleet.

    Attributes:
        version: increases by one with every change; a front adopts a map only if its version is higher.
        way: the method that assigns engines to cells; see `runspool.cells.engine_placement`.
        cells: the named cells; must be empty for shuffle sharding, where the shards are numbered.
        shards: the settings of shuffle sharding; ignored by the other methods.
        tenants: the home cell of each tenant, or "*" to spread the tenant's sessions over the cells.
        reserve: the cell that takes the overflow of the other cells; it is no tenant's home.
        overflow: limits on the requests that overflow to the reserve.
        panic_under: a cell that has fewer than this fraction of its engines left sends all requests to the
            reserve.
        poison_after: once this many engines went down while they executed the same request, the request
            counts as poisonous and is not sent to any engine again.
        moves: migrations of tenants that are planned, finished or undone.
    """

    version: Annotated[int, Field(ge=0)]
    way: AssignmentMethod = "rendezvous"
    cells: Annotated[dict[Name, Cell], Field(max_length=MAX_CELLS)] = {}
    shards: Shards = Shards()
    tenants: Annotated[dict[Name, Name | Literal["*"]], Field(max_length=MAX_TENANTS)] = {}
    reserve: Name | None = None
    overflow: Overflow = Overflow()
    panic_under: Fraction = 0.34
    poison_after: Annotated[int, Field(ge=1, le=64)] = 2
    moves: Annotated[list[Move], Field(max_length=MAX_MOVES)] = []

    @model_validator(mode="after")
    def check_consistency(self) -> Self:
        """Raise ValueError with a list of all contradictions in the map."""
        known_cells = self.cell_names()
        errors = [
            *self._check_tenants(known_cells),
            *self._check_reserve(),
            *self._check_cells(),
            *self._check_moves(known_cells),
        ]
        if errors:
            raise ValueError("; ".join(errors))
        return self

    def _check_tenants(self, known_cells: list[str]) -> list[str]:
        return [
            f"tenants.{tenant}: there is no cell {home!r}"
            for tenant, home in self.tenants.items()
            if home != ALL_CELLS and home not in known_cells
        ]

    def _check_reserve(self) -> list[str]:
        errors = []
        if self.reserve is not None and self.reserve not in self.cells:
            errors.append(f"reserve: there is no cell {self.reserve!r}")
        if self.reserve is not None and self.reserve in self.tenants.values():
            errors.append(f"reserve: {self.reserve!r} is a tenant's home, but a reserve must have no tenants")
        return errors

    def _check_cells(self) -> list[str]:
        errors = []
        if self.way == "shuffle" and self.cells:
            errors.append("cells: must be empty for shuffle sharding, whose shards are numbered")
        for name, cell in self.cells.items():
            if cell.engines and self.way != "fixed":
                errors.append(f"cells.{name}.engines: patterns are allowed for way 'fixed' only")
            if not cell.engines and self.way == "fixed" and len(self.cells) > 1:
                errors.append(f"cells.{name}.engines: must not be empty; a fixed cell names its engines")
        return errors

    def _check_moves(self, known_cells: list[str]) -> list[str]:
        errors = []
        moving_tenants: set[str] = set()
        for index, move in enumerate(self.moves):
            if move.source == move.target:
                errors.append(f"moves.{index}: moves the tenant from {move.source!r} to itself")
            if move.step != "planned":
                continue
            if move.tenant in moving_tenants:
                errors.append(f"moves.{index}: {move.tenant!r} is already being moved")
            moving_tenants.add(move.tenant)
            if move.target not in known_cells:
                errors.append(f"moves.{index}: there is no cell {move.target!r}")
        if len({move.id for move in self.moves}) < len(self.moves):
            errors.append("moves: two moves have the same id")
        return errors

    def cell_names(self) -> list[str]:
        """Return the names of all cells, including the reserve; only WHOLE_FLEET if the map has no cells."""
        if self.way == "shuffle":
            return [f"shard-{index}" for index in range(self.shards.count)]
        return list(self.cells) or [WHOLE_FLEET]
