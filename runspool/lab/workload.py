"""Draw all requests of a scenario from the plan's seed before the scenario starts.

The module does no I/O and reads no clock.
"""

from __future__ import annotations

import base64
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

import msgspec

from runspool.lab.plan import SECOND, FaultPlan, RequestClassPlan, ScenarioPlan
from runspool.wire.fields import BYTES_PER_TOKEN

MAX_PROMPT_TOKENS = 60_000

# The seed of each random generator is the seed of the plan times the multiplier, plus an offset that depends
# on what the generator draws.
SEED_MULTIPLIER = 7919
WORKLOAD_SEED_OFFSET = 1
TENANT_BURST_SEED_OFFSET = 2

# Sessions are drawn at this multiple of the mean request rate. Most are then discarded, so that the rate at
# each time is that of the load shape and the bursts (thinning).
PEAK_MULTIPLE = 8

STREAMED_SHARE = 0.8  # share of requests whose response is streamed
HOT_PREFIX_TOKENS = 3_000  # length of the prefix that sessions share during a hot_key fault
MAX_PREFIX_NUMBER = 12  # number of different prefixes per request class
MIN_TURN_PAUSE, MAX_TURN_PAUSE = 1.0, 4.0  # seconds between the starts of two turns of a session

# Bounds of the time, in tenths of a millisecond, after which a client disconnects if it does so at all.
MIN_DISCONNECT_DELAY, MAX_DISCONNECT_DELAY = 500, 3 * SECOND

MIN_ABUSED_TIME_LIMIT = 2_000  # tenths of a millisecond; lower bound on time limits during retry_abuse

# Lengths have a lognormal distribution. Its mean is exp(sigma^2 / 2) = 1.13 times the median, so the desired
# mean is divided by this to get the median.
LENGTH_SIGMA = 0.5
LENGTH_MEAN_CORRECTION = 1.13
MIN_LENGTH = 4  # tokens
MAX_LENGTH_MULTIPLE = 8  # upper bound on a length, as a multiple of the mean

# The kinds of fault that consist in the behaviour of clients.
WORKLOAD_FAULT_KINDS = (
    "burst",
    "tenant_burst",
    "hot_key",
    "heavy_tail",
    "retry_abuse",
    "leaving",
    "poison",
)

FaultsByKind = dict[str, list[FaultPlan]]
PromptParts = list[tuple[str, int]]


class PlannedRequest(msgspec.Struct):
    """A request and the behaviour of its client. Times are tenths of a millisecond, and lengths are tokens.

    Attributes:
        id: the id of the request, unique in the scenario.
        send_at: when it is sent, counted from the start of the scenario.
        zone_index: the index of the client's zone in the plan.
        request_class_index: the index of its request class in the plan.
        tenant_index: the index of its tenant in the plan.
        session: the id of its session.
        parts: the texts that its prompt consists of, each with its name and length.
        prefix: the name of the text that its prompt has in common with other sessions; empty for none.
        prefix_tokens: the length of that text.
        prompt_tokens: the length of the whole prompt.
        output_tokens: the length of the response.
        stream: whether the response is streamed.
        time_limit: the time for which the client waits.
        first_token_objective: the time within which the first token has to arrive for the full value.
        retries: the maximum number of retries.
        backoff: the time that the client waits before a retry. With 0, the client retries at once, ignores
            the wait that the front asks for, and gives each attempt the whole time limit.
        disconnects_after: the time after which the client disconnects; 0 if it does not.
        reads_slowly: whether the client reads the stream slowly.
        poison: whether the request crashes an engine that is to decode it.
    """

    id: str
    send_at: int
    zone_index: int
    request_class_index: int
    tenant_index: int
    session: str
    parts: PromptParts
    prefix: str
    prefix_tokens: int
    prompt_tokens: int
    output_tokens: int
    stream: bool
    time_limit: int
    first_token_objective: int
    retries: int
    backoff: int
    disconnects_after: int = 0
    reads_slowly: bool = False
    poison: bool = False


