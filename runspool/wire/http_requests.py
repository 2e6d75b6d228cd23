"""Incremental parser of clients' HTTP/1.1 requests. Free of I/O.

It uses httptools (llhttp, strict), as the engines' side does. One feed may hold several pipelined requests;
they wait in `ready`, which never holds more than was fed.
"""

from __future__ import annotations

from collections import deque
from http import HTTPStatus

import httptools

from runspool.errors import RunspoolError

MAX_HEADERS = 100  # headers of one request
REASONS = {status.value: status.phrase for status in HTTPStatus}

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKS_END = b"0\r\n\r\n"


class InvalidHttpRequestError(RunspoolError):
    """A request refused before it was accepted; its connection ends with it.

    `status` is the HTTP status, `code` the machine-readable reason, `message` the text for people.
    """

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message


class HttpRequest:
    """One request, complete or still being received; header names are in lower case."""

    __slots__ = ("body", "complete", "head_complete", "headers", "keeps_alive", "method", "target", "version")

    def __init__(self) -> None:
        self.method = ""
        self.target = b""
        self.version = ""
        self.headers: dict[str, str] = {}
        self.head_complete = False
        self.complete = False
        self.keeps_alive = False
        self.body = bytearray()

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def expects_continue(self) -> bool:
        """Whether the client sends its body only after a 100 Continue."""
        return self.headers.get("expect", "").lower() == "100-continue" and not self.body


class HttpRequestParser:
    """Parses the requests of one connection, in order.

    `head_bytes` and `body_bytes` bound a head and a body. A header whose lower-case name begins with one of
    `unique_prefixes` may not occur twice in a request.
    """

    def __init__(self, head_bytes: int, body_bytes: int, unique_prefixes: tuple[str, ...] = ()) -> None:
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.unique_prefixes = unique_prefixes
        self.ready: deque[HttpRequest] = deque()  # the last one may be incomplete
        self._error: InvalidHttpRequestError | None = None
        self._complete_before_error = 0  # requests
        self._unparsed_head_bytes = 0  # bytes fed since the last head was complete
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parse bytes; raise InvalidHttpRequestError for what is no request or is larger than allowed.

        Where complete requests precede the error, they are to be served first: raise_pending_error() raises
        it then. Nothing may be fed after an error.
        """
        self._unparsed_head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._record_error(400, "malformed", "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            self._record_error(400, "malformed", str(error))
        last = self.ready[-1] if self.ready else None
        in_head = last is None or not last.head_complete
        if in_head and self._unparsed_head_bytes > self.head_bytes:
            self._record_error(431, "malformed", f"a head of over {self.head_bytes} bytes")
        if self._error is not None:
            while len(self.ready) > self._complete_before_error:
                self.ready.pop()
            self.raise_pending_error()

    def _record_error(self, status: int, code: str, message: str) -> None:
        """Keep the first error; the request in which it lies and all after it are not served."""
        if self._error is None:
            self._error = InvalidHttpRequestError(status, code, message)
            self._complete_before_error = sum(request.complete for request in self.ready)

    def raise_pending_error(self) -> None:
        """Raise the error that followed complete requests, once all of those have been taken from `ready`."""
        if self._error is not None and not self.ready:
            raise self._error

    def close(self) -> None:
        """Drop the underlying parser, which refers back to this one; nothing may be fed afterwards."""
        del self._parser

    # The names of the following methods are httptools' own.

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.ready.append(HttpRequest())

    def on_url(self, part: bytes) -> None:
        """Add a part of the target."""
        self.ready[-1].target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, or record an error."""
        headers = self.ready[-1].headers
        key = name.decode("latin-1").lower()
        if len(headers) >= MAX_HEADERS:
            self._record_error(431, "malformed", f"more than {MAX_HEADERS} headers")
        elif key in headers and key.startswith(self.unique_prefixes):
            self._record_error(400, "malformed", f"{key} is said twice")
        else:
            headers[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Complete the head, or record an error."""
        request = self.ready[-1]
        request.method = self._parser.get_method().decode("latin-1")
        request.version = self._parser.get_http_version()
        request.head_complete = True
        self._unparsed_head_bytes = 0
        length = int(request.headers.get("content-length", "0"))  # httptools has checked that it is a number
        if request.version not in ("1.0", "1.1"):
            self._record_error(505, "malformed", f"HTTP/{request.version} is not spoken here")
        elif request.version == "1.1" and "host" not in request.headers:
            self._record_error(400, "malformed", "no host header")
        elif length > self.body_bytes:
            self._record_error(413, "query_bytes", f"a body of {length} bytes, {self.body_bytes} are taken")

    def on_body(self, part: bytes) -> None:
        """Add a part of the body, or record an error."""
        body = self.ready[-1].body
        if len(body) + len(part) > self.body_bytes:
            self._record_error(413, "query_bytes", f"a body of over {self.body_bytes} bytes")
        elif self._error is None:
            body += part

    def on_message_complete(self) -> None:
        """Complete the request."""
        self.ready[-1].complete = True
        self.ready[-1].keeps_alive = self._parser.should_keep_alive()


def head(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Return the head of a response; header names and values must be safe to send as they are."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status} {REASONS.get(status, '')}\r\n{lines}\r\n".encode("latin-1")


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
