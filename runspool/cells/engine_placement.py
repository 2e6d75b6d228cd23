"""Assign engines to cells, and tenants to their home cells.

The functions do no I/O and use no random numbers: the same engines and the same map give the same cells. The
map selects one of three assignment methods:

- fixed: each cell lists patterns of engine names.
- rendezvous: weighted rendezvous hashing gives each engine a pseudo-random affinity to each cell. A cell
  receives its quota of each role in the order of affinity, so that adding or removing an engine moves few
  others.
- shuffle: each shard takes the engines of each role with the highest affinity to it, regardless of the other
  shards. An engine may belong to several shards, but two shards have few engines in common.

Rendezvous and shuffle distribute a cell's engines over the zones. Cells that lack engines of a role are
reported as shortages with the reason.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from math import ceil, log

import xxhash

from runspool.cells.cell_map import ALL_CELLS, CellMap
from runspool.scheduling.types import Role

ROLES = (Role.PREFILL, Role.DECODE, Role.MIXED)
HASH_RANGE = float(1 << 64)  # number of values of the 64-bit hash


@dataclass(frozen=True, slots=True)
class EngineDescriptor:
    """The properties of an engine that its placement depends on."""

    name: str
    role: Role
    zone: str
    rack: int


@dataclass(slots=True)
class Placement:
    """An assignment of engines to cells.

    Attributes:
        cells: the names of the engines of each cell.
        shortages: a message for each cell that has too few engines of a role, or all of them in one zone.
    """

    cells: dict[str, frozenset[str]]
    shortages: list[str] = field(default_factory=list)


def affinity(engine: str, cell: str, weight: float = 1.0) -> float:
    """Return the affinity of an engine to a cell: a positive pseudo-random number.

    It depends on the two names and the weight only. As weighted rendezvous hashing defines it, it is
    -weight / ln(hash), where the hash is scaled to between 0 and 1, exclusive.
    """
    scaled_hash = (xxhash.xxh64_intdigest(f"{cell}\0{engine}".encode()) + 1) / (HASH_RANGE + 2)
    return -weight / log(scaled_hash)


def place_engines(cell_map: CellMap, engines: list[EngineDescriptor]) -> Placement:
    """Assign engines to the cells of a map; the order of the engines does not matter."""
    if cell_map.way == "shuffle":
        cells = _shuffle_shards(cell_map, engines)
    elif cell_map.way == "fixed" or not cell_map.cells:
        cells = {
            name: frozenset(
                engine.name for engine in engines if _matches_patterns(cell_map, name, engine.name)
            )
            for name in cell_map.cell_names()
        }
    else:
        cells = _rendezvous_cells(cell_map, engines)
    return Placement(cells, _find_shortages(cell_map, cells, {engine.name: engine for engine in engines}))


def home_cell(cell_map: CellMap, tenant: str | None, session: str | None) -> str:
    """Return the home cell of a tenant or of one of its sessions.

    A tenant without a cell in the map is assigned by the hash of its name. The sessions of a spread tenant,
    and sessions without a tenant, are each assigned by the hash of the session. The reserve is no one's home
    unless it is the only cell.
    """
    cell = cell_map.tenants.get(tenant) if tenant is not None else None
    if cell is not None and cell != ALL_CELLS:
        return cell
    names = [name for name in cell_map.cell_names() if name != cell_map.reserve] or cell_map.cell_names()
    key = session if cell == ALL_CELLS and session is not None else tenant or session or ""
    weights = {name: cell_map.cells[name].weight if name in cell_map.cells else 1.0 for name in names}
    return max(names, key=lambda name: (affinity("key " + key, name, weights[name]), name))


def _matches_patterns(cell_map: CellMap, cell: str, engine: str) -> bool:
    patterns = cell_map.cells[cell].engines if cell in cell_map.cells else []
    return not patterns or any(fnmatchcase(engine, pattern) for pattern in patterns)


def _rendezvous_cells(cell_map: CellMap, engines: list[EngineDescriptor]) -> dict[str, frozenset[str]]:
    cells: dict[str, set[str]] = {name: set() for name in cell_map.cells}
    for role in ROLES:
        candidates = [engine for engine in engines if engine.role is role]
        # A mixed engine can replace a missing prefill or decode engine, so cells without one come first.
        incomplete = _find_incomplete_cells(cells, engines) if role is Role.MIXED else set()
        _assign_by_affinity(
            cell_map, candidates, _compute_quotas(cell_map, len(candidates), incomplete), cells
        )
    return {name: frozenset(members) for name, members in cells.items()}


def _assign_by_affinity(
    cell_map: CellMap, candidates: list[EngineDescriptor], quotas: dict[str, int], cells: dict[str, set[str]]
) -> None:
    """Add engines of one role to the cells up to their quotas, in descending order of affinity."""
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
    zone_counts: Counter[tuple[str, str]] = Counter()  # engines by cell and zone
    counts: Counter[str] = Counter()  # engines by cell
    # The first pass limits how many of a cell's engines are in one zone; the second pass fills what is left.
    for spread_zones in (True, False):
        for _, engine_name, cell, zone in pairs:
            if engine_name in assigned or counts[cell] >= quotas[cell]:
                continue
            if spread_zones and zone_counts[cell, zone] >= ceil(quotas[cell] / zone_count):
                continue
            assigned.add(engine_name)
            counts[cell] += 1
            zone_counts[cell, zone] += 1
            cells[cell].add(engine_name)


def _compute_quotas(cell_map: CellMap, engine_count: int, prioritized: set[str]) -> dict[str, int]:
    """Return how many of `engine_count` engines of one role each cell receives.

    Each prioritized cell receives one engine first. The others are divided in proportion to the weights by
    the largest-remainder method.
    """
    quotas = dict.fromkeys(cell_map.cells, 0)
    by_weight = sorted(prioritized, key=lambda name: (-cell_map.cells[name].weight, name))
    for name in by_weight[:engine_count]:
        quotas[name] = 1
    remaining = engine_count - sum(quotas.values())
    total_weight = sum(cell.weight for cell in cell_map.cells.values())
    exact_shares = {name: remaining * cell.weight / total_weight for name, cell in cell_map.cells.items()}
    for name in quotas:
        quotas[name] += int(exact_shares[name])
    leftover = engine_count - sum(quotas.values())
    # A cell that has no engine yet precedes those with larger remainders: each cell should have its own.
    order = sorted(
        quotas, key=lambda name: (quotas[name] > 0, int(exact_shares[name]) - exact_shares[name], name)
    )
    for name in order[:leftover]:
        quotas[name] += 1
    return quotas


def _find_incomplete_cells(cells: dict[str, set[str]], engines: list[EngineDescriptor]) -> set[str]:
    """Return the cells that have no prefill engine or no decode engine."""
    roles = {engine.name: engine.role for engine in engines}
    incomplete = set()
    for name, members in cells.items():
        count = Counter(roles[engine] for engine in members)
        if count[Role.PREFILL] < 1 or count[Role.DECODE] < 1:
            incomplete.add(name)
    return incomplete


def _shuffle_shards(cell_map: CellMap, engines: list[EngineDescriptor]) -> dict[str, frozenset[str]]:
    shards = cell_map.shards
    wanted = {Role.PREFILL: shards.readers, Role.DECODE: shards.writers, Role.MIXED: shards.mixed}
    cells = {}
    for shard in cell_map.cell_names():
        members: set[str] = set()
        for role in ROLES:
            candidates = [engine for engine in engines if engine.role is role]
            members.update(_choose_for_shard(shard, candidates, wanted[role]))
        cells[shard] = frozenset(members)
    return cells


def _choose_for_shard(shard: str, candidates: list[EngineDescriptor], wanted: int) -> list[str]:
    """Return the names of `wanted` engines, or of all candidates if there are fewer.

    Engines are taken from the zones in turn, so that a shard is not confined to one zone. Within a zone they
    are ordered by affinity; the zone that contains the engine with the highest affinity comes first.
    """
    by_zone: defaultdict[str, list[EngineDescriptor]] = defaultdict(list)
    for engine in sorted(candidates, key=lambda engine: (-affinity(engine.name, shard), engine.name)):
        by_zone[engine.zone].append(engine)
    zones = sorted(by_zone.values(), key=lambda zone: (-affinity(zone[0].name, shard), zone[0].name))
    chosen: list[str] = []
    rank = 0  # of an engine within its zone
    while len(chosen) < wanted and any(rank < len(zone) for zone in zones):
        chosen += [zone[rank].name for zone in zones if rank < len(zone)]
        rank += 1
    return chosen[:wanted]


def _find_shortages(
    cell_map: CellMap, cells: dict[str, frozenset[str]], engines: dict[str, EngineDescriptor]
) -> list[str]:
    """Return a message for each cell that lacks engines of a role, or has all its engines in one zone.

    The messages are part of the status page of a front and of its log, so their texts must not change.
    `plan_move` and the command `runspool cells adopt` recognize a cell without any engine of a role by the
    text ": 0 of" after the cell's name.
    """
    shortages = []
    fleet_count = Counter(engine.role for engine in engines.values())
    zone_count = len({engine.zone for engine in engines.values()})
    for name, members in cells.items():
        count = Counter(engines[engine].role for engine in members)
        minimum = cell_map.cells.get(name)
        for role, role_name, wanted in (
            (Role.PREFILL, "reader", minimum.readers if minimum else 1),
            (Role.DECODE, "writer", minimum.writers if minimum else 1),
        ):
            present = count[role] + count[Role.MIXED]
            if present >= wanted:
                continue
            capable = fleet_count[role] + fleet_count[Role.MIXED]
            reason = (
                f"the list has {capable} that can"
                if capable < wanted * len(cells)
                else "its patterns or weight leave it no more"
            )
            shortages.append(f"{name}: {present} of {wanted} {role_name}s: {reason}")
        zones = {engines[engine].zone for engine in members}
        if len(members) > 1 and len(zones) < 2 and zone_count > 1:
            shortages.append(f"{name}: stands in zone {min(zones)} alone")
    return shortages
