"""The open requests of an executor and the objects that all of its parts share."""

from __future__ import annotations

from abc import abstractmethod
from collections import Counter
from collections.abc import Callable

from runspool.discovery.endpoint_tracker import EndpointTracker
from runspool.limits.connection_resources import ConnectionResources
from runspool.limits.peer_limits import PeerLimitMonitor
from runspool.logs import RateLimitedLog
from runspool.scheduling.request_lifecycle import InvariantMonitor, InvariantViolation
from runspool.scheduling.settings import RoutingSettings
from runspool.service import final_responses
from runspool.service.cell_scheduler import CellScheduler
from runspool.service.clock import now, wall_clock_offset_ms
from runspool.service.deadline_guard import DeadlineGuard
from runspool.service.endpoint_registry import EndpointRegistry
from runspool.service.pending_request import FinalResponse, RequestT, ResponseKind
from runspool.service.protocol_hooks import ProtocolHooks
from runspool.service.start_time_converter import StartTimeConverter
from runspool.service.task_spawner import TaskSpawner
from runspool.service.timer_queue import ExecutorTimer, TimerQueue


class RequestExecutorBase(TaskSpawner, ProtocolHooks[RequestT]):
    """The open requests, their timers and final responses, and the known engines.

    It is the base of RequestExecutor, which carries out the scheduler's actions. All times are in tenths of a
    millisecond on the front's clock. `shutdown_deadline` is when the process may be killed, 0 if no shutdown
    was requested.
    """

    def __init__(
        self,
        settings: RoutingSettings,
        engine_types: dict[str, int],
        zones: dict[str, int],
    ) -> None:
        """Initialize without requests; `engine_types` and `zones` map configured names to their indices."""
        super().__init__()
        self.settings = settings
        self.rate_limited_log = RateLimitedLog()
        self.invariants = InvariantMonitor(self._report_violation)
        start_times = StartTimeConverter(lambda: wall_clock_offset_ms())
        self.endpoint_registry = EndpointRegistry(settings, engine_types, zones, start_times)
        # Names, addresses and roles of the engines for attempts, by engine index.
        self.endpoints = self.endpoint_registry.endpoints
        # The scheduler's descriptions of the same engines, by engine name.
        self.engine_records = self.endpoint_registry.engine_records
        self.endpoint_tracker = EndpointTracker()
        self.timers: TimerQueue[ExecutorTimer] = TimerQueue(self.timer_fired)
        self.deadline_guard = DeadlineGuard(self.timers, settings.response_slack)
        self.requests: dict[int, RequestT] = {}
        self.shutdown_deadline = 0
        self.counts: Counter[str] = Counter()
        self.limit_monitor = PeerLimitMonitor(self.counts)
        self.connection_resources = ConnectionResources(self.limit_monitor)

    @abstractmethod
    def timer_fired(self, timer: ExecutorTimer) -> None:
        """Handle an expired timer."""

    # Responses.

    def finish(self, pending: RequestT, final: FinalResponse) -> bool:
        """Set and count the final response and return True; return False if there already is one."""
        if not pending.finish(final):
            return False
        if not pending.lifecycle.mark_answered():
            self.invariants.record(InvariantViolation.ANSWERED_TWICE, request=pending.id, reason=final.code)
        self.counts[final.kind.value] += 1
        if final.kind is not ResponseKind.SUCCEEDED:
            self.rate_limited_log.info(
                "request_ended",
                request=pending.id,
                how=final.kind.value,
                reason=final.code,
                attempts=pending.attempt_count,
                begun=pending.stream_started,
                left=pending.deadline - now(),
            )
        return True

    def client_disconnected(self, pending: RequestT) -> None:
        """Record that the client has disconnected, cancel the current attempt and notify the scheduler."""
        pending.lifecycle.mark_client_disconnected()
        if self.finish(pending, final_responses.client_disconnected()):
            self.cancel_remaining_work(pending)

    def cancel_remaining_work(self, pending: RequestT) -> None:
        """Cancel the attempt of a request that has its final response, and notify the scheduler.

        The client has disconnected, or the deadline guard has answered the request. The scheduler treats both
        as a disconnect.
        """
        pending.cancel_attempt()
        self.notify_scheduler(
            self.scheduler_for(pending), pending.index, CellScheduler.client_disconnected, pending.index
        )

    # Scheduler failures and invariant violations.

    def notify_scheduler(
        self,
        scheduler: CellScheduler | None,
        request: int,
        event: Callable[..., None],
        *details: object,
    ) -> None:
        """Call the scheduler method `event` with `details`; do nothing if the scheduler is None (closed).

        If the scheduler raises an exception, only the request with index `request` is affected: it is ended
        as indeterminate.
        """
        if scheduler is None:
            return
        try:
            event(scheduler, *details)
        except Exception as error:  # noqa: BLE001 - an error in one request must not affect the others
            self.handle_scheduler_failure(scheduler, request, error)

    def handle_scheduler_failure(
        self, scheduler: CellScheduler | None, request: int, error: Exception
    ) -> None:
        """End a request on which a scheduler raised an exception.

        The client receives an indeterminate response, the attempt in progress is cancelled, and the prefill
        state is released.
        """
        pending = self.requests.get(request)
        self.log.exception("scheduler_failed", request=pending and pending.id, fault=repr(error))
        if pending is not None:
            self.finish(pending, final_responses.scheduler_failed())
            pending.cancel_attempt()
            self.release_prefill_state(pending)
        if scheduler is not None:
            scheduler.abandon(request)

    def _report_violation(self, violation: InvariantViolation, details: dict[str, object]) -> None:
        self.counts[f"violation_{violation.value}"] += 1
        self.log.error("invariant_violated", rule=violation.value, **details)
