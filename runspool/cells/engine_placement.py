"""Which engines make up which cell, and which cell a tenant belongs to.

Free of I/O and of chance: the same list and map give the same cells. There are three methods. *Fixed*: by
name patterns. *Rendezvous*: each engine has a pseudo-random affinity to each cell (weighted rendezvous
hashing); a cell takes its quota of each role by affinity, so an engine that comes or goes moves few others.
*Shuffle*: each shard takes the engines of each role to which it has the highest affinity, whatever others
take, so two shards share few. Rendezvous and shuffle spread over zones first; where a role is missing, the
placement says so with the reason.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from math import ceil, log

import xxhash

from runspool.cells.cell_map import SPREAD, CellMap
from runspool.scheduling.types import Role

ROLES = (Role.PREFILL, Role.DECODE, Role.MIXED)
HASH_RANGE = float(1 << 64)


@dataclass(frozen=True, slots=True)
class EnginePlace:
    """What the placement needs to know of an engine."""

    name: str
    role: Role
    zone: str
    rack: int


@dataclass(slots=True)
class Placement:
    """The names of each cell's engines, and what is missing where, for people to read."""

    cells: dict[str, frozenset[str]]
    shortages: list[str] = field(default_factory=list)


def affinity(engine: str, cell: str, weight: float = 1.0) -> float:
    """A pseudo-random number from the two names alone; the highest wins.

    Weighted rendezvous hashing: -weight / ln(hash), with the hash scaled to between 0 and 1.
    """
    scaled_hash = (xxhash.xxh64_intdigest(f"{cell}\0{engine}".encode()) + 1) / (HASH_RANGE + 2)
    return -weight / log(scaled_hash)


def place_engines(cell_map: CellMap, engines: list[EnginePlace]) -> Placement:
    """The cells of a map over a list of engines; the order of the list does not matter."""
    if cell_map.way == "shuffle":
        cells = _shuffle_shards(cell_map, engines)
    elif cell_map.way == "fixed" or not cell_map.cells:
        cells = {
            name: frozenset(
                engine.name for engine in engines if _matches_patterns(cell_map, name, engine.name)
            )
            for name in cell_map.names()
        }
    else:
        cells = _rendezvous_cells(cell_map, engines)
    return Placement(cells, _find_shortages(cell_map, cells, {engine.name: engine for engine in engines}))


def home_cell(cell_map: CellMap, tenant: str | None, session: str | None) -> str:
    """The cell of a tenant, or of a session where its tenant is spread or has no cell in the map."""
    cell = cell_map.tenants.get(tenant) if tenant is not None else None
    if cell is not None and cell != SPREAD:
        return cell
    names = [name for name in cell_map.names() if name != cell_map.reserve] or cell_map.names()
    key = session if cell == SPREAD and session is not None else tenant or session or ""
    weights = {name: cell_map.cells[name].weight if name in cell_map.cells else 1.0 for name in names}
    return max(names, key=lambda name: (affinity("key " + key, name, weights[name]), name))


def _matches_patterns(cell_map: CellMap, cell: str, engine: str) -> bool:
    patterns = cell_map.cells[cell].engines if cell in cell_map.cells else []
    return not patterns or any(fnmatchcase(engine, pattern) for pattern in patterns)


def _rendezvous_cells(cell_map: CellMap, engines: list[EnginePlace]) -> dict[str, frozenset[str]]:
    cells: dict[str, set[str]] = {name: set() for name in cell_map.cells}
    for role in ROLES:
        candidates = [engine for engine in engines if engine.role is role]
        # Mixed engines serve for a role that the pure ones cannot fill, so cells short of one come first.
        first = _cells_without_a_role(cells, engines) if role is Role.MIXED else set()
        _assign_by_affinity(cell_map, candidates, _quotas(cell_map, len(candidates), first), cells)
    return {name: frozenset(members) for name, members in cells.items()}


def _assign_by_affinity(
    cell_map: CellMap, candidates: list[EnginePlace], quotas: dict[str, int], cells: dict[str, set[str]]
) -> None:
    """Adds engines of one role to the cells up to their quotas, the highest affinity first."""
    zone_count = len({engine.zone for engine in candidates}) or 1
    pairs = sorted(
        (
            (affinity(engine.name, name, cell_map.cells[name].weight), engine.name, name, engine.zone)
            for engine in candidates
            for name in cells
            if quotas[name]
        ),
        reverse=True,
    )
    assigned: set[str] = set()
    by_zone: Counter[tuple[str, str]] = Counter()
    count: Counter[str] = Counter()
    for spread_zones in (True, False):  # first with zones kept apart, then whatever is left
        for _, engine_name, cell, zone in pairs:
            if engine_name in assigned or count[cell] >= quotas[cell]:
                continue
            if spread_zones and by_zone[cell, zone] >= ceil(quotas[cell] / zone_count):
                continue
            assigned.add(engine_name)
            count[cell] += 1
            by_zone[cell, zone] += 1
            cells[cell].add(engine_name)


