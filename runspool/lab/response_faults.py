"""Response faults: the failures that a stand-in engine injects into a share of its responses.

There is one for each kind of failure that a front must handle.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from runspool.lab.http_server import ReceivedRequest
from runspool.wire.completions import error_body

RESET_BEFORE_BODY = "reset_before_body"
SILENT = "silent"
FAILED_500 = "failed_500"
NO_FINISH = "no_finish"
ERROR_EVENT = "error_event"
CUT_STREAM = "cut_stream"
RESET_STREAM = "reset_stream"
SILENT_STREAM = "silent_stream"

RESPONSE_FAULTS = (
    RESET_BEFORE_BODY,  # reset of the connection before the body of the request is read
    "reset_after",  # reset after execution, without a response
    "close_after",  # close after execution, without a response
    SILENT,  # no response; the connection stays open
    "full_429",  # rejection with the status 429
    "full_503",  # rejection with the status 503
    "bad_400",  # rejection with the status 400
    "missing_404",  # rejection with the status 404
    FAILED_500,  # status 500 without execution
    "failed_500_after_run",  # status 500 after execution
    "garbled",  # body that is not complete JSON
    "garbled_status",  # status that the protocol does not define (302)
    "endless",  # event that never ends
    "cut_answer",  # close before the end of a response with Content-Length
    CUT_STREAM,  # close of a stream after some tokens
    RESET_STREAM,  # reset of a stream after some tokens
    SILENT_STREAM,  # stream without data after some tokens; the connection stays open
    NO_FINISH,  # stream that ends without a finish reason
    ERROR_EVENT,  # stream that ends with an error event
    "head_garbled",  # response that is not HTTP
    "huge_event",  # event of HUGE_EVENT_BYTES
)
STREAM_FAULTS = (CUT_STREAM, RESET_STREAM, SILENT_STREAM)  # faults that interrupt a stream
TOKENS_BEFORE_STREAM_FAULT = 2  # tokens that are streamed before a fault of STREAM_FAULTS is injected

# The faults that are rejections, with their status codes.
REJECTION_STATUSES = {"full_429": 429, "full_503": 503, "bad_400": 400, "missing_404": 404}
# The faults that simulate a failure after the request has been executed.
EXECUTED_FAULTS = ("reset_after", "close_after", "failed_500_after_run")

ENDLESS_CHUNK = b"data: " + b"x" * 8192
HUGE_EVENT_BYTES = 1_000_000


async def inject_response_fault(
    received: ReceivedRequest, fault: str, record_execution: Callable[[], None]
) -> str:
    """Inject a fault that replaces the normal processing of a request.

    Args:
        received: the request, whose body has been read.
        fault: one of RESPONSE_FAULTS, or an empty string for none.
        record_execution: called before a fault that simulates a failure after the request was executed.

    Returns:
        The recorded word for how the request ended: "full" for a rejection, "mishap" for another fault. An
        empty string if the request has to be processed: there is no fault, or one that is injected into the
        normal response.
    """
    if fault in REJECTION_STATUSES:
        await received.respond(REJECTION_STATUSES[fault], error_body("engine", fault, "turned away"))
        return "full"
    inject = _INJECTIONS.get(fault)
    if inject is None:
        return ""
    if fault in EXECUTED_FAULTS:
        record_execution()
    await inject(received)
    return "mishap"


async def interrupt_stream(received: ReceivedRequest, fault: str) -> None:
    """Interrupt an open stream with one of STREAM_FAULTS."""
    if fault == SILENT_STREAM:
        await received.disconnected.wait()
    elif fault == RESET_STREAM:
        await received.reset()
    else:
        await received.close()


async def end_stream_abnormally(received: ReceivedRequest, fault: str) -> None:
    """End a stream without a finish reason (NO_FINISH), or with an error event instead (ERROR_EVENT)."""
    if fault == ERROR_EVENT:
        await received.send_chunk(b"data: " + error_body("engine", "broke", "the engine broke") + b"\n\n")
    await received.end_stream()


async def _respond_with_failure(received: ReceivedRequest) -> None:
    await received.respond(500, error_body("engine", FAILED_500, "failed before it ran"))


async def _respond_with_failure_after_execution(received: ReceivedRequest) -> None:
    await received.respond(500, error_body("engine", "failed_500_after_run", "failed after it ran"))


async def _send_malformed_body(received: ReceivedRequest) -> None:
    await received.respond(200, b'{"choices": [')


async def _send_unexpected_status(received: ReceivedRequest) -> None:
    await received.stream.send(b"HTTP/1.1 302 Found\r\nContent-Length: 0\r\n\r\n")


async def _send_malformed_head(received: ReceivedRequest) -> None:
    await received.stream.send(b"\x00\x01\x02 nonsense\r\n\r\n")


async def _respond_endlessly(received: ReceivedRequest) -> None:
    await received.stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    while True:
        await received.stream.send(b"%x\r\n%b\r\n" % (len(ENDLESS_CHUNK), ENDLESS_CHUNK))


async def _send_huge_event(received: ReceivedRequest) -> None:
    await received.open_stream()
    await received.send_chunk(b"data: " + b"y" * HUGE_EVENT_BYTES + b"\n\n")
    await received.end_stream()


async def _send_truncated_response(received: ReceivedRequest) -> None:
    await received.stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n{")
    await received.close()


# The functions that inject faults in place of the normal response.
_INJECTIONS: dict[str, Callable[[ReceivedRequest], Awaitable[None]]] = {
    "reset_after": ReceivedRequest.reset,
    "close_after": ReceivedRequest.close,
    FAILED_500: _respond_with_failure,
    "failed_500_after_run": _respond_with_failure_after_execution,
    "garbled": _send_malformed_body,
    "garbled_status": _send_unexpected_status,
    "head_garbled": _send_malformed_head,
    "endless": _respond_endlessly,
    "huge_event": _send_huge_event,
    "cut_answer": _send_truncated_response,
}
