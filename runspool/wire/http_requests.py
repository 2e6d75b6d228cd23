"""Clients' HTTP/1.1 requests, taken apart as their bytes come. Free of I/O.

httptools (llhttp, strict) as on the engines' side. It takes apart a pipelined request together with the one
before; what came that way waits in `ready`, no more of it than was fed.
"""

from __future__ import annotations

from collections import deque
from http import HTTPStatus

import httptools

MOST_HEADERS = 100
REASONS = {status.value: status.phrase for status in HTTPStatus}


class InvalidHttpRequestError(Exception):
    """A request refused before intake; the connection ends with it."""

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.status, self.code, self.message = status, code, message


class HttpRequest:
    """One request; header names in lower case."""

    __slots__ = ("body", "complete", "head_complete", "headers", "keeps_alive", "method", "target", "version")

    def __init__(self) -> None:
        self.method = ""
        self.target = b""
        self.version = ""
        self.headers: dict[str, str] = {}
        self.head_complete = self.complete = self.keeps_alive = False
        self.body = bytearray()

    @property
    def path(self) -> str:
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def expects_continue(self) -> bool:
        """True where the client sends its body only once it is told to go on."""
        return self.headers.get("expect", "").lower() == "100-continue" and not self.body


class HttpRequestParser:
    """The requests of one connection, in order."""

    def __init__(self, head_bytes: int, body_bytes: int, once_only: tuple[str, ...] = ()) -> None:
        """Headers whose lower-case names begin with one of `once_only` may not be said twice."""
        self.head_bytes, self.body_bytes, self.once_only = head_bytes, body_bytes, once_only
        self.ready: deque[HttpRequest] = deque()  # the first may still be coming, as any last one
        self._fault: InvalidHttpRequestError | None = None
        self._sound = 0  # whole requests ahead of the fault
        self._unread = 0  # bytes fed since the last head was done
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Raises BadRequest on what is no request or is larger than it may be; after that feed no more.

        Where whole requests came ahead of the fault, they are served first: put_off() raises it then.
        """
        self._unread += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "malformed", "no other protocol is spoken here")
        except httptools.HttpParserError as wrong:
            self._refuse(400, "malformed", str(wrong))
        coming = self.ready[-1] if self.ready else None
        if (coming is None or not coming.head_complete) and self._unread > self.head_bytes:
            self._refuse(431, "malformed", f"a head of over {self.head_bytes} bytes")
        if self._fault is not None:
            while len(self.ready) > self._sound:
                self.ready.pop()
            self.raise_pending_error()

    def _refuse(self, status: int, code: str, message: str) -> None:
        """The first fault counts; the request in which it lies and all after it are not served."""
        if self._fault is None:
            self._fault = InvalidHttpRequestError(status, code, message)
            self._sound = sum(one.complete for one in self.ready)

    def raise_pending_error(self) -> None:
        """Raises the fault that followed requests which have all been served now."""
        if self._fault is not None and not self.ready:
            raise self._fault

    def close(self) -> None:
        """Lets the parser go, which holds this by its callbacks. To be fed no more."""
        del self._parser

    # Called by the parser.

    def on_message_begin(self) -> None:
        self.ready.append(HttpRequest())

    def on_url(self, part: bytes) -> None:
        self.ready[-1].target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        headers, key = self.ready[-1].headers, name.decode("latin-1").lower()
        if len(headers) >= MOST_HEADERS:
            self._refuse(431, "malformed", f"more than {MOST_HEADERS} headers")
        elif key in headers and key.startswith(self.once_only):
            self._refuse(400, "malformed", f"{key} is said twice")
        else:
            headers[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        request = self.ready[-1]
        request.method = self._parser.get_method().decode("latin-1")
        request.version = self._parser.get_http_version()
        request.head_complete = True
        self._unread = 0
        length = int(request.headers.get("content-length", "0"))  # the parser has seen that it is a number
        if request.version not in ("1.0", "1.1"):
            self._refuse(505, "malformed", f"HTTP/{request.version} is not spoken here")
        elif request.version == "1.1" and "host" not in request.headers:
            self._refuse(400, "malformed", "no host header")
        elif length > self.body_bytes:
            self._refuse(413, "query_bytes", f"a body of {length} bytes, {self.body_bytes} are taken")

    def on_body(self, part: bytes) -> None:
        body = self.ready[-1].body
        if len(body) + len(part) > self.body_bytes:
            self._refuse(413, "query_bytes", f"a body of over {self.body_bytes} bytes")
        elif self._fault is None:
            body += part

    def on_message_complete(self) -> None:
        self.ready[-1].complete = True
        self.ready[-1].keeps_alive = self._parser.should_keep_alive()


def head(status: int, headers: list[tuple[str, str]]) -> bytes:
    """The head of an answer; names and values are the program's own."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status} {REASONS.get(status, '')}\r\n{lines}\r\n".encode("latin-1")


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKS_END = b"0\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """One chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