def prompt_text(name: str, tokens: int) -> str:
    """Return the text of this name: random characters that depend on nothing but the name and the length."""
    raw = Random(name).randbytes(tokens * 3)
    return base64.b64encode(raw).decode()[: tokens * BYTES_PER_TOKEN]


def draw_workload(plan: ScenarioPlan) -> list[PlannedRequest]:
    """Return all requests of a scenario in the order in which they are sent."""
    faults = {kind: [fault for fault in plan.faults if fault.kind == kind] for kind in WORKLOAD_FAULT_KINDS}
    requests = _draw_regular_sessions(plan, faults)
    for number, burst in enumerate(faults["tenant_burst"]):
        requests += _draw_tenant_burst(plan, number, burst, faults)
    requests.sort(key=lambda request: request.send_at)
    return requests


def _session_rate(plan: ScenarioPlan) -> float:
    """Return the mean number of sessions that start per second."""
    turns_per_session = sum(
        request_class.share * request_class.turns for request_class in plan.request_classes
    )
    return plan.requests_per_second / turns_per_session


def _draw_regular_sessions(plan: ScenarioPlan, faults: FaultsByKind) -> list[PlannedRequest]:
    """Draw all requests except those that bursts of single tenants add."""
    rng = Random(plan.seed * SEED_MULTIPLIER + WORKLOAD_SEED_OFFSET)
    sessions = _SessionDrawer(plan, rng, faults, [tenant.share for tenant in plan.tenants])
    peak = plan.requests_per_second * PEAK_MULTIPLE
    mean_rate = _session_rate(plan)
    requests: list[PlannedRequest] = []
    at = 0.0
    number = 0
    while True:
        at += rng.expovariate(peak) * SECOND
        if at >= plan.duration:
            return requests
        rate = mean_rate * _load_shape_at(plan, at) * _load_multiple(faults["burst"], at)
        if rng.random() * peak > rate:
            continue
        number += 1
        requests += sessions.draw(str(number), round(at))


def _draw_tenant_burst(
    plan: ScenarioPlan, burst_number: int, burst: FaultPlan, faults: FaultsByKind
) -> list[PlannedRequest]:
    """Draw the requests that a tenant sends in addition to its share during a burst.

    They have their own random generator, so that all other requests are the same as without the burst.
    """
    requests: list[PlannedRequest] = []
    if burst.magnitude <= 1:
        return requests
    rng = Random(plan.seed * SEED_MULTIPLIER + TENANT_BURST_SEED_OFFSET + burst_number)
    share = plan.tenants[burst.subject_index].share / max(1e-9, sum(tenant.share for tenant in plan.tenants))
    this_tenant_only = [float(index == burst.subject_index) for index in range(len(plan.tenants))]
    sessions = _SessionDrawer(plan, rng, faults, this_tenant_only)
    added_rate = _session_rate(plan) * share * (burst.magnitude - 1)
    ends_at = min(burst.starts_at + burst.duration, plan.duration)
    at = float(burst.starts_at)
    number = 0
    while True:
        at += rng.expovariate(added_rate) * SECOND
        if at >= ends_at:
            return requests
        number += 1
        requests += sessions.draw(f"b{burst_number}-{number}", round(at))


@dataclass(slots=True)
class _Session:
    """The properties that all requests of a session share, and its prompt, to which each turn adds a part."""

    name: str
    request_class_index: int
    tenant_index: int
    zone_index: int
    prefix: str = ""
    prefix_tokens: int = 0
    parts: PromptParts = field(default_factory=list)

    @property
    def prompt_tokens(self) -> int:
        """The length of the prompt so far."""
        return sum(tokens for _, tokens in self.parts)


