"""Messages to and from engines: completions in two stages, as served by vLLM's OpenAI-compatible server.

A prefill is a completion request with `max_tokens` 1 and `kv_transfer_params` that ask for a remote decode.
Its response holds the parameters that identify the prefill state. A decode request sends these parameters,
and its response is streamed. Load reports are `endpoint-load-metrics` headers in their JSON format. All this
follows vLLM's published serving API. That API has no call that releases a prefill state:
`POST /v1/kv/release` is an extension by runspool, which an engine may not support.
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
LOAD_REPORT_FORMAT = "JSON"  # first word of the header's value, followed by the report
RELEASE_PATH = "/v1/kv/release"

# Fields of the client's body that are omitted from a prefill, which generates one token and is not streamed.
DECODE_ONLY_FIELDS = ("stream_options", "min_tokens", "max_completion_tokens")

EVENT_DATA_PREFIX = b"data:"  # the other fields of server-sent events are ignored


class MalformedResponseError(RunspoolError):
    """A response of an engine, or an event of a streamed response, cannot be parsed."""


class PromptTokensDetails(msgspec.Struct):
    """Details of the prompt's token count: how many tokens were found in the engine's cache."""

    cached_tokens: int | None = None


class Usage(msgspec.Struct):
    """Token counts reported by the engine."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: PromptTokensDetails | None = None

    @property
    def cached_tokens(self) -> int:
        """The number of prompt tokens found in the engine's cache; 0 if it is not reported."""
        return (self.prompt_tokens_details.cached_tokens or 0) if self.prompt_tokens_details else 0


class Choice(msgspec.Struct):
    """Generated text, with the reason for its end if it has ended."""

    text: str = ""
    finish_reason: str | None = None


class EngineError(msgspec.Struct):
    """Error object of the published API."""

    message: str = ""
    code: str | int | None = None


class CompletionResponse(msgspec.Struct):
    """A whole response, or one event of a streamed response."""

    choices: list[Choice] = []
    usage: Usage | None = None
    kv_transfer_params: dict[str, msgspec.Raw] | None = None
    error: EngineError | str | None = None


_load_report_decoder: msgspec.json.Decoder[dict[str, dict[str, float]]] = msgspec.json.Decoder(
    dict[str, dict[str, float]]
)
_response_decoder: msgspec.json.Decoder[CompletionResponse] = msgspec.json.Decoder(CompletionResponse)


def prefill_body(body: dict[str, msgspec.Raw]) -> bytes:
    """Return the request body of a prefill for the parameters of a client's body."""
    fields = {name: raw for name, raw in body.items() if name not in DECODE_ONLY_FIELDS}
    fields |= {
        "max_tokens": msgspec.Raw(b"1"),
        "stream": msgspec.Raw(b"false"),
        "kv_transfer_params": REMOTE_DECODE_PARAMS,
    }
    return msgspec.json.encode(fields)


def decode_body(body: dict[str, msgspec.Raw], state: dict[str, msgspec.Raw] | None) -> bytes:
    """Return the request body of an attempt that generates the output. Its response is always streamed.

    Args:
        body: Parameters of the client's body.
        state: Parameters from the prefill's response; None if there was no separate prefill.
    """
    fields = dict(body)
    fields |= {"stream": msgspec.Raw(b"true"), "stream_options": msgspec.Raw(b'{"include_usage":true}')}
    if state is not None:
        fields["kv_transfer_params"] = msgspec.Raw(msgspec.json.encode(state))
    return msgspec.json.encode(fields)


def release_body(state: dict[str, msgspec.Raw] | None, request_id: str) -> bytes:
    """Return the request body that releases a prefill state.

    Args:
        state: Parameters from the prefill's response; None if that response was lost. The engine then
            identifies the state by `request_id`.
        request_id: Request id of the prefill.
    """
    return msgspec.json.encode({"kv_transfer_params": state, "request_id": request_id})


def parse_response(raw: bytes) -> CompletionResponse:
    """Parse a whole response, or one event of a streamed response.

    Raises:
        MalformedResponseError: `raw` cannot be parsed.
    """
    try:
        return _response_decoder.decode(raw)
    except JSON_DECODE_ERRORS as error:
        raise MalformedResponseError(str(error)) from None


def parse_error_code(raw: bytes) -> str:
    """Return the code of an error body; return an empty string if it has none or cannot be parsed."""
    try:
        error = parse_response(raw).error
    except MalformedResponseError:
        return ""
    return str(error.code or "") if isinstance(error, EngineError) else ""


def parse_load_report(header: str | None) -> LoadReport | None:
    """Parse the header of a load report; return None if it is absent or cannot be parsed."""
    if header is None or not header.startswith(LOAD_REPORT_FORMAT):
        return None
    try:
        report = _load_report_decoder.decode(header[len(LOAD_REPORT_FORMAT) :].strip().encode())
    except JSON_DECODE_ERRORS:
        return None
    metrics = report.get("named_metrics", {})
    return LoadReport(
        requests_in_flight=metrics.get("num_requests_running"),
        slot_utilization=metrics.get("slots_usage_perc"),
        memory_utilization=metrics.get("kv_cache_usage_perc"),
        queued_prompt_tokens=metrics.get("prompt_tokens_waiting"),
    )


@dataclass(slots=True)
class EventSplitter:
    """Splits a byte stream, received in arbitrary parts, into server-sent events of limited size."""

    max_event_bytes: int
    _incomplete_event: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the data of each event that they complete.

        Raises:
            MalformedResponseError: An incomplete event exceeds `max_event_bytes`.
        """
        self._incomplete_event += data
        if b"\r" in data:
            self._incomplete_event = self._incomplete_event.replace(b"\r\n", b"\n")
        events = []
        while (end := self._incomplete_event.find(b"\n\n")) >= 0:
            lines = bytes(self._incomplete_event[:end]).split(b"\n")
            del self._incomplete_event[: end + 2]
            values = [
                line[len(EVENT_DATA_PREFIX) :].removeprefix(b" ")
                for line in lines
                if line.startswith(EVENT_DATA_PREFIX)
            ]
            if values:
                events.append(b"\n".join(values))
        if len(self._incomplete_event) > self.max_event_bytes:
            raise MalformedResponseError(f"event exceeds {self.max_event_bytes} bytes")
        return events
