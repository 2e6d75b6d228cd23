"""An incremental parser of an engine's HTTP/1.1 response. Does no I/O.

It uses httptools, a parser in C, and not h11, which serves the clients' side: most of a front's work is
taking tokens out of chunks, where h11 alone took a fifth of the time.
"""

from __future__ import annotations

import httptools

from runspool.errors import RunspoolError

MAX_HEADERS = 64  # further headers of a response are ignored


class MalformedHttpResponseError(RunspoolError):
    """The bytes received are not an HTTP response."""


class ResponseParser:
    """Parses one response: call feed() until `complete`, then reset() before the next one.

    `status`, `headers` (names in lower case) and `head_complete` are set once the head has come;
    `keep_alive` is known once `complete` is set.
    """

    def __init__(self, max_head_bytes: int) -> None:
        self._max_head_bytes = max_head_bytes
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

    def detach_parser(self) -> None:
        """Drop the httptools parser; feed() must not be called afterwards.

        The parser refers to this object by its callbacks. Left to the garbage collector, such cycles
        stopped a front for 20 to 35 ms at a time.
        """
        del self._parser

    def feed(self, data: bytes) -> None:
        """Parse `data`.

        Bytes after the end of the response in the same `data` are ignored: the response is valid, but the
        connection is not kept.

        Raises:
            MalformedHttpResponseError: The bytes are not valid HTTP, the head exceeds its size limit, or
                the response was already complete.
        """
        if self.complete:
            raise MalformedHttpResponseError("bytes after the answer's end")
        if not self.head_complete:
            self._remaining_head_bytes -= len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._handle_parser_error("an upgrade nobody asked for")
        except httptools.HttpParserError as error:
            self._handle_parser_error(str(error))
        if not self.head_complete and self._remaining_head_bytes < 0:
            raise MalformedHttpResponseError("a head without end")

    def take_body(self) -> bytes:
        """Return the bytes of the body that have come since the last call."""
        if len(self._body) == 1:
            return self._body.pop()
        body = b"".join(self._body)
        self._body.clear()
        return body

    def _handle_parser_error(self, detail: str) -> None:
        if not self.complete:
            raise MalformedHttpResponseError(detail) from None
        self.keep_alive = False

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Note a second response, which nothing has requested: the connection is not kept."""
        if self.complete:
            self.keep_alive = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, up to MAX_HEADERS different ones."""
        if not self.complete and len(self.headers) < MAX_HEADERS:
            self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Store the status; a head with an interim status (1xx) is dropped."""
        if self.complete:
            return
        self.status = self._parser.get_status_code()
        self.head_complete = self.status >= 200
        if not self.head_complete:
            self.headers.clear()  # the final response follows

    def on_body(self, body: bytes) -> None:
        """Store a piece of the body for take_body()."""
        if not self.complete:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Note the end of the final response."""
        if self.status >= 200 and not self.complete:
            self.complete = True
            self.keep_alive = self._parser.should_keep_alive()