def _quotas(cell_map: CellMap, engine_count: int, first: set[str]) -> dict[str, int]:
    """How many of the engines each cell gets: one each for `first`, then by weight, largest remainder."""
    quotas = dict.fromkeys(cell_map.cells, 0)
    by_weight = sorted(first, key=lambda name: (-cell_map.cells[name].weight, name))
    for name in by_weight[:engine_count]:
        quotas[name] = 1
    remaining = engine_count - sum(quotas.values())
    total_weight = sum(cell.weight for cell in cell_map.cells.values())
    exact = {name: remaining * cell.weight / total_weight for name, cell in cell_map.cells.items()}
    for name in quotas:
        quotas[name] += int(exact[name])
    leftover = engine_count - sum(quotas.values())
    # A cell with none of them goes before one with the larger remainder: each should have its own.
    order = sorted(quotas, key=lambda name: (quotas[name] > 0, int(exact[name]) - exact[name], name))
    for name in order[:leftover]:
        quotas[name] += 1
    return quotas


def _cells_without_a_role(cells: dict[str, set[str]], engines: list[EnginePlace]) -> set[str]:
    roles = {engine.name: engine.role for engine in engines}
    incomplete = set()
    for name, members in cells.items():
        count = Counter(roles[engine] for engine in members)
        if count[Role.PREFILL] < 1 or count[Role.DECODE] < 1:
            incomplete.add(name)
    return incomplete


def _shuffle_shards(cell_map: CellMap, engines: list[EnginePlace]) -> dict[str, frozenset[str]]:
    shards = cell_map.shards
    wanted = {Role.PREFILL: shards.readers, Role.DECODE: shards.writers, Role.MIXED: shards.mixed}
    cells = {}
    for shard in cell_map.names():
        members: set[str] = set()
        for role in ROLES:
            candidates = [engine for engine in engines if engine.role is role]
            members.update(_choose_for_shard(shard, candidates, wanted[role]))
        cells[shard] = frozenset(members)
    return cells


def _choose_for_shard(shard: str, candidates: list[EnginePlace], wanted: int) -> list[str]:
    """The `wanted` engines with the highest affinity to a shard, taken from each zone in turn.

    The zone of the best engine comes first: a shard should not be in one zone alone.
    """
    by_zone: defaultdict[str, list[EnginePlace]] = defaultdict(list)
    for engine in sorted(candidates, key=lambda engine: (-affinity(engine.name, shard), engine.name)):
        by_zone[engine.zone].append(engine)
    zones = sorted(by_zone.values(), key=lambda zone: (-affinity(zone[0].name, shard), zone[0].name))
    chosen: list[str] = []
    depth = 0
    while len(chosen) < wanted and any(depth < len(zone) for zone in zones):
        chosen += [zone[depth].name for zone in zones if depth < len(zone)]
        depth += 1
    return chosen[:wanted]


def _find_shortages(
    cell_map: CellMap, cells: dict[str, frozenset[str]], engines: dict[str, EnginePlace]
) -> list[str]:
    shortages = []
    total = Counter(engine.role for engine in engines.values())
    zone_count = len({engine.zone for engine in engines.values()})
    for name, members in cells.items():
        count = Counter(engines[engine].role for engine in members)
        minimum = cell_map.cells.get(name)
        for role, word, wanted in (
            (Role.PREFILL, "reader", minimum.readers if minimum else 1),
            (Role.DECODE, "writer", minimum.writers if minimum else 1),
        ):
            present = count[role] + count[Role.MIXED]
            if present >= wanted:
                continue
            able = total[role] + total[Role.MIXED]
            reason = (
                f"the list has {able} that can"
                if able < wanted * len(cells)
                else "its patterns or weight leave it no more"
            )
            shortages.append(f"{name}: {present} of {wanted} {word}s: {reason}")
        zones = {engines[engine].zone for engine in members}
        if len(members) > 1 and len(zones) < 2 and zone_count > 1:
            shortages.append(f"{name}: stands in zone {min(zones)} alone")
    return shortages