class _SessionDrawer:
    """Draws sessions with one random generator.

    Changing the order of the draws changes the workload that a seed stands for.
    """

    def __init__(
        self, plan: ScenarioPlan, rng: Random, faults: FaultsByKind, tenant_weights: list[float]
    ) -> None:
        self.plan = plan
        self.rng = rng
        self.faults = faults
        self.tenant_weights = tenant_weights
        self.request_class_weights = [request_class.share for request_class in plan.request_classes]

    def draw(self, name: str, starts_at: int) -> list[PlannedRequest]:
        """Draw the requests of a session that starts at `starts_at`, one per turn."""
        session = self._draw_session(name, starts_at)
        request_class = self.plan.request_classes[session.request_class_index]
        requests: list[PlannedRequest] = []
        at = starts_at
        for turn in range(self._draw_turns(request_class)):
            new_tokens = self._draw_new_tokens(session, request_class, at)
            if new_tokens <= 0 or at >= self.plan.duration:
                break
            session.parts = [*session.parts, (f"s{name}-{turn}", new_tokens)]
            requests.append(self._draw_request(session, f"{name}-{turn}", at))
            at += round(self.rng.uniform(MIN_TURN_PAUSE, MAX_TURN_PAUSE) * SECOND)
        return requests

    def _draw_session(self, name: str, starts_at: int) -> _Session:
        request_class_index = self._draw_index(self.request_class_weights)
        tenant_index = self._draw_index(self.tenant_weights)
        zone_index = self.rng.randrange(len(self.plan.zones))
        session = _Session(name, request_class_index, tenant_index, zone_index)
        self._draw_prefix(session, starts_at)
        if session.prefix_tokens:
            session.parts = [(session.prefix, session.prefix_tokens)]
        return session

    def _draw_index(self, weights: list[float]) -> int:
        return self.rng.choices(range(len(weights)), weights)[0]

    def _draw_prefix(self, session: _Session, at: int) -> None:
        """Draw whether the session's prompt starts with a shared prefix, and with which."""
        rng = self.rng
        request_class = self.plan.request_classes[session.request_class_index]
        hot = self._draw_hot_prefix_fault(at)
        if hot is not None:
            prefix_count = max(1, int(hot.secondary_magnitude) or 1)
            session.prefix = f"hot-{hot.starts_at}-{rng.randrange(prefix_count)}"
            session.prefix_tokens = HOT_PREFIX_TOKENS
        elif rng.random() < request_class.prefix_share:
            prefix_number = min(int(rng.paretovariate(1.0)), MAX_PREFIX_NUMBER)
            session.prefix = f"rules-{session.request_class_index}-{prefix_number}"
            session.prefix_tokens = request_class.prefix_tokens

    def _draw_hot_prefix_fault(self, at: int) -> FaultPlan | None:
        """Return the active hot_key fault that determines a session's prefix, or None.

        The magnitude is the share of sessions that it affects; the secondary magnitude is the number of
        prefixes.
        """
        for fault in self.faults["hot_key"]:
            if _is_active(fault, at) and self.rng.random() < fault.magnitude:
                return fault
        return None

    def _draw_turns(self, request_class: RequestClassPlan) -> int:
        """Draw the number of turns: the mean rounded down or up, so that the expected value is the mean."""
        whole_turns = int(request_class.turns)
        return whole_turns + (self.rng.random() < request_class.turns - whole_turns)

    def _draw_new_tokens(self, session: _Session, request_class: RequestClassPlan, at: int) -> int:
        """Draw the number of tokens that a turn adds to the prompt.

        The result is 0 or less if the prompt has reached its maximum length.
        """
        tokens = _draw_length(self.rng, request_class.new_prompt_tokens)
        heavy = self._draw_heavy_tail_fault(session.request_class_index, at)
        if heavy is not None:
            tokens = int(tokens * heavy.magnitude)
        return min(tokens, MAX_PROMPT_TOKENS - session.prompt_tokens)

    def _draw_heavy_tail_fault(self, request_class_index: int, at: int) -> FaultPlan | None:
        """Return the active heavy_tail fault that lengthens a turn's new tokens, or None.

        The magnitude multiplies the length; the secondary magnitude is the share of turns that it affects.
        """
        for fault in self.faults["heavy_tail"]:
            applies = _is_active(fault, at) and fault.subject_index == request_class_index
            if applies and self.rng.random() < fault.secondary_magnitude:
                return fault
        return None

    def _draw_request(self, session: _Session, request_id: str, at: int) -> PlannedRequest:
        request_class = self.plan.request_classes[session.request_class_index]
        clients = self.plan.clients
        prompt_tokens = session.prompt_tokens
        objective_per_1000_tokens = request_class.first_token_objective_per_1000_tokens
        time_limit = request_class.time_limit + 2 * objective_per_1000_tokens * prompt_tokens // 1000
        request = PlannedRequest(
            id=request_id,
            send_at=at,
            zone_index=session.zone_index,
            request_class_index=session.request_class_index,
            tenant_index=session.tenant_index,
            session=f"session-{session.name}",
            parts=session.parts,
            prefix=session.prefix,
            prefix_tokens=session.prefix_tokens,
            prompt_tokens=prompt_tokens,
            output_tokens=_draw_length(self.rng, request_class.output_tokens),
            stream=self.rng.random() < STREAMED_SHARE,
            time_limit=round(time_limit * clients.attempt_time_share),
            first_token_objective=(
                request_class.first_token_objective + objective_per_1000_tokens * prompt_tokens // 1000
            ),
            retries=clients.retries,
            backoff=clients.backoff,
        )
        self._draw_behaviour(request)
        return request

    def _draw_behaviour(self, request: PlannedRequest) -> None:
        """Draw how the client deviates from the usual: disconnects, slow reads and effects of faults."""
        rng = self.rng
        clients = self.plan.clients
        disconnect_faults = [fault for fault in self.faults["leaving"] if _is_active(fault, request.send_at)]
        disconnecting_share = clients.disconnecting_share + sum(
            fault.magnitude for fault in disconnect_faults
        )
        if rng.random() < disconnecting_share:
            request.disconnects_after = rng.randrange(MIN_DISCONNECT_DELAY, MAX_DISCONNECT_DELAY)
        request.reads_slowly = request.stream and rng.random() < clients.slow_reading_share
        for fault in self._tenant_faults("poison", request):
            request.poison = rng.random() < fault.magnitude
        for fault in self._tenant_faults("retry_abuse", request):
            time_limit = round(request.first_token_objective * fault.secondary_magnitude)
            request.time_limit = max(MIN_ABUSED_TIME_LIMIT, time_limit)
            request.retries = int(fault.magnitude)
            request.backoff = 0

    def _tenant_faults(self, kind: str, request: PlannedRequest) -> list[FaultPlan]:
        return [
            fault
            for fault in self.faults[kind]
            if _is_active(fault, request.send_at) and fault.subject_index == request.tenant_index
        ]


def _draw_length(rng: Random, mean: int) -> int:
    length = round(rng.lognormvariate(0, LENGTH_SIGMA) * mean / LENGTH_MEAN_CORRECTION)
    return max(MIN_LENGTH, min(MAX_LENGTH_MULTIPLE * mean, length))


def _is_active(fault: FaultPlan, at: float) -> bool:
    return fault.starts_at <= at < fault.starts_at + max(fault.duration, 1)


def _load_multiple(bursts: list[FaultPlan], at: float) -> float:
    """Return the product of the magnitudes of the bursts that are active at a time."""
    multiple = 1.0
    for burst in bursts:
        if _is_active(burst, at):
            multiple *= burst.magnitude
    return multiple


def _load_shape_at(plan: ScenarioPlan, at: float) -> float:
    """Return the load at a time as a multiple of the mean rate, interpolated linearly in the load shape."""
    points = plan.load_shape
    if not points:
        return 1.0
    second = at / SECOND
    for (before, low), (after, high) in pairwise(points):
        if before <= second <= after:
            return low + (high - low) * (second - before) / max(1e-9, after - before)
    return points[-1][1] if second > points[-1][0] else points[0][1]
