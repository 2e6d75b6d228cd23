"""Attempts of a real front: which are retried after a failure, and which end in an error."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest

from runspool.transport import tcp
from tests.simulation.leaks import leaked_state
from tests.small_fleet import SmallFleet

pytestmark = pytest.mark.anyio
PREFILL_AND_DECODE = ["prefill", "decode"]
TWO_DECODE_ENGINES = ["prefill", "decode", "decode"]


async def test_an_at_most_once_request_that_may_have_executed_fails_without_a_retry(
    tmp_path: Path,
) -> None:
    async with SmallFleet(tmp_path, TWO_DECODE_ENGINES).open() as fleet:
        for engine in fleet.engines[1:]:
            engine.set_fault("row", row="reset_after", share=1.0)
        response = await fleet.send_request("book")
        assert (response.status, response.error["type"]) == (424, "scrapped")
        # Client libraries retry 408, 409, 429 and 5xx automatically, so this error must have another status.
        assert response.headers["x-should-retry"] == "false"
        assert len(fleet.recorded_events("arrived", stage="write")) == 1


async def test_an_at_most_once_request_that_did_not_execute_is_retried(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, TWO_DECODE_ENGINES).open() as fleet:
        for engine in fleet.engines[1:]:
            engine.set_fault("row", row="full_503", share=0.6)
        response = await fleet.send_request("book")
        assert response.status in (200, 503)  # served after retries or rejected, never failed
        assert len(fleet.recorded_events("ran")) <= 1


async def test_a_stream_interrupted_in_the_middle_ends_in_one_error_event(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        fleet.engines[1].set_fault("row", row="reset_stream", share=1.0)
        response = await fleet.send_request(output_tokens=50)
        assert response.status == 200
        assert b'"type":"scrapped"' in response.body.split(b"\n\n")[-2]
        assert b"[DONE]" not in response.body


async def test_an_attempt_still_connecting_as_its_engine_drains_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with SmallFleet(tmp_path, TWO_DECODE_ENGINES).open() as fleet:
        connecting, proceed = anyio.Event(), anyio.Event()
        original_connect = tcp.connect
        chosen: list[int] = []

        async def delayed_connect(address: tuple[str, int], source: str | None) -> tcp.TcpConnection:
            if address[1] != fleet.plan.engines[0].port and not chosen:
                chosen.append([planned.port for planned in fleet.plan.engines].index(address[1]))
                connecting.set()
                await proceed.wait()
            return await original_connect(address, source)

        monkeypatch.setattr("runspool.engines.connection_pool.connect", delayed_connect)
        responses = []

        async def make_request() -> None:
            responses.append(await fleet.send_request("book"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(make_request)
            with anyio.fail_after(10):
                await connecting.wait()
                fleet.publish_state(chosen[0], "draining")
                while fleet.front_server.front.first_driver.scheduler.engines[chosen[0]].ready:
                    await anyio.sleep(0.005)
            proceed.set()
        assert responses[0].status == 200
        assert {event["engine"] for event in fleet.recorded_events("arrived", stage="write")} == {
            f"e{3 - chosen[0]}"
        }


async def test_a_client_can_disconnect_during_the_check_for_a_poisonous_request(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        front, checking = fleet.front_server.front, anyio.Event()

        async def never_answers(address: tuple[str, int]) -> bool:
            checking.set()
            await anyio.sleep_forever()
            return True

        monkeypatch.setattr(front.engine_client, "accepts_connections", never_answers)
        monkeypatch.setattr("runspool.service.engine_check.ENGINE_CHECK_TIMEOUT", 60.0)
        fleet.engines[1].set_fault("row", row="reset_after", share=1.0)
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.send_request)
                await checking.wait()
                tasks.cancel_scope.cancel()
            while front.requests:
                await anyio.sleep(0.01)
        assert front.counts["client_disconnected"] == 1
        assert leaked_state(front) == []
        assert not front.counts["poisonous"]


async def test_an_error_in_the_scheduler_fails_only_one_request(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        scheduler = fleet.front_server.front.first_driver.scheduler
        original = scheduler.select_engine
        scheduler.select_engine = lambda *_: 1 // 0  # type: ignore[method-assign, assignment]
        response = await fleet.send_request()
        assert (response.status, response.error["type"]) == (424, "scrapped")
        scheduler.select_engine = original  # type: ignore[method-assign]
        assert (await fleet.send_request()).status == 200
        assert not fleet.front_server.front.requests


async def test_an_error_while_a_response_streams_cancels_its_attempt(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        front = fleet.front_server.front
        monkeypatch.setattr("runspool.scheduling.attempt_accounting.update_estimate", lambda *_: 1 // 0)
        response = await fleet.send_request(output_tokens=200)
        if response.status == 200:
            assert b"scrapped" in response.body
        else:
            assert response.error["type"] == "scrapped"

        def is_work_left() -> bool:
            engines_work = any(engine.active_requests for engine in fleet.engines)
            return bool(front.requests or leaked_state(front) or engines_work)

        with anyio.fail_after(10):
            while is_work_left():
                await anyio.sleep(0.01)
        assert front.counts["accepted"] == front.counts["indeterminate"] == 1
