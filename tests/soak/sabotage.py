"""Runs a node that violates one rule, to test that a soak detects it: `python -m tests.soak.sabotage NAME`.

NAME is the name of the rule. Where a rule can be violated in several ways, a dot and the name of the way
follow.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import anyio

from runspool.engines import http_exchange as exchange
from runspool.limits.answer_progress import AnswerProgress
from runspool.limits.memory_account import MemoryAccount
from runspool.limits.memory_watch import MemoryWatch
from runspool.node import __main__ as program
from runspool.node import discovery_client, search_backoff, server
from runspool.node import engine_client as calls
from runspool.node.client_connections import ClientConnections
from runspool.node.event_stream import EventStreamParser
from runspool.node.executor import NodeExecutor
from runspool.node.graceful_shutdown import GracefulShutdown
from runspool.node.request_ids import RequestIds
from runspool.node.state_releaser import StateReleaser
from runspool.scheduling.request_lifecycle import AttemptPolicy, DenialReason, RequestLifecycle
from runspool.scheduling.scheduler import Scheduler
from runspool.scheduling.types import Idempotency
from runspool.service import accept_loop
from runspool.service.executor_base import RequestExecutorBase
from runspool.service.pending_request import ResponseKind
from runspool.service.request_executor import RequestExecutor
from runspool.transport.tcp import TcpConnection
from runspool.wire.body_framing import BodyFraming


def drop_rejections() -> None:
    """Send no rejections and no indeterminate responses."""
    original = RequestExecutor.finish

    def finish_streams_only(self: Any, pending: Any, final: Any) -> bool:
        return final.kind not in (ResponseKind.REJECTED, ResponseKind.INDETERMINATE) and original(
            self, pending, final
        )

    RequestExecutor.finish = finish_streams_only  # type: ignore[method-assign]


def repeat_attempts() -> None:
    """Repeat attempts of every request class, as if all classes were idempotent."""
    original = Scheduler.__init__

    def init_with_idempotent_classes(self: Scheduler, terms: Any, seed: int) -> None:
        for row in terms.request_classes:
            row.idempotency = Idempotency.IDEMPOTENT
        original(self, terms, seed)

    Scheduler.__init__ = init_with_idempotent_classes  # type: ignore[method-assign, assignment]
    RequestLifecycle.deny_attempt = lambda *arguments: None  # type: ignore[method-assign]
    RequestLifecycle.deny_rejection = lambda *arguments: None  # type: ignore[method-assign]


def ignore_drains() -> None:
    """Apply only the first endpoint list."""
    original = RequestExecutor.endpoints_changed
    received_lists: list[Any] = []

    def apply_first_list(self: Any, entries: Any) -> None:
        if not received_lists:
            original(self, entries)
        received_lists.append(entries)

    RequestExecutor.endpoints_changed = apply_first_list  # type: ignore[method-assign, assignment]


def release_nothing() -> None:
    """Make no release calls."""

    async def withdraw_only(self: StateReleaser, release: Any) -> None:
        self.withdraw(release.request)

    StateReleaser.release = withdraw_only  # type: ignore[method-assign]


def ignore_disconnects() -> None:
    """Ignore that clients disconnect."""
    RequestExecutorBase.client_disconnected = lambda *arguments: None  # type: ignore[method-assign]
    TcpConnection.has_peer_left = lambda self: False  # type: ignore[method-assign]


def extend_deadlines() -> None:
    """Send deadlines to engines that are one second too long."""
    original = calls._encode_request
    calls._encode_request = lambda request, remaining: original(request, remaining + 10_000)


def change_bodies() -> None:
    """Change the body of every twentieth request."""
    original = exchange.encode_request
    encoded_count = 0

    def encode_with_changes(method: str, target: str, headers: Any, body: bytes = b"") -> tuple[bytes, bytes]:
        nonlocal encoded_count
        encoded_count += 1
        body = body.replace(b"prompt", b"promqt") if encoded_count % 20 == 0 else body
        return original(method, target, headers, body)

    calls.encode_request = encode_with_changes  # type: ignore[attr-defined]


def exit_unexpectedly() -> None:
    """Exit at the first connection that is served later than three seconds after the start."""
    original = ClientConnections.serve
    began = time.monotonic()

    async def serve_or_exit(self: Any, connection: Any) -> None:
        if time.monotonic() - began > 3.0:
            os._exit(3)
        await original(self, connection)

    ClientConnections.serve = serve_or_exit  # type: ignore[method-assign]


def leave_streams_open() -> None:
    """End no stream in a shutdown, neither by a scheduling decision nor by the request terminator."""
    original = RequestLifecycle.deny_staying_open

    def deny_unanswered_only(self: RequestLifecycle, process_ends: bool) -> DenialReason | None:
        return None if self.streaming else original(self, process_ends)

    RequestLifecycle.deny_staying_open = deny_unanswered_only  # type: ignore[method-assign]
    NodeExecutor.migrate_stream = lambda *arguments: None  # type: ignore[method-assign]


def exit_at_shutdown() -> None:
    """Exit half a second after SIGTERM, even if requests are open."""

    async def exit_soon(self: GracefulShutdown, accepts_requests: bool = True) -> None:
        await anyio.sleep(0.5)
        os._exit(0)

    GracefulShutdown.run = exit_soon  # type: ignore[method-assign]


def cut_all_streams() -> None:
    """Treat every stream as resumable, so that the request terminator cuts it in a shutdown."""
    original = AttemptPolicy.for_class.__func__  # type: ignore[attr-defined]
    AttemptPolicy.for_class = classmethod(  # type: ignore[method-assign, assignment]
        lambda cls, *arguments: replace(original(cls, *arguments), stream_can_resume=True)
    )


def give_up_late_answers() -> None:
    """Abandon every call for the endpoint list after 0.4 s."""
    discovery_client.MAX_CALL_DURATION = 4_000


def ask_rarely() -> None:
    """Call an agent that does not respond only every four seconds."""
    search_backoff.MIN_INTERVAL = search_backoff.MAX_INTERVAL


def ask_without_pause() -> None:
    """Call an agent that does not respond a hundred times a second."""
    search_backoff.MIN_INTERVAL = 100
    search_backoff.MAX_INTERVAL = 100


def ask_often() -> None:
    """Call an agent that does not respond ten times a second."""
    search_backoff.MIN_INTERVAL = 1_000
    search_backoff.MAX_INTERVAL = 1_000


def count_every_event() -> None:
    """Take every event of a stream for progress."""

    def count(self: AnswerProgress, choices: Any, has_usage: bool) -> None:
        self.count += 1

    AnswerProgress.record_event = count  # type: ignore[method-assign]


def ignore_repeated_events() -> None:
    """Take an event with the same data as the one before it for no progress."""
    original = EventStreamParser._parse_data

    def parse_unless_repeated(self: Any, data: bytes) -> None:
        former = self.progress.count
        original(self, data)
        if data == getattr(self.progress, "last_data", b""):
            self.progress.count = former
        self.progress.last_data = data

    EventStreamParser._parse_data = parse_unless_repeated  # type: ignore[method-assign]


def believe_stated_sizes() -> None:
    """Take every size that a chunk states for true."""
    original = BodyFraming.follow

    def follow_without_limit(self: BodyFraming, data: bytes, max_part_bytes: int) -> int | None:
        return original(self, data, sys.maxsize)

    BodyFraming.follow = follow_without_limit  # type: ignore[method-assign]


def read_nothing_at_start() -> None:
    """Accept connections only after the wait for the first endpoint list."""
    original = accept_loop.accept_connections

    async def accept_later(*arguments: Any) -> None:
        await anyio.sleep(server.FIRST_LIST_WAIT_SECONDS)
        await original(*arguments)

    server.accept_connections = accept_later  # type: ignore[assignment, attr-defined]


def forget_ids() -> None:
    """Forget an id with its request."""
    RequestIds.is_known = lambda self, request_id, now: request_id in self.open  # type: ignore[method-assign]


def hold_without_limit() -> None:
    """Set no limit to what connections hold."""
    MemoryAccount.record = lambda *arguments: None  # type: ignore[method-assign]
    MemoryWatch.check = lambda self: None  # type: ignore[method-assign]


SABOTAGE: dict[str, Callable[[], None]] = {
    "lost": drop_rejections,
    "stopped": leave_streams_open,
    "stopped.exits": exit_at_shutdown,
    "lost.cuts": cut_all_streams,
    "twice": repeat_attempts,
    "drain": ignore_drains,
    "drain.gives_up": give_up_late_answers,
    "drain.asks_rarely": ask_rarely,
    "calls": ask_without_pause,
    "calls.owed": ask_often,
    "held": release_nothing,
    "gone": ignore_disconnects,
    "deadline": extend_deadlines,
    "foreign": change_bodies,
    "alive": exit_unexpectedly,
    "lost.waits": count_every_event,
    "lost.repeats": ignore_repeated_events,
    "lost.believes": believe_stated_sizes,
    "lost.starts": read_nothing_at_start,
    "twice.forgets": forget_ids,
    "memory": hold_without_limit,
}

if __name__ == "__main__":
    SABOTAGE[sys.argv[1]]()
    sys.exit(program.main())
