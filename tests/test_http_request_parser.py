"""Parsing of client requests: pipelined, malformed, and split at arbitrary positions."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from runspool.wire.http_requests import HttpRequestParser, InvalidHttpRequestError


def test_pipelined_requests_before_a_malformed_one_are_served_and_none_after_it() -> None:
    valid = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    for malformed, status in (
        (b"NONSENSE\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n", 413),
    ):
        parser = HttpRequestParser(1000, 10)
        parser.feed(valid + valid + malformed + valid)
        assert [request.complete for request in parser.ready] == [True, True]
        parser.raise_pending_error()  # raises nothing while valid requests are still to be served
        parser.ready.clear()
        with pytest.raises(InvalidHttpRequestError) as error:
            parser.raise_pending_error()
        assert error.value.status == status


@given(st.lists(st.integers(1, 40), max_size=30))
def test_requests_are_parsed_whole_at_any_chunk_boundaries(cuts: list[int]) -> None:
    raw = (
        b"POST /v1/completions?x=1 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
        b"Content-Length: 4\r\n\r\nabcd"
        b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
    )
    parser = HttpRequestParser(1000, 10)
    for cut in cuts:
        parser.feed(raw[:cut])
        raw = raw[cut:]
    if raw:
        parser.feed(raw)
    first, second = parser.ready
    assert (first.path, bytes(first.body), first.complete) == ("/v1/completions", b"abcd", True)
    assert (second.path, second.complete, second.keeps_alive) == ("/healthz", True, True)
