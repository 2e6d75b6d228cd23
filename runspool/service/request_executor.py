"""Carries out scheduler actions and ensures that each accepted request receives one final response.

This module makes no scheduling decisions and implements no protocol. Its parts are:

- `protocol_hooks`: the methods with which subclasses implement a protocol
- `executor_base`: the open requests and their final responses
- `attempt_runner`: runs single attempts
- `deadline_guard`: answers requests shortly before their deadlines
- `release_check`: releases prefill states in time
- `request_terminator`: ends requests that a shutdown must not leave open
- `task_spawner`: isolates tasks from each other's exceptions
- `endpoint_registry`: the known engines
"""

from __future__ import annotations

from collections.abc import Awaitable

import anyio
import anyio.lowlevel

from runspool.runtime.interning import Interner
from runspool.scheduling.request_lifecycle import (
    AttemptPolicy,
    InvariantViolation,
    RequestLifecycle,
)
from runspool.scheduling.settings import RoutingSettings
from runspool.service import final_responses
from runspool.service.attempt_runner import AttemptRunner
from runspool.service.cell_scheduler import CellScheduler
from runspool.service.clock import now
from runspool.service.executor_base import RequestExecutorBase
from runspool.service.pending_request import RequestT
from runspool.service.release_check import ReleaseCheck
from runspool.service.request_log import ShutdownDecision, log_replacements
from runspool.service.request_terminator import RequestTerminator
from runspool.service.timer_queue import (
    DeadlineGuardTimer,
    ExecutorTimer,
    ReleaseCheckTimer,
    SchedulerTimer,
    SubmissionTimer,
)
from runspool.wire.endpoint_list import EndpointEntry

# How long the index of an unused session or prompt prefix is kept, in tenths of a millisecond. One that
# has not been used for this time is no longer in any engine's cache.
NAME_RETENTION = 6_000_000
MAX_INTERNED_NAME_LENGTH = 32  # in characters


