"""Clients of a scenario: send the planned requests, retry them where allowed, and record the responses."""

from __future__ import annotations

import anyio
import h11
from anyio.abc import SocketStream

from runspool.lab.client_messages import request_body, request_headers
from runspool.lab.load_balancer import LoadBalancer
from runspool.lab.plan import SECOND, RequestClassPlan, ScenarioPlan
from runspool.lab.recording import Recorder
from runspool.lab.response_reader import CONNECTION_ERRORS, ClientOutcome, ResponseReader
from runspool.lab.workload import PlannedRequest
from runspool.service.clock import now

LATE_ANSWER_GRACE = 3_000  # tenths of a millisecond past the time limit at which a client stops waiting
MIN_TIME_LEFT = 500  # tenths of a millisecond; with less left of the time limit, a client does not retry
CONNECT_TIMEOUT = 1.0  # seconds

# Kinds of outcome (see ClientOutcome) after which a client does not retry.
FINAL_OUTCOMES = frozenset({"succeeded", "left", "malformed"})
# Kinds of outcome after which a client may always retry, because the request has not been executed.
NOT_EXECUTED_OUTCOMES = frozenset({"dismissed", "refused", "unreachable"})


class WorkloadClients:
    """Sends all requests of a scenario.

    Attributes:
        plan: the plan of the scenario.
        load_balancer: selects a front for each attempt.
        recorder: records what the clients send and receive.
    """

    def __init__(self, plan: ScenarioPlan, load_balancer: LoadBalancer, recorder: Recorder) -> None:
        self.plan = plan
        self.load_balancer = load_balancer
        self.recorder = recorder

    async def run(self, requests: list[PlannedRequest], start: int) -> None:
        """Send every request at its planned time and wait until all have ended.

        `start` is the start of the scenario, on the clock that the fronts use too.
        """
        async with anyio.create_task_group() as tasks:
            for request in requests:
                wait = start + request.send_at - now()
                if wait > 0:
                    await anyio.sleep(wait / SECOND)
                tasks.start_soon(self._send, request)

    async def _send(self, request: PlannedRequest) -> None:
        """Send one request and retry it as far as its client and its request class allow."""
        request_class = self.plan.request_classes[request.request_class_index]
        first_attempt_at = now()
        for number in range(1, request.retries + 2):
            time_left = request.time_limit
            if number > 1 and request.backoff:
                time_left -= now() - first_attempt_at
            if time_left < MIN_TIME_LEFT:
                return
            outcome = await self.send_attempt(request, number, time_left)
            if outcome.kind in FINAL_OUTCOMES:
                return
            if not _may_retry(outcome, request_class, first_attempt_at):
                return
            pause = request.backoff + (outcome.retry_after if request.backoff else 0)
            await anyio.sleep(pause / SECOND)

    async def send_attempt(self, request: PlannedRequest, number: int, time_limit: int) -> ClientOutcome:
        """Make one attempt at a request: send it, read the response and record both.

        Args:
            request: the request.
            number: the number of the attempt; the first is 1.
            time_limit: how long the client waits for the response, in tenths of a millisecond.
        """
        attempt_id = f"{request.id}.{number}"
        front_index = self.load_balancer.select_front(self.plan.zones[request.zone_index])
        self._record_attempt(request, attempt_id, number, front_index, time_limit)
        outcome = await self._connect_and_exchange(request, attempt_id, front_index, time_limit)
        self.recorder.record_event(
            "answer",
            kind=outcome.kind,
            code=outcome.code,
            at=outcome.ended_at or now(),
            **{"try": attempt_id},
        )
        return outcome

    def _record_attempt(
        self, request: PlannedRequest, attempt_id: str, number: int, front_index: int, time_limit: int
    ) -> None:
        plan = self.plan
        self.recorder.record_event(
            "asked",
            item=request.id,
            front=plan.fronts[front_index].name,
            tariff=plan.request_classes[request.request_class_index].name,
            tenant=plan.tenants[request.tenant_index].name,
            limit=time_limit,
            due=request.first_token_objective,
            prompt=request.prompt_tokens,
            out=request.output_tokens,
            number=number,
            stream=request.stream,
            **{"try": attempt_id},
        )

    async def _connect_and_exchange(
        self, request: PlannedRequest, attempt_id: str, front_index: int, time_limit: int
    ) -> ClientOutcome:
        """Connect to a front, send the request and read the response."""
        try:
            with anyio.fail_after(CONNECT_TIMEOUT):
                stream = await anyio.connect_tcp(*self.load_balancer.addresses[front_index])
        except (OSError, TimeoutError):
            return ClientOutcome("unreachable")
        async with stream:
            return await self._exchange(request, attempt_id, time_limit, stream)

    async def _exchange(
        self, request: PlannedRequest, attempt_id: str, time_limit: int, stream: SocketStream
    ) -> ClientOutcome:
        """Send the request on an open connection and read the response."""
        started_at = now()
        connection = h11.Connection(h11.CLIENT)
        body = request_body(request, attempt_id)
        headers = request_headers(self.plan, request, attempt_id, time_limit, len(body))
        head = h11.Request(method="POST", target="/v1/completions", headers=headers)
        raw_head = connection.send(head) or b""
        try:
            await stream.send(raw_head + (connection.send(h11.Data(data=body)) or b""))
            connection.send(h11.EndOfMessage())
        except CONNECTION_ERRORS:
            return ClientOutcome("lost", "while_sending")
        self.recorder.record_event("sent", **{"try": attempt_id})
        reader = ResponseReader(self.recorder, request, attempt_id, stream, connection)
        deadline = started_at + time_limit + LATE_ANSWER_GRACE
        if not request.disconnects_after:
            return await reader.read(deadline)
        return await _read_until_disconnect(reader, deadline, request.disconnects_after)


async def _read_until_disconnect(
    reader: ResponseReader, deadline: int, disconnects_after: int
) -> ClientOutcome:
    """Read the response, but disconnect after `disconnects_after` tenths of a millisecond."""
    with anyio.move_on_after(disconnects_after / SECOND) as scope:
        outcome = await reader.read(deadline)
    if scope.cancelled_caught:
        return ClientOutcome("left")
    return outcome


def _may_retry(outcome: ClientOutcome, request_class: RequestClassPlan, first_attempt_at: int) -> bool:
    """Return whether a request may be sent again after an attempt with this outcome.

    A request that may have been executed is sent again only if its request class allows a second execution,
    or if every engine recognises its idempotency key and the deduplication window is still open.
    """
    if outcome.kind in NOT_EXECUTED_OUTCOMES:
        return True
    if request_class.idempotency == "rerunnable":
        return True
    if request_class.idempotency != "ticketed" or request_class.deduplication_scope != "all":
        return False
    return now() - first_attempt_at < request_class.deduplication_window
