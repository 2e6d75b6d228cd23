"""The front node as the platform starts it: the real program, a scripted agent, scripted engines."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import FailureCause
from runspool.node.executor import PendingNodeRequest
from runspool.scheduling.types import EngineState
from runspool.transport.tcp import TcpConnection, connect
from tests.node_platform.client import BODY, post
from tests.node_platform.engine import Script, never_responds, resets_connection, responds, streams_until
from tests.node_platform.http_messages import (
    COMPLETE_STREAM,
    EVENTS,
    PREFILL_RESPONSE,
    STREAM_HEAD,
    WAIT,
    ReceivedRequest,
    chunked,
    http_response,
)
from tests.node_platform.platform import Platform
from tests.node_platform.settings import SETTINGS

pytestmark = pytest.mark.anyio
PAIR = {"r": "prefill", "w": "decode"}
TWO = {"r": "prefill", "w": "decode", "v": "decode"}
DECLINED = b"Srv-Declined: 1"


async def test_a_query_is_read_then_written_and_its_events_come_unchanged(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        answer = await platform.ask(post("q1"))
        assert (answer.status, answer.complete, answer.body) == (200, True, b"".join(EVENTS))
        read, write = platform.attempts("q1")
        assert (read.engine, write.engine) == ("r", "w")
        for shot in (read, write):
            assert (shot.method, shot.target, shot.body) == ("POST", "/v1/chat/completions?v=1", BODY)
            assert 0 < int(shot.headers["req-deadline"].removesuffix("u")) <= 4_000_000


async def _half(request: ReceivedRequest) -> None:
    await request.send(COMPLETE_STREAM[:60])
    request.reset()


MAYBE_RAN: dict[str, Script] = {
    "500": responds(http_response(500)),
    "503 undeclared": responds(http_response(503)),
    "410 undeclared": responds(http_response(410)),
    "404": responds(http_response(404)),
    "202 from a writer": responds(PREFILL_RESPONSE),
    "reset": resets_connection,
    "noise": responds(b"\x00\xff" * 50),
    "half a stream": _half,
}


@pytest.mark.parametrize("how", MAYBE_RAN)
async def test_an_exclusive_query_that_may_have_run_gets_one_shot(how: str, tmp_path: Path) -> None:
    async with Platform(tmp_path, TWO).open() as platform:
        for writer in "wv":
            platform.engines[writer].scripts.append(MAYBE_RAN[how])
        answer = await platform.ask(post("q1", "book"))
        assert answer.status == 500 and "retry-after" not in answer.headers
        assert len(platform.attempts("q1", "decode")) == 1


@pytest.mark.parametrize("status", [503, 504])
async def test_a_declined_shot_never_ran_and_goes_elsewhere(status: int, tmp_path: Path) -> None:
    async with Platform(tmp_path, TWO).open() as platform:
        for writer in "wv":
            platform.engines[writer].scripts = [responds(http_response(status, b"", DECLINED))]
        platform.engines["v"].scripts = []
        platform.engines["w"].scripts *= 4
        for at in range(6):
            answer = await platform.ask(post(f"q{at}", "book"))
            assert (answer.status, answer.complete) == (200, True)
        assert any(len(platform.attempts(f"q{at}", "decode")) == 2 for at in range(6))


async def test_a_state_that_is_gone_is_read_again(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        platform.engines["w"].scripts = [responds(http_response(410, b"", DECLINED))]
        answer = await platform.ask(post("q1", "book"))
        assert (answer.status, answer.complete) == (200, True)
        assert [shot.engine for shot in platform.attempts("q1")] == ["r", "w", "r", "w"]


async def test_a_read_given_up_is_let_go(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        platform.engines["r"].scripts = [never_responds]
        client = await platform.client()
        client.send(post("q1"))
        await platform.until(lambda: len(platform.attempts("q1")) == 1)
        client.close()
        await platform.until(lambda: len(platform.release_calls("q1")) == 1)


async def test_letting_go_asks_another_engine_where_the_first_is_down(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        platform.engines["r"].scripts = [_goes_down]
        client = await platform.client()
        client.send(post("q1"))
        await platform.until(lambda: any(one.engine == "w" for one in platform.release_calls("q1")))


async def test_letting_go_does_not_wait_for_one_cut_off_engine_after_the_other(tmp_path: Path) -> None:
    names = {"r": "prefill"} | {f"w{at}": "decode" for at in range(9)}
    async with Platform(tmp_path, names).inside() as running:
        node = running.executor
        sites, asked, over = {site.name: site for site in node.endpoints.values()}, [], asyncio.Event()

        async def release(address: Address, request: str, limit: int) -> FailureCause | None:
            asked.append(address)
            if address != sites["w7"].address:
                await asyncio.sleep(limit / 10_000)
                return FailureCause.TIMED_OUT_BEFORE_RESPONSE
            over.set()
            return None

        # All have been spoken to, that one last: it is the likeliest to be there still.
        spoken = {
            site.address: [SimpleNamespace(idle_since=9 - abs(int(site.name[1:]) - 7))]
            for site in node.endpoints.values()
            if site.name != "r"
        }
        node.engine_client.pool.idle = cast(Any, spoken)
        node.engine_client.pool.close_idle = lambda: None  # type: ignore[method-assign]
        node.engine_client.release_state = release  # type: ignore[method-assign]
        held = PendingNodeRequest(
            0, "q1", 0, 0, cast(Any, None), client_request=cast(Any, None), prefill_endpoint=sites["r"]
        )
        node.release_prefill_state(held)
        await asyncio.wait_for(over.wait(), WAIT)
        node.engine_client.pool.idle = {}
        assert asked == [sites["r"].address, sites["w7"].address]


async def _goes_down(request: ReceivedRequest) -> None:
    """The read is lost, and nothing answers at its engine any more."""
    request.stop_listening()
    request.reset()


async def test_an_exclusive_query_declined_by_all_is_dismissed_at_once_with_a_time(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        platform.engines["w"].scripts = [responds(http_response(503, b"", DECLINED))] * 5
        answer = await platform.ask(post("q1", "book"))
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) <= 2.0
        await platform.until(lambda: len(platform.release_calls("q1")) >= 1)  # the state that nobody fetched


SPOILT = {
    "noise": b"\x00\x01\xfe" * 30,
    "no event": STREAM_HEAD + chunked(b"hello\n\n"),
    "no json": STREAM_HEAD + chunked(b"data: {oops\n\n"),
    "endless head": b"HTTP/1.1 200 OK\r\nA: " + b"x" * 70_000,
    "bad size": STREAM_HEAD + b"zz\r\n",
    "3 GB": STREAM_HEAD + b"c0000000\r\n" + b"x" * 70_000,
}


@pytest.mark.parametrize("how", SPOILT)
async def test_a_stream_spoilt_before_its_first_event_is_a_shot_that_may_have_run(
    how: str, tmp_path: Path
) -> None:
    async def spoils(request: ReceivedRequest) -> None:
        await request.send(SPOILT[how])
        await request.until_closed()  # its connection is of no further use

    async with Platform(tmp_path, TWO).open() as platform:
        for writer in "wv":
            platform.engines[writer].scripts = [spoils]
        again = await platform.ask(post("q1"))
        assert (again.status, again.complete, len(platform.attempts("q1", "decode"))) == (200, True, 3)
        for writer in "wv":
            platform.engines[writer].scripts = [spoils]
        assert (await platform.ask(post("q2", "book"))).status == 500
        assert len(platform.attempts("q2", "decode")) == 1


LATER = {
    "bad size": b"zz\r\n",
    "does not fit": b"5\r\n" + EVENTS[1] + b"\r\n",
    "no json": chunked(b"data: {oops\n\n"),
    "3 GB": b"c0000000\r\n" + b"x" * 70_000,
    "half": chunked(EVENTS[1][:20]),
    "no end": b"0\r\n\r\n",
}


@pytest.mark.parametrize("how", LATER)
async def test_a_stream_spoilt_later_ends_without_its_last_chunk(how: str, tmp_path: Path) -> None:
    async def spoils(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD + chunked(EVENTS[0]))
        await begun.wait()
        await request.send(LATER[how])
        await request.until_closed()

    begun = asyncio.Event()
    async with Platform(tmp_path, PAIR).open() as platform:
        platform.engines["w"].scripts = [spoils]
        client = await platform.client()
        client.send(post("q1"))
        answer = await client.read_head()
        assert await client.read_chunk() == EVENTS[0]
        begun.set()
        answer = await client.read_body(answer)  # "half" is only ever silent: its client is told within 5 s
        assert not answer.complete and len(platform.attempts("q1", "decode")) == 1


MORE = {
    "1xx": b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + COMPLETE_STREAM,
    "report": COMPLETE_STREAM.replace(b"Content-Type", b"Srv-Load: \xff;;=,{\r\nContent-Type"),
    "second answer": COMPLETE_STREAM + COMPLETE_STREAM,
    "another answer": COMPLETE_STREAM + http_response(500, b"no"),
    "trash": COMPLETE_STREAM + b"\x00\x01 trash",
}


@pytest.mark.parametrize("how", MORE)
@pytest.mark.parametrize("pieces", ["whole", "bytes"])
async def test_a_good_stream_with_more_than_belongs_to_it_is_served(
    how: str, pieces: str, tmp_path: Path
) -> None:
    async def says_more(request: ReceivedRequest) -> None:
        if pieces == "whole":
            await request.send(MORE[how])
        else:
            for at in range(len(MORE[how])):
                await request.send(MORE[how][at : at + 1])
                await asyncio.sleep(0)

    async with Platform(tmp_path, PAIR).open() as platform:
        platform.engines["w"].scripts = [says_more]
        for name in ("q1", "q2"):  # the connection that said too much spoils no other
            answer = await platform.ask(post(name))
            assert (answer.status, answer.complete, answer.body) == (200, True, b"".join(EVENTS))


BAD: dict[str, bytes] = {
    "noise": b"\x16\x03\x01\x00\xff" * 20,
    "endless head": b"GET / HTTP/1.1\r\nA: " + b"x" * 70_000,
    "both lengths": post("h1", transfer_encoding="chunked"),
    "two lengths": post("h1").replace(b"content-length: ", b"content-length: 5\r\ncontent-length: "),
    "negative length": post("h1", content_length="-1"),
    "no number": post("h1", content_length="1e3"),
    "huge length": post("h1", content_length="9" * 30),
    "60 MB": post("h1", content_length="62914560"),
    "other coding": post("h1", content_length=None, transfer_encoding="gzip"),
    "folded": post("h1").replace(b"\r\n\r\n", b"\r\n folded\r\n\r\n", 1),
    "unknown class": post("h1", req_kind="nobody"),
    "no class": post("h1", req_kind=None),
    "unknown owner": post("h1", req_owner="nobody"),
    "no id": post("h1", req_id=None),
    "bad id": post("h1", req_id="a b"),
    "no deadline": post("h1", req_deadline=None),
    "nan": post("h1", req_deadline="nanm"),
    "negative": post("h1", req_deadline="-5m"),
    "no unit": post("h1", req_deadline="500"),
    "huge deadline": post("h1", req_deadline="9" * 12 + "m"),
    "zero": post("h1", req_deadline="0m"),
    "negative prompt": post("h1", req_extra="prompt_len=-4,max_out=4"),
    "huge prompt": post("h1", req_extra="prompt_len=999999999,max_out=4"),
    "nan prompt": post("h1", req_extra="prompt_len=nan,max_out=4"),
    "no pairs": post("h1", req_extra="===,,"),
    "bad cost": post("h1", req_cost="inf"),
    "no json": post("h1", body=b"{oops"),
    "a list": post("h1", body=b"[1]"),
    "twice": post("h1").replace(b"req-kind: ask\r\n", b"req-kind: ask\r\nReq-Kind: ask\r\n"),
    "elsewhere": post("h1").replace(b"/v1/chat", b"/v1/talk"),
    "http 9": post("h1").replace(b"HTTP/1.1", b"HTTP/9.1"),
}


async def test_bad_requests_get_an_error_and_nothing_of_them_is_passed_on(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        for how, data in BAD.items():
            hidden = post("hidden") if b"chunked" in data else b""
            client = await platform.client()
            client.send(data + hidden)
            answer = await client.read_head()
            assert 400 <= answer.status < 600, how
            client.close()
        assert (await platform.ask(post("q1"))).status == 200
        assert {one.headers.get("req-id") for one in platform.received} == {"q1"}


@pytest.mark.parametrize("order", ["length first", "coding first"])
async def test_two_lengths_hide_no_second_request_however_they_are_split(order: str, tmp_path: Path) -> None:
    fields = ["content-length: 5", "transfer-encoding: chunked"]
    lines = "\r\n".join(fields if order == "length first" else fields[::-1])
    data = (
        f"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\n{lines}\r\n\r\n".encode()
        + b"0\r\n\r\n"
        + post("hidden")
    )
    async with Platform(tmp_path, PAIR).open() as platform:
        for at in range(20, 130, 3):
            client = await platform.client()
            client.send(data[:at])
            await asyncio.sleep(0.001)
            client.send(data[at:])
            assert (await client.read_head()).status == 400
            client.close()
        assert platform.received == []


async def test_an_id_that_is_open_is_turned_away_and_the_open_one_goes_on(tmp_path: Path) -> None:
    go = asyncio.Event()

    async def waits(request: ReceivedRequest) -> None:
        await go.wait()
        await request.send(COMPLETE_STREAM)

    async with Platform(tmp_path, PAIR).open() as platform:
        platform.engines["w"].scripts = [waits]
        first = await platform.client()
        first.send(post("q1"))
        await platform.until(lambda: len(platform.attempts("q1", "decode")) == 1)
        assert (await platform.ask(post("q1"))).status == 409
        go.set()
        assert (await first.read_response()).complete
        assert len(platform.attempts("q1")) == 2


async def test_silent_clients_by_the_hundreds_keep_nobody_out_and_are_closed(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        crowd = [await platform.client() for _ in range(400)]
        half = await platform.client()
        half.send(post("h1")[:-10])
        assert (await platform.ask(post("q1"))).complete
        for one in [*crowd, half]:
            await one.read_to_close()
        assert platform.attempts("h1") == []
        assert (await platform.ask(post("q2"))).complete


async def test_at_sigterm_what_still_comes_is_served_and_streams_run_to_their_ends(tmp_path: Path) -> None:
    go = asyncio.Event()

    async with Platform(tmp_path, PAIR).open() as platform:
        kept = await platform.client()
        kept.send(post("q0"))
        assert (await kept.read_response()).complete
        platform.engines["w"].scripts = [streams_until(go)]
        running = await platform.client()
        running.send(post("q1"))
        answer = await running.read_head()
        platform.signal(signal.SIGTERM)
        await platform.logged("node_stopping")
        for client, name in ((kept, "q2"), (await platform.client(), "q3")):
            client.send(post(name))
            assert (await client.read_response()).complete
            client.send(post(f"{name}-again"))  # its connection stays open: there may be no other node
            assert (await client.read_response()).complete
        health = await platform.client()
        health.send(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await health.read_response()).status == 503
        go.set()
        assert (await running.read_body(answer)).body == b"".join(EVENTS)
        assert await asyncio.wait_for(platform.process.wait(), 15) == 0


async def test_a_stream_that_cannot_end_before_the_kill_is_moved(tmp_path: Path) -> None:
    async def begins(request: ReceivedRequest) -> None:
        await request.send(STREAM_HEAD + chunked(EVENTS[0]))
        await request.until_closed()
        gone.set()

    gone = asyncio.Event()
    async with Platform(tmp_path, PAIR).open() as platform:
        platform.engines["w"].scripts = [begins]
        running = await platform.client()
        running.send(post("q1"))
        answer = await running.read_head()
        platform.signal(signal.SIGTERM)
        answer = await running.read_body(answer)
        assert (answer.body, answer.complete) == (EVENTS[0], False)  # its client comes again for the rest
        await asyncio.wait_for(gone.wait(), 15)
        assert await asyncio.wait_for(platform.process.wait(), 15) == 0


async def test_sighup_moves_the_list_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        (tmp_path / "config.json").write_text("{oops")
        platform.signal(signal.SIGHUP)
        await platform.logged("config_unusable")
        assert (await platform.ask(post("q1"))).complete
        other = Platform(tmp_path, {"x": "mixed"})
        async with other.agent() as port:
            await other.engines["x"].start()
            platform.write_config(discovery=f"127.0.0.1:{port}")
            platform.signal(signal.SIGHUP)
            await other.until(lambda: any("after=" in one for one in other.lists))
            assert (await platform.ask(post("q2"))).complete
            assert [shot.engine for shot in other.attempts("q2")] == ["x"]
            other.engines["x"].server.close()


@pytest.mark.parametrize(
    "trouble",
    [
        b"{oops",
        b'{"index":-1,"snapshot":true}',
        None,
        http_response(500),
        b'{"index":9,"snapshot":true,"endpoints":[{"name":"r"}]}',
    ],
)
async def test_a_list_in_trouble_leaves_the_last_and_is_asked_again(
    trouble: bytes | None, tmp_path: Path
) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        asked = len(platform.lists)
        platform.list_scripts = [trouble]
        platform.tell()  # ends the watch: what it says next is the trouble
        await platform.until(lambda: len(platform.lists) >= asked + 3)
        assert (await platform.ask(post("q1"))).complete


async def test_a_list_whose_numbers_begin_anew_is_believed(tmp_path: Path) -> None:
    async with Platform(tmp_path, TWO).open() as platform:
        platform.version = 700
        platform.changed()
        await platform.until(lambda: any("after=700" in one for one in platform.lists))
        platform.version = 3
        platform.states["v"] = "leaving"
        platform.list_scripts = [platform.listed()]
        platform.changed()
        await platform.until(lambda: any("after=3&" in one for one in platform.lists))
        for at in range(4):
            assert (await platform.ask(post(f"q{at}"))).complete
            assert [shot.engine for shot in platform.attempts(f"q{at}")] == ["r", "w"]


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"discovery": "nowhere"}, "discovery"),
        ({"settings": {"classes": [{"effect": "odd"}]}}, "settings.classes[0].effect"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"seed": "xyz"}, "seed"),
        ({"known": {"index": 1}}, "known"),
        ({"settings": None}, "settings.classes"),
        ({"listen": "10.255.255.1:80"}, "listen"),
    ],
)
async def test_a_broken_configuration_names_its_key_and_exits_2(
    change: dict[str, Any], key: str, tmp_path: Path
) -> None:
    platform = Platform(tmp_path, {})
    platform.port, platform.agent_port = 1, 1
    file = platform.write_config(**change)
    done = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "runspool.node",
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | {"BALANCER_CONFIG": str(file)},
    )
    _, said = await done.communicate()
    assert (done.returncode, said.decode().startswith(f"runspool.node: {key}")) == (2, True), said


async def test_a_kept_connection_that_its_engine_closed_costs_no_doubt(tmp_path: Path) -> None:
    async def serves_and_closes(request: ReceivedRequest) -> None:
        await request.send(COMPLETE_STREAM)
        request.reset()

    async with Platform(tmp_path, PAIR).open() as platform:
        platform.engines["w"].scripts = [serves_and_closes] * 10
        for at in range(10):
            answer = await platform.ask(post(f"q{at}", "book"))
            assert (answer.status, answer.complete) == (200, True)
            assert len(platform.attempts(f"q{at}", "decode")) == 1


async def test_a_kept_connection_reset_by_the_next_request_costs_no_doubt(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def far(address: tuple[str, int], source: str | None) -> TcpConnection:
        await asyncio.sleep(0.5)  # a round trip so long that the reset is always seen in it
        return await connect(address, source)

    async def given_up(request: ReceivedRequest) -> None:
        await request.send(COMPLETE_STREAM)
        await request.reader.read(1)
        request.reset()

    monkeypatch.setattr("runspool.engines.connection_pool.connect", far)
    monkeypatch.setattr("runspool.engines.http_exchange.MAX_OBSERVATION_TIME", 100_000)
    platform = Platform(tmp_path, PAIR)
    # Nobody is in a hurry: that connecting takes long is not what this is about.
    classes = [row | {"aim-us": 5_000_000} for row in SETTINGS["classes"]]
    limits = SETTINGS["limits"] | {"dial-timeout-us": 5_000_000}
    platform.settings = SETTINGS | {"limits": limits, "classes": classes}
    async with platform.inside() as running:
        running.executor.engine_client.pool.quiet_time = (
            0  # the kept connection is what this is about, however soon it is used
        )
        platform.engines["w"].scripts = [given_up]
        assert (await platform.ask(post("q1"))).complete
        assert (await platform.ask(post("q2", "book", req_deadline="9000m"))).complete
        assert len(platform.attempts("q2", "decode")) == 1


async def test_descriptors_stay_under_their_cap_and_whoever_asks_is_answered(tmp_path: Path) -> None:
    go = asyncio.Event()

    platform = Platform(tmp_path, PAIR)
    platform.sockets = 64
    async with platform.open():
        platform.engines["w"].scripts = [streams_until(go)] * 100
        held = Path(f"/proc/{platform.process.pid}/fd")
        most = 0
        begun = []
        for at in range(40):
            client = await platform.client()
            client.send(post(f"q{at}"))
            begun.append((client, await client.read_head()))
            most = max(most, len(os.listdir(held)))
        go.set()
        assert {answer.status for _, answer in begun} == {200, 503}
        for client, answer in begun:
            if answer.status == 200:
                await client.read_body(answer)  # only then is there room again
        assert most <= 64
        assert (await platform.ask(post("last"))).status == 200


async def test_a_drain_told_while_connecting_bars_the_shot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    connecting, go = asyncio.Event(), asyncio.Event()

    async def dials(address: tuple[str, int], source: str | None) -> TcpConnection:
        if address[1] == platform.engines["w"].port:
            connecting.set()
            await go.wait()
        return await connect(address, source)

    platform = Platform(tmp_path, {"r": "prefill", "w": "decode"})
    monkeypatch.setattr("runspool.engines.connection_pool.connect", dials)
    async with platform.inside() as running:
        asked = asyncio.ensure_future(platform.ask(post("q1", "book")))
        await asyncio.wait_for(connecting.wait(), 15)
        platform.tell(w="leaving")
        async with asyncio.timeout(15):
            while running.executor.engine_records["w"].state == EngineState.READY:
                await asyncio.sleep(0.005)
        go.set()
        assert (await asked).status == 503  # known not to have run
        assert platform.attempts("q1", "decode") == []
