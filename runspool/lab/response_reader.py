"""Read the response of a front as a client does, and record what is received."""

from __future__ import annotations

from dataclasses import dataclass

import anyio
import h11
import msgspec
from anyio.abc import SocketStream

from runspool.lab.plan import SECOND
from runspool.lab.recording import Recorder
from runspool.lab.workload import PlannedRequest
from runspool.service.clock import now
from runspool.units import TENTHS_PER_MS
from runspool.wire.engine_messages import EventSplitter

IDLE_TIMEOUT = 20.0  # seconds without data after which a client abandons a stream
TRAILING_DATA_TIMEOUT = 0.3  # seconds for which a client checks for data after the end of the response
SLOW_READ_PAUSE = 0.05  # seconds between reads of a client that reads slowly
READ_SIZE = 65_536  # bytes requested from the socket at a time
MAX_EVENT_BYTES = 1 << 20  # bytes; upper bound on one server-sent event

STREAM_DONE = b"[DONE]"
HTTP_OK = 200

# Error codes of requests that the front rejected before it considered admission.
REFUSAL_CODES = frozenset({"closing", "front_full", "connections_full"})

CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    h11.ProtocolError,
)


@dataclass(slots=True)
class ClientOutcome:
    """The outcome of one attempt of a client.

    Attributes:
        kind: the recorded word for the outcome: "succeeded", "dismissed" or "scrapped" as the front reports
            it, "refused" (rejected before admission), "malformed", "unreachable" (connecting failed), "lost"
            (the response ended early), "none" (no response in time) or "left" (the client disconnected).
        code: the error code or finish reason of the response, or what failed.
        retry_after: the time after which the front allows a retry, in tenths of a millisecond.
        ended_at: when the end of the response was received, in tenths of a millisecond; 0 if it was not.
    """

    kind: str
    code: str = ""
    retry_after: int = 0
    ended_at: int = 0


class ResponseReader:
    """Reads the response to one attempt.

    Attributes:
        recorder: records what is received.
        request: the request.
        attempt_id: the id of the attempt.
        stream: the connection to the front.
        connection: the HTTP state of the connection.
    """

    def __init__(
        self,
        recorder: Recorder,
        request: PlannedRequest,
        attempt_id: str,
        stream: SocketStream,
        connection: h11.Connection,
    ) -> None:
        self.recorder = recorder
        self.request = request
        self.attempt_id = attempt_id
        self.stream = stream
        self.connection = connection

    async def read(self, deadline: int) -> ClientOutcome:
        """Read the response to its end and return the outcome.

        A response that does not begin before the deadline, or is not streamed and does not end before it,
        counts as none. A stream that has begun is read beyond the deadline.
        """
        try:
            with anyio.move_on_after((deadline - now()) / SECOND):
                head = await self._next_event()
                if not isinstance(head, h11.Response):
                    return ClientOutcome("lost", "no_head")
                if head.status_code == HTTP_OK and self.request.stream:
                    return await self._read_stream()
                return await self._read_complete(head)
            return ClientOutcome("none")
        except CONNECTION_ERRORS as error:
            return ClientOutcome("lost", type(error).__name__)

    async def _read_stream(self) -> ClientOutcome:
        """Read a streamed response whose head has been read."""
        streamed = _StreamedResponse(self.recorder, self.attempt_id)
        # The deadline applies only to the start of the stream. From here on, the idle timeout applies
        # instead.
        with anyio.CancelScope(shield=True) as scope:
            scope.deadline = anyio.current_time() + IDLE_TIMEOUT
            while True:
                event = await self._next_event()
                scope.deadline = anyio.current_time() + IDLE_TIMEOUT
                if isinstance(event, h11.EndOfMessage):
                    return await self._read_trailing_data(ClientOutcome("lost", "no_end"))
                if not isinstance(event, h11.Data):
                    return ClientOutcome("lost", "cut")
                outcome = streamed.feed(bytes(event.data))
                if outcome is not None:
                    return await self._read_trailing_data(outcome)
                if self.request.reads_slowly:
                    await anyio.sleep(SLOW_READ_PAUSE)
        return ClientOutcome("none", "stalled")

    async def _read_complete(self, head: h11.Response) -> ClientOutcome:
        """Read a response that is not streamed, or an error response, whose head has been read."""
        body = bytearray()
        while isinstance(event := await self._next_event(), h11.Data):
            body += event.data
        if not isinstance(event, h11.EndOfMessage):
            return ClientOutcome("lost", "cut")
        ended_at = now()
        message = _parse(bytes(body))
        if head.status_code == HTTP_OK:
            self.recorder.record_event("first", whole=True, **{"try": self.attempt_id})
            return await self._read_trailing_data(ClientOutcome("succeeded", ended_at=ended_at))
        outcome = _outcome_of_error(head, message, ended_at)
        if outcome.kind == "malformed":
            return outcome
        return await self._read_trailing_data(outcome)

    async def _next_event(self) -> object:
        while (event := self.connection.next_event()) is h11.NEED_DATA:
            try:
                data = await self.stream.receive(READ_SIZE)
            except anyio.EndOfStream:
                data = b""
            self.connection.receive_data(data)
        return event

    async def _read_trailing_data(self, outcome: ClientOutcome) -> ClientOutcome:
        """Record data after the end of the response, which the audit reports; return `outcome`."""
        if not await self._read_end_of_message():
            return outcome
        trailing = bytes(self.connection.trailing_data[0])
        with anyio.move_on_after(TRAILING_DATA_TIMEOUT):
            try:
                while not trailing:
                    trailing += await self.stream.receive(READ_SIZE)
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                pass
        if trailing:
            self.recorder.record_event("extra", bytes=len(trailing), **{"try": self.attempt_id})
        return outcome

    async def _read_end_of_message(self) -> bool:
        """Read up to the end of the HTTP message; return whether it ended correctly."""
        ended = (h11.MUST_CLOSE, h11.CLOSED)
        while self.connection.our_state is h11.MUST_CLOSE and self.connection.their_state not in ended:
            if not isinstance(await self._next_event(), h11.Data | h11.EndOfMessage):
                return False
        return True


