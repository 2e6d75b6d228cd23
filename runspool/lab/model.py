"""How a stand-in engine works: steps, slots, queue, memory, prefix cache, cold start. No I/O, no clock.

A model of the shape that serving engines publish (continuous batching, prefix blocks, state moved from the
prefill engine to the decode engine), not a measurement of any. Times are tenths of a millisecond, rates are
tokens per tenth of a millisecond.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from random import Random
from typing import Literal

import msgspec

BLOCK_TOKENS = 64  # tokens that are cached or evicted together
PREFILL_CHUNK_TOKENS = 2048  # prompt tokens that one step prefills beside the streams
COLD_OVERLOAD_TOLERANCE = 3.0  # mean works above a cold engine's budget that chance may bring


class EngineSpec(msgspec.Struct, frozen=True):
    """What an engine is; the names in stored plans are those given to `field`.

    Attributes:
        name: unique in the plan.
        role: whether it prefills ("reader"), decodes ("writer") or does both.
        zone: its zone.
        rack: the number of its rack.
        slots: how many jobs run at once.
        queue_capacity: how many jobs may wait.
        memory: tokens of key-value cache.
        prefill_rate: tokens per tenth of a millisecond.
        step_time: of a step that decodes, without what each stream adds.
        step_time_per_stream: what each stream adds.
        same_rack_rate: of transfers within the rack, tokens per tenth of a millisecond.
        cross_rack_rate: of transfers to another rack.
        cross_zone_slowdown: divides that rate for transfers to another zone.
        slow_start_initial_fraction: the part of its capacity that a cold engine has at its start.
        slow_start_duration: until it has all of it.
        slow_start_overload_multiple: of its present capacity, at which a cold engine crashes.
        slow_start_overload_window: over which that load is measured.
        state_ttl: how long it holds a state that nobody fetches.
        mean_work: the mean work of a request by class, at full capacity.
        cache_capacity_blocks: how many blocks its prefix cache holds.
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
    """How far a job has come."""

    WAITING = auto()
    FETCHING = auto()
    PREFILLING = auto()
    DECODING = auto()
    FINISHED = auto()


class AdmissionResult(Enum):
    """What comes of a job's arrival at an engine."""

    ACCEPTED = auto()
    REJECTED = auto()
    OVERLOADED_COLD = auto()


