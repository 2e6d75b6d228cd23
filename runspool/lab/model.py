"""How a stand-in engine works: steps, slots, queue, memory, kept texts, coldness. No I/O, no clock.

A model of the shape that serving engines publish (continuous batching, prefix blocks, read state moved from
reader to writer), not a measurement of any. Times are tenths of a millisecond, rates tokens a tenth.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from random import Random
from typing import Literal

BLOCK = 64  # tokens whose text is kept or forgotten together
SLACK_WORK = 3.0  # mean works over the budget of a cold engine that chance may bring
CHUNK = 2048  # prompt tokens read in one step beside streams


@dataclass(frozen=True, slots=True)
class Make:
    """What an engine is. `work` is the mean work of each tariff here, in tenths at full strength."""

    name: str
    role: Literal["reader", "writer", "mixed"]
    zone: str
    rack: int
    slots: int
    queue: int
    memory: int
    read_rate: float
    step: float
    per_stream: float
    near_rate: float
    far_rate: float
    zone_slower: float
    cold_from: float
    cold_time: int
    fall_multiple: float
    fall_time: int
    state_kept: int
    work: dict[str, float]
    kept_blocks: int = 4000


class Phase(Enum):
    WAITING = auto()
    FETCHING = auto()
    READING = auto()
    STREAMING = auto()
    OVER = auto()


class Verdict(Enum):
    TAKEN = auto()
    FULL = auto()
    FELL = auto()


@dataclass(slots=True, eq=False)
class Job:
    """One request at an engine. `fetches`: it brings a state; `answers`: it streams, else it is only read."""

    request: str
    tariff: str
    prompt: int
    blocks: Sequence[int]
    out: int
    answers: bool
    fetches: bool = False
    phase: Phase = Phase.WAITING
    to_read: int = 0
    kept: int = 0
    made: int = 0
    held: int = 0  # tokens of memory


@dataclass(slots=True)
class Step:
    """What one step will have done when it ends."""

    length: int
    read: list[tuple[Job, int]]
    stream: list[Job]


@dataclass(slots=True)
class Done:
    """A step's results: reads that ended, streams that made a token, those of them that are finished."""

    read: list[Job] = field(default_factory=list)
    tokens: list[Job] = field(default_factory=list)
    finished: list[Job] = field(default_factory=list)


