"""What one front knows of each engine and of each request class. Times are tenths of a millisecond."""

from __future__ import annotations

from dataclasses import dataclass, field

from runspool.scheduling.settings import RequestClassSettings
from runspool.scheduling.types import LoadReport, Role


@dataclass(slots=True)
class Known:
    """A time learned from attempts, which decays to what is usual while nothing new is measured."""

    time: float = 0.0
    heard: int = 0


@dataclass(slots=True, eq=False)
class Engine:
    """One engine: its record on the endpoint list, this front's work there, and what was learned of it.

    The dicts are keyed by request index and keep the order of sending, so the first entry is the oldest.
    """

    id: int
    mark: int  # the same at every front
    role: Role
    zone: int
    rack: int
    memory: int  # in tokens; 0 where it is not known
    started: int
    on: bool = True
    reads: dict[int, tuple[int, int, int]] = field(default_factory=dict)  # time sent, tokens, tokens ahead
    unread: int = 0  # prompt tokens in all prefills of this front there
    waiting: dict[int, int] = field(default_factory=dict)  # time sent, for decodes that have not started
    streams: dict[int, int] = field(default_factory=dict)  # tokens of a decode, started or not
    tokens: int = 0  # the sum over `streams`
    lag: Known = field(default_factory=Known)  # a prefill's time beyond its tokens and those known ahead
    wait: Known = field(default_factory=Known)  # from the send of a decode to its first token
    cap: int = 0  # tokens at which it has refused; 0 where it never has
    kept: dict[int, int] = field(default_factory=dict)  # tokens by text, the oldest first
    report: LoadReport | None = None
    reported: int = 0
    strikes: int = 0
    shunned: int = 0


@dataclass(slots=True)
class Tariff:
    """A request class: its settings, and what this front has learned of its requests."""

    terms: RequestClassSettings
    kept: float = 0.0  # fraction of a prompt found cached at its session's first candidate
    out: float = 0.0  # running estimate of a response's tokens