@dataclass(slots=True, eq=False)
class Job:
    """One request at an engine; lengths are tokens.

    Attributes:
        request_id: the front's name of the attempt.
        request_class: its name.
        prompt_tokens: the prompt's length.
        block_hashes: of the prompt's blocks, each over all that stands before it too.
        output_tokens: how many tokens it generates.
        decodes: whether it generates tokens; a job that does not prefills its prompt and leaves a state.
        fetches_state: whether it decodes from a state that another engine has prefilled.
        phase: how far it has come.
        prefill_remaining: prompt tokens that are still to be prefilled.
        cached_tokens: prompt tokens that were found in the prefix cache.
        generated_tokens: tokens generated so far.
        allocated_tokens: what it takes of the engine's memory.
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
    """What one step will have done when it ends.

    Attributes:
        duration: of the step.
        prefills: prompt tokens prefilled, by job.
        decodes: the jobs that generate one token each.
    """

    duration: int
    prefills: list[tuple[Job, int]]
    decodes: list[Job]


@dataclass(slots=True)
class StepResult:
    """What a step has done.

    Attributes:
        prefilled: jobs that have ended their prefill and do not decode.
        decoded: jobs that have generated a token.
        finished: those of them that have generated their last.
    """

    prefilled: list[Job] = field(default_factory=list)
    decoded: list[Job] = field(default_factory=list)
    finished: list[Job] = field(default_factory=list)


class EngineModel:
    """The state of one engine.

    Attributes:
        spec: what the engine is.
        started_at: when it started; it is cold for a while after that.
        draw: returns a number from 0 to 1.
        waiting: the queue of jobs.
        active: the jobs that run.
        cached_blocks: hashes of the blocks in the prefix cache, least recently used first.
        held_states: the tokens of each state that awaits its transfer, by its name.
        used_memory: tokens of key-value cache that jobs and states take.
        overloaded: whether it has had more load than it could take while it was cold.
        slowdown: divides its speed; 1 without faults.
        network_slowdown: divides the rate of transfers out of its rack; 1 without faults.
        outgoing_transfers: how many states are being fetched from it.
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
        self._cold_arrivals: deque[tuple[int, float]] = deque()  # time, mean work
        self._cold_work = 0.0  # sum over the arrivals above

    def capacity_fraction(self, now: int) -> float:
        """Return the part of its capacity that the engine has; it grows during slow start."""
        elapsed = (now - self.started_at) / max(1, self.spec.slow_start_duration)
        initial = self.spec.slow_start_initial_fraction
        return min(1.0, initial + (1 - initial) * max(0.0, elapsed))

    def speed(self, now: int) -> float:
        """Return the engine's speed as a multiple of its usual one."""
        return self.capacity_fraction(now) / self.slowdown

    def submit(self, now: int, job: Job) -> AdmissionResult:
        """Queue an arriving job. Rejected arrivals add to the load of a cold engine too."""
        if self._overloads_slow_start(now, self.spec.mean_work.get(job.request_class, 0.0)):
            self.overloaded = True
            return AdmissionResult.OVERLOADED_COLD
        queue_is_full = len(self.waiting) >= self.spec.queue_capacity
        if queue_is_full or job.prompt_tokens + job.output_tokens > self.spec.memory:
            return AdmissionResult.REJECTED
        self.waiting.append(job)
        return AdmissionResult.ACCEPTED

    def start_waiting(self) -> list[Job]:
        """Start queued jobs, in order, while slots and memory last; return those that must fetch a state."""
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
        """Let a job decode, now that its state is here; one that has ended meanwhile is ignored."""
        if job.phase is Phase.FETCHING:
            job.phase = Phase.DECODING

    def next_step(self, now: int) -> Step | None:
        """Return the next step, None where there is nothing to do."""
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
        """Apply what a step has done; jobs that ended while it ran are ignored."""
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
        """End a prefill and hold its state in memory under a name."""
        self.active.remove(job)
        job.phase = Phase.FINISHED
        self.held_states[state] = job.allocated_tokens

    def release_state(self, state: str) -> bool:
        """Free a held state; return False where there is none of that name."""
        tokens = self.held_states.pop(state, None)
        if tokens is None:
            return False
        self.used_memory -= tokens
        return True

    def remove(self, job: Job) -> None:
        """Free what a job uses, whether it is complete or cancelled; may be called again."""
        if job.phase is Phase.FINISHED:
            return
        if job.phase is Phase.WAITING:
            self.waiting.remove(job)
        else:
            self.active.remove(job)
            self.used_memory -= job.allocated_tokens
        job.phase = Phase.FINISHED

    def transfer_time(self, tokens: int, zone: str, rack: int) -> int:
        """Return how long a state takes to an engine there, beside the transfers already under way."""
        rate = self.spec.same_rack_rate
        if rack != self.spec.rack:
            rate = self.spec.cross_rack_rate / self.network_slowdown
            if zone != self.spec.zone:
                rate /= self.spec.cross_zone_slowdown
        return max(1, round(tokens / rate * (1 + self.outgoing_transfers)))

    def evict(self, fraction: float) -> None:
        """Evict each cached block with the probability `fraction`."""
        for block in [block for block in self.cached_blocks if self.draw() < fraction]:
            del self.cached_blocks[block]

    def load_report(self) -> dict[str, float]:
        """Return the metrics of the engine's load report by their names on the wire."""
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
        job.prefill_remaining -= tokens
        if job.prefill_remaining > 0:
            return
        self._cache(job.block_hashes)
        if job.decodes:
            job.phase = Phase.DECODING
        else:
            result.prefilled.append(job)

    def _decode(self, job: Job, result: StepResult) -> None:
        job.generated_tokens += 1
        job.allocated_tokens += 1
        self.used_memory += 1
        result.decoded.append(job)
        if job.generated_tokens >= job.output_tokens:
            result.finished.append(job)
            self.remove(job)

    def _cache(self, blocks: Sequence[int]) -> None:
        for block in blocks:
            self.cached_blocks[block] = None
            self.cached_blocks.move_to_end(block)
        while len(self.cached_blocks) > self.spec.cache_capacity_blocks:
            self.cached_blocks.popitem(last=False)

    def _newest_stream(self) -> Job | None:
        streams = [job for job in self.active if job.phase is Phase.DECODING]
        return streams[-1] if len(streams) > 1 else None

    def _preempt(self, job: Job) -> None:
        """Free a stream's memory; it goes back to the head of the queue and is prefilled anew."""
        self.active.remove(job)
        self.used_memory -= job.allocated_tokens
        job.allocated_tokens = 0
        job.fetches_state = False
        job.phase = Phase.WAITING
        self.waiting.appendleft(job)

    def _overloads_slow_start(self, now: int, work: float) -> bool:
        """Return whether all fronts together have sent a cold engine more than it can take."""
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