class Model:
    def __init__(self, make: Make, now: int, cold: bool, seed: int) -> None:
        self.make = make
        self.started = now if cold else now - make.cold_time - 1
        self.draw = Random(seed).random
        self.waiting: deque[Job] = deque()
        self.active: list[Job] = []
        self.kept: OrderedDict[int, None] = OrderedDict()
        self.states: dict[str, int] = {}  # states that wait here: tokens
        self.used = 0
        self.fallen = False
        self.slowed = 1.0
        self.links_slowed = 1.0
        self.fetches_out = 0  # states being fetched from here
        self.offered: deque[tuple[int, float]] = deque()
        self.in_window = 0.0

    def warmth(self, now: int) -> float:
        grown = (now - self.started) / max(1, self.make.cold_time)
        return min(1.0, self.make.cold_from + (1 - self.make.cold_from) * max(0.0, grown))

    def speed(self, now: int) -> float:
        return self.warmth(now) / self.slowed

    def offer(self, now: int, job: Job) -> Verdict:
        """A request arrives. All that arrives weighs on a cold engine, also what it turns away."""
        if self._pushed(now, self.make.work.get(job.tariff, 0.0)):
            self.fallen = True
            return Verdict.FELL
        if len(self.waiting) >= self.make.queue or job.prompt + job.out > self.make.memory:
            return Verdict.FULL
        self.waiting.append(job)
        return Verdict.TAKEN

    def admit(self) -> list[Job]:
        """Moves the head of the line to where there is room; those returned must now fetch their state."""
        fetching = []
        while self.waiting and len(self.active) < self.make.slots:
            job = self.waiting[0]
            if self.used + job.prompt > self.make.memory:
                break
            self.waiting.popleft()
            job.held = job.prompt
            self.used += job.prompt
            self.active.append(job)
            if job.fetches:
                job.phase = Phase.FETCHING
                fetching.append(job)
            else:
                self._start_reading(job)
        return fetching

    def fetched(self, job: Job) -> None:
        if job.phase is Phase.FETCHING:
            job.phase = Phase.STREAMING

    def step(self, now: int) -> Step | None:
        """The next step, None where there is nothing to do."""
        stream = [job for job in self.active if job.phase is Phase.STREAMING]
        room, read = CHUNK, []
        for job in self.active:
            if job.phase is Phase.READING and job.to_read > 0 and room > 0:
                part = min(room, job.to_read)
                read.append((job, part))
                room -= part
        if not stream and not read:
            return None
        tokens = sum(part for _, part in read)
        length = tokens / self.make.read_rate
        if stream:
            length += self.make.step + self.make.per_stream * len(stream)
        return Step(max(1, round(length / self.speed(now))), read, stream)

    def end(self, step: Step) -> Done:
        """Books what a step has done; requests that left meanwhile are passed over."""
        done = Done()
        for job, part in step.read:
            if job.phase is not Phase.READING:
                continue
            job.to_read -= part
            if job.to_read <= 0:
                self._keep(job.blocks)
                if job.answers:
                    job.phase = Phase.STREAMING
                else:
                    done.read.append(job)
        for job in step.stream:
            if job.phase is not Phase.STREAMING:
                continue
            job.made += 1
            job.held += 1
            self.used += 1
            done.tokens.append(job)
            if job.made >= job.out:
                done.finished.append(job)
                self.drop(job)
        while self.used > self.make.memory and (victim := self._newest()) is not None:
            # Its memory is wanted: the newest answer goes back to the line and is read anew.
            self.active.remove(victim)
            self.used -= victim.held
            victim.held, victim.fetches, victim.phase = 0, False, Phase.WAITING
            self.waiting.appendleft(victim)
        return done

    def hold(self, job: Job, state: str) -> None:
        """A finished read's state stays in memory under a name."""
        self.active.remove(job)
        job.phase = Phase.OVER
        self.states[state] = job.held

    def let_go(self, state: str) -> bool:
        """False where no such state waits."""
        tokens = self.states.pop(state, None)
        if tokens is None:
            return False
        self.used -= tokens
        return True

    def drop(self, job: Job) -> None:
        """The request is over, finished or given up."""
        if job.phase is Phase.OVER:
            return
        if job.phase is Phase.WAITING:
            self.waiting.remove(job)
        else:
            self.active.remove(job)
            self.used -= job.held
        job.phase = Phase.OVER

    def transfer(self, tokens: int, zone: str, rack: int) -> int:
        """How long a state takes to a server there, with those that leave beside it."""
        rate = self.make.near_rate
        if rack != self.make.rack:
            rate = self.make.far_rate / self.links_slowed
            if zone != self.make.zone:
                rate /= self.make.zone_slower
        return max(1, round(tokens / rate * (1 + self.fetches_out)))

    def forget(self, share: float) -> None:
        """Loses kept texts."""
        for block in [block for block in self.kept if self.draw() < share]:
            del self.kept[block]

    def report(self) -> dict[str, float]:
        unread = sum(job.to_read for job in self.active) + sum(
            job.prompt for job in self.waiting if not job.fetches
        )
        return {
            "num_requests_running": len(self.active) + len(self.waiting),
            "kv_cache_usage_perc": round(self.used / self.make.memory, 4),
            "slots_usage_perc": round(len(self.active) / self.make.slots, 4),
            "prompt_tokens_waiting": unread,
        }

    def _start_reading(self, job: Job) -> None:
        found = 0
        for block in job.blocks:
            if block not in self.kept:
                break
            self.kept.move_to_end(block)
            found += BLOCK
        job.kept = min(found, job.prompt - 1)
        job.to_read = job.prompt - job.kept + job.made
        job.phase = Phase.READING

    def _keep(self, blocks: Sequence[int]) -> None:
        for block in blocks:
            self.kept[block] = None
            self.kept.move_to_end(block)
        while len(self.kept) > self.make.kept_blocks:
            self.kept.popitem(last=False)

    def _newest(self) -> Job | None:
        streams = [job for job in self.active if job.phase is Phase.STREAMING]
        return streams[-1] if len(streams) > 1 else None

    def _pushed(self, now: int, work: float) -> bool:
        """Whether all fronts together have sent a cold engine more than it bears."""
        make = self.make
        if self.warmth(now) >= 1.0:
            self.offered.clear()
            self.in_window = 0.0
            return False
        self.offered.append((now, work))
        self.in_window += work
        while self.offered and self.offered[0][0] < now - make.fall_time:
            self.in_window -= self.offered.popleft()[1]
        mean = max(make.work.values(), default=0.0)
        return self.in_window > make.fall_multiple * self.warmth(now) * make.fall_time + SLACK_WORK * mean
