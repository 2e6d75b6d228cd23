"""Performance model of a serving engine: steps, slots, queue, memory, prefix cache and slow start.

It models what published serving engines do (continuous batching, a prefix cache of blocks, prefill state that
is transferred from a prefill engine to a decode engine), but its figures are not measurements of any engine.
The module does no I/O and reads no clock. Times are tenths of a millisecond; rates are tokens per tenth of a
millisecond.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from random import Random
from typing import Literal

import msgspec

BLOCK_TOKENS = 64  # tokens per block, the unit in which the prefix cache stores and evicts
PREFILL_CHUNK_TOKENS = 2048  # upper bound on the prompt tokens prefilled in one step
# How far the load may exceed the budget of a cold engine by chance before it crashes, in multiples of the
# largest mean work of a request class.
COLD_OVERLOAD_TOLERANCE = 3.0


class EngineSpec(msgspec.Struct, frozen=True):
    """The fixed properties of an engine. Plans are stored with the `name` that a field gives, if any.

    Attributes:
        name: the engine's name, unique in the plan.
        role: "reader" for a prefill engine, "writer" for a decode engine, "mixed" for one that does both.
        zone: the engine's zone.
        rack: the number of the engine's rack.
        slots: the maximum number of jobs that run at a time.
        queue_capacity: the maximum number of jobs that wait.
        memory: the capacity of the key-value cache in tokens.
        prefill_rate: the prefill speed in tokens per tenth of a millisecond.
        step_time: the duration of a step that decodes, without the part that each stream adds.
        step_time_per_stream: the time that each stream adds to a step.
        same_rack_rate: the rate of state transfers within the rack, in tokens per tenth of a millisecond.
        cross_rack_rate: the rate of state transfers to another rack in the same zone.
        cross_zone_slowdown: the factor by which transfers to another zone are slower than that.
        slow_start_initial_fraction: the fraction of its capacity that a cold engine has when it starts.
        slow_start_duration: the time until a cold engine has its full capacity.
        slow_start_overload_multiple: the load, as a multiple of its present capacity, above which a cold
            engine crashes.
        slow_start_overload_window: the time over which this load is measured.
        state_ttl: the time for which the engine holds a prefill state that no engine fetches.
        mean_work: for each request class, the mean engine time that a request takes at full capacity.
        cache_capacity_blocks: the capacity of the prefix cache in blocks.
    """

    name: str
    role: Literal["reader", "writer", "mixed"]
    zone: str
    rack: int
    slots: int
    queue_capacity: int = msgspec.field(name="queue")
    memory: int
    prefill_rate: float = msgspec.field(name="read_rate")
    step_time: float = msgspec.field(name="step")
    step_time_per_stream: float = msgspec.field(name="per_stream")
    same_rack_rate: float = msgspec.field(name="near_rate")
    cross_rack_rate: float = msgspec.field(name="far_rate")
    cross_zone_slowdown: float = msgspec.field(name="zone_slower")
    slow_start_initial_fraction: float = msgspec.field(name="cold_from")
    slow_start_duration: int = msgspec.field(name="cold_time")
    slow_start_overload_multiple: float = msgspec.field(name="fall_multiple")
    slow_start_overload_window: int = msgspec.field(name="fall_time")
    state_ttl: int = msgspec.field(name="state_kept")
    mean_work: dict[str, float] = msgspec.field(name="work")
    cache_capacity_blocks: int = msgspec.field(default=4000, name="kept_blocks")


class Phase(Enum):
    """The phases of a job."""

    WAITING = auto()
    FETCHING = auto()
    PREFILLING = auto()
    DECODING = auto()
    FINISHED = auto()


class AdmissionResult(Enum):
    """The result of submitting a job to an engine."""

    ACCEPTED = auto()
    REJECTED = auto()
    OVERLOADED_COLD = auto()


@dataclass(slots=True, eq=False)
class Job:
    """A request at an engine. Lengths are in tokens.

    Attributes:
        request_id: the id that the front gave this attempt at the request.
        request_class: the name of the request class.
        prompt_tokens: the length of the prompt.
        block_hashes: the hash of each block of the prompt, computed over the prompt up to the end of the
            block.
        output_tokens: the number of tokens to generate.
        decodes: whether it generates tokens; if not, it only prefills its prompt and produces a prefill
            state.
        fetches_state: whether it decodes from a prefill state that has to be fetched from another engine.
        phase: the present phase.
        prefill_remaining: the number of tokens that are still to be prefilled.
        cached_tokens: the number of prompt tokens that were found in the prefix cache.
        generated_tokens: the number of tokens generated so far.
        allocated_tokens: the number of tokens of the key-value cache that are allocated to it.
    """

    request_id: str
    request_class: str
    prompt_tokens: int
    block_hashes: Sequence[int]
    output_tokens: int
    decodes: bool
    fetches_state: bool = False
    phase: Phase = Phase.WAITING
    prefill_remaining: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    allocated_tokens: int = 0


@dataclass(slots=True)
class Step:
    """A step of the engine, in which it prefills parts of prompts and generates a token for each stream.

    Attributes:
        duration: the duration of the step.
        prefills: the jobs that are prefilled, each with the number of tokens.
        decodes: the jobs that generate one token each.
    """

    duration: int
    prefills: list[tuple[Job, int]]
    decodes: list[Job]


@dataclass(slots=True)
class StepResult:
    """The result of a step.

    Attributes:
        prefilled: the jobs that have finished their prefill and do not decode.
        decoded: the jobs that have generated a token.
        finished: the jobs that have generated their last token.
    """

    prefilled: list[Job] = field(default_factory=list)
    decoded: list[Job] = field(default_factory=list)
    finished: list[Job] = field(default_factory=list)


class EngineModel:
    """The state of one engine.

    Attributes:
        spec: the fixed properties of the engine.
        started_at: when the engine started, which is the beginning of its slow start.
        draw: returns a random number from 0 to 1.
        waiting: the queue of jobs.
        active: the jobs that occupy a slot.
        cached_blocks: the hashes of the blocks in the prefix cache, least recently used first.
        held_states: the size in tokens of each prefill state that has not been transferred, by its name.
        used_memory: the tokens of key-value cache that are allocated to jobs and held states.
        overloaded: whether the engine has been overloaded during its slow start.
        slowdown: the factor by which the engine is slower than usual; 1 without faults.
        network_slowdown: the factor by which transfers out of the rack are slower than usual; 1 without
            faults.
        outgoing_transfers: the number of states that other engines are fetching at present.
    """

    def __init__(self, spec: EngineSpec, now: int, cold: bool, seed: int) -> None:
        self.spec = spec
        self.started_at = now if cold else now - spec.slow_start_duration - 1
        self.draw = Random(seed).random
        self.waiting: deque[Job] = deque()
        self.active: list[Job] = []
        self.cached_blocks: OrderedDict[int, None] = OrderedDict()
        self.held_states: dict[str, int] = {}
        self.used_memory = 0
        self.overloaded = False
        self.slowdown = 1.0
        self.network_slowdown = 1.0
        self.outgoing_transfers = 0
        self._cold_arrivals: deque[tuple[int, float]] = deque()  # (time, mean work of the class)
        self._cold_work = 0.0  # sum of the work in `_cold_arrivals`

    def capacity_fraction(self, now: int) -> float:
        """Return the fraction of its full capacity that the engine has; it rises during slow start."""
        elapsed = (now - self.started_at) / max(1, self.spec.slow_start_duration)
        initial = self.spec.slow_start_initial_fraction
        return min(1.0, initial + (1 - initial) * max(0.0, elapsed))

    def speed(self, now: int) -> float:
        """Return the engine's speed as a multiple of its usual speed."""
        return self.capacity_fraction(now) / self.slowdown

    def submit(self, now: int, job: Job) -> AdmissionResult:
        """Add a job to the queue, or return why that is impossible.

        Jobs that are rejected count towards the load of a cold engine too.
        """
        if self._overloads_slow_start(now, self.spec.mean_work.get(job.request_class, 0.0)):
            self.overloaded = True
            return AdmissionResult.OVERLOADED_COLD
        queue_is_full = len(self.waiting) >= self.spec.queue_capacity
        if queue_is_full or job.prompt_tokens + job.output_tokens > self.spec.memory:
            return AdmissionResult.REJECTED
        self.waiting.append(job)
        return AdmissionResult.ACCEPTED

    def start_waiting(self) -> list[Job]:
        """Start waiting jobs in order while slots and memory are free.

        Return the started jobs whose prefill state has to be fetched first.
        """
        fetching = []
        while self.waiting and len(self.active) < self.spec.slots:
            job = self.waiting[0]
            if self.used_memory + job.prompt_tokens > self.spec.memory:
                break
            self.waiting.popleft()
            job.allocated_tokens = job.prompt_tokens
            self.used_memory += job.prompt_tokens
            self.active.append(job)
            if job.fetches_state:
                job.phase = Phase.FETCHING
                fetching.append(job)
            else:
                self._start_prefill(job)
        return fetching

    def state_fetched(self, job: Job) -> None:
        """Start decoding a job whose prefill state has been fetched; ignore a job that has ended."""
        if job.phase is Phase.FETCHING:
            job.phase = Phase.DECODING

    def next_step(self, now: int) -> Step | None:
        """Return the next step, or None if no job can be prefilled or decoded."""
        decodes = [job for job in self.active if job.phase is Phase.DECODING]
        budget = PREFILL_CHUNK_TOKENS
        prefills = []
        for job in self.active:
            if job.phase is Phase.PREFILLING and job.prefill_remaining > 0 and budget > 0:
                part = min(budget, job.prefill_remaining)
                prefills.append((job, part))
                budget -= part
        if not decodes and not prefills:
            return None
        tokens = sum(part for _, part in prefills)
        duration = tokens / self.spec.prefill_rate
        if decodes:
            duration += self.spec.step_time + self.spec.step_time_per_stream * len(decodes)
        return Step(max(1, round(duration / self.speed(now))), prefills, decodes)

    def finish_step(self, step: Step) -> StepResult:
        """Apply the effects of a step, except on jobs that have ended while it ran.

        If the key-value cache is then over its capacity, preempt streams, the newest first.
        """
        result = StepResult()
        for job, part in step.prefills:
            if job.phase is Phase.PREFILLING:
                self._prefill(job, part, result)
        for job in step.decodes:
            if job.phase is Phase.DECODING:
                self._decode(job, result)
        while self.used_memory > self.spec.memory and (victim := self._newest_stream()) is not None:
            self._preempt(victim)
        return result

    def hold_state(self, job: Job, state: str) -> None:
        """End a prefill job and keep its prefill state in memory under the name `state`."""
        self.active.remove(job)
        job.phase = Phase.FINISHED
        self.held_states[state] = job.allocated_tokens

    def release_state(self, state: str) -> bool:
        """Free a held state; return False if there is none of this name."""
        tokens = self.held_states.pop(state, None)
        if tokens is None:
            return False
        self.used_memory -= tokens
        return True

    def remove(self, job: Job) -> None:
        """Remove a completed or cancelled job and free its memory; do nothing if that has been done."""
        if job.phase is Phase.FINISHED:
            return
        if job.phase is Phase.WAITING:
            self.waiting.remove(job)
        else:
            self.active.remove(job)
            self.used_memory -= job.allocated_tokens
        job.phase = Phase.FINISHED

    def transfer_time(self, tokens: int, zone: str, rack: int) -> int:
        """Return the time that a state takes to an engine in the given zone and rack.

        The transfers that are already in progress share the network with it.
        """
        rate = self.spec.same_rack_rate
        if rack != self.spec.rack:
            rate = self.spec.cross_rack_rate / self.network_slowdown
            if zone != self.spec.zone:
                rate /= self.spec.cross_zone_slowdown
        return max(1, round(tokens / rate * (1 + self.outgoing_transfers)))

    def evict(self, fraction: float) -> None:
        """Evict each block from the prefix cache with the probability `fraction`."""
        for block in [block for block in self.cached_blocks if self.draw() < fraction]:
            del self.cached_blocks[block]

    def load_report(self) -> dict[str, float]:
        """Return the metrics of the engine's load report, by the names that they have in responses."""
        waiting_prompt_tokens = sum(job.prefill_remaining for job in self.active) + sum(
            job.prompt_tokens for job in self.waiting if not job.fetches_state
        )
        return {
            "num_requests_running": len(self.active) + len(self.waiting),
            "kv_cache_usage_perc": round(self.used_memory / self.spec.memory, 4),
            "slots_usage_perc": round(len(self.active) / self.spec.slots, 4),
            "prompt_tokens_waiting": waiting_prompt_tokens,
        }

    def _start_prefill(self, job: Job) -> None:
        """Start the prefill of the tokens that are not cached; at least the last prompt token is not."""
        found = 0
        for block in job.block_hashes:
            if block not in self.cached_blocks:
                break
            self.cached_blocks.move_to_end(block)
            found += BLOCK_TOKENS
        job.cached_tokens = min(found, job.prompt_tokens - 1)
        job.prefill_remaining = job.prompt_tokens - job.cached_tokens + job.generated_tokens
        job.phase = Phase.PREFILLING

    def _prefill(self, job: Job, tokens: int, result: StepResult) -> None:
        """Prefill a part of a job's tokens; after the last part, cache its blocks and let it decode."""
        job.prefill_remaining -= tokens
        if job.prefill_remaining > 0:
            return
        self._cache(job.block_hashes)
        if job.decodes:
            job.phase = Phase.DECODING
        else:
            result.prefilled.append(job)

    def _decode(self, job: Job, result: StepResult) -> None:
        """Generate one token of a job, and remove the job after its last."""
        job.generated_tokens += 1
        job.allocated_tokens += 1
        self.used_memory += 1
        result.decoded.append(job)
        if job.generated_tokens >= job.output_tokens:
            result.finished.append(job)
            self.remove(job)

    def _cache(self, blocks: Sequence[int]) -> None:
        """Add blocks to the prefix cache, and evict the least recently used ones over its capacity."""
        for block in blocks:
            self.cached_blocks[block] = None
            self.cached_blocks.move_to_end(block)
        while len(self.cached_blocks) > self.spec.cache_capacity_blocks:
            self.cached_blocks.popitem(last=False)

    def _newest_stream(self) -> Job | None:
        """Return the stream that started last, or None if at most one stream is being decoded."""
        streams = [job for job in self.active if job.phase is Phase.DECODING]
        return streams[-1] if len(streams) > 1 else None

    def _preempt(self, job: Job) -> None:
        """Free a stream's memory and put it at the head of the queue; all its tokens are prefilled again."""
        self.active.remove(job)
        self.used_memory -= job.allocated_tokens
        job.allocated_tokens = 0
        job.fetches_state = False
        job.phase = Phase.WAITING
        self.waiting.appendleft(job)

    def _overloads_slow_start(self, now: int, work: float) -> bool:
        """Return whether an arriving job of this mean work overloads the engine during its slow start."""
        spec = self.spec
        capacity = self.capacity_fraction(now)
        if capacity >= 1.0:
            self._cold_arrivals.clear()
            self._cold_work = 0.0
            return False
        self._cold_arrivals.append((now, work))
        self._cold_work += work
        window = spec.slow_start_overload_window
        while self._cold_arrivals and self._cold_arrivals[0][0] < now - window:
            self._cold_work -= self._cold_arrivals.popleft()[1]
        mean_work = max(spec.mean_work.values(), default=0.0)
        budget = spec.slow_start_overload_multiple * capacity * window
        return self._cold_work > budget + COLD_OVERLOAD_TOLERANCE * mean_work
