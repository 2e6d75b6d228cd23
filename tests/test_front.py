"""A real front between real sockets: one final answer always, whatever client, engine or list does."""

from __future__ import annotations

from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any, cast

import anyio
import msgspec
import pytest

from runspool.discovery.endpoint_tracker import MAX_GONE_ENGINES
from runspool.discovery.snapshot import save_snapshot
from runspool.lab.audit import audit
from runspool.lab.replay import replay
from runspool.scheduling.slow_start import warmup_fraction
from runspool.scheduling.types import Role
from runspool.service.clock import unix_ms, unix_ms_at_zero
from runspool.service.pending_completion import PendingCompletion
from runspool.service.pending_request import FinalResponse, ResponseKind
from runspool.service.response_relay import ResponseRelay
from runspool.transport import tcp as lines
from runspool.wire.completions import parse_completion_request
from runspool.wire.endpoint_list import EndpointEntry
from tests.simulation.leaks import leaked_state as leftovers
from tests.town import Town, answered

pytestmark = pytest.mark.anyio

ASK = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nRunspool-Tariff: ask\r\nRunspool-Limit-Ms: 5000\r\n"


async def test_an_answer_streams_and_comes_whole(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        streamed = await town.ask(out=7)
        assert (streamed.status, streamed.text.split()) == (200, [f"t{at}" for at in range(1, 8)])
        assert streamed.body.endswith(b"data: [DONE]\n\n")
        whole = await town.ask(out=7, stream=False)
        said = msgspec.json.decode(whole.body)
        assert said["choices"][0]["text"] == streamed.text
        assert said["usage"]["prompt_tokens"] == 50
        # Read at the reader, fetched by the writer, nothing left behind.
        assert len(town.seen("held")) == len(town.seen("taken", by="e1")) == 2


async def test_what_cannot_be_taken_is_refused_before_intake(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"], query_bytes=2000).open() as town:
        wrong = [
            (await town.ask("none"), 400, "runspool-tariff"),
            (await town.ask(body=b"{"), 400, "body"),
            (await town.ask(body=b"{}"), 400, "prompt"),
            (await town.ask(body=b'{"prompt": 7}'), 400, "prompt"),
            (await town.ask(body=b'{"prompt": "x", "max_tokens": 0}'), 400, "max_tokens"),
            (await town.ask(body=b'{"prompt": "x", "stream": 3}'), 400, "stream"),
            (await town.ask(runspool_limit_ms="soon"), 400, "runspool-limit-ms"),
            (await town.ask(runspool_limit_ms="-5"), 400, "runspool-limit-ms"),
            (await town.ask(runspool_tenant="nobody"), 400, "runspool-tenant"),
            (await town.ask("mark"), 400, "runspool-ticket"),
            (await town.ask(runspool_session="s" * 300), 400, "runspool-session"),
            (await town.ask(tokens=900), 413, "query_bytes"),
            (await town.say(b"NONSENSE\r\n\r\n"), 400, "malformed"),
            (await town.say(b"GET /healthz HTTP/1.1\r\n\r\n"), 400, "malformed"),  # no host
            (
                await town.say(
                    b"GET /healthz HTTP/1.1\r\nHost: x\r\nRunspool-Tariff: a\r\nRunspool-Tariff: b\r\n\r\n"
                ),
                400,
                "malformed",
            ),
            (
                await town.say(
                    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n"
                ),
                400,
                "malformed",
            ),
            (
                await town.say(
                    b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                    b"fffff\r\n" + b"x" * 0xFFFFF + b"\r\n0\r\n\r\n"
                ),
                413,
                "query_bytes",
            ),
            (
                await town.say(
                    b"GET /healthz HTTP/1.1\r\nHost: x\r\n"
                    + b"".join(b"A%d: b\r\n" % at for at in range(101))
                    + b"\r\n"
                ),
                431,
                "malformed",
            ),
            (await town.say(b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"x" * 40_000), 431, "malformed"),
            (await town.say(b"GET /else HTTP/1.1\r\nHost: x\r\n\r\n"), 404, "path"),
        ]
        for answer, status, code in wrong:
            assert (answer.status, answer.error["code"]) == (status, code)
        assert town.running.front.counts["accepted"] == 0
        assert not town.seen("arrived")


async def test_half_a_body_and_a_slow_head_end_in_a_refusal(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"], body_ms=100, head_ms=100).open() as town:
        half = await town.say(ASK + b"Content-Length: 500\r\n\r\n{")
        assert (half.status, half.error["code"]) == (408, "body_time")
        slow = await town.say(ASK)
        assert (slow.status, slow.error["code"]) == (408, "head_time")


async def test_requests_that_come_together_are_answered_one_after_the_other(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        asked = b"GET %b HTTP/1.1\r\nHost: x\r\n%b\r\n"
        async with await anyio.connect_tcp("127.0.0.1", town.port) as stream:
            await stream.send(
                asked % (b"/healthz", b"")
                + asked % (b"/nowhere", b"")
                + asked % (b"/healthz", b"Connection: close\r\n")
                + asked % (b"/healthz", b"")
            )
            said = bytearray()
            with anyio.fail_after(10), suppress(anyio.EndOfStream):
                while True:
                    said += await stream.receive()
        assert [int(part[:3]) for part in bytes(said).split(b"HTTP/1.1 ")[1:]] == [200, 404, 200]


async def test_a_client_that_ends_its_sending_too_early_is_told(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        for raw in (
            b"POST /v1/completions HT",
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{",
        ):
            async with await anyio.connect_tcp("127.0.0.1", town.port) as stream:
                await stream.send(raw)
                await stream.send_eof()
                told = await answered(stream)
            assert (told.status, told.error["code"]) == (400, "malformed")
        assert town.running.front.counts["accepted"] == 0


async def test_what_an_engine_says_after_the_final_answer_goes_nowhere(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        front, passed = town.running.front, []

        class Ear:
            async def stream_started(self) -> None:
                passed.append("begun")

            async def data_received(self, text: str) -> None:
                passed.append(text)

        wish = parse_completion_request({"runspool-tariff": "ask"}, b'{"prompt": "x"}', front.config)
        taken = PendingCompletion(
            0, "q", 0, 10, completion=wish, listener=Ear(), headers={}, admission=front._admit(wish)
        )
        hearing = ResponseRelay(front, taken, 1, 0)
        await hearing.data_received("before")
        assert taken.finish(FinalResponse(ResponseKind.INDETERMINATE))
        await hearing.stream_started()
        await hearing.data_received("after")
        assert passed == ["before"]


async def test_late_news_for_a_closed_cell_opens_no_desk(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        front = town.running.front
        wish = parse_completion_request({"runspool-tariff": "ask"}, b'{"prompt": "x"}', front.config)
        stay = replace(front._admit(wish), cell="closed")
        front._disconnect(
            PendingCompletion(
                0, "q", 0, 10, completion=wish, listener=cast(Any, None), headers={}, admission=stay
            )
        )
        assert front.cell_schedulers.keys() == {"whole"}


async def test_no_engine_at_all_is_a_dismissal_in_time(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        town.tell(0, "gone")
        town.tell(1, "gone")
        while any(engine.ready for engine in town.running.front.first_driver.scheduler.engines.values()):
            await anyio.sleep(0.005)
        answer = await town.ask(runspool_limit_ms="500")
        assert (answer.status, answer.error["type"]) == (503, "dismissed")
        assert answer.headers["x-should-retry"] == "true"


async def test_an_exclusive_query_that_may_have_run_is_scrapped_and_not_repeated(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode", "decode"]).open() as town:
        for writer in town.engines[1:]:
            writer.fault("row", row="reset_after", share=1.0)
        answer = await town.ask("book")
        assert (answer.status, answer.error["type"]) == (424, "scrapped")
        # Client libraries repeat 408, 409, 429 and 5xx by themselves; a scrapping must be none of them.
        assert answer.headers["x-should-retry"] == "false"
        assert len(town.seen("arrived", stage="write")) == 1


async def test_an_exclusive_query_that_cannot_have_run_is_tried_again(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode", "decode"]).open() as town:
        for writer in town.engines[1:]:
            writer.fault("row", row="full_503", share=0.6)
        answer = await town.ask("book")
        assert answer.status in (200, 503)  # served in the end, or dismissed: never scrapped
        assert len(town.seen("ran")) <= 1


async def test_a_stream_cut_in_the_middle_ends_in_one_clear_scrapping(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        town.engines[1].fault("row", row="reset_stream", share=1.0)
        answer = await town.ask(out=50)
        assert answer.status == 200
        assert b'"type":"scrapped"' in answer.body.split(b"\n\n")[-2]
        assert b"[DONE]" not in answer.body


async def test_a_client_that_leaves_ends_its_shot_and_its_state(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        town.engines[1].fault("hang", on=True)
        raw = msgspec.json.encode({"prompt": "abcd" * 40, "stream": True, "standin": {"try": "t", "out": 5}})
        async with await anyio.connect_tcp("127.0.0.1", town.port) as stream:
            await stream.send(ASK + b"Content-Length: %d\r\n\r\n" % len(raw) + raw)
            await town.until("arrived", stage="write")
        await town.until("ended", how="left")
        await town.until("released")
        while town.running.front.requests:
            await anyio.sleep(0.01)
        assert town.running.front.counts["client_disconnected"] == 1


async def test_a_client_that_does_not_read_its_answer_counts_as_one_that_left(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"], answer_write_ms=300).open() as town:
        # Tokens of a size that fills every buffer on the way soon.
        town.engines[1].token = "t" * 60_000
        raw = msgspec.json.encode(
            {"prompt": "abcd" * 40, "max_tokens": 900, "stream": True, "standin": {"try": "t", "out": 800}}
        )
        async with await anyio.connect_tcp("127.0.0.1", town.port) as stream:
            await stream.send(ASK + b"Content-Length: %d\r\n\r\n" % len(raw) + raw)
            await town.until("ended", how="left")
        assert town.running.front.counts["client_disconnected"] == 1


async def test_a_whole_answer_that_cannot_be_complete_in_time_is_scrapped_in_time(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        started = anyio.current_time()
        answer = await town.ask(out=400, stream=False, runspool_limit_ms="700")
        assert (answer.status, answer.error["code"]) == (424, "out_of_time")
        assert anyio.current_time() - started < 0.75
        await town.until("ended", how="left")


async def test_past_its_bounds_a_front_refuses_cleanly(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"], queries=1, connections=3).open() as town:
        town.engines[0].fault("hang", on=True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(town.ask)
            while not town.running.front.requests:
                await anyio.sleep(0.005)
            refused = await town.ask()
            assert (refused.status, refused.error["code"]) == (503, "front_full")
            idle = [await anyio.connect_tcp("127.0.0.1", town.port) for _ in range(2)]
            while town.running.open_connections < 3:
                await anyio.sleep(0.005)
            async with await anyio.connect_tcp("127.0.0.1", town.port) as stream:
                over = await answered(stream)
            assert (over.status, over.error["code"]) == (503, "connections_full")
            for stream in idle:
                await stream.aclose()
            town.engines[0].fault("hang", on=False)


async def test_a_stop_takes_nothing_new_and_ends_what_it_holds(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        answers = []

        async def ask() -> None:
            answers.append(await town.ask(out=30))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await town.until("ran")
            town.running.stop()
        assert answers[0].text.split()[-1] == "t30"
        with pytest.raises(OSError):
            await town.ask()


async def test_a_stop_that_cannot_wait_scraps_what_is_left(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"], drain_ms=200).open() as town:
        town.engines[1].fault("hang", on=True)
        answers = []

        async def ask() -> None:
            answers.append(await town.ask())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            await town.until("arrived", stage="write")
            town.running.stop()
        assert (answers[0].status, answers[0].error["code"]) == (424, "stopped")


async def test_a_front_comes_back_with_its_last_list_and_shrugs_at_a_torn_one(tmp_path: Path) -> None:
    town = Town(tmp_path, ["prefill", "decode"])
    save_snapshot(
        tmp_path / "front-0.list", 7, [EndpointEntry("e9", "127.0.0.1:9", "prefill", "a", 0, "draining")]
    )
    async with town.open() as opened:
        assert opened.running.front.endpoints[0].name == "e9"
        # The service's whole list does not name it: it is gone, and the new list is on disk soon.
        while b"e9" in (tmp_path / "front-0.list").read_bytes():
            await anyio.sleep(0.01)
    (tmp_path / "front-0.list").write_bytes(b"00000000\n{}")
    async with Town(tmp_path, ["prefill", "decode"]).open() as opened:
        assert (await opened.ask()).status == 200


async def test_a_fault_in_the_decisions_scraps_one_query_and_spares_the_rest(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        rules = town.running.front.first_driver.scheduler
        sound = rules.select_engine
        rules.select_engine = lambda *_: 1 // 0  # type: ignore[method-assign, assignment]
        answer = await town.ask()
        assert (answer.status, answer.error["type"]) == (424, "scrapped")
        rules.select_engine = sound  # type: ignore[method-assign]
        assert (await town.ask()).status == 200
        assert not town.running.front.requests


async def test_a_fault_while_an_answer_streams_calls_its_shot_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        front = town.running.front
        monkeypatch.setattr("runspool.scheduling.attempt_accounting.update", lambda *_: 1 // 0)
        answer = await town.ask(out=200)
        assert answer.error["type"] == "scrapped" if answer.status != 200 else b"scrapped" in answer.body
        with anyio.fail_after(10):
            while front.requests or leftovers(front) or any(one.live for one in town.engines):
                await anyio.sleep(0.01)
        assert front.counts["accepted"] == front.counts["indeterminate"] == 1


async def test_a_shot_still_connecting_as_its_engine_drains_is_not_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Town(tmp_path, ["prefill", "decode", "decode"]).open() as town:
        dialled, go, sound = anyio.Event(), anyio.Event(), lines.connect
        to: list[int] = []

        async def dial(address: tuple[str, int], source: str | None) -> lines.TcpConnection:
            if address[1] != town.plan.engines[0].port and not to:
                to.append([one.port for one in town.plan.engines].index(address[1]))
                dialled.set()
                await go.wait()
            return await sound(address, source)

        monkeypatch.setattr("runspool.engines.connection_pool.connect", dial)
        answers = []

        async def ask() -> None:
            answers.append(await town.ask("book"))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask)
            with anyio.fail_after(10):
                await dialled.wait()
                town.tell(to[0], "draining")
                while town.running.front.first_driver.scheduler.engines[to[0]].ready:
                    await anyio.sleep(0.005)
            go.set()
        assert answers[0].status == 200
        assert {event["engine"] for event in town.seen("arrived", stage="write")} == {f"e{3 - to[0]}"}


async def test_an_engine_back_as_another_kind_is_spoken_to_as_that(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode", "decode"]).open() as town:
        front = town.running.front
        town.plan.engines[1].kind = "prefill"
        town.tell(1, "on")
        with anyio.fail_after(10):
            while front.first_driver.scheduler.engines[1].role is not Role.PREFILL:
                await anyio.sleep(0.005)
        async with anyio.create_task_group() as tasks:
            for _ in range(8):
                tasks.start_soon(town.ask)
        assert {event["stage"] for event in town.seen("arrived", engine="e1")} <= {"read"}
        assert len(town.seen("ran", engine="e2")) == 8
        # A kind that this front does not know: nothing is known of what it can do, or whether it drains.
        town.plan.engines[1].kind = "novel"
        town.tell(1, "draining")
        with anyio.fail_after(10):
            while front.first_driver.scheduler.engines[1].ready:
                await anyio.sleep(0.005)
        assert (await town.ask()).status == 200


async def test_the_look_for_poison_holds_nobody_who_leaves(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        front, looks = town.running.front, anyio.Event()

        async def answers(address: tuple[str, int]) -> bool:
            looks.set()
            await anyio.sleep_forever()
            return True

        monkeypatch.setattr(front.engine_client, "accepts_connections", answers)
        monkeypatch.setattr("runspool.service.front.ENGINE_CHECK_SECONDS", 60.0)
        town.engines[1].fault("row", row="reset_after", share=1.0)
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(town.ask)
                await looks.wait()
                tasks.cancel_scope.cancel()
            while front.requests:
                await anyio.sleep(0.01)
        assert front.counts["client_disconnected"] == 1
        assert leftovers(front) == []
        assert not front.counts["poisonous"]


async def test_an_engine_is_cold_to_a_front_whose_wall_clock_was_set_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with Town(tmp_path, ["prefill", "decode", "decode"]).open() as town:
        front, hour = town.running.front, 3_600_000
        town.started[1] = unix_ms() - 30_000
        town.tell(1, "on")
        rules = front.first_driver.scheduler
        with anyio.fail_after(10):
            while not rules.engines[1].started_at:
                await anyio.sleep(0.005)
        known = rules.engines[1].started_at
        monkeypatch.setattr(
            "runspool.service.request_executor.unix_ms_at_zero", lambda: unix_ms_at_zero() - hour
        )
        town.tell(1, "draining")
        town.started[2] = unix_ms() - hour
        town.tell(2, "on")
        with anyio.fail_after(10):
            while not rules.engines[2].started_at:
                await anyio.sleep(0.005)
        assert warmup_fraction(rules, rules.engines[2]) < 0.5
        assert rules.engines[1].started_at == known


async def test_what_is_known_of_engines_that_left_is_bounded(tmp_path: Path) -> None:
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        front = town.running.front
        for number in range(MAX_GONE_ENGINES + 200):
            for state in ("on", "gone"):
                entry = EndpointEntry(f"n{number}", f"127.0.0.1:{number + 1}", "decode", "a", 0, "on")
                front.endpoints_changed([msgspec.structs.replace(entry, state=state)])
        assert (
            len(front.endpoints)
            == len(front.engine_records)
            == len(front.registry.engine_interner)
            <= MAX_GONE_ENGINES + 2
        )
        assert (await town.ask()).status == 200


async def test_the_thread_that_keeps_the_list_has_a_copy_of_its_own(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    given: list[list[EndpointEntry]] = []
    monkeypatch.setattr(
        "runspool.service.front_server.save_snapshot", lambda path, version, engines: given.append(engines)
    )
    async with Town(tmp_path, ["prefill", "decode"]).open() as town:
        with anyio.fail_after(10):
            while not given or len(given[-1]) < 2:
                await anyio.sleep(0.005)
        had = list(given[-1])
        entries = town.running.front.endpoint_tracker.entries
        entries.clear()
        assert given[-1] == had
        with pytest.raises(AttributeError):
            had[0].state = "gone"  # type: ignore[misc]


async def test_the_same_news_brings_the_same_asks(tmp_path: Path) -> None:
    tape = tmp_path / "front.tape"
    async with Town(tmp_path, ["prefill", "prefill", "decode", "mixed"]).open(tape) as town:
        town.engines[0].fault("row", row="failed_500", share=0.3)
        town.engines[2].fault("row", row="reset_after", share=0.2)
        async with anyio.create_task_group() as tasks:
            for number in range(40):
                tasks.start_soon(
                    lambda at=number: town.ask(  # type: ignore[misc]
                        ["ask", "book"][at % 2], out=5, runspool_mark=f"m{at}", runspool_session=f"s{at % 7}"
                    )
                )
        town.running.front.cell_scheduler("whole").recorder.close()
    found = replay(tape)
    assert found.differs == ""
    assert found.events > 100
    assert found.actions > 100
    # And a tape that says otherwise is found out.
    tape.write_bytes(tape.read_bytes().replace(b'"send",5,', b'"send",6,', 1))
    assert "now" in replay(tape).differs


async def test_a_town_at_work_keeps_every_rule(tmp_path: Path) -> None:
    town = Town(tmp_path, ["prefill", "prefill", "decode", "mixed"])
    town.record.line("day", plan=msgspec.to_builtins(town.plan))
    async with town.open():
        async with anyio.create_task_group() as tasks:
            for number in range(30):
                tasks.start_soon(
                    lambda at=number: town.ask(  # type: ignore[misc]
                        "book", out=5, runspool_mark=f"m{at}"
                    )
                )
        assert len(town.seen("ran")) == 30
        assert all(
            rule.broken == 0
            for rule in audit(
                [event for event in map(msgspec.json.decode, town.file.read_bytes().splitlines())]
            ).values()
        )
