"""Incremental parser for HTTP/1.1 requests of clients, and encoding of response heads. It does no I/O.

The parser uses httptools (llhttp in strict mode), as the parser of engine responses does. The data of one
call may contain several pipelined requests; they are queued in `ready`, whose size is therefore bounded by
that of the data passed to feed().
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from runspool.errors import RunspoolError
from runspool.limits.peer_limits import PeerLimit
from runspool.wire.framing import FramingCounter

MAX_HEADERS = 100  # maximum number of headers per request, and of fields in its trailer section
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}  # reason phrase by HTTP status

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"  # last chunk of a chunked body


@dataclass(frozen=True, slots=True)
class HttpRefusal:
    """The error response to a request that is refused before it is accepted.

    Unlike an error it has no traceback, whose frames would keep the request alive. It may be stored.

    Attributes:
        status: HTTP status of the response.
        code: Machine-readable error code.
        message: Human-readable description.
        limit: The limit that was reached; None if the reason is of another kind.
    """

    status: int
    code: str
    message: str
    limit: PeerLimit | None = None


class InvalidHttpRequestError(RunspoolError):
    """Received bytes are not a valid HTTP request, or exceed a size limit; the connection must be closed.

    The error must not be stored, as its traceback refers to the request; `refusal` may be.

    Attributes:
        refusal: The response.
    """

    def __init__(self, refusal: HttpRefusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return self.refusal.status

    @property
    def limit(self) -> PeerLimit | None:
        """The limit that was reached; None if the error is of another kind."""
        return self.refusal.limit


# Memory of one header beside its bytes: two strings and their place in the dictionary.
HEADER_OVERHEAD_BYTES = 250
# Parts of a body are joined into blocks of this size, in bytes, until the whole body is taken. A buffer that
# grows by copying would leave gaps in the memory of the process.
BODY_BLOCK_BYTES = 4_096


class BodyBuffer:
    """The part of a body that has been received."""

    __slots__ = ("_blocks", "_last_block", "_size")

    def __init__(self) -> None:
        self._blocks: list[bytes] = []
        self._last_block = bytearray()
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __bytes__(self) -> bytes:
        return b"".join((*self._blocks, self._last_block))

    def append(self, part: bytes) -> None:
        """Append a part."""
        self._size += len(part)
        if len(part) < BODY_BLOCK_BYTES:
            self._last_block += part
            part = b""
        if len(self._last_block) >= BODY_BLOCK_BYTES or part:
            self._blocks += (bytes(self._last_block), part)
            self._last_block = bytearray()

    def clear(self) -> None:
        """Forget the body."""
        self._blocks = []
        self._last_block = bytearray()
        self._size = 0


class HttpRequest:
    """A request that is complete or still being received.

    Attributes:
        method: HTTP method.
        target: Request target, including the query string.
        version: HTTP version, "1.0" or "1.1".
        headers: Header values by lower-case name.
        head_complete: True once the whole head has arrived.
        complete: True once the whole request has arrived.
        keeps_alive: Whether the connection stays open after the response; valid once `complete` is set.
        body: The part of the body received so far.
        head_size: The memory that the target and the headers take, in bytes.
    """

    __slots__ = (
        "body",
        "complete",
        "head_complete",
        "head_size",
        "headers",
        "keeps_alive",
        "method",
        "target",
        "version",
    )

    def __init__(self) -> None:
        self.method = ""
        self.target = b""
        self.version = ""
        self.headers: dict[str, str] = {}
        self.head_complete = False
        self.complete = False
        self.keeps_alive = False
        self.body = BodyBuffer()
        self.head_size = 0

    @property
    def held_bytes(self) -> int:
        """The memory that the request takes, in bytes."""
        return self.head_size + len(self.body)

    @property
    def path(self) -> str:
        """The target without its query string."""
        return self.target.partition(b"?")[0].decode("latin-1")

    def take_body(self) -> bytes:
        """Return the body and keep no copy of it."""
        body = bytes(self.body)
        self.body.clear()
        return body

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for the interim response 100 Continue before it sends the body."""
        return self.headers.get("expect", "").lower() == "100-continue" and not self.body


