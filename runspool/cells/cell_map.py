"""The cell map: which tenants live in which cells, and how cells are made. Types and their checks only.

A map is a versioned document that every front holds for itself; two fronts may hold different versions at one
time. Nothing in it names a front, so the same file serves all.
"""

from __future__ import annotations

from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Pattern = Annotated[str, Field(min_length=1, max_length=128)]
Share = Annotated[float, Field(ge=0, le=1)]
Millis = Annotated[float, Field(ge=0, le=86_400_000)]

MOST_CELLS = 256
MOST_TENANTS = 100_000
MOST_MOVES = 1_000
SPREAD = "*"  # as a tenant's cell: its sessions are spread over the cells, each session in one

Ways = Literal["fixed", "shuffle", "rendezvous"]
Steps = Literal["planned", "done", "turned_back"]


class Part(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Cell(Part):
    """One cell. `engines` are name patterns, for fixed cells only; the counts are the least of each role."""

    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    readers: Annotated[int, Field(ge=1, le=10_000)] = 1
    writers: Annotated[int, Field(ge=1, le=10_000)] = 1
    engines: list[Pattern] = []


class Shards(Part):
    """For shuffle shards: how many there are, and how many engines of each role one has."""

    count: Annotated[int, Field(ge=1, le=MOST_CELLS)] = 16
    readers: Annotated[int, Field(ge=1, le=1000)] = 2
    writers: Annotated[int, Field(ge=1, le=1000)] = 2
    mixed: Annotated[int, Field(ge=0, le=1000)] = 1


class Overflow(Part):
    """When a cell may send part of its queries to the reserve, and how many at once."""

    from_turned_away: Share = 0.3
    until_turned_away: Share = 0.05
    most_queries: Annotated[int, Field(ge=0, le=1_000_000)] = 50
    most_share: Share = 0.5
    settle_ms: Millis = 1000

    @model_validator(mode="after")
    def ends_below_its_start(self) -> Self:
        if self.until_turned_away >= self.from_turned_away:
            raise ValueError("until_turned_away must be under from_turned_away, or overflow would flap")
        return self


class Move(Part):
    """One tenant's move. From `starts_unix_ms` on new queries go to the new cell; a move that was turned back
    sends them to the old one again from `turned_unix_ms` on."""

    id: Name
    tenant: Name
    source: Name
    target: Name
    step: Steps = "planned"
    starts_unix_ms: Annotated[int, Field(ge=0)] = 0
    turned_unix_ms: Annotated[int, Field(ge=0)] = 0
    warm: bool = False


class CellMap(Part):
    """All of it. An empty map (no cells, way fixed) means one cell that holds the whole fleet."""

    version: Annotated[int, Field(ge=0)]
    way: Ways = "rendezvous"
    cells: Annotated[dict[Name, Cell], Field(max_length=MOST_CELLS)] = {}
    shards: Shards = Shards()
    tenants: Annotated[dict[Name, Name | Literal["*"]], Field(max_length=MOST_TENANTS)] = {}
    reserve: Name | None = None
    overflow: Overflow = Overflow()
    panic_under: Share = 0.34
    poison_after: Annotated[int, Field(ge=1, le=64)] = 2
    moves: Annotated[list[Move], Field(max_length=MOST_MOVES)] = []

    @model_validator(mode="after")
    def names_meet(self) -> Self:
        faults = []
        known = self.names()
        for tenant, home in self.tenants.items():
            if home != SPREAD and home not in known:
                faults.append(f"tenants.{tenant}: no cell {home!r}")
        if self.reserve is not None and self.reserve not in self.cells:
            faults.append(f"reserve: no cell {self.reserve!r}")
        if self.reserve is not None and self.reserve in self.tenants.values():
            faults.append(f"reserve: {self.reserve!r} is a tenant's home; a reserve stands empty")
        if self.way == "shuffle" and self.cells:
            faults.append("cells: shuffle shards are numbered, not named")
        for name, cell in self.cells.items():
            if cell.engines and self.way != "fixed":
                faults.append(f"cells.{name}.engines: patterns are for fixed cells")
            if not cell.engines and self.way == "fixed" and len(self.cells) > 1:
                faults.append(f"cells.{name}.engines: a fixed cell names its engines")
        open_moves: set[str] = set()
        for at, move in enumerate(self.moves):
            if move.source == move.target:
                faults.append(f"moves.{at}: from {move.source!r} to itself")
            if move.step == "planned" and move.tenant in open_moves:
                faults.append(f"moves.{at}: {move.tenant!r} is already being moved")
            if move.step == "planned":
                open_moves.add(move.tenant)
                if move.target not in known:
                    faults.append(f"moves.{at}: no cell {move.target!r}")
        if len({move.id for move in self.moves}) < len(self.moves):
            faults.append("moves: an id stands twice")
        if faults:
            raise ValueError("; ".join(faults))
        return self

    def names(self) -> list[str]:
        """Every cell's name, the reserve's among them; one stands for the whole fleet where none is given."""
        if self.way == "shuffle":
            return [f"shard-{at}" for at in range(self.shards.count)]
        return list(self.cells) or [WHOLE]


WHOLE = "whole"
