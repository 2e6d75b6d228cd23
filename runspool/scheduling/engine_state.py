"""What one front knows about each engine and each request class. Times are tenths of a millisecond."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from runspool.scheduling.settings import RequestClassSettings
from runspool.scheduling.types import LoadReport, Role


@dataclass(slots=True)
class DecayingEstimate:
    """A duration learned from attempts. Without new samples it decays to the peers' estimate, or to 0."""

    duration: float = 0.0
    updated_at: int = 0


class QueuedPrefill(NamedTuple):
    """A prefill that this front has sent to an engine and that has not ended."""

    sent_at: int
    tokens: int
    """Prompt tokens that the engine is expected to compute, without those it has cached."""
    cumulative_tokens: int
    """Its tokens plus those of all earlier prefills of this front in the engine's queue."""


NO_PREFILL = QueuedPrefill(0, 0, 0)


@dataclass(slots=True, eq=False)
class Engine:
    """One engine: its record on the endpoint list, this front's requests there and learned estimates.

    The dicts keyed by request index are in the order of sending: the first entry is the oldest.
    """

    id: int
    # Hash of the engine's name, which is the same at every front.
    stable_hash: int
    role: Role
    zone: int
    rack: int
    memory_tokens: int  # 0 where the capacity is not known
    started_at: int  # 0 where the start time is not known
    ready: bool = True
    prefills: dict[int, QueuedPrefill] = field(default_factory=dict)
    """Unfinished prefills of this front, by request index."""
    prefill_tokens: int = 0  # sum of the tokens of `prefills`
    waiting_decodes: dict[int, int] = field(default_factory=dict)
    """Send times, by request index, of decodes on this engine that wait for their first token."""
    streams: dict[int, int] = field(default_factory=dict)
    """Expected memory in tokens, by request index, of this front's decodes here, whether or not they
    stream yet."""
    stream_tokens: int = 0  # sum of the tokens of `streams`
    queueing_delay: DecayingEstimate = field(default_factory=DecayingEstimate)
    """Time that a prefill takes beyond computing its own tokens and those known to be ahead of it."""
    decode_wait: DecayingEstimate = field(default_factory=DecayingEstimate)
    """Time from sending a decode to its first token."""
    # Estimated stream tokens of all fronts when the engine first refused a request, at least half of its
    # memory; 0 if it never refused one.
    observed_capacity: int = 0
    cached_tokens: dict[int, int] = field(default_factory=dict)
    """Cached tokens by text key (see `prefix_affinity.record_cached_texts`), the least recently used text
    first."""
    load_report: LoadReport | None = None
    load_reported_at: int = 0
    consecutive_failures: int = 0
    ejected_until: int = 0


def move_attempt(request_index: int, source: Engine, target: Engine) -> None:
    """Move a request's attempt from the replaced record of an engine to its new one."""
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
    """The settings of a request class and what this front has learned about its requests."""

    settings: RequestClassSettings
    # Mean fraction of a prompt that its first affinity candidate had cached.
    cached_fraction: float = 0.0
    mean_output_tokens: float = 0.0
