"""Every failure cause that the classification distinguishes, produced on a real socket."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
import anyio.abc
import msgspec
import pytest

from runspool.config import EngineClientConfig
from runspool.engines.attempt_result import AttemptResult
from runspool.engines.completions_client import CompletionsEngineClient, PrefillState
from runspool.engines.connection_pool import Address
from runspool.engines.failure_classification import STATUS_BY_CAUSE, FailureCause, may_have_executed
from runspool.engines.send_permit import UNRESTRICTED
from runspool.lab.engine import StandInEngine
from runspool.lab.recording import Recorder
from runspool.lab.response_faults import RESPONSE_FAULTS
from runspool.scheduling.types import NOT_EXECUTED, AttemptStatus
from runspool.service.clock import now
from tests.node_platform.http_messages import UNTRUE_SIZE_LINE
from tests.small_fleet import engine_spec

ONE_SECOND = 10_000  # tenths of a millisecond
CLIENT_CONFIG = EngineClientConfig(
    connect_ms=300,
    idle_ms=15000,
    connections_each=4,
    idle_each=4,
    read_answer_bytes=65536,
    line_bytes=16384,
    source_address=None,
)
REQUEST_STATE: PrefillState = {
    "prompt": msgspec.Raw(b'"' + b"abcd" * 40 + b'"'),
    "max_tokens": msgspec.Raw(b"50"),
    "standin": msgspec.Raw(b'{"try":"t","out":5}'),
}


class RecordingListener:
    """A stream listener that records what it receives."""

    def __init__(self) -> None:
        self.started = 0
        self.texts: list[str] = []

    async def stream_started(self) -> None:
        self.started += 1

    async def data_received(self, text: str) -> None:
        self.texts.append(text)


async def decode(
    client: CompletionsEngineClient,
    address: Address,
    limit: int = 2 * ONE_SECOND,
    state: PrefillState = REQUEST_STATE,
) -> AttemptResult:
    """Make one decode attempt for a request that any engine can serve."""
    return await client.decode(
        address, state, None, {"X-Request-Id": "q.1"}, limit, UNRESTRICTED, 50, RecordingListener()
    )


async def attempt_at(
    serve: Callable[[anyio.abc.SocketStream], Awaitable[None]],
    limit: int = ONE_SECOND,
    state: PrefillState = REQUEST_STATE,
    prepare: Callable[[CompletionsEngineClient, Address], Awaitable[None]] | None = None,
    prefill: bool = False,
) -> AttemptResult:
    """Make one attempt at an engine whose connections `serve` handles."""
    client = CompletionsEngineClient(CLIENT_CONFIG, now, 500)
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        address = ("127.0.0.1", int(listener.extra(anyio.abc.SocketAttribute.local_port)))
        tasks.start_soon(listener.serve, serve)
        tasks.start_soon(client.watchdog.run)
        if prepare is not None:
            await prepare(client, address)
        with anyio.fail_after(20):
            result = await (
                client.prefill(address, state, {}, limit, UNRESTRICTED)
                if prefill
                else decode(client, address, limit, state)
            )
        tasks.cancel_scope.cancel()
    client.pool.close()
    await listener.aclose()
    return result


CAUSES_BY_FAULT = {
    # The cause depends on whether the reset arrives before the last byte of the request is sent.
    "reset_before_body": (FailureCause.CLOSED_WHILE_SENDING, FailureCause.CLOSED_BEFORE_RESPONSE),
    "reset_after": (FailureCause.CLOSED_BEFORE_RESPONSE,),
    "close_after": (FailureCause.CLOSED_BEFORE_RESPONSE,),
    "silent": (FailureCause.TIMED_OUT_BEFORE_RESPONSE,),
    "full_429": (FailureCause.OVERLOADED,),
    "full_503": (FailureCause.OVERLOADED,),
    "bad_400": (FailureCause.REQUEST_REJECTED,),
    "missing_404": (FailureCause.UNSUPPORTED_ENDPOINT,),
    "failed_500": (FailureCause.SERVER_ERROR,),
    "failed_500_after_run": (FailureCause.SERVER_ERROR,),
    "garbled": (FailureCause.MALFORMED_RESPONSE,),
    "garbled_status": (FailureCause.SERVER_ERROR,),
    "head_garbled": (FailureCause.MALFORMED_RESPONSE,),
    "endless": (FailureCause.MALFORMED_RESPONSE,),
    "huge_event": (FailureCause.MALFORMED_RESPONSE,),
    "cut_answer": (FailureCause.CLOSED_DURING_RESPONSE,),
    "cut_stream": (FailureCause.STREAM_INTERRUPTED,),
    "reset_stream": (FailureCause.STREAM_INTERRUPTED,),
    "silent_stream": (FailureCause.STREAM_INTERRUPTED,),
    "no_finish": (FailureCause.STREAM_INTERRUPTED,),
    "error_event": (FailureCause.STREAM_INTERRUPTED,),
}


def test_every_fault_of_the_stand_in_engine_has_an_expected_cause() -> None:
    assert set(CAUSES_BY_FAULT) == set(RESPONSE_FAULTS)


@pytest.mark.parametrize("fault", RESPONSE_FAULTS)
@pytest.mark.anyio
async def test_a_fault_of_the_stand_in_engine_yields_its_cause_and_status(fault: str) -> None:
    engine = StandInEngine(engine_spec("mixed"), Recorder(None), False, 1)
    client = CompletionsEngineClient(CLIENT_CONFIG, now, 500)
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(engine.run, "127.0.0.1", 0)
        tasks.start_soon(client.watchdog.run)
        engine.set_fault("row", row=fault, share=1.0)
        with anyio.fail_after(20):
            result = await decode(client, ("127.0.0.1", port), ONE_SECOND // 2)
        assert result.failure_cause in CAUSES_BY_FAULT[fault], result
        assert result.status is STATUS_BY_CAUSE[result.failure_cause]
        # The faulty connection is not reused; the engine is, once the fault has ended.
        engine.set_fault("row", row=fault, share=0.0)
        with anyio.fail_after(20):
            assert (await decode(client, ("127.0.0.1", port))).status is AttemptStatus.SUCCEEDED
        tasks.cancel_scope.cancel()
    client.pool.close()


@pytest.mark.anyio
async def test_a_refused_connection_counts_as_not_executed() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))  # bound, not listening
        result = await decode(
            CompletionsEngineClient(CLIENT_CONFIG, now, 500), ("127.0.0.1", listener.getsockname()[1])
        )
    assert (result.failure_cause, result.status) == (
        FailureCause.CONNECT_FAILED,
        AttemptStatus.CONNECT_FAILED,
    )


@pytest.mark.anyio
async def test_a_connect_timeout_counts_as_not_executed() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:  # fill the listener's queue, as nobody accepts
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        result = await decode(CompletionsEngineClient(CLIENT_CONFIG, now, 500), listener.getsockname())
        for filler in fillers:
            filler.close()
    assert (result.failure_cause, result.status) == (
        FailureCause.CONNECT_FAILED,
        AttemptStatus.CONNECT_FAILED,
    )


@pytest.mark.anyio
async def test_an_attempt_without_time_left_is_not_sent() -> None:
    result = await decode(CompletionsEngineClient(CLIENT_CONFIG, now, 500), ("127.0.0.1", 1), 0)
    assert (result.failure_cause, result.status) == (FailureCause.NO_TIME_LEFT, AttemptStatus.NOT_SENT)


@pytest.mark.anyio
async def test_beyond_the_connection_limit_nothing_is_sent_and_nothing_waits() -> None:
    opened = anyio.Event()

    async def hold(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            opened.set()
            await anyio.sleep_forever()

    client = CompletionsEngineClient(CLIENT_CONFIG, now, 500)
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        address = ("127.0.0.1", int(listener.extra(anyio.abc.SocketAttribute.local_port)))
        tasks.start_soon(listener.serve, hold)
        for _ in range(CLIENT_CONFIG.connections_each):
            tasks.start_soon(decode, client, address, 60 * ONE_SECOND)
        await opened.wait()
        while client.pool.open_counts.get(address, 0) < CLIENT_CONFIG.connections_each:
            await anyio.sleep(0.001)
        result = await decode(client, address)
        assert (result.failure_cause, result.status) == (
            FailureCause.CONNECTION_LIMIT_REACHED,
            AttemptStatus.NOT_SENT,
        )
        tasks.cancel_scope.cancel()
    assert client.pool.open_counts == {}  # a cancelled attempt leaves no connection behind
    await listener.aclose()


@pytest.mark.anyio
async def test_an_idle_connection_closed_by_its_engine_is_not_used_again() -> None:
    count = 0

    async def answer_once(stream: anyio.abc.SocketStream) -> None:
        nonlocal count
        count += 1
        async with stream:
            await stream.receive()
            await anyio.sleep(0.01)
            await stream.send(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")

    async def prepare(client: CompletionsEngineClient, address: Address) -> None:
        assert (await decode(client, address)).status is AttemptStatus.OVERLOADED
        while not client.pool.idle[address][0].has_unread_input():  # until the engine's close arrives
            await anyio.sleep(0.001)

    result = await attempt_at(answer_once, prepare=prepare)
    assert (result.status, count) == (AttemptStatus.OVERLOADED, 2)


@pytest.mark.anyio
async def test_a_close_before_the_last_byte_of_the_request_counts_as_not_executed() -> None:
    async def close(stream: anyio.abc.SocketStream) -> None:
        await stream.aclose()

    async def prepare(client: CompletionsEngineClient, address: Address) -> None:
        connection = await client.pool.acquire(address)
        while not connection.has_unread_input():  # closed by its engine after the pool checked it
            await anyio.sleep(0.001)

        async def acquire_closed(*_: object) -> object:
            return connection

        client.pool.acquire = acquire_closed  # type: ignore[method-assign, assignment]

    result = await attempt_at(close, prepare=prepare)
    assert result.failure_cause is FailureCause.CLOSED_WHILE_SENDING
    assert result.status is AttemptStatus.CONNECT_FAILED


@pytest.mark.anyio
async def test_a_request_that_its_engine_does_not_receive_counts_as_not_executed() -> None:
    big = REQUEST_STATE | {"prompt": msgspec.Raw(b'"' + b"x" * 30_000_000 + b'"')}
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(8)  # the kernel accepts connections, and nobody reads from them
        result = await decode(
            CompletionsEngineClient(CLIENT_CONFIG, now, 500), listener.getsockname(), ONE_SECOND // 2, big
        )
    assert (result.failure_cause, result.status) == (
        FailureCause.TIMED_OUT_WHILE_SENDING,
        AttemptStatus.CONNECT_FAILED,
    )


@pytest.mark.parametrize(
    ("raw", "cause"),
    [
        (b"HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n", FailureCause.SERVER_ERROR),
        (
            b'HTTP/1.1 409 No\r\nContent-Length: 33\r\n\r\n{"error": {"code": "state_gone"}}',
            FailureCause.STATE_MISSING,
        ),
        (b"HTTP/1.1 409 No\r\nContent-Length: 2\r\n\r\n{}", FailureCause.UNSUPPORTED_ENDPOINT),
        (b"HTTP/1.1 413 Big\r\nContent-Length: 0\r\n\r\n", FailureCause.REQUEST_REJECTED),
        (b"HTTP/1.1 401 Who\r\nContent-Length: 0\r\n\r\n", FailureCause.UNSUPPORTED_ENDPOINT),
        (b"HTTP/1.1 502 Bad\r\nContent-Length: 0\r\n\r\n", FailureCause.SERVER_ERROR),
        (b"HTTP/1.1 503 Full\r\nContent-Length: 100\r\n\r\ncut", FailureCause.OVERLOADED),
        (b"HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", FailureCause.OVERLOADED),
        (b"HTTP/1.1 200 OK\r\n" + b"A: " + b"x" * 90_000, FailureCause.MALFORMED_RESPONSE),
        (b"HTTP/1.1 2", FailureCause.CLOSED_BEFORE_RESPONSE),
    ],
)
@pytest.mark.anyio
async def test_each_response_status_yields_its_cause(raw: bytes, cause: FailureCause) -> None:
    async def answer(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            await anyio.sleep(0.02)
            await stream.send(raw)

    result = await attempt_at(answer)
    assert result.failure_cause is cause, result
    assert result.status is STATUS_BY_CAUSE[cause]


@pytest.mark.anyio
async def test_a_prefill_response_without_state_is_malformed() -> None:
    async def answer(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")

    assert (await attempt_at(answer, prefill=True)).failure_cause is FailureCause.MALFORMED_RESPONSE


@pytest.mark.anyio
async def test_a_cancelled_attempt_closes_its_connection() -> None:
    closed = anyio.Event()

    async def await_close(stream: anyio.abc.SocketStream) -> None:
        try:
            async with stream:
                while True:
                    await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            closed.set()

    client = CompletionsEngineClient(CLIENT_CONFIG, now, 500)
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
        address = ("127.0.0.1", int(listener.extra(anyio.abc.SocketAttribute.local_port)))
        tasks.start_soon(listener.serve, await_close)
        with anyio.move_on_after(0.1):
            await decode(client, address, 60 * ONE_SECOND)
        with anyio.fail_after(10):
            await closed.wait()
        tasks.cancel_scope.cancel()
    assert STATUS_BY_CAUSE[FailureCause.CANCELLED] is AttemptStatus.CANCELLED
    await listener.aclose()


def test_only_causes_that_exclude_execution_count_as_not_executed() -> None:
    not_executed = {cause for cause in FailureCause if not may_have_executed(cause)}
    assert not_executed == {
        FailureCause.NO_TIME_LEFT,
        FailureCause.CONNECTION_LIMIT_REACHED,
        FailureCause.NOT_PERMITTED,
        FailureCause.CONNECT_FAILED,
        FailureCause.CLOSED_WHILE_SENDING,
        FailureCause.TIMED_OUT_WHILE_SENDING,
        FailureCause.OVERLOADED,
        FailureCause.STATE_MISSING,
        FailureCause.REQUEST_REJECTED,
        FailureCause.UNSUPPORTED_ENDPOINT,
    }
    assert set(STATUS_BY_CAUSE) == set(FailureCause)
    assert all(STATUS_BY_CAUSE[cause] in NOT_EXECUTED for cause in not_executed)


# Any bytes counted as progress of a stream, so that one without events never ended (review/3).
@pytest.mark.parametrize("piece", [b"4\r\nx: y\r\n", b"5\r\n: c\n\n\r\n"], ids=["no event", "comments"])
@pytest.mark.anyio
async def test_a_stream_that_goes_on_without_events_ends_at_the_idle_timeout(piece: bytes) -> None:
    async def serve(stream: anyio.abc.SocketStream) -> None:
        event = b'data: {"choices":[{"text":"a"}]}\n\n'
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        async with stream:
            await stream.receive()
            await stream.send(head + b"%x\r\n%b\r\n" % (len(event), event))
            with suppress(anyio.BrokenResourceError):
                while True:
                    await stream.send(piece)
                    await anyio.sleep(0.05)

    result = await attempt_at(serve)
    assert result.failure_cause is FailureCause.STREAM_INTERRUPTED


def streams(*chunks: bytes, ends: bool = True) -> Callable[[anyio.abc.SocketStream], Awaitable[None]]:
    """Return a server that answers with a stream of these chunks, as they are sent."""

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for chunk in chunks:
                await stream.send(chunk)
                await anyio.sleep(0.1)
            if ends:
                await stream.send(b"0\r\n\r\n")
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive()

    return serve


TEXT = b'data: {"choices":[{"text":"a"}]}\n\n'
END = b'data: {"choices":[{"text":"b","finish_reason":"stop"}]}\n\ndata: [DONE]\n\n'


# The limit of other bodies must not be that of a stream's chunk, which packs any number of events.
@pytest.mark.anyio
async def test_a_chunk_of_a_stream_may_be_larger_than_another_body() -> None:
    texts = TEXT.replace(b'"a"', b'"%b"' % (b"a" * 15_000)) * 8
    assert len(texts) > CLIENT_CONFIG.read_answer_bytes
    result = await attempt_at(streams(b"%x\r\n%b\r\n" % (len(texts + END), texts + END)))
    assert (result.status, result.output_tokens) == (AttemptStatus.SUCCEEDED, 9)


# c6e7e6: a size that cannot be true was believed for as long as events came inside its chunk.
@pytest.mark.anyio
@pytest.mark.parametrize(
    ("chunks", "cause"),
    [
        ([UNTRUE_SIZE_LINE + TEXT, *[TEXT] * 15], FailureCause.MALFORMED_RESPONSE),
        (
            [b"%x\r\n%b\r\n" % (len(TEXT), TEXT), UNTRUE_SIZE_LINE, *[TEXT] * 15],
            FailureCause.STREAM_INTERRUPTED,
        ),
    ],
)
async def test_a_stream_with_a_size_that_cannot_be_true_has_failed(
    chunks: list[bytes], cause: FailureCause
) -> None:
    result = await attempt_at(streams(*chunks, ends=False), limit=3 * ONE_SECOND)
    assert result.failure_cause is cause
    assert "stated" in result.detail
    assert result.output_tokens <= 1
