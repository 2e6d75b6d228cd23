"""Incremental parser for HTTP/1.1 responses of engines. It does no I/O.

It uses httptools, which is written in C, instead of h11. Most of a front's work is extracting tokens from
chunked bodies, and h11 took a fifth of the total time.
"""

from __future__ import annotations

import sys

import httptools

from runspool.errors import RunspoolError
from runspool.limits.peer_limits import PeerLimit
from runspool.wire.body_framing import FRAMING_FIELDS, BodyFraming
from runspool.wire.framing import FramingCounter

# Maximum number of headers stored per response; further ones are ignored, except those of the framing.
MAX_HEADERS = 64


class MalformedHttpResponseError(RunspoolError):
    """The received bytes are not a valid HTTP response.

    Attributes:
        limit: The limit that was reached; None if the error is of another kind.
    """

    def __init__(self, message: str, limit: PeerLimit | None = None) -> None:
        super().__init__(message)
        self.limit = limit


class ResponseParser:
    """Parses the responses of one connection, one at a time.

    Call feed() until `complete` is set, then reset() before the next response.

    Attributes:
        status: HTTP status; 0 before the end of the head.
        headers: Header values by lower-case name.
        head_complete: True once the whole head of the final response has arrived.
        complete: True once the whole response has arrived.
        keep_alive: Whether the connection can be reused; valid once `complete` is set.
        max_part_bytes: The largest size that the response may state for its body, or for a chunk of it, in
            bytes. The caller sets it before a response is read.
        framing: The sizes that the response has stated.
        oversized: Whether a stated size exceeds the limit. What follows it is ignored. The caller decides
            what that means, because some responses count whatever their body is.
    """

    def __init__(self, max_head_bytes: int) -> None:
        """Create a parser; `max_head_bytes` also limits what lies between two parts of a body."""
        self._max_head_bytes = max_head_bytes
        self.max_part_bytes = sys.maxsize
        self._body: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        self.reset()

    def reset(self) -> None:
        """Prepare for the next response on the same connection."""
        self.status = 0
        self.headers: dict[str, str] = {}
        self.head_complete = False
        self.complete = False
        self.keep_alive = False
        self._body.clear()
        self._remaining_head_bytes = self._max_head_bytes
        self._framing_counter = FramingCounter()
        self.framing = BodyFraming()
        self.oversized = False

    def detach_parser(self) -> None:
        """Release the httptools parser; feed() must not be called afterwards.

        The parser holds references to the callbacks of this object. When these reference cycles were left to
        the garbage collector, its runs paused a front for 20 to 35 ms.
        """
        del self._parser

    def feed(self, data: bytes) -> None:
        """Parse `data`.

        Bytes that follow the end of the response in the same `data` are ignored: the response is valid, but
        the connection cannot be reused.

        Raises:
            MalformedHttpResponseError: The bytes are not valid HTTP, the head or what lies between two parts
                of the body exceeds its size limit, or the response was already complete.
        """
        if self.complete:
            raise MalformedHttpResponseError("bytes received after the end of the response")
        if not self.head_complete:
            self._remaining_head_bytes -= len(data)
        self._parse_body(data if self.head_complete else self._parse_head(data))
        if not self.head_complete and self._remaining_head_bytes < 0:
            raise MalformedHttpResponseError(
                "response head exceeds the size limit", PeerLimit.RESPONSE_HEAD_BYTES
            )
        undelivered_bytes = self._framing_counter.add(len(data))
        if undelivered_bytes > self._max_head_bytes and self.head_complete and not self.complete:
            raise MalformedHttpResponseError(
                f"over {self._max_head_bytes} bytes between two parts of the body",
                PeerLimit.RESPONSE_FRAMING_BYTES,
            )

    def raise_if_oversized(self) -> None:
        """Raise an error if the response has stated a size that exceeds the limit.

        Raises:
            MalformedHttpResponseError: It has.
        """
        if self.oversized:
            raise MalformedHttpResponseError(
                f"a part of {self.framing.part_bytes} bytes is stated, {self.max_part_bytes} are allowed",
                PeerLimit.RESPONSE_STATED_BYTES,
            )

    def _parse_head(self, data: bytes) -> bytes:
        """Parse the head line by line, so that the beginning of the body is known; return what follows it."""
        start = 0
        while start < len(data) and not self.head_complete:
            end = data.find(b"\n", start) + 1 or len(data)
            self._parse(data[start:end])
            start = end
        if self.head_complete and not self.complete:
            self.framing.begin(self.headers)
            self.oversized = self.framing.remaining_bytes > self.max_part_bytes
        return data[start:]

    def _parse_body(self, data: bytes) -> None:
        """Parse a part of the body, up to the first stated size that exceeds the limit."""
        if not data or self.oversized:
            return
        oversized_at = self.framing.follow(data, self.max_part_bytes)
        self._parse(data[:oversized_at])
        self.oversized = oversized_at is not None and not self.complete

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._handle_parser_error("protocol upgrade without a request for one")
        except httptools.HttpParserError as error:
            self._handle_parser_error(str(error))

    def take_body(self) -> bytes:
        """Return the bytes of the body received since the last call."""
        if len(self._body) == 1:
            return self._body.pop()
        body = b"".join(self._body)
        self._body.clear()
        return body

    def _handle_parser_error(self, detail: str) -> None:
        if not self.complete:
            raise MalformedHttpResponseError(detail) from None
        self.keep_alive = False

    # Callbacks of httptools; their names are given by it.

    def on_message_begin(self) -> None:
        """Mark the connection as not reusable if a second response begins, as it was not requested."""
        if self.complete:
            self.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; ignore trailer fields, and those beyond MAX_HEADERS unless they frame the body."""
        if self.head_complete:
            return
        key = name.decode("latin-1").lower()
        if len(self.headers) < MAX_HEADERS or key in FRAMING_FIELDS:
            self.headers[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Store the status; discard the head of an interim response (1xx)."""
        if self.complete:
            return
        self.status = self._parser.get_status_code()
        self.head_complete = self.status >= 200
        self._framing_counter.record_delivery()
        if not self.head_complete:
            self.headers.clear()  # the final response follows

    def on_body(self, body: bytes) -> None:
        """Store a part of the body for take_body()."""
        if not self.complete:
            self._framing_counter.record_delivery()
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete, unless it is an interim response."""
        if self.status >= 200 and not self.complete:
            self.complete = True
            self.keep_alive = self._parser.should_keep_alive()
