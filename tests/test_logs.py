"""Logging may lose lines, but never blocks or stops a node."""

from __future__ import annotations

import fcntl
import json
import os
from pathlib import Path

import pytest

from runspool.logs import MAX_BURST_LINES, NonBlockingLogFile, RateLimitedLog
from tests.node_platform.client import post
from tests.node_platform.platform import Platform

pytestmark = pytest.mark.anyio
PREFILL_AND_DECODE = {"r": "prefill", "w": "decode"}
LINE = b'{"event":"x","text":"' + b"y" * 900 + b'"}\n'


def test_lines_that_do_not_fit_into_a_full_pipe_are_dropped_and_counted() -> None:
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, 4_096)
    sink = NonBlockingLogFile(write_end)
    for _ in range(50):
        sink.write(LINE)
    output = os.read(read_end, 65_536)
    dropped = sink.dropped
    sink.write(LINE)
    output += os.read(read_end, 65_536)
    os.close(read_end)
    os.close(write_end)
    lines = [json.loads(line) for line in output.splitlines()]
    assert 40 < dropped < 50
    assert sum(line["event"] == "x" for line in lines) == 51 - dropped
    assert {"event": "log_lines_dropped", "count": dropped} in lines


def test_a_closed_pipe_and_a_closed_descriptor_raise_nothing() -> None:
    read_end, write_end = os.pipe()
    sink = NonBlockingLogFile(write_end)
    os.close(read_end)
    sink.write(LINE)
    os.close(write_end)
    sink.write(LINE)
    assert sink.dropped == 2


def test_a_full_disk_raises_nothing() -> None:
    full_device = os.open("/dev/full", os.O_WRONLY)
    sink = NonBlockingLogFile(full_device)
    sink.write(LINE)
    os.close(full_device)
    assert sink.dropped == 1


def test_a_rate_limited_log_reports_how_many_lines_it_left_out(capsys: pytest.CaptureFixture[str]) -> None:
    time = 0.0
    log = RateLimitedLog(lambda: time)
    for number in range(int(MAX_BURST_LINES) + 30):
        log.info("attempt_ended", number=number)
    time = 1.0
    log.info("attempt_ended", number=-1)
    output = capsys.readouterr().out
    assert output.count("attempt_ended") == MAX_BURST_LINES + 1
    assert "left_out_before=30" in output


async def test_a_node_whose_log_is_not_read_continues_to_serve(tmp_path: Path) -> None:
    """At debug level, the node writes more log lines than a pipe holds."""
    async with Platform(tmp_path, PREFILL_AND_DECODE).open() as platform:
        platform.reads_log.clear()
        for number in range(400):
            assert (
                await platform.send_request(post(f"q{number}", body=b'{"prompt":"%b"}' % (b"x" * 50)))
            ).complete
        platform.reads_log.set()


@pytest.mark.parametrize("redirection", ["2>&-", "2>/dev/full", ">&- 2>&- <&-"])
async def test_a_node_without_a_usable_standard_error_serves(redirection: str, tmp_path: Path) -> None:
    platform = Platform(tmp_path, PREFILL_AND_DECODE)
    platform.redirection = redirection
    async with platform.open():
        for number in range(5):
            assert (await platform.send_request(post(f"q{number}"))).complete
        assert {request.headers["req-id"] for request in platform.received} == {
            f"q{number}" for number in range(5)
        }
