"""An internal error of the node fails at most the request in which it happens."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from runspool.node.executor import PendingNodeRequest
from runspool.node.request_handler import RequestHandler
from runspool.service.timer_queue import SchedulerTimer
from tests.node_platform.client import post
from tests.node_platform.engine import never_responds
from tests.node_platform.inspection import wait_until
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
PAIR = {"r": "prefill", "w": "decode"}


async def test_an_error_in_a_background_task_fails_no_request(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    async with platform.open_in_process() as server:
        errors = []

        def fails(*arguments: Any) -> None:
            errors.append(arguments)
            raise RuntimeError("an error of the program")

        on_timer = server.executor.timers.on_timer
        receive = server.discovery.listener.receive
        server.executor.timers.on_timer = fails
        server.discovery.listener.receive = fails  # type: ignore[method-assign, assignment]
        server.executor.timers.schedule(0, SchedulerTimer("node", "0.0"))
        platform.publish_states()
        server.executor.engine_client.watchdog.watch(0, fails).waiting_since = 1
        await wait_until(lambda: len(errors) >= 3)
        server.executor.timers.on_timer = on_timer
        server.discovery.listener.receive = receive  # type: ignore[method-assign]
        assert (await platform.send_request(post("q1"))).complete
        assert not platform.node_task.done()


async def test_an_error_after_an_attempt_fails_only_its_request(tmp_path: Path) -> None:
    platform = Platform(tmp_path, PAIR)
    async with platform.open_in_process() as server:
        node = server.executor
        after_attempt = node.after_attempt

        def fails(pending: PendingNodeRequest, *arguments: Any) -> None:
            if pending.id == "bad":
                raise RuntimeError("an error of the program")
            after_attempt(pending, *arguments)

        node.after_attempt = fails  # type: ignore[method-assign, assignment]
        assert (await platform.send_request(post("bad"))).status == 500
        assert (await platform.send_request(post("q1"))).complete
        assert not node.requests and not platform.node_task.done()


async def test_an_error_while_a_response_is_sent_is_answered_with_status_500(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fails(*arguments: Any) -> None:
        raise RuntimeError("an error of the program")

    platform = Platform(tmp_path, PAIR)
    async with platform.open_in_process() as server:
        platform.engines["r"].scripts = [never_responds]
        monkeypatch.setattr(RequestHandler, "_send_final", fails)
        response = await platform.send_request(post("q1", req_deadline="300m"))
        assert (response.status, response.headers["connection"], response.complete) == (500, "close", True)
        monkeypatch.undo()
        assert (await platform.send_request(post("q2"))).complete
        assert not platform.node_task.done() and not server.executor.requests
