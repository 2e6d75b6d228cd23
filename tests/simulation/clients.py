"""Simulated clients, which send requests, read the responses, and may disconnect or retry."""

from __future__ import annotations

import math
from typing import NamedTuple
from zlib import crc32

import anyio
import msgspec

from runspool.lab.plan import RequestClassPlan
from runspool.scheduling.time_units import SECOND
from runspool.service.pending_completion import PendingCompletion
from runspool.service.pending_request import RequestNotAcceptedError, ResponseKind
from runspool.wire.completions import CompletionRequest, parse_completion_request
from tests.simulated_clock import TICKS_PER_MILLISECOND, now
from tests.simulation import recorded_values as values
from tests.simulation.context import SimulationContext, TokenCounts
from tests.simulation.fronts import SimulatedFront
from tests.simulation.settings import TENANTS

# Durations are in tenths of a millisecond unless a name says otherwise.
MAX_ATTEMPTS = 2  # of one request
MIN_TIME_FOR_RETRY = 3_000  # a client does not retry if less of its time limit is left
MAX_RETRY_DELAY_SECONDS = 0.2  # upper bound of the random delay before a retry
SESSION_COUNT = 50  # number of sessions over which all requests are spread
MAX_OUTPUT_TOKENS = 500
# A client still receives a response up to this long after the time limit; it is recorded as late.
LATE_RESPONSE_WINDOW = SECOND

PROMPT_TOKENS = (50, 900)  # range of the prompt's length
STREAMING_SHARE = 0.7  # fraction of requests whose response is streamed
MAX_EARLY_DISCONNECT = 3_000  # upper bound of the time after which a client disconnects early


class RequestShape(NamedTuple):
    """The properties of one attempt.

    `disconnects_after` is the time after which its client disconnects, in tenths of a millisecond; 0: never.
    """

    tokens: TokenCounts
    is_streaming: bool
    tenant: str
    disconnects_after: float


class ClientAttempt(NamedTuple):
    """One attempt of a client at one front; `item` names the request that all its attempts share."""

    name: str
    item: str
    request_class: RequestClassPlan
    time_limit: int
    shape: RequestShape


class ResponseReader:
    """The client's side of a response, which records the first token, missing tokens and data after the end.

    `time_limit` ends with the first token that the client receives.
    """

    def __init__(self, context: SimulationContext, client_attempt: str, is_streaming: bool) -> None:
        self.context = context
        self.client_attempt = client_attempt
        self.is_streaming = is_streaming
        self.token_count = 0
        self.is_finished = False
        self.time_limit: anyio.CancelScope | None = None

    async def stream_started(self) -> None:
        """Handle the start of the stream."""
        self._record_if_finished("begun")

    async def data_received(self, text: str) -> None:
        """Handle the next tokens."""
        self._record_if_finished(text)
        for token in text.split():
            self.token_count += 1
            if token != f"t{self.token_count}":
                self.context.record_for_attempt(
                    "gap", self.client_attempt, said=token, wanted=self.token_count
                )
        if self.is_streaming and self.token_count == 1:
            self.context.record_for_attempt("first", self.client_attempt)
            if self.time_limit is not None:
                self.time_limit.deadline = math.inf

    def _record_if_finished(self, data: str) -> None:
        if self.is_finished:
            self.context.record_for_attempt("extra", self.client_attempt, said=data)