class RequestExecutor(RequestExecutorBase[RequestT]):
    """Carries out scheduler actions in a single event loop; no method blocks.

    All times are in tenths of a millisecond on the front's clock. `closing` is set when a shutdown begins.
    `idle` is set, and replaced, each time the last open request has ended.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        engine_types: dict[str, int],
        zones: dict[str, int],
        max_interned_names: int,
    ) -> None:
        """Initialize the executor.

        Args:
            settings: The routing settings.
            engine_types: The indices of the configured engine types by name.
            zones: The indices of the configured zones by name.
            max_interned_names: The maximum number of sessions and prompt prefixes that have an index.
        """
        super().__init__(settings, engine_types, zones)
        self.name_interner = Interner(max_interned_names, NAME_RETENTION)
        self.release_check = ReleaseCheck(self)
        self.request_terminator = RequestTerminator(self)
        self.attempt_runner = AttemptRunner(self, self.release_check)
        self.accepted_count = 0
        self.closing = False
        self.idle = anyio.Event()

    # Requests and endpoint list updates.

    def accept(self, pending: RequestT) -> None:
        """Accept a request, which must receive one final response before its deadline from now on."""
        self.requests[pending.index] = pending
        policy = AttemptPolicy.for_class(self.settings, self.request_class_of(pending))
        pending.lifecycle = RequestLifecycle(policy, pending.deadline)
        self.counts["accepted"] += 1
        self.deadline_guard.schedule(pending)

    def endpoints_changed(self, changed: list[EndpointEntry]) -> None:
        """Apply changed entries of the endpoint list and send the schedulers their engines."""
        replacements = self.endpoint_registry.apply(changed)
        if replacements:
            log_replacements(self.rate_limited_log, replacements, self.requests.values())
        self.publish_engines()

    def intern_name(self, kind: str, name: str | None, at: int) -> int | None:
        """Return the scheduler's index for a session or prompt prefix, or None if `name` is None.

        `kind` is a prefix that separates the names of sessions from those of prompt prefixes; `at` is the
        current time. A long name is replaced by its hash, so that names take little memory.
        """
        if name is None:
            return None
        if len(name) > MAX_INTERNED_NAME_LENGTH:
            name = f"{hash(name):x}"
        return self.name_interner.intern(kind + name, at)

    # Scheduler actions.

    def start_attempt(self, request: int, engine: int, timeout: int) -> None:
        """Start an attempt of a request at an engine.

        `timeout` is the time until the first token, 0 if only the request's deadline applies.
        """
        pending = self.requests[request]
        pending.attempt_count += 1
        self.spawn(self.attempt_runner.run, pending, self.endpoints[engine], timeout)

    def reject(self, request: int, retry_after: int) -> None:
        """Reject the request as not executed.

        If the request may have been executed nevertheless, the violation is recorded and the request is
        failed as indeterminate instead.
        """
        pending = self.requests[request]
        denial = pending.lifecycle.deny_rejection()
        if denial is not None and pending.final_response is None:
            # A rejection guarantees that the request was not executed, so the client would send it again.
            self.invariants.record(
                InvariantViolation.UNSAFE_REJECTION, request=pending.id, reason=denial.value
            )
            self.fail_indeterminate(request)
            return
        self.finish(pending, final_responses.rejected(retry_after))

    def fail_indeterminate(self, request: int) -> None:
        """Respond that the request may or may not have been executed."""
        self.finish(self.requests[request], final_responses.indeterminate())

    def release_state(self, request: int) -> None:
        """Start the release of the request's prefill state."""
        self.release_prefill_state(self.requests[request])

    def migrate_stream(self, request: int) -> None:
        """End a running stream so that its client requests the remainder again.

        Do nothing if the request has ended or its stream has not started.
        """
        pending = self.requests.get(request)
        if pending is None or not pending.stream_started:
            return
        if self.finish(pending, final_responses.stream_migrated()):
            self.counts["migrated"] += 1
            if self.shutdown_deadline:
                self.request_terminator.log_decision(
                    pending, ShutdownDecision.MOVED, "the scheduler migrated the stream"
                )
            pending.cancel_attempt()

    def set_timer(self, timer: SchedulerTimer, at: int) -> None:
        """Schedule a scheduler's timer to fire at `at`."""
        self.timers.schedule(at, timer)

    def log_message(self, text: str) -> None:
        """Log a message of a scheduler."""
        self.log.info("scheduler_message", text=text)

    def forget_request(self, request: int) -> None:
        """Discard a request that its scheduler has finished."""
        pending = self.requests.pop(request)
        if pending.final_response is None:
            # No other code would answer the request, and its client would wait for the response forever.
            self.invariants.record(
                InvariantViolation.CLOSED_UNANSWERED,
                request=pending.id,
                reason="the scheduler finished the request without a final response",
            )
            self.finish(pending, final_responses.scheduler_failed())
        self.after_request(pending)
        if not self.requests:
            self.idle.set()
            self.idle = anyio.Event()

    # Responses.

    def stream_started(self, pending: RequestT, attempt: int, sent_at: int) -> None:
        """Report an attempt's first token to the scheduler, before it is forwarded to the client."""
        pending.stream_started = True
        pending.lifecycle.stream_started()
        self.set_prefill_endpoint(pending, None, None)
        self.notify_scheduler(
            self.scheduler_for(pending),
            pending.index,
            CellScheduler.stream_started,
            pending.index,
            attempt,
            now() - sent_at,
        )

    async def forward(self, pending: RequestT, sending: Awaitable[None]) -> None:
        """Await a send to the client; a client that does not read in time is treated as disconnected."""
        try:
            await sending
        except (OSError, TimeoutError):
            self.client_disconnected(pending)
            await anyio.lowlevel.checkpoint()

    # Timers.

    def timer_fired(self, timer: ExecutorTimer) -> None:
        """Handle an expired timer."""
        match timer:
            case DeadlineGuardTimer(request):
                self._deadline_guard_fired(request)
            case ReleaseCheckTimer(request):
                self.release_check.timer_fired(request)
            case SubmissionTimer(request):
                self.submission_expired(request)
            case SchedulerTimer(cell, token):
                self.notify_scheduler(
                    self.scheduler_named(cell), timer.request, CellScheduler.timer_fired, token
                )

    def _deadline_guard_fired(self, request: int) -> None:
        pending = self.requests.get(request)
        if pending is None or self.deadline_guard.defer(pending):
            return
        if not self.deadline_guard_applies(pending) or not self.finish(
            pending, final_responses.out_of_time()
        ):
            return
        # A response that is buffered for its client may have started. The scheduler has then met its part of
        # the deadline, so this is not logged as a failure of the scheduler.
        if not pending.stream_started:
            self.deadline_guard.log_answer(pending, self.log)
        self.cancel_remaining_work(pending)
