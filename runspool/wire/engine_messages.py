"""Messages to and from engines: the two-stage completions that vLLM's OpenAI-style servers speak.

Source: vLLM's published serving API. A prefill is a completion with `max_tokens` 1 and `kv_transfer_params`
that ask for a remote decode; its response returns the parameters under which the prefill state is held. A
decode sends those parameters on and streams. The load report is the published `endpoint-load-metrics` header
in its JSON form. Releasing a state has no published call: `POST /v1/kv/release` is runspool's own, and an
engine may lack it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from runspool.errors import RunspoolError
from runspool.scheduling.types import LoadReport
from runspool.wire.fields import JSON_DECODE_ERRORS

REMOTE_DECODE_PARAMS = msgspec.Raw(
    msgspec.json.encode(
        {
            "do_remote_decode": True,
            "do_remote_prefill": False,
            "remote_engine_id": None,
            "remote_block_ids": None,
            "remote_host": None,
            "remote_port": None,
        }
    )
)
LOAD_REPORT_HEADER = "endpoint-load-metrics"
LOAD_REPORT_FORMAT = "JSON"  # the header's first word, before the report
RELEASE_PATH = "/v1/kv/release"

# Fields of a client's body that a prefill must not carry, as it makes one token and does not stream.
DECODE_ONLY_FIELDS = ("stream_options", "min_tokens", "max_completion_tokens")

EVENT_DATA = b"data:"  # the only field of server-sent events that is read


class MalformedResponseError(RunspoolError):
    """An engine's response, or an event of it, that cannot be read."""


class TokensDetails(msgspec.Struct):
    """How many prompt tokens the engine had cached."""

    cached_tokens: int | None = None


class Usage(msgspec.Struct):
    """The engine's own counts of tokens."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: TokensDetails | None = None

    @property
    def cached_tokens(self) -> int:
        """Prompt tokens that the engine had cached, 0 where it does not say."""
        return (self.prompt_tokens_details.cached_tokens or 0) if self.prompt_tokens_details else 0


class Choice(msgspec.Struct):
    """Text that the engine made, and why it ended, if it did."""

    text: str = ""
    finish_reason: str | None = None


class EngineError(msgspec.Struct):
    """The published error shape."""

    message: str = ""
    code: str | int | None = None


class CompletionResponse(msgspec.Struct):
    """A whole response, or one event of a streamed one."""

    choices: list[Choice] = []
    usage: Usage | None = None
    kv_transfer_params: dict[str, msgspec.Raw] | None = None
    error: EngineError | str | None = None


_load_reports: msgspec.json.Decoder[dict[str, dict[str, float]]] = msgspec.json.Decoder(
    dict[str, dict[str, float]]
)
_responses: msgspec.json.Decoder[CompletionResponse] = msgspec.json.Decoder(CompletionResponse)


def prefill_body(body: dict[str, msgspec.Raw]) -> bytes:
    """Return the body of an attempt that only prefills the prompt of a client's body."""
    fields = {name: raw for name, raw in body.items() if name not in DECODE_ONLY_FIELDS}
    fields |= {
        "max_tokens": msgspec.Raw(b"1"),
        "stream": msgspec.Raw(b"false"),
        "kv_transfer_params": REMOTE_DECODE_PARAMS,
    }
    return msgspec.json.encode(fields)


def decode_body(body: dict[str, msgspec.Raw], state: dict[str, msgspec.Raw] | None) -> bytes:
    """Return the body of an attempt that answers, always streamed.

    `state` holds the parameters that the prefill's response returned, or None where there was no prefill.
    """
    fields = dict(body)
    fields |= {"stream": msgspec.Raw(b"true"), "stream_options": msgspec.Raw(b'{"include_usage":true}')}
    if state is not None:
        fields["kv_transfer_params"] = msgspec.Raw(msgspec.json.encode(state))
    return msgspec.json.encode(fields)


def release_body(state: dict[str, msgspec.Raw] | None, request: str) -> bytes:
    """Return the body that releases a state.

    The state is named by its parameters, or by the prefill's request id where no response told them.
    """
    return msgspec.json.encode({"kv_transfer_params": state, "request_id": request})


def parse_response(raw: bytes) -> CompletionResponse:
    """Parse a response or event; raise MalformedResponseError for bytes that are none."""
    try:
        return _responses.decode(raw)
    except JSON_DECODE_ERRORS as error:
        raise MalformedResponseError(str(error)) from None


def error_code(raw: bytes) -> str:
    """Return the code in an error body, empty where it has none. Never raises."""
    try:
        error = parse_response(raw).error
    except MalformedResponseError:
        return ""
    return str(error.code or "") if isinstance(error, EngineError) else ""


def load_report(header: str | None) -> LoadReport | None:
    """Parse a load report's header; None where it is absent or unreadable. Never raises."""
    if header is None or not header.startswith(LOAD_REPORT_FORMAT):
        return None
    try:
        report = _load_reports.decode(header[len(LOAD_REPORT_FORMAT) :].strip().encode())
    except JSON_DECODE_ERRORS:
        return None
    figures = report.get("named_metrics", {})
    return LoadReport(
        requests_in_flight=figures.get("num_requests_running"),
        slot_utilization=figures.get("slots_usage_perc"),
        memory_utilization=figures.get("kv_cache_usage_perc"),
        queued_prompt_tokens=figures.get("prompt_tokens_waiting"),
    )


@dataclass(slots=True)
class EventSplitter:
    """Splits a byte stream, however it was cut, into server-sent events of `max_event_bytes` at most."""

    max_event_bytes: int
    _rest: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the data of each event that is now complete.

        Raises MalformedResponseError where more than `max_event_bytes` have come without an event's end.
        """
        self._rest += data
        if b"\r" in data:
            self._rest = self._rest.replace(b"\r\n", b"\n")
        events = []
        while (end := self._rest.find(b"\n\n")) >= 0:
            lines = bytes(self._rest[:end]).split(b"\n")
            del self._rest[: end + 2]
            values = [
                line[len(EVENT_DATA) :].removeprefix(b" ") for line in lines if line.startswith(EVENT_DATA)
            ]
            if values:
                events.append(b"\n".join(values))
        if len(self._rest) > self.max_event_bytes:
            raise MalformedResponseError(f"an event of over {self.max_event_bytes} bytes")
        return events