class _StreamedResponse:
    """Evaluates the events of one streamed response.

    Stand-in engines generate the tokens t1, t2 and so on, so a missing or repeated token is detected.
    """

    def __init__(self, recorder: Recorder, attempt_id: str) -> None:
        self.recorder = recorder
        self.attempt_id = attempt_id
        self.splitter = EventSplitter(MAX_EVENT_BYTES)
        self.finish_reason = ""
        self.tokens = 0
        self.has_begun = False

    def feed(self, data: bytes) -> ClientOutcome | None:
        """Process received bytes; return the outcome once the response has ended, None before."""
        for raw in self.splitter.feed(data):
            if raw == STREAM_DONE:
                return self._finish()
            message = _parse(raw)
            if message.error is not None:
                return ClientOutcome("scrapped", str(message.error.get("code", "")), ended_at=now())
            for choice in message.choices:
                self._process_choice(choice)
        return None

    def _finish(self) -> ClientOutcome:
        self.recorder.record_event(
            "end", tokens=self.tokens, finish=self.finish_reason, **{"try": self.attempt_id}
        )
        kind = "succeeded" if self.finish_reason else "lost"
        return ClientOutcome(kind, self.finish_reason, ended_at=now())

    def _process_choice(self, choice: _Choice) -> None:
        if choice.text:
            for token in choice.text.split():
                self._check_token(token)
            if not self.has_begun:
                self.has_begun = True
                self.recorder.record_event("first", **{"try": self.attempt_id})
        self.finish_reason = choice.finish_reason or self.finish_reason

    def _check_token(self, token: str) -> None:
        """Record a token that is not the next in sequence."""
        number = self.tokens + 1
        if token != f"t{number}":
            self.recorder.record_event("gap", said=token, wanted=number, **{"try": self.attempt_id})
        self.tokens = number


class _Choice(msgspec.Struct):
    text: str = ""
    finish_reason: str | None = None


class _Message(msgspec.Struct):
    choices: list[_Choice] = []
    error: dict[str, str | None] | None = None


_message_decoder: msgspec.json.Decoder[_Message] = msgspec.json.Decoder(_Message)


def _parse(raw: bytes) -> _Message:
    """Decode a response or an event; raise h11.RemoteProtocolError if it is malformed."""
    try:
        return _message_decoder.decode(raw)
    except msgspec.DecodeError as error:
        raise h11.RemoteProtocolError(str(error)) from None


def _outcome_of_error(head: h11.Response, message: _Message, ended_at: int) -> ClientOutcome:
    """Return the outcome for an error response."""
    error = message.error or {}
    code = str(error.get("code", ""))
    if error.get("type") == "dismissed":
        kind = "refused" if code in REFUSAL_CODES else "dismissed"
        headers = {key.decode(): value.decode() for key, value in head.headers}
        retry_after = int(float(headers.get("retry-after-ms", 0)) * TENTHS_PER_MS)
        return ClientOutcome(kind, code, retry_after, ended_at)
    if error.get("type") == "scrapped":
        return ClientOutcome("scrapped", code, ended_at=ended_at)
    return ClientOutcome("malformed", f"{head.status_code} {code}")
