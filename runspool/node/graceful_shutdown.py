"""Shuts a node down: it continues to accept requests for a while, then waits until all have been answered.

Durations are in tenths of a millisecond unless the name says otherwise.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
import structlog

from runspool.node.client_connections import ClientConnections
from runspool.node.config import NodeConfig
from runspool.node.executor import NodeExecutor
from runspool.service.clock import now
from runspool.units import TENTHS_PER_MS, TENTHS_PER_SECOND

# After SIGTERM, the platform waits at least for the longest deadline of its request classes, limited to
# MAX_DEADLINE_ALLOWANCE, and then for KILL_DELAY before it kills a node.
MAX_DEADLINE_ALLOWANCE = 30_000
KILL_DELAY = 7_000
# Time before the expected kill at which every request must have been answered and all state at engines
# released: the shutdown's deadline.
KILL_MARGIN = 5_000
# Time before the shutdown's deadline at which the node stops accepting requests, so that it can still answer
# those accepted last.
LAST_REQUEST_MARGIN = 8_000
# Shortest time after SIGTERM during which requests are accepted: clients open new connections for up to
# 400 ms after SIGTERM.
MIN_ACCEPT_DURATION = 5_000
# During the shutdown, a new connection without a request is closed only after this time.
FIRST_REQUEST_GRACE = 2_500
# Time after the shutdown's deadline in which the scheduler may still end resumable streams by itself, so that
# their clients resume them elsewhere.
SCHEDULER_GRACE = 1_000
# Time after SIGTERM until which streams that cannot be resumed may finish, unless the platform kills the node
# before. The constants above describe the earliest time of the kill; it may come much later.
MAX_SHUTDOWN_DURATION = 600_000
# At MAX_SHUTDOWN_DURATION, all remaining requests get their final responses. This bounds the time for writing
# these responses to the clients.
FINAL_WRITE_DURATION = 10_000
POLL_SECONDS = 0.02  # interval between two checks whether anything is still in progress
MAX_LOGGED_REQUESTS = 20  # maximum number of open requests that are logged when the deadline has passed


class GracefulShutdown:
    """Brings a node into a state in which its process can end without losing a request.

    Attributes:
        config: The configuration of the node.
        executor: The executor of the requests.
        connections: The connections of the clients.
        requested_at: When the shutdown was requested.
        deadline: When every request must have been answered, on the node's clock.
    """

    def __init__(
        self, config: NodeConfig, executor: NodeExecutor, connections: ClientConnections, requested_at: int
    ) -> None:
        """Prepare a shutdown.

        `requested_at` is when SIGTERM was received; the platform measures the time to the kill from then.
        """
        self.config = config
        self.executor = executor
        self.connections = connections
        self.requested_at = requested_at
        self.deadline = requested_at + self._time_to_answer()
        self.log = structlog.get_logger()

    async def run(self, accepts_requests: bool = True) -> None:
        """Shut down; return when nothing is in progress any more.

        At MAX_SHUTDOWN_DURATION, all remaining requests are ended. The listener must stay open until this
        method returns: the kernel accepts connections for it, and clients consider these as accepted by the
        node. If this method is cancelled, the requests in progress are left to the caller.

        Args:
            accepts_requests: Whether new requests are accepted for a while. If not, they are rejected as long
                as clients may still open connections.
        """
        accept_until = self._accept_until() if accepts_requests else self.requested_at + MIN_ACCEPT_DURATION
        self.executor.closing = not accepts_requests
        self._log_stopping(accept_until)
        self.executor.begin_shutdown(self.deadline)
        await anyio.sleep(max(0, accept_until - now()) / TENTHS_PER_SECOND)
        self.executor.closing = True
        self.log.info("node_accepting_ended", **self._open_counts())
        if not await self._wait_until_idle(self.deadline):
            await self._end_open_work()

    async def _end_open_work(self) -> None:
        """End everything that must not be open at the time of the kill, whatever the scheduler decided."""
        self._log_timeout()
        # Requests whose deadlines are later than the kill must be ended, and their state released, before it.
        self.executor.request_terminator.end_open_requests(include_streams=False)
        if await self._wait_until_idle(now() + SCHEDULER_GRACE):
            return
        # If the process was suspended, the scheduler's timers may be due at this moment too. Run them first.
        await anyio.sleep(POLL_SECONDS)
        end_at = self.requested_at + MAX_SHUTDOWN_DURATION
        if await self._wait_until_idle(end_at, self._end_disallowed_requests):
            return
        self.executor.request_terminator.end_open_requests(process_ends=True)
        await self._wait_until_idle(end_at + FINAL_WRITE_DURATION)

    def _end_disallowed_requests(self) -> None:
        """End the requests that must not stay open any longer, and refuse those received only in part."""
        self.executor.request_terminator.end_open_requests()
        for handler in list(self.connections.handlers):
            handler.refuse_incomplete_request()

    async def _wait_until_idle(self, until: int, before_check: Callable[[], None] = lambda: None) -> bool:
        """Wait until nothing is in progress; return False if that is not so by `until`.

        `before_check` is called before each check.
        """
        while True:
            self._close_waiting_connections()
            before_check()
            if not self._in_progress():
                return True
            if now() >= until:
                return False
            await anyio.sleep(POLL_SECONDS)

    def _log_stopping(self, accept_until: int) -> None:
        self.log.info(
            "node_stopping",
            node=self.config.name,
            **self._open_counts(),
            accept_until_ms=(accept_until - now()) / TENTHS_PER_MS,
            answer_until_ms=(self.deadline - now()) / TENTHS_PER_MS,
            kill_expected_ms=(self.deadline + KILL_MARGIN - now()) / TENTHS_PER_MS,
            requested_ms_ago=(now() - self.requested_at) / TENTHS_PER_MS,
            streams_can_resume=self.executor.settings.streams_can_resume,
        )

    def _open_counts(self) -> dict[str, int]:
        return {
            "requests": len(self.executor.requests),
            "streams": sum(pending.stream_started for pending in self.executor.requests.values()),
            "connections": len(self.connections.handlers),
            "answers": self.connections.busy_handler_count,
            "releases": self.executor.releases_in_progress,
        }

    def log_stopped(self) -> None:
        """Log the end of the shutdown with the numbers of open objects and the node's counters."""
        self.log.info(
            "node_stopped",
            node=self.config.name,
            open=self._open_counts(),
            counts=dict(self.executor.counts),
            longest_guard_delay_ms=self.executor.guard_delays.longest / TENTHS_PER_MS,
        )

    def _time_to_answer(self) -> int:
        longest = max(self.config.settings.deadlines) or MAX_DEADLINE_ALLOWANCE
        return min(MAX_DEADLINE_ALLOWANCE, longest) + KILL_DELAY - KILL_MARGIN

    def _accept_until(self) -> int:
        """Return the time until which new requests are accepted.

        If the deadlines are short, there is hardly any time left for new requests. Clients nevertheless open
        new connections, so the time has a lower bound. If streams cannot be resumed at another node, the
        lower bound is used: a stream that is accepted late could still be running at the time of the kill.
        """
        if self.executor.settings.streams_can_resume:
            return max(self.requested_at + MIN_ACCEPT_DURATION, self.deadline - LAST_REQUEST_MARGIN)
        return self.requested_at + MIN_ACCEPT_DURATION

    def _close_waiting_connections(self) -> None:
        """Close the connections that wait for a request.

        A connection on which a request has just arrived is not closed; it ends after it has served the
        request.
        """
        for handler in list(self.connections.handlers):
            # The first request on a new connection may arrive with a delay. If the connection were closed
            # before, the client would not get a response from any node.
            if not handler.awaits_first_request or now() - handler.idle_since > FIRST_REQUEST_GRACE:
                handler.stop_waiting_for_request()

    def _in_progress(self) -> bool:
        return bool(
            self.connections.busy_handler_count
            or self.connections.handlers
            or self.executor.requests
            or self.executor.releases_in_progress
        )

    def _log_timeout(self) -> None:
        self.log.warning(
            "node_stop_timed_out",
            **self._open_counts(),
            first_requests={
                pending.id: [
                    pending.stream_started,
                    pending.attempt_count,
                    pending.final_response is not None,
                    pending.deadline - now(),
                ]
                for pending in list(self.executor.requests.values())[:MAX_LOGGED_REQUESTS]
            },
        )
