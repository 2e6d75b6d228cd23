"""Disconnects of clients from a real front, and its shutdown."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import anyio
import msgspec
import pytest

from runspool.service.pending_completion import PendingCompletion
from runspool.service.pending_request import FinalResponse, ResponseKind
from runspool.service.response_relay import ResponseRelay
from runspool.wire.completions import parse_completion_request
from tests.small_fleet import SmallFleet

pytestmark = pytest.mark.anyio
PREFILL_AND_DECODE = ["prefill", "decode"]
REQUEST_HEAD = (
    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nRunspool-Tariff: ask\r\nRunspool-Limit-Ms: 5000\r\n"
)


async def test_a_client_that_disconnects_has_its_attempt_cancelled_and_its_state_released(
    tmp_path: Path,
) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        fleet.engines[1].set_fault("hang", on=True)
        raw = msgspec.json.encode({"prompt": "abcd" * 40, "stream": True, "standin": {"try": "t", "out": 5}})
        async with await anyio.connect_tcp("127.0.0.1", fleet.port) as stream:
            await stream.send(REQUEST_HEAD + b"Content-Length: %d\r\n\r\n" % len(raw) + raw)
            await fleet.wait_for_events("arrived", stage="write")
        await fleet.wait_for_events("ended", how="left")
        await fleet.wait_for_events("released")
        while fleet.front_server.front.requests:
            await anyio.sleep(0.01)
        assert fleet.front_server.front.counts["client_disconnected"] == 1


async def test_a_client_that_does_not_read_its_response_counts_as_disconnected(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE, answer_write_ms=300).open() as fleet:
        # Large tokens soon fill all buffers between engine and client.
        fleet.engines[1].token_prefix = "t" * 60_000
        raw = msgspec.json.encode(
            {"prompt": "abcd" * 40, "max_tokens": 900, "stream": True, "standin": {"try": "t", "out": 800}}
        )
        async with await anyio.connect_tcp("127.0.0.1", fleet.port) as stream:
            await stream.send(REQUEST_HEAD + b"Content-Length: %d\r\n\r\n" % len(raw) + raw)
            await fleet.wait_for_events("ended", how="left")
        assert fleet.front_server.front.counts["client_disconnected"] == 1


async def test_engine_data_after_the_final_response_is_dropped(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        front = fleet.front_server.front
        forwarded: list[str] = []

        class RecordingListener:
            async def stream_started(self) -> None:
                forwarded.append("begun")

            async def data_received(self, text: str) -> None:
                forwarded.append(text)

        request = parse_completion_request({"runspool-tariff": "ask"}, b'{"prompt": "x"}', front.config)
        pending = PendingCompletion(
            0,
            "q",
            0,
            10,
            completion=request,
            listener=RecordingListener(),
            headers={},
            admission=front._admit(request),
        )
        relay = ResponseRelay(front, pending, 1, 0)
        await relay.data_received("before")
        assert pending.finish(FinalResponse(ResponseKind.INDETERMINATE))
        await relay.stream_started()
        await relay.data_received("after")
        assert forwarded == ["before"]


async def test_a_late_disconnect_in_a_closed_cell_creates_no_scheduler(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        front = fleet.front_server.front
        request = parse_completion_request({"runspool-tariff": "ask"}, b'{"prompt": "x"}', front.config)
        admission = replace(front._admit(request), cell="closed")
        front.cancel_remaining_work(
            PendingCompletion(
                0, "q", 0, 10, completion=request, listener=cast(Any, None), headers={}, admission=admission
            )
        )
        assert front.cell_schedulers.keys() == {"whole"}


async def test_a_front_that_shuts_down_rejects_connections_and_finishes_its_requests(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE).open() as fleet:
        responses = []

        async def make_request() -> None:
            responses.append(await fleet.send_request(output_tokens=30))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(make_request)
            await fleet.wait_for_events("ran")
            fleet.front_server.stop()
        assert responses[0].text.split()[-1] == "t30"
        with pytest.raises(OSError):
            await fleet.send_request()


async def test_requests_left_at_the_end_of_the_drain_time_fail(tmp_path: Path) -> None:
    async with SmallFleet(tmp_path, PREFILL_AND_DECODE, drain_ms=200).open() as fleet:
        fleet.engines[1].set_fault("hang", on=True)
        responses = []

        async def make_request() -> None:
            responses.append(await fleet.send_request())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(make_request)
            await fleet.wait_for_events("arrived", stage="write")
            fleet.front_server.stop()
        assert (responses[0].status, responses[0].error["code"]) == (424, "stopped")
