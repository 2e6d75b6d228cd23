"""What one front knows of each engine and of each request class. Times are tenths of a millisecond."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from runspool.scheduling.settings import RequestClassSettings
from runspool.scheduling.types import LoadReport, Role


@dataclass(slots=True)
class DecayingEstimate:
    """A time learned from attempts, which decays to what is usual while nothing new is measured."""

    time: float = 0.0
    updated_at: int = 0


class QueuedPrefill(NamedTuple):
    """A prefill of this front at an engine."""

    sent_at: int
    tokens: int
    """Prompt tokens that it is expected to compute."""
    cumulative_tokens: int
    """Its tokens and those of all earlier prefills of this front in the engine's queue."""


NO_PREFILL = QueuedPrefill(0, 0, 0)


@dataclass(slots=True, eq=False)
class Engine:
    """One engine: its record on the endpoint list, this front's work there, and what was learned of it.

    The dicts by request index keep the order of sending, so the first entry is the oldest.
    """

    id: int
    stable_hash: int  # the same at every front
    role: Role
    zone: int
    rack: int
    memory_tokens: int  # 0 where it is not known
    started_at: int  # 0 where it is not known
    ready: bool = True
    prefills: dict[int, QueuedPrefill] = field(default_factory=dict)
    """By request index."""
    prefill_tokens: int = 0  # the sum over `prefills`
    waiting_decodes: dict[int, int] = field(default_factory=dict)
    """Request index: time sent, for requests to be answered here whose first token has not come."""
    streams: dict[int, int] = field(default_factory=dict)
    """Request index: tokens in memory, for all requests to be answered here, started or not."""
    stream_tokens: int = 0  # the sum over `streams`
    queueing_delay: DecayingEstimate = field(default_factory=DecayingEstimate)
    """A prefill's time beyond its own tokens and those known to be ahead of it."""
    decode_wait: DecayingEstimate = field(default_factory=DecayingEstimate)
    """From the send of a decode to its first token."""
    observed_capacity: int = 0  # stream tokens at which it refused a request; 0 where it never did
    cached_tokens: dict[int, int] = field(default_factory=dict)
    """Text key (see prefix_affinity.record_cached_texts): its tokens; the text used last comes last."""
    load_report: LoadReport | None = None
    load_reported_at: int = 0
    consecutive_failures: int = 0
    ejected_until: int = 0


def move_attempt(request_index: int, source: Engine, target: Engine) -> None:
    """Count a request's attempt at another record of its engine."""
    if request_index in source.prefills:
        prefill = source.prefills.pop(request_index)
        source.prefill_tokens -= prefill.tokens
        target.prefill_tokens += prefill.tokens
        target.prefills[request_index] = prefill._replace(cumulative_tokens=target.prefill_tokens)
    if request_index in source.waiting_decodes:
        target.waiting_decodes[request_index] = source.waiting_decodes.pop(request_index)
    if request_index in source.streams:
        tokens = source.streams.pop(request_index)
        source.stream_tokens -= tokens
        target.stream_tokens += tokens
        target.streams[request_index] = tokens


@dataclass(slots=True)
class RequestClassState:
    """A request class: its settings, and what this front has learned of its requests."""

    settings: RequestClassSettings
    cached_fraction: float = 0.0  # of a prompt, found cached at its session's first candidate
    mean_output_tokens: float = 0.0
