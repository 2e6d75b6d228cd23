"""A node's shutdown: it goes on accepting for a while, then waits until every request has been answered.

Durations are in tenths of a millisecond unless the name says otherwise.
"""

from __future__ import annotations

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
MAX_SHUTDOWN_SECONDS = 60.0  # after accepting has ended, that running streams may take to finish
POLL_SECONDS = 0.02
MAX_LOGGED_REQUESTS = 20


class GracefulShutdown:
    """Brings a node to the point where it can end without losing a request."""

    def __init__(self, config: NodeConfig, executor: NodeExecutor, connections: ClientConnections) -> None:
        self.config = config
        self.executor = executor
        self.connections = connections
        self.log = structlog.get_logger()

    async def run(self) -> None:
        """Returns once nothing is in progress, or after MAX_SHUTDOWN_SECONDS without new requests.

        The listener must stay open until this returns: the kernel accepts connections for it, and their
        clients count them as accepted. Cancelled, it leaves the requests in progress to the caller.
        """
        executor = self.executor
        started = now()
        deadline = started + self._time_to_answer()
        accept_until = started + self._accept_duration(started, deadline)
        self._log_stopping(accept_until, deadline)
        executor.begin_shutdown(deadline)
        await anyio.sleep(max(0, accept_until - now()) / UNITS_PER_SECOND)
        executor.closing = True
        self.log.info("node_accepting_ended", **self._open_counts())
        with anyio.move_on_after(MAX_SHUTDOWN_SECONDS):
            with anyio.move_on_after((deadline - now()) / UNITS_PER_SECOND) as in_time:
                await self._wait_until_idle()
            if in_time.cancelled_caught:
                self._log_timeout()
                # Deadlines may lie beyond the kill. Answer these requests and release their engine state
                # before it comes.
                executor.fail_all(begun=False)
                await self._wait_until_idle()

    def _log_stopping(self, accept_until: int, deadline: int) -> None:
        self.log.info(
            "node_stopping",
            node=self.config.name,
            **self._open_counts(),
            accept_until_ms=(accept_until - now()) / TENTHS,
            answer_until_ms=(deadline - now()) / TENTHS,
            kill_expected_ms=(deadline + KILL_MARGIN - now()) / TENTHS,
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

    def _accept_duration(self, started: int, deadline: int) -> int:
        """How long new requests are still accepted.

        Where deadlines are short there is hardly time for any, yet new connections still come, so it has a
        lower bound. Where streams cannot be moved to another engine it is no more than that, as a stream
        accepted late could still be running when the kill comes.
        """
        if self.executor.settings.streams_can_resume:
            return max(MIN_ACCEPT_DURATION, deadline - LAST_REQUEST_MARGIN - started)
        return MIN_ACCEPT_DURATION

    async def _wait_until_idle(self) -> None:
        while True:
            self._close_waiting_connections()
            if not self._in_progress():
                return
            await anyio.sleep(POLL_SECONDS)

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
