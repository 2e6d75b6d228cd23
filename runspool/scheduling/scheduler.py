"""The scheduler of one cell at one front, which decides on all attempts of a request and on its response.

A request needs a prefill and a decode, at one engine or at two; attempts that fail may be repeated.

To use it, create a `Scheduler` from the routing settings and a seed, and set `now` before each call. Pass
endpoint changes to `update_endpoints()`. Run the generators that `handle_request()`, `run_background_task()`
and `run_shutdown()` return: they yield actions (runspool/scheduling/actions.py) and are resumed with the
results.

The other modules of this package make the decisions, as functions that operate on a `FrontState`.
docs/design.md describes these mechanisms and when each takes effect. Times are tenths of a millisecond.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

from runspool.scheduling.actions import (
    Action,
    AwaitCompletion,
    FailIndeterminate,
    MigrateStream,
    ReleaseState,
    Sleep,
    StartAttempt,
    SubscribeToEndpoints,
)
from runspool.scheduling.admission import (
    admit_prefill,
    begin_request,
    enqueue_if_not_first,
    leave_queue,
    next_selection_time,
    queue_until_next_selection,
)
from runspool.scheduling.attempt_accounting import (
    record_attempt_outcome,
    record_attempt_start,
    record_stream_end,
    remove_request,
)
from runspool.scheduling.decode_selection import select_decode
from runspool.scheduling.endpoint_updates import apply_endpoint_update
from runspool.scheduling.engine_state import Engine
from runspool.scheduling.front_state import FrontState
from runspool.scheduling.prefill_selection import select_prefill
from runspool.scheduling.request_progress import RequestProgress
from runspool.scheduling.retry_policy import (
    apply_attempt_outcome,
    attempt_timeout,
    final_response,
    may_attempt,
    must_release_before_connect,
    spend_retry_budget,
)
from runspool.scheduling.stream_migration import migrate_before_shutdown, stream_to_migrate
from runspool.scheduling.time_units import SECOND
from runspool.scheduling.types import AttemptOutcome, AttemptStatus, EndpointUpdate, Request

BACKGROUND_INTERVAL = SECOND  # period of the background task


class Scheduler(FrontState):
    """The decisions of one front for one cell; it does no I/O and uses no clock other than `now`."""

    def handle_request(self, request: Request) -> Generator[Action, Any, None]:
        """Yield the actions that serve a request. No state of it is kept, however the generator ends."""
        try:
            if request.request_class is None or 0 < self.engine_index.largest_memory < request.prompt_tokens:
                yield FailIndeterminate()  # a retry would fail as well
            else:
                yield from self._serve(begin_request(self, request))
        except BaseException:
            remove_request(self, request)
            raise
        finally:
            self.prefill_queue = [
                position for position in self.prefill_queue if position.request_index != request.index
            ]

    def _serve(self, progress: RequestProgress) -> Generator[Action, Any, None]:
        """Yield the attempts of a request, including repeated ones, and finally its response."""
        while may_attempt(self, progress):
            if must_release_before_connect(self, progress):
                yield ReleaseState()
                progress.prefill_engine = None
                # Without this pause a prefill that is sent at once could arrive before the release.
                yield Sleep(next_selection_time(self, progress.deadline))
                continue
            if enqueue_if_not_first(self, progress):
                yield Sleep(next_selection_time(self, progress.selection_skipped_until))
                continue
            engine = self.select_engine(progress)
            if engine is None:
                if not (yield from self._wait_for_engine(progress)):
                    break
                continue
            leave_queue(self, progress)
            if not spend_retry_budget(self, progress):
                break
            if (yield from self._attempt(progress, engine)):
                return
        if progress.prefill_engine:
            yield ReleaseState()
        if not progress.request.finished:
            yield final_response(self, progress)

    def _wait_for_engine(self, progress: RequestProgress) -> Generator[Action, Any, bool]:
        """Sleep until an engine is to be selected again; return False if it is too late for the request."""
        if progress.cannot_start_in_time:
            return False
        wake_at = queue_until_next_selection(self, progress)
        if wake_at is None:
            return False
        if progress.reservation_expires_before(wake_at):
            yield ReleaseState()
            progress.prefill_engine = None
        yield Sleep(wake_at)
        return True

    def select_engine(self, progress: RequestProgress) -> Engine | None:
        """Return the engine for the next attempt, or None if none is available now.

        If no engine can start the request in time, this also sets `progress.cannot_start_in_time`; the
        request is then rejected.
        """
        request, failed_engine_ids, first_execution_engine = (
            progress.request,
            progress.failed_engine_ids,
            progress.first_execution_engine,
        )
        if progress.prefill_engine:
            return select_decode(
                self, request, progress.prefill_engine, failed_engine_ids, first_execution_engine
            )
        engine = select_prefill(
            self, request, failed_engine_ids, first_execution_engine, progress.queue_limit
        )
        return admit_prefill(self, progress, engine) if engine else None

    def _attempt(self, progress: RequestProgress, engine: Engine) -> Generator[Action, Any, bool]:
        """Send a request to an engine; return True if its stream started, and has ended."""
        request, prefill_engine, sent_at = progress.request, progress.prefill_engine, self.now
        progress.attempts += 1
        timeout = attempt_timeout(self, progress, engine)
        record_attempt_start(self, request, engine, prefill_engine)
        outcome: AttemptOutcome = yield StartAttempt(engine.id, timeout)
        record_attempt_outcome(self, request, outcome, prefill_engine)
        if outcome.status is AttemptStatus.STREAM_STARTED:
            completion: AttemptOutcome = yield AwaitCompletion()
            record_stream_end(self, request, completion, 0 if prefill_engine else outcome.duration)
            return True
        if apply_attempt_outcome(self, progress, engine, outcome, sent_at):
            yield ReleaseState()
            progress.prefill_engine = None
        return False

    def run_background_task(self) -> Generator[Action, Any, None]:
        """Subscribe to the endpoint list, and migrate streams from overloaded engines; never ends."""
        while True:
            if self.settings.must_subscribe and not self.is_subscribed:
                self.is_subscribed = True
                yield SubscribeToEndpoints()
            yield Sleep(self.now + BACKGROUND_INTERVAL)
            # Each front decides at random, so that all fronts together migrate about one stream per second.
            may_migrate = self.settings.streams_can_resume and self.random() * self.settings.front_count < 1
            if may_migrate and (index := stream_to_migrate(self)) is not None:
                yield MigrateStream(index)

    def run_shutdown(self, deadline: int) -> Generator[Action, Any, None]:
        """Migrate this front's streams before the process may be killed at `deadline`."""
        return migrate_before_shutdown(self, deadline)

    def update_endpoints(self, update: EndpointUpdate) -> None:
        """Apply a change of the endpoint list."""
        apply_endpoint_update(self, update)
