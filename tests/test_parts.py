"""Small parts: budgets of time, the vigil, timers, events cut anywhere, command line."""

from __future__ import annotations

from pathlib import Path

import anyio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from runspool.cli.lab import app as lab
from runspool.cli.main import app
from runspool.engines.idle_watchdog import IdleWatchdog
from runspool.engines.response_parser import MalformedHttpResponseError, ResponseParser
from runspool.runtime.interning import Interner
from runspool.scheduling.settings import RequestClassSettings
from runspool.scheduling.types import DeduplicationScope, Idempotency
from runspool.service.clock import now
from runspool.service.deadlines import first_token_budget
from runspool.service.timer_queue import TimerQueue
from runspool.wire import completions
from runspool.wire import engine_messages as engine
from runspool.wire.http_requests import HttpRequestParser, InvalidHttpRequestError

ROW = RequestClassSettings(10_000, 0, 600, 1.0, 0.1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0)


def test_a_whole_answer_leaves_time_for_its_writing() -> None:
    assert first_token_budget(60_000, False, 50, ROW) == 60_000
    assert first_token_budget(60_000, True, 50, ROW) == 30_000
    assert first_token_budget(60_000, True, 0, ROW) == 60_000
    assert first_token_budget(60_000, True, 10_000, ROW) == 15_000  # a hint too long leaves time to try
    assert first_token_budget(-5, True, 50, ROW) == first_token_budget(-5, False, 0, ROW) == 0


def test_the_vigil_calls_once_for_what_has_waited_too_long_and_for_nothing_else() -> None:
    time, called = 1_000, []
    vigil = IdleWatchdog(lambda: time)
    late, idle, quick, gone = (
        vigil.watch(500, lambda name=name: called.append(name))  # type: ignore[misc]
        for name in ("late", "idle", "quick", "gone")
    )
    late.waiting_since = gone.waiting_since = 1_000
    vigil.unwatch(gone)
    time = 1_600
    quick.waiting_since = 1_500
    vigil.check()
    vigil.check()
    assert (called, late.timed_out, idle.timed_out) == (["late"], True, False)


@pytest.mark.anyio
async def test_timers_ring_in_order_also_those_set_sooner_later() -> None:
    rung: list[str] = []
    all_rung = anyio.Event()

    def ring(token: str) -> None:
        rung.append(token)
        if len(rung) == 3:
            all_rung.set()

    timers = TimerQueue(ring)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(timers.run)
        timers.schedule(now() + 600, "third")
        await anyio.sleep(0)
        timers.schedule(now() + 100, "first")
        timers.schedule(now() + 300, "second")
        with anyio.fail_after(10):
            await all_rung.wait()
        tasks.cancel_scope.cancel()
    assert rung == ["first", "second", "third"]


@given(st.lists(st.text(max_size=20), max_size=6), st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_events_come_out_whole_however_the_bytes_were_cut(texts: list[str], cuts: list[int]) -> None:
    chunks = completions.CompletionChunks("q", "m", 0)
    body = b"".join(chunks.text(text) for text in texts) + b"0\r\n\r\n"
    raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n" + body
    reply, events, found = ResponseParser(65536), engine.EventSplitter(65536), []
    at = turn = 0
    while at < len(raw):
        size = cuts[turn % len(cuts)]
        reply.feed(raw[at : at + size])
        found += events.feed(reply.take_body())
        at, turn = at + size, turn + 1
    assert reply.complete and reply.status == 200 and reply.headers["x"] == "y"
    assert [engine.parse_response(event).choices[0].text for event in found] == texts


def test_bytes_past_the_end_of_an_answer_are_no_second_answer() -> None:
    reply = ResponseParser(65536)
    reply.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    with pytest.raises(MalformedHttpResponseError):
        reply.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


@given(st.binary(max_size=200))
def test_no_bytes_make_a_load_report_or_an_error_code_raise(raw: bytes) -> None:
    engine.load_report("JSON " + raw.decode("latin-1"))
    assert isinstance(engine.error_code(raw), str)


def test_a_load_report_in_the_published_form_is_read() -> None:
    said = msgspec.json.encode({"named_metrics": {"kv_cache_usage_perc": 0.25, "prompt_tokens_waiting": 800}})
    report = engine.load_report("JSON " + said.decode())
    assert report is not None
    assert (report.memory_utilization, report.queued_prompt_tokens, report.slot_utilization) == (
        0.25,
        800,
        None,
    )
    assert engine.load_report(None) is engine.load_report("TEXT a=1") is None


def test_the_command_line_says_what_is_wrong_and_exits_so(tmp_path: Path) -> None:
    runner = CliRunner()
    house = str(Path(__file__).parents[1] / "examples" / "house.jsonnet")
    assert runner.invoke(app, ["terms", "check", house]).exit_code == 0
    shown = runner.invoke(app, ["terms", "show", house])
    assert msgspec.json.decode(shown.stdout)["front"]["name"] == "front-a"
    bad = tmp_path / "bad.jsonnet"
    bad.write_text("{ house: 1 }")
    told = runner.invoke(app, ["terms", "check", str(bad)])
    assert (told.exit_code, "house" in told.output, "front" in told.output) == (2, True, True)
    assert runner.invoke(app, ["front", str(bad)]).exit_code == 2
    assert runner.invoke(app, ["terms", "check", house, "--var", "x"]).exit_code == 2
    assert runner.invoke(lab, ["day", "no-such-day"]).exit_code == 2
    assert runner.invoke(lab, ["audit", str(tmp_path)]).exit_code == 2
    assert runner.invoke(lab, ["replay", str(bad)]).exit_code == 2
    assert runner.invoke(lab, ["retrace", str(tmp_path / "none")]).exit_code == 2


def test_a_name_is_forgotten_when_unseen_for_long_or_past_the_bound() -> None:
    door = Interner(max_names=3, max_age=100)
    first, second = door.intern("a", 0), door.intern("b", 60)
    assert door.intern("a", 90) == first  # seen again, so b is now the one unseen for longest
    assert door.intern("c", 161) not in (first, second) and len(door) == 2
    assert door.lookup("b") is None and door.lookup("a") == first
    for at, name in enumerate("defg"):
        door.intern(name, 162 + at)
    assert len(door) == 3 and door.lookup("a") is None


def test_pipelined_requests_ahead_of_a_fault_are_served_and_none_after_it() -> None:
    good = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    for bad, status in (
        (b"NONSENSE\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n", 413),
    ):
        reading = HttpRequestParser(1000, 10)
        reading.feed(good + good + bad + good)
        assert [one.complete for one in reading.ready] == [True, True]
        reading.raise_pending_error()  # nothing yet: two are to be served first
        reading.ready.clear()
        with pytest.raises(InvalidHttpRequestError) as told:
            reading.raise_pending_error()
        assert told.value.status == status


@given(st.lists(st.integers(1, 40), max_size=30))
def test_requests_come_out_whole_however_the_bytes_were_cut(cuts: list[int]) -> None:
    raw = (
        b"POST /v1/completions?x=1 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
        b"Content-Length: 4\r\n\r\nabcd"
        b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    )
    reading = HttpRequestParser(1000, 10)
    for cut in cuts:
        reading.feed(raw[:cut])
        raw = raw[cut:]
    if raw:
        reading.feed(raw)
    first, second = reading.ready
    assert (first.path, bytes(first.body), first.complete) == ("/v1/completions", b"abcd", True)
    assert (second.path, second.complete, second.keeps_alive) == ("/healthz", True, True)