class SimulatedClients:
    """The clients of a simulation."""

    def __init__(self, context: SimulationContext) -> None:
        self.context = context

    async def send_with_retries(
        self, fronts: list[SimulatedFront], item: str, request_class: RequestClassPlan
    ) -> None:
        """Send a request, and retry it if it was rejected and enough time is left.

        `fronts` holds the current process of each front; a restart replaces the process in this list.
        """
        first_sent_at, time_limit = now(), request_class.time_limit
        for number in range(1, MAX_ATTEMPTS + 1):
            front = self.context.random.choice(fronts)
            remaining = time_limit - (now() - first_sent_at)
            shape = self._draw_shape(request_class, remaining)
            attempt = ClientAttempt(f"{item}.{number}", item, request_class, remaining, shape)
            answer = await self.send(front, attempt)
            may_retry = answer in (values.ANSWER_REJECTED, values.ANSWER_NOT_ACCEPTED)
            if not may_retry or now() - first_sent_at > time_limit - MIN_TIME_FOR_RETRY:
                return
            await anyio.sleep(self.context.random.uniform(0, MAX_RETRY_DELAY_SECONDS))

    def _draw_shape(self, request_class: RequestClassPlan, time_limit: int) -> RequestShape:
        random = self.context.random
        prompt_tokens = int(random.uniform(*PROMPT_TOKENS))
        output_tokens = random.randint(1, 2 * request_class.output_tokens)
        is_streaming = random.random() < STREAMING_SHARE
        tenant = random.choice(TENANTS)
        disconnects_after = 0.0
        if random.random() < self.context.settings.disconnecting_client_share:
            disconnects_after = random.choice(
                [time_limit, random.uniform(0, time_limit), random.uniform(0, MAX_EARLY_DISCONNECT)]
            )
        return RequestShape(
            TokenCounts(prompt_tokens, output_tokens), is_streaming, tenant, disconnects_after
        )

    async def send(self, front: SimulatedFront, attempt: ClientAttempt) -> str:
        """Send one attempt, read its response and return how it was answered."""
        context, shape = self.context, attempt.shape
        context.token_counts[attempt.name] = shape.tokens
        self._record_request(front, attempt)
        if not front.is_up:
            self._record_answer(attempt, values.ANSWER_UNREACHABLE)
            return values.ANSWER_UNREACHABLE
        context.record_for_attempt("sent", attempt.name)
        reader = ResponseReader(context, attempt.name, shape.is_streaming)
        request = _completion_request(front, attempt)
        try:
            pending = front.front.submit(request, reader, now())
        except RequestNotAcceptedError as error:
            is_rejected = error.kind is ResponseKind.REJECTED
            answer = values.ANSWER_NOT_ACCEPTED if is_rejected else values.ANSWER_INDETERMINATE
            code = error.code
        else:
            answer, code = await self._wait_for_answer(front, attempt, pending, reader)
        reader.is_finished = True
        if answer == values.ANSWER_SUCCEEDED:
            self._record_end(attempt, reader.token_count)
        self._record_answer(attempt, answer, code)
        return answer

    async def _wait_for_answer(
        self,
        front: SimulatedFront,
        attempt: ClientAttempt,
        pending: PendingCompletion,
        reader: ResponseReader,
    ) -> tuple[str, str]:
        """Wait for the final response until the client gives up; return the answer and its error code."""
        disconnects_after = attempt.shape.disconnects_after
        patience = disconnects_after or attempt.time_limit + LATE_RESPONSE_WINDOW
        with anyio.move_on_after(patience / SECOND) as time_limit:
            reader.time_limit = None if disconnects_after else time_limit
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(front.cancel_when_killed, tasks.cancel_scope)
                await pending.done.wait()
                tasks.cancel_scope.cancel()
        response = pending.final_response
        if response is not None:
            return values.ANSWER_BY_RESPONSE_KIND[response.kind], response.code
        if not front.is_up:
            return values.ANSWER_FRONT_KILLED, ""
        front.front.client_disconnected(pending)
        return values.ANSWER_CLIENT_DISCONNECTED if disconnects_after else values.ANSWER_NONE, ""

    # Recording.

    def _record_request(self, front: SimulatedFront, attempt: ClientAttempt) -> None:
        shape = attempt.shape
        self.context.record_for_attempt(
            "asked",
            attempt.name,
            item=attempt.item,
            front=front.name,
            tariff=attempt.request_class.name,
            tenant=shape.tenant,
            limit=attempt.time_limit,
            due=attempt.request_class.first_token_objective,
            prompt=shape.tokens.prompt,
            out=shape.tokens.output,
            number=1,
            stream=shape.is_streaming,
        )

    def _record_end(self, attempt: ClientAttempt, token_count: int) -> None:
        what = "end" if attempt.shape.is_streaming else "first"
        self.context.record_for_attempt(what, attempt.name, tokens=token_count, finish="stop")
        expected = attempt.shape.tokens.output
        if token_count != expected:
            self.context.record_for_attempt("gap", attempt.name, said=token_count, wanted=expected)

    def _record_answer(self, attempt: ClientAttempt, answer: str, code: str = "") -> None:
        self.context.record_for_attempt("answer", attempt.name, kind=answer, code=code, at=now())


def _completion_request(front: SimulatedFront, attempt: ClientAttempt) -> CompletionRequest:
    """Return the attempt as the front's HTTP server would have parsed it."""
    shape = attempt.shape
    headers = {
        "runspool-tariff": attempt.request_class.name,
        "runspool-tenant": shape.tenant,
        "runspool-ticket": attempt.item,
        "runspool-session": f"s{crc32(attempt.item.encode()) % SESSION_COUNT}",
        "runspool-prompt-tokens": str(shape.tokens.prompt),
        "runspool-limit-ms": str(max(1, attempt.time_limit // TICKS_PER_MILLISECOND)),
        "runspool-likely-tokens": str(shape.tokens.output),
        "runspool-mark": attempt.name,
        "runspool-try": attempt.name.rpartition(".")[2],
    }
    body = {"prompt": attempt.item, "max_tokens": MAX_OUTPUT_TOKENS, "stream": shape.is_streaming}
    return parse_completion_request(headers, msgspec.json.encode(body), front.front.config)
