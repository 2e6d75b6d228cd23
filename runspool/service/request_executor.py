"""Carries out a front's scheduler actions and owes each accepted request one final response.

Nothing is decided here and no protocol is spoken here: subclasses add the protocol (`protocol_hooks`),
`request_ledger` holds the open requests, `attempt_runner` runs single attempts, `deadline_guard` watches the
deadlines, `release_check` the states that must be released, `last_resort` ends what a shutdown may not leave
open, `task_spawner` keeps tasks apart and `endpoint_registry` knows the engines.
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
from runspool.service.last_resort import LastResort
from runspool.service.pending_request import RequestT
from runspool.service.release_check import ReleaseCheck
from runspool.service.request_ledger import RequestLedger
from runspool.service.request_log import ShutdownDecision, log_replacements
from runspool.service.timer_queue import (
    DeadlineGuardTimer,
    ExecutorTimer,
    ReleaseCheckTimer,
    SchedulerTimer,
)
from runspool.wire.endpoint_list import EndpointEntry

TEXT_RETENTION = 6_000_000  # tenths of a millisecond: no engine still caches a text unseen for so long


class RequestExecutor(RequestLedger[RequestT]):
    """Carries out scheduler actions on sockets. It runs in one event loop; no method blocks.

    All times are in tenths of a millisecond on the front's clock.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        engine_types: dict[str, int],
        zones: dict[str, int],
        text_capacity: int,
    ) -> None:
        """`engine_types` and `zones` map names to indices; `text_capacity` bounds the texts interned."""
        super().__init__(settings, engine_types, zones)
        self.text_interner = Interner(text_capacity, TEXT_RETENTION)
        self.release_check = ReleaseCheck(self)
        self.last_resort = LastResort(self)
        self.attempt_runner = AttemptRunner(self, self.release_check)
        self.accepted_count = 0
        self.closing = False
        self.idle = anyio.Event()

    # What comes in.

    def accept(self, pending: RequestT) -> None:
        """Takes a request, which from here on is owed one final response before its deadline."""
        self.requests[pending.index] = pending
        policy = AttemptPolicy.for_class(self.settings, self.request_class_of(pending))
        pending.lifecycle = RequestLifecycle(policy, pending.deadline)
        self.counts["accepted"] += 1
        self.deadline_guard.schedule(pending)

    def client_disconnected(self, pending: RequestT) -> None:
        """The client has gone: an attempt in progress is cancelled and the scheduler told."""
        pending.lifecycle.mark_client_disconnected()
        if self.finish(pending, final_responses.client_disconnected()):
            self.disconnect(pending)

    def endpoints_changed(self, changed: list[EndpointEntry]) -> None:
        """Takes in changed entries of the endpoint list and gives the schedulers their engines."""
        replacements = self.registry.apply(changed)
        if replacements:
            log_replacements(self.trace, replacements, self.requests.values())
        self.publish_engines()

    def intern_text(self, kind: str, name: str | None, at: int) -> int | None:
        """The index of a text, by its kind and name; None where it has no name."""
        return None if name is None else self.text_interner.intern(kind + name, at)

    # Scheduler actions.

    def start_attempt(self, request: int, engine: int, timeout: int) -> None:
        """Starts an attempt of a request at an engine; `timeout` is 0 for none of its own."""
        pending = self.requests[request]
        pending.attempt_count += 1
        self._spawn(self.attempt_runner.run, pending, self.endpoints[engine], timeout)

    def reject(self, request: int, retry_after: int) -> None:
        """Answers that the request has not run; as indeterminate if it may have run after all."""
        pending = self.requests[request]
        denial = pending.lifecycle.deny_rejection()
        if denial is not None and pending.final_response is None:
            # A rejection promises that nothing has run: the client would send the request again.
            self.invariants.record(
                InvariantViolation.UNSAFE_REJECTION, request=pending.id, reason=denial.value
            )
            self.fail_indeterminate(request)
            return
        self.finish(pending, final_responses.rejected(retry_after))

    def fail_indeterminate(self, request: int) -> None:
        """Answers that the request may or may not have run."""
        self.finish(self.requests[request], final_responses.indeterminate())

    def release_state(self, request: int) -> None:
        """Begins to release the request's prefill state."""
        self.release_prefill_state(self.requests[request])

    def migrate_stream(self, request: int) -> None:
        """Ends a running stream, so that its client comes again for the rest; nothing where there is none."""
        pending = self.requests.get(request)
        if pending is None or not pending.stream_started:
            return
        if self.finish(pending, final_responses.stream_migrated()):
            self.counts["migrated"] += 1
            if self.shutdown_deadline:
                self.last_resort.log_decision(pending, ShutdownDecision.MOVED, "the scheduler moved it")
            pending.cancel_attempt()

    def set_timer(self, timer: SchedulerTimer, at: int) -> None:
        """Has a scheduler's timer fire at `at`."""
        self.timers.schedule(at, timer)

    def log_message(self, text: str) -> None:
        """Logs what a scheduler has to say."""
        self.log.info("scheduler_message", text=text)

    def forget_request(self, request: int) -> None:
        """Forgets a request whose scheduler is done with it."""
        pending = self.requests.pop(request)
        if pending.final_response is None:
            # Nobody else would ever answer it: its client's connection waits for the final response.
            self.invariants.record(
                InvariantViolation.CLOSED_UNANSWERED, request=pending.id, reason="its scheduler forgot it"
            )
            self.finish(pending, final_responses.scheduler_failed())
        self.after_request(pending)
        if not self.requests:
            self.idle.set()
            self.idle = anyio.Event()

    # Responses.

    def stream_started(self, pending: RequestT, attempt: int, sent_at: int) -> None:
        """An attempt's first token has come; the scheduler is told of it before the client."""
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
        """Awaits a send to the client; one that does not read in time counts as disconnected."""
        try:
            await sending
        except (OSError, TimeoutError):
            self.client_disconnected(pending)
            await anyio.lowlevel.checkpoint()

    # Timers.

    def timer_fired(self, timer: ExecutorTimer) -> None:
        """Does what a timer was set for."""
        match timer:
            case DeadlineGuardTimer(request):
                self._deadline_guard_fired(request)
            case ReleaseCheckTimer(request):
                self.release_check.timer_fired(request)
            case SchedulerTimer(cell, token):
                self.notify_scheduler(
                    self.scheduler_named(cell), timer.request, CellScheduler.timer_fired, token
                )

    def _deadline_guard_fired(self, request: int) -> None:
        pending = self.requests.get(request)
        if pending is None or self.deadline_guard.defer(pending):
            return
        if not self.is_guarded(pending) or not self.finish(pending, final_responses.out_of_time()):
            return
        # A response that the client takes whole may have started: the scheduler has done its part then.
        if not pending.stream_started:
            self.deadline_guard.log_answer(pending, self.log)
        self.disconnect(pending)
