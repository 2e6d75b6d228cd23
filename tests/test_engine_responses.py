"""Parsing of engine responses: arbitrary chunk boundaries, excess bytes, load reports and error codes."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from runspool.engines.response_parser import MalformedHttpResponseError, ResponseParser
from runspool.wire import completions
from runspool.wire import engine_messages as messages

MAX_BYTES = 65536  # of a response body or an event


@given(st.lists(st.text(max_size=20), max_size=6), st.lists(st.integers(1, 40), min_size=1, max_size=30))
def test_events_are_parsed_whole_at_any_chunk_boundaries(texts: list[str], cuts: list[int]) -> None:
    chunks = completions.CompletionEventEncoder("q", "m", 0)
    body = b"".join(chunks.text(text) for text in texts) + b"0\r\n\r\n"
    raw = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n" + body
    response, splitter, events = ResponseParser(MAX_BYTES), messages.EventSplitter(MAX_BYTES), []
    position = turn = 0
    while position < len(raw):
        size = cuts[turn % len(cuts)]
        response.feed(raw[position : position + size])
        events += splitter.feed(response.take_body())
        position, turn = position + size, turn + 1
    assert response.complete and response.status == 200 and response.headers["x"] == "y"
    assert [messages.parse_response(event).choices[0].text for event in events] == texts


def test_bytes_past_the_end_of_a_response_are_malformed() -> None:
    response = ResponseParser(MAX_BYTES)
    response.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    with pytest.raises(MalformedHttpResponseError):
        response.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


@given(st.binary(max_size=200))
def test_parsing_load_reports_and_error_codes_never_raises(raw: bytes) -> None:
    messages.parse_load_report("JSON " + raw.decode("latin-1"))
    assert isinstance(messages.parse_error_code(raw), str)


def test_load_report_in_its_documented_format_is_parsed() -> None:
    header = msgspec.json.encode(
        {"named_metrics": {"kv_cache_usage_perc": 0.25, "prompt_tokens_waiting": 800}}
    )
    report = messages.parse_load_report("JSON " + header.decode())
    assert report is not None
    assert (report.memory_utilization, report.queued_prompt_tokens, report.slot_utilization) == (
        0.25,
        800,
        None,
    )
    assert messages.parse_load_report(None) is messages.parse_load_report("TEXT a=1") is None
