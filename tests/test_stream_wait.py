"""How long a stream may keep its client waiting: until the idle timeout, with two exceptions."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from runspool.engines.stream_wait import MAX_EVENT_TIME, MAX_TIME_AFTER_END, AwaitedPart, StreamWait
from runspool.wire.body_framing import BodyFraming

IDLE_TIMEOUT = 49_500  # tenths of a millisecond
START = 1_000_000


def chunked_framing(data: bytes) -> BodyFraming:
    """Return the framing of a chunked body after this data."""
    framing = BodyFraming()
    framing.begin({"transfer-encoding": "chunked"})
    framing.follow(data, 1 << 40)
    return framing


def wait_after_event(framing: BodyFraming, has_ended: bool = False) -> StreamWait:
    """Return the wait of a stream that has just brought an event."""
    wait = StreamWait(IDLE_TIMEOUT, START - 500, chunked_framing(b""), False)
    wait.record_progress(START, framing, has_ended)
    return wait


def test_a_wait_ends_after_the_idle_timeout() -> None:
    framing = chunked_framing(b"5\r\nhello\r\n")
    wait = wait_after_event(framing)
    assert wait.ends_at(START + 40_000, framing, START, False) == START + IDLE_TIMEOUT
    assert wait.awaited is AwaitedPart.EVENT


def test_the_rest_of_a_chunk_after_the_end_is_waited_for_briefly() -> None:
    framing = chunked_framing(b"5\r\nhel")
    wait = wait_after_event(framing, has_ended=True)
    assert wait.ends_at(START + 10, framing, START - 9_000, False) == START + MAX_TIME_AFTER_END
    assert wait.awaited.value == AwaitedPart.STATED_BYTES.value
    framing.follow(b"lo\r\n", 1 << 40)
    assert wait.ends_at(START + 20, framing, START - 9_000, False) == START + IDLE_TIMEOUT
    assert wait.awaited.value == AwaitedPart.RESPONSE_END.value
    framing.follow(b"400\r\n:", 1 << 40)
    assert wait.ends_at(START + 30_000, framing, START + 30_000, False) == START + 40_000
    assert wait.ends_at(START + 45_000, framing, START + 45_000, False) == START + IDLE_TIMEOUT


@given(
    st.lists(st.tuples(st.integers(1, 400), st.integers(0, 20_000)), max_size=60),
    st.lists(st.integers(1, 3_000), min_size=1, max_size=20),
    st.booleans(),
)
def test_no_wait_is_longer_than_that_for_an_event_in_one_chunk(
    reads: list[tuple[int, int]], sizes: list[int], has_ended: bool
) -> None:
    body = b"".join(b"%x\r\n" % size + b"d" * size + b"\r\n" for size in sizes)
    framing = chunked_framing(b"")
    wait = wait_after_event(framing, has_ended)
    now = START
    for size, pause in reads:
        now += pause
        framing.follow(body[:size], 1 << 40)
        body = body[size:]
        ends_at = wait.ends_at(now, framing, now, True)
        limit = IDLE_TIMEOUT if has_ended or framing.part_number > 1 else MAX_EVENT_TIME
        assert ends_at <= START + limit
        assert has_ended or ends_at >= START + IDLE_TIMEOUT
