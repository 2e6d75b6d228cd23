"""A node's shutdown: it goes on accepting for a while, then waits until every request has been answered.

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
from runspool.units import TENTHS, UNITS_PER_SECOND

# The platform kills a node no sooner after SIGTERM than its longest deadline, counted up to a bound, and then
# KILL_DELAY.
MAX_COUNTED_DEADLINE = 30_000
KILL_DELAY = 7_000
KILL_MARGIN = 5_000  # before the kill: by then every request must be answered and all engine state released
LAST_REQUEST_MARGIN = 8_000  # before that: requests accepted until then can still be answered
MIN_ACCEPT_DURATION = 5_000  # after SIGTERM: clients go on opening new connections for up to 400 ms
FIRST_REQUEST_GRACE = 2_500  # that a new connection has for its first request before a shutdown closes it
DECISION_GRACE = 1_000  # after the time for answers, in which decisions still move streams by themselves
MAX_SHUTDOWN_DURATION = 600_000  # after SIGTERM, that streams which cannot be resumed may take to finish
FINAL_WRITE_DURATION = 10_000  # that the final responses given at its end may take to be written
POLL_SECONDS = 0.02
MAX_LOGGED_REQUESTS = 20


class GracefulShutdown:
    """Brings a node to the point where it can end without losing a request."""

    def __init__(
        self, config: NodeConfig, executor: NodeExecutor, connections: ClientConnections, requested_at: int
    ) -> None:
        """`requested_at` is when the signal came, from which the platform counts to the kill."""
        self.config = config
        self.executor = executor
        self.connections = connections
        self.requested_at = requested_at
        self.deadline = requested_at + self._time_to_answer()
        self.log = structlog.get_logger()

    async def run(self, accepts_requests: bool = True) -> None:
        """Returns once nothing is in progress, or after MAX_SHUTDOWN_DURATION without new requests.

        With `accepts_requests` new ones are accepted for a while, else they are refused for as long as
        clients still open connections. The listener must stay open until this returns: the kernel accepts
        connections for it, and their clients count them as accepted. Cancelled,
        it leaves the requests in progress to the caller.
        """
        accept_until = self._accept_until() if accepts_requests else self.requested_at + MIN_ACCEPT_DURATION
        self.executor.closing = not accepts_requests
        self._log_stopping(accept_until)
        self.executor.begin_shutdown(self.deadline)
        await anyio.sleep(max(0, accept_until - now()) / UNITS_PER_SECOND)
        self.executor.closing = True
        self.log.info("node_accepting_ended", **self._open_counts())
        if not await self._becomes_idle(self.deadline):
            await self._end_what_is_open()

    async def _end_what_is_open(self) -> None:
        """Ends all that may not be open when the kill comes, whatever decisions did about it."""
        self._log_timeout()
        # Deadlines may lie beyond the kill. Answer these requests and release their engine state before it.
        self.executor.last_resort.end_open_requests(streams=False)
        if await self._becomes_idle(now() + DECISION_GRACE):
            return
        # After a pause of the process, the timers of decisions are due in this moment too, and go first.
        await anyio.sleep(POLL_SECONDS)
        last_look = self.requested_at + MAX_SHUTDOWN_DURATION
        if await self._becomes_idle(last_look, self._end_open_requests):
            return
        self.executor.last_resort.end_open_requests(process_ends=True)
        await self._becomes_idle(last_look + FINAL_WRITE_DURATION)

    def _end_open_requests(self) -> None:
        self.executor.last_resort.end_open_requests()
        for handler in list(self.connections.handlers):
            handler.refuse_incomplete()

    async def _becomes_idle(self, until: int, enforce: Callable[[], None] = lambda: None) -> bool:
        """Waits until nothing is in progress, and calls `enforce` before each look; False after `until`."""
        while True:
            self._close_waiting_connections()
            enforce()
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
            accept_until_ms=(accept_until - now()) / TENTHS,
            answer_until_ms=(self.deadline - now()) / TENTHS,
            kill_expected_ms=(self.deadline + KILL_MARGIN - now()) / TENTHS,
            requested_ms_ago=(now() - self.requested_at) / TENTHS,
            streams_can_resume=self.executor.settings.streams_can_resume,
        )

    def _open_counts(self) -> dict[str, int]:
        return {
            "requests": len(self.executor.requests),
            "streams": sum(pending.stream_started for pending in self.executor.requests.values()),
            "connections": len(self.connections.handlers),
            "answers": self.connections.busy_handlers,
            "releases": self.executor.releases_in_progress,
        }

    def log_stopped(self) -> None:
        """Logs the end of the shutdown, with what is still open and the counts of responses."""
        self.log.info(
            "node_stopped",
            node=self.config.name,
            open=self._open_counts(),
            counts=dict(self.executor.counts),
        )

    def _time_to_answer(self) -> int:
        longest = max(self.config.settings.deadlines) or MAX_COUNTED_DEADLINE
        return min(MAX_COUNTED_DEADLINE, longest) + KILL_DELAY - KILL_MARGIN

    def _accept_until(self) -> int:
        """Until when new requests are still accepted.

        Where deadlines are short there is hardly time for any, yet new connections still come, so it has a
        lower bound. Where streams cannot be moved to another engine it is no more than that, as a stream
        accepted late could still be running when the kill comes.
        """
        if self.executor.settings.streams_can_resume:
            return max(self.requested_at + MIN_ACCEPT_DURATION, self.deadline - LAST_REQUEST_MARGIN)
        return self.requested_at + MIN_ACCEPT_DURATION

    def _close_waiting_connections(self) -> None:
        """Connections of which a request has just come are not closed: they serve it, and end then."""
        for handler in list(self.connections.handlers):
            # A new connection's first request follows a moment later. Closed before, the client would have no
            # answer from any node.
            if not handler.first or now() - handler.idle_since > FIRST_REQUEST_GRACE:
                handler.close_if_waiting()

    def _in_progress(self) -> bool:
        return bool(
            self.connections.busy_handlers
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
