"""The framing of a body, followed beside llhttp: the stated size of a part and what of it is to come."""

from __future__ import annotations

import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from runspool.engines.response_parser import MalformedHttpResponseError, ResponseParser
from runspool.limits.peer_limits import PeerLimit
from tests.test_message_framing_limits import split

HEAD_BYTES = 10_000
PART_LIMIT = 600
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class LlhttpPosition(ResponseParser):
    """A parser that also records, from the callbacks of llhttp alone, what of a chunk has arrived."""

    def __init__(self) -> None:
        super().__init__(HEAD_BYTES)
        self.chunk_count = self.chunk_bytes = 0

    def on_chunk_header(self) -> None:
        """Begin a chunk."""
        self.chunk_count += 1
        self.chunk_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Count the bytes of the chunk."""
        super().on_body(body)
        self.chunk_bytes += len(body)


size_forms = st.sampled_from([b"%x", b"%X", b"000%x", b"%x;n=1", b'%x;n="a b";m', b"%024x"])
chunk_lists = st.lists(st.tuples(st.integers(1, PART_LIMIT), size_forms), max_size=8)
cut_lists = st.lists(st.integers(1, 400), max_size=60)


@given(chunk_lists, cut_lists, st.sampled_from([b"0\r\n\r\n", b"0;n=1\r\nX: 1\r\n\r\n", b"000\r\n\r\n"]))
def test_the_framing_agrees_with_llhttp_at_any_split(
    chunks: list[tuple[int, bytes]], cuts: list[int], end: bytes
) -> None:
    body = b"".join(form % size + b"\r\n" + b"d" * size + b"\r\n" for size, form in chunks)
    parser = LlhttpPosition()
    parser.max_part_bytes = PART_LIMIT
    for piece in split(CHUNKED_HEAD + body + end, cuts):
        if piece:
            parser.feed(piece)
        framing = parser.framing
        if parser.complete:
            break
        assert framing.part_number == min(parser.chunk_count, len(chunks))  # llhttp counts the last chunk too
        if parser.chunk_count > len(chunks):
            assert framing.remaining_bytes == 0
        elif framing.part_number:
            assert framing.part_bytes == chunks[framing.part_number - 1][0]
            assert framing.part_bytes - framing.remaining_bytes == parser.chunk_bytes
    assert parser.complete
    assert not parser.oversized


@given(chunk_lists, cut_lists, st.integers(1, 1 << 40), size_forms)
def test_a_size_over_the_limit_is_known_when_its_line_ends(
    chunks: list[tuple[int, bytes]], cuts: list[int], excess: int, form: bytes
) -> None:
    sound = b"".join(b"%x\r\n" % size + b"d" * size + b"\r\n" for size, _ in chunks)
    size_line = form % (PART_LIMIT + excess) + b"\r\n"
    parser = ResponseParser(HEAD_BYTES)
    parser.max_part_bytes = PART_LIMIT
    received, fed = b"", 0
    for piece in split(CHUNKED_HEAD + sound + size_line + b"beyond", cuts):
        if piece:
            parser.feed(piece)
            fed += len(piece)
            received += parser.take_body()
        assert parser.oversized == (fed >= len(CHUNKED_HEAD + sound + size_line))
    assert received == b"d" * sum(size for size, _ in chunks)
    with pytest.raises(MalformedHttpResponseError) as refused:
        parser.raise_if_oversized()
    assert refused.value.limit is PeerLimit.RESPONSE_STATED_BYTES


# How a head frames its body, and the size that is stated by it; 0 if none is.
HEADS = {
    b"Content-Length: 500": 500,
    b"Content-Length: 3000000000": 3_000_000_000,
    b"Connection: close": 0,
    b"Transfer-Encoding: gzip": 0,
    b"Transfer-Encoding: chunked, gzip": 0,
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip": 0,
    b"\r\n".join(b"X-%d: 1" % number for number in range(80)) + b"\r\nContent-Length: 500": 500,
}


@pytest.mark.parametrize("fields", HEADS)
def test_a_head_states_the_size_of_its_body(fields: bytes) -> None:
    parser = ResponseParser(HEAD_BYTES)
    parser.max_part_bytes = PART_LIMIT
    parser.feed(b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + b"\r\n\r\n")
    assert parser.framing.part_bytes == HEADS[fields]
    assert parser.oversized == (HEADS[fields] > PART_LIMIT)
    if not parser.oversized:
        parser.feed(b"d" * 100)
        assert parser.framing.remaining_bytes == max(0, HEADS[fields] - 100)
        assert parser.take_body() == b"d" * 100


def test_the_second_response_of_a_connection_is_followed_anew() -> None:
    parser = ResponseParser(HEAD_BYTES)
    for size in (3, 5):
        parser.feed(CHUNKED_HEAD + b"%x\r\n" % size + b"d" * size)
        assert (parser.framing.part_number, parser.framing.part_bytes) == (1, size)
        parser.feed(b"\r\n0\r\n\r\n")
        assert parser.complete
        parser.reset()


def test_a_response_without_a_body_states_nothing() -> None:
    parser = ResponseParser(HEAD_BYTES)
    parser.max_part_bytes = PART_LIMIT
    parser.feed(b"HTTP/1.1 204 No Content\r\nContent-Length: 3000000000\r\n\r\n")
    assert parser.complete
    assert not parser.oversized


# A size of thousands of digits was stored as it is, and could be written neither to the log nor to an error.
@pytest.mark.parametrize("size_line", [b"f" * 20, b"f" * 6_000, b"-5", b"0x50", b"5_0", b"", b";n=1", b" 5"])
def test_a_size_that_is_none_is_refused_and_can_be_logged(size_line: bytes) -> None:
    parser = ResponseParser(HEAD_BYTES)
    parser.max_part_bytes = PART_LIMIT
    parser.feed(CHUNKED_HEAD + b"5\r\nhello\r\n")
    with pytest.raises(MalformedHttpResponseError) as refused:
        parser.feed(size_line + b"\r\nhello")
    assert str(refused.value)
    assert 0 <= parser.framing.part_bytes <= sys.maxsize
    assert 0 <= parser.framing.remaining_bytes <= sys.maxsize