class HttpRequestParser:
    """Parses the requests of one connection.

    Attributes:
        head_bytes: Maximum size of a request head, and of what lies between two parts of a request's body.
        body_bytes: Maximum size of a request body.
        unique_prefixes: A header whose lower-case name begins with one of these must not be repeated.
        ready: Requests in the order received. The last one may be incomplete. The caller removes them.
    """

    def __init__(self, head_bytes: int, body_bytes: int, unique_prefixes: tuple[str, ...] = ()) -> None:
        self.head_bytes = head_bytes
        self.body_bytes = body_bytes
        self.unique_prefixes = unique_prefixes
        self.ready: deque[HttpRequest] = deque()
        self._refusal: HttpRefusal | None = None
        self._complete_before_error = 0  # number of complete requests in `ready` before the error
        self._framing = FramingCounter()
        self._trailer_fields = 0  # number of fields in the trailer section of the last request
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parse `data`. Must not be called again after an error.

        If complete requests precede an error, the error is not raised here. The caller must serve these
        requests and then call raise_pending_error().

        Raises:
            InvalidHttpRequestError: `data` is not a valid request, or exceeds a size limit.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._record_error(400, "malformed", "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            self._record_error(400, "malformed", str(error))
        if self._framing.add(len(data)) > self.head_bytes:
            self._record_framing_error()
        if self._refusal is not None:
            while len(self.ready) > self._complete_before_error:
                self.ready.pop().body.clear()
            self.raise_pending_error()

    def _record_framing_error(self) -> None:
        last = self.ready[-1] if self.ready else None
        if last is None or not last.head_complete:
            message, limit = f"a head of over {self.head_bytes} bytes", PeerLimit.REQUEST_HEAD_BYTES
        else:
            message = f"over {self.head_bytes} bytes between two parts of a body"
            limit = PeerLimit.REQUEST_FRAMING_BYTES
        self._record_error(431, "malformed", message, limit)

    def _record_error(self, status: int, code: str, message: str, limit: PeerLimit | None = None) -> None:
        """Record the first error. The request that contains it and all later ones are discarded."""
        if self._refusal is None:
            self._refusal = HttpRefusal(status, code, message, limit)
            self._complete_before_error = sum(request.complete for request in self.ready)

    def raise_pending_error(self) -> None:
        """Raise the recorded error, if there is one, once `ready` is empty."""
        if self._refusal is not None and not self.ready:
            raise InvalidHttpRequestError(self._refusal)

    def discard_requests(self) -> None:
        """Forget all requests and their bodies, which a caller may still refer to for a while."""
        for request in self.ready:
            request.body.clear()
        self.ready.clear()

    @property
    def held_bytes(self) -> int:
        """The memory that the requests in `ready` and incomplete fields take, in bytes."""
        return self._framing.count + sum(request.held_bytes for request in self.ready)

    def close(self) -> None:
        """Release the httptools parser, which refers back to this object. No feed() may follow."""
        del self._parser

    # Callbacks of httptools; their names are given by it.

    def on_message_begin(self) -> None:
        """Append a new request to `ready`."""
        self.ready.append(HttpRequest())
        self._trailer_fields = 0

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        request = self.ready[-1]
        request.target += part
        request.head_size += len(part)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; record an error if there are too many or it must not be repeated."""
        request = self.ready[-1]
        headers = request.headers
        key = name.decode("latin-1").lower()
        if request.head_complete:
            self._check_trailer_field(key)
        elif len(headers) >= MAX_HEADERS:
            self._record_error(431, "malformed", f"more than {MAX_HEADERS} headers", PeerLimit.REQUEST_FIELDS)
        elif key in headers and key.startswith(self.unique_prefixes):
            self._record_error(400, "malformed", f"{key} is said twice")
        else:
            headers[key] = value.decode("latin-1")
            request.head_size += len(name) + len(value) + HEADER_OVERHEAD_BYTES

    def _check_trailer_field(self, key: str) -> None:
        """Check a field of a trailer section, which is not stored (RFC 9110, 6.5.1)."""
        self._trailer_fields += 1
        if key.startswith(self.unique_prefixes):
            self._record_error(400, "malformed", f"{key} is said in the trailer section")
        elif self._trailer_fields > MAX_HEADERS:
            self._record_error(
                431, "malformed", f"more than {MAX_HEADERS} trailer fields", PeerLimit.REQUEST_FIELDS
            )

    def on_headers_complete(self) -> None:
        """Mark the head as complete; record an error if it is not acceptable."""
        request = self.ready[-1]
        request.method = self._parser.get_method().decode("latin-1")
        request.version = self._parser.get_http_version()
        request.head_complete = True
        self._framing.record_delivery()
        length = int(request.headers.get("content-length", "0"))  # validated by httptools
        if request.version not in ("1.0", "1.1"):
            self._record_error(505, "malformed", f"HTTP/{request.version} is not spoken here")
        elif request.version == "1.1" and "host" not in request.headers:
            self._record_error(400, "malformed", "no host header")
        elif length > self.body_bytes:
            self._record_error(
                413,
                "query_bytes",
                f"a body of {length} bytes, {self.body_bytes} are taken",
                PeerLimit.REQUEST_BODY_BYTES,
            )

    def on_body(self, part: bytes) -> None:
        """Append a part of the body; record an error if it exceeds the size limit."""
        self._framing.record_delivery()
        body = self.ready[-1].body
        if len(body) + len(part) > self.body_bytes:
            self._record_error(
                413, "query_bytes", f"a body of over {self.body_bytes} bytes", PeerLimit.REQUEST_BODY_BYTES
            )
        elif self._refusal is None:
            body.append(part)

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self._framing.record_delivery()
        self.ready[-1].complete = True
        self.ready[-1].keeps_alive = self._parser.should_keep_alive()


def encode_response_head(status: int, headers: list[tuple[str, str]]) -> bytes:
    """Return the encoded head of a response. The caller must have validated the header names and values."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status} {REASON_PHRASES.get(status, '')}\r\n{lines}\r\n".encode("latin-1")


def encode_chunk(data: bytes) -> bytes:
    """Return `data` encoded as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)
