"""The cell map: which tenants belong to which cells, and how cells are made up. Types and their checks only.

A map is a versioned document that every front holds for itself; two fronts may hold different versions at one
time. Nothing in it names a front, so the same file serves all. It is written by operators and stored, so the
fields keep their names; an unknown field or a contradiction raises pydantic's ValidationError.
"""

from __future__ import annotations

from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Pattern = Annotated[str, Field(min_length=1, max_length=128)]
Share = Annotated[float, Field(ge=0, le=1)]
Milliseconds = Annotated[float, Field(ge=0, le=86_400_000)]

MAX_CELLS = 256
MAX_TENANTS = 100_000
MAX_MOVES = 1_000
WHOLE_FLEET = "whole"  # the name of the one cell where a map has none
SPREAD = "*"  # as a tenant's cell: its sessions are spread over the cells, each session in one

AssignmentMethod = Literal["fixed", "shuffle", "rendezvous"]
MoveStep = Literal["planned", "done", "turned_back"]


class MapSection(BaseModel):
    """A part of the map: immutable, strictly typed, without unknown fields."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Cell(MapSection):
    """One cell. `engines` are name patterns, for fixed cells only; the counts are minima of each role."""

    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    readers: Annotated[int, Field(ge=1, le=10_000)] = 1
    writers: Annotated[int, Field(ge=1, le=10_000)] = 1
    engines: list[Pattern] = []


class Shards(MapSection):
    """Shuffle sharding: how many shards there are, and how many engines of each role one has."""

    count: Annotated[int, Field(ge=1, le=MAX_CELLS)] = 16
    readers: Annotated[int, Field(ge=1, le=1000)] = 2
    writers: Annotated[int, Field(ge=1, le=1000)] = 2
    mixed: Annotated[int, Field(ge=0, le=1000)] = 1


class Overflow(MapSection):
    """When a cell may send part of its requests to the reserve, and how many at once.

    The thresholds are shares of the cell's requests that it rejected; `most_share` is the largest share of
    its new requests sent to the reserve, `most_queries` the most there at one time.
    """

    from_turned_away: Share = 0.3
    until_turned_away: Share = 0.05
    most_queries: Annotated[int, Field(ge=0, le=1_000_000)] = 50
    most_share: Share = 0.5
    settle_ms: Milliseconds = 1000

    @model_validator(mode="after")
    def check_thresholds(self) -> Self:
        """Raises ValueError unless overflow ends under the share at which it begins."""
        if self.until_turned_away >= self.from_turned_away:
            raise ValueError("until_turned_away must be under from_turned_away, or overflow would flap")
        return self


class Move(MapSection):
    """One tenant's move.

    From `starts_unix_ms` on new requests go to the target cell; a move that was undone (`turned_back`) sends
    them to the source again from `turned_unix_ms` on.
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
    """The whole map. An empty one (no cells, way fixed) means one cell that holds the whole fleet."""

    version: Annotated[int, Field(ge=0)]
    way: AssignmentMethod = "rendezvous"
    cells: Annotated[dict[Name, Cell], Field(max_length=MAX_CELLS)] = {}
    shards: Shards = Shards()
    tenants: Annotated[dict[Name, Name | Literal["*"]], Field(max_length=MAX_TENANTS)] = {}
    reserve: Name | None = None
    overflow: Overflow = Overflow()
    panic_under: Share = 0.34
    poison_after: Annotated[int, Field(ge=1, le=64)] = 2
    moves: Annotated[list[Move], Field(max_length=MAX_MOVES)] = []

    @model_validator(mode="after")
    def check_consistency(self) -> Self:
        """Raises ValueError with every contradiction in the map."""
        known_cells = self.names()
        faults = [
            *self._faults_of_tenants(known_cells),
            *self._faults_of_reserve(),
            *self._faults_of_cells(),
            *self._faults_of_moves(known_cells),
        ]
        if faults:
            raise ValueError("; ".join(faults))
        return self

    def _faults_of_tenants(self, known_cells: list[str]) -> list[str]:
        return [
            f"tenants.{tenant}: no cell {home!r}"
            for tenant, home in self.tenants.items()
            if home != SPREAD and home not in known_cells
        ]

    def _faults_of_reserve(self) -> list[str]:
        faults = []
        if self.reserve is not None and self.reserve not in self.cells:
            faults.append(f"reserve: no cell {self.reserve!r}")
        if self.reserve is not None and self.reserve in self.tenants.values():
            faults.append(f"reserve: {self.reserve!r} is a tenant's home; a reserve stands empty")
        return faults

    def _faults_of_cells(self) -> list[str]:
        faults = []
        if self.way == "shuffle" and self.cells:
            faults.append("cells: shuffle shards are numbered, not named")
        for name, cell in self.cells.items():
            if cell.engines and self.way != "fixed":
                faults.append(f"cells.{name}.engines: patterns are for fixed cells")
            if not cell.engines and self.way == "fixed" and len(self.cells) > 1:
                faults.append(f"cells.{name}.engines: a fixed cell names its engines")
        return faults

    def _faults_of_moves(self, known_cells: list[str]) -> list[str]:
        faults = []
        moving_tenants: set[str] = set()
        for index, move in enumerate(self.moves):
            if move.source == move.target:
                faults.append(f"moves.{index}: from {move.source!r} to itself")
            if move.step != "planned":
                continue
            if move.tenant in moving_tenants:
                faults.append(f"moves.{index}: {move.tenant!r} is already being moved")
            moving_tenants.add(move.tenant)
            if move.target not in known_cells:
                faults.append(f"moves.{index}: no cell {move.target!r}")
        if len({move.id for move in self.moves}) < len(self.moves):
            faults.append("moves: an id stands twice")
        return faults

    def names(self) -> list[str]:
        """Every cell's name, the reserve's included; WHOLE_FLEET alone where the map has no cells."""
        if self.way == "shuffle":
            return [f"shard-{index}" for index in range(self.shards.count)]
        return list(self.cells) or [WHOLE_FLEET]
