"""Which engines make up which cell. Free of I/O and of chance: the same list and map give the same cells.

Three ways. *Fixed*: by name patterns. *Rendezvous*: each engine has a drawn affinity to each cell (weighted
rendezvous hashing); a cell takes its quota of each role by affinity, so an engine that comes or goes moves
little else. *Shuffle*: each shard takes the engines of each role it has the most affinity to, whatever
others take, so two shards share few. In each way zones are spread first, and where a role is missing the
reason is told.
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
SPAN = float(1 << 64)


@dataclass(frozen=True, slots=True)
class EnginePlace:
    """An engine as the placing sees it."""

    name: str
    role: Role
    zone: str
    rack: int


@dataclass(slots=True)
class Placement:
    """Cells with their engines, and what is missing where."""

    cells: dict[str, frozenset[str]]
    shortages: list[str] = field(default_factory=list)


def affinity(engine: str, cell: str, weight: float = 1.0) -> float:
    """Drawn from the two names alone; the highest wins. Weighted rendezvous: -weight / ln(h)."""
    drawn = (xxhash.xxh64_intdigest(f"{cell}\0{engine}".encode()) + 1) / (SPAN + 2)
    return -weight / log(drawn)


def place_engines(chart: CellMap, engines: list[EnginePlace]) -> Placement:
    """The cells of a map over a list of engines, in any order."""
    if chart.way == "shuffle":
        cells = _shuffled(chart, engines)
    elif chart.way == "fixed" or not chart.cells:
        cells = {
            name: frozenset(one.name for one in engines if _named(chart, name, one.name))
            for name in chart.names()
        }
    else:
        cells = _drawn(chart, engines)
    return Placement(cells, _lacks(chart, cells, {one.name: one for one in engines}))


def home_cell(chart: CellMap, tenant: str | None, session: str | None) -> str:
    """The cell of a tenant, or of a session where its tenant is spread or has no place of its own."""
    cell = chart.tenants.get(tenant) if tenant is not None else None
    if cell is not None and cell != SPREAD:
        return cell
    names = [name for name in chart.names() if name != chart.reserve] or chart.names()
    key = session if cell == SPREAD and session is not None else tenant or session or ""
    weights = {name: chart.cells[name].weight if name in chart.cells else 1.0 for name in names}
    return max(names, key=lambda name: (affinity("key " + key, name, weights[name]), name))


def _named(chart: CellMap, cell: str, engine: str) -> bool:
    patterns = chart.cells[cell].engines if cell in chart.cells else []
    return not patterns or any(fnmatchcase(engine, pattern) for pattern in patterns)


def _drawn(chart: CellMap, engines: list[EnginePlace]) -> dict[str, frozenset[str]]:
    cells: dict[str, set[str]] = {name: set() for name in chart.cells}
    for role in ROLES:
        there = [one for one in engines if one.role is role]
        # Mixed engines stand in for a role that the pure ones cannot fill, so cells short of one come first.
        quotas = _quotas(chart, len(there), _short(cells, engines) if role is Role.MIXED else set())
        zones = len({one.zone for one in there}) or 1
        pairs = sorted(
            (
                (affinity(one.name, name, chart.cells[name].weight), one.name, name, one.zone)
                for one in there
                for name in cells
                if quotas[name]
            ),
            reverse=True,
        )
        taken: set[str] = set()
        by_zone: Counter[tuple[str, str]] = Counter()
        count: Counter[str] = Counter()
        for spread in (True, False):  # first with zones kept apart, then whatever is left
            for _, engine, cell, zone in pairs:
                if engine in taken or count[cell] >= quotas[cell]:
                    continue
                if spread and by_zone[cell, zone] >= ceil(quotas[cell] / zones):
                    continue
                taken.add(engine)
                count[cell] += 1
                by_zone[cell, zone] += 1
                cells[cell].add(engine)
    return {name: frozenset(there) for name, there in cells.items()}


def _quotas(chart: CellMap, many: int, first: set[str]) -> dict[str, int]:
    """How many of `many` engines each cell gets: one each for `first`, then by weight, largest remainder."""
    quotas = dict.fromkeys(chart.cells, 0)
    for name in sorted(first, key=lambda name: (-chart.cells[name].weight, name))[:many]:
        quotas[name] = 1
    left = many - sum(quotas.values())
    total = sum(cell.weight for cell in chart.cells.values())
    exact = {name: left * cell.weight / total for name, cell in chart.cells.items()}
    for name in quotas:
        quotas[name] += int(exact[name])
    rest = many - sum(quotas.values())
    # A cell with none of them goes before one with the larger remainder: each should have its own.
    order = sorted(quotas, key=lambda name: (quotas[name] > 0, int(exact[name]) - exact[name], name))
    for name in order[:rest]:
        quotas[name] += 1
    return quotas


def _short(cells: dict[str, set[str]], engines: list[EnginePlace]) -> set[str]:
    roles = {one.name: one.role for one in engines}
    short = set()
    for name, there in cells.items():
        have = Counter(roles[engine] for engine in there)
        if have[Role.PREFILL] < 1 or have[Role.DECODE] < 1:
            short.add(name)
    return short


def _shuffled(chart: CellMap, engines: list[EnginePlace]) -> dict[str, frozenset[str]]:
    wanted = {
        Role.PREFILL: chart.shards.readers,
        Role.DECODE: chart.shards.writers,
        Role.MIXED: chart.shards.mixed,
    }
    cells = {}
    for shard in chart.names():
        picked: set[str] = set()
        for role in ROLES:
            zones: defaultdict[str, list[EnginePlace]] = defaultdict(list)
            for one in sorted(
                (one for one in engines if one.role is role),
                key=lambda one: (-affinity(one.name, shard), one.name),
            ):
                zones[one.zone].append(one)
            # In turn over zones, the zone of the best first: a shard should not stand in one zone alone.
            lines = sorted(zones.values(), key=lambda line: (-affinity(line[0].name, shard), line[0].name))
            depth = 0
            chosen: list[str] = []
            while len(chosen) < wanted[role] and any(depth < len(line) for line in lines):
                chosen += [line[depth].name for line in lines if depth < len(line)]
                depth += 1
            picked.update(chosen[: wanted[role]])
        cells[shard] = frozenset(picked)
    return cells


def _lacks(chart: CellMap, cells: dict[str, frozenset[str]], engines: dict[str, EnginePlace]) -> list[str]:
    lacks = []
    total = Counter(one.role for one in engines.values())
    for name, there in cells.items():
        have = Counter(engines[engine].role for engine in there)
        least = chart.cells.get(name)
        for role, word, wanted in (
            (Role.PREFILL, "reader", least.readers if least else 1),
            (Role.DECODE, "writer", least.writers if least else 1),
        ):
            got = have[role] + have[Role.MIXED]
            if got < wanted:
                able = total[role] + total[Role.MIXED]
                why = (
                    f"the list has {able} that can"
                    if able < wanted * len(cells)
                    else "its patterns or weight leave it no more"
                )
                lacks.append(f"{name}: {got} of {wanted} {word}s: {why}")
        zones = {engines[engine].zone for engine in there}
        if len(there) > 1 and len(zones) < 2 and len({one.zone for one in engines.values()}) > 1:
            lacks.append(f"{name}: stands in zone {min(zones)} alone")
    return lacks
