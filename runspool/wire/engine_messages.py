"""What engines are sent and send: the two-stage completions that vLLM's OpenAI-style servers speak.

Source: vLLM's published serving API. A read is a completion with `max_tokens` 1 and `kv_transfer_params` that
ask for a remote decode; its answer hands back the parameters under which the read state waits. A write sends
those on and streams. The load report is the published `endpoint-load-metrics` header in its JSON form.
Letting a state go has no published call: `POST /v1/kv/release` is runspool's own and an engine may lack it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from runspool.scheduling.types import LoadReport
from runspool.wire.fields import JSON_DECODE_ERRORS

ASKS_REMOTE_WRITER = msgspec.Raw(
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
REPORT_HEADER = "endpoint-load-metrics"
RELEASE_PATH = "/v1/kv/release"
READ_ONLY = ("stream_options", "min_tokens", "max_completion_tokens")


class MalformedResponseError(Exception):
    """An engine's answer that cannot be what it ought to be."""


class TokensDetails(msgspec.Struct):
    cached_tokens: int | None = None


class Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: TokensDetails | None = None

    @property
    def kept(self) -> int:
        return (self.prompt_tokens_details.cached_tokens or 0) if self.prompt_tokens_details else 0


class Choice(msgspec.Struct):
    text: str = ""
    finish_reason: str | None = None


class EngineError(msgspec.Struct):
    message: str = ""
    code: str | int | None = None


class Answer(msgspec.Struct):
    """A whole answer, or one event of a streamed one."""

    choices: list[Choice] = []
    usage: Usage | None = None
    kv_transfer_params: dict[str, msgspec.Raw] | None = None
    error: EngineError | str | None = None


_reports: msgspec.json.Decoder[dict[str, dict[str, float]]] = msgspec.json.Decoder(
    dict[str, dict[str, float]]
)
_answers: msgspec.json.Decoder[Answer] = msgspec.json.Decoder(Answer)


def read_body(query: dict[str, msgspec.Raw]) -> bytes:
    """The body of a shot that only reads the prompt."""
    said = {name: raw for name, raw in query.items() if name not in READ_ONLY}
    said |= {
        "max_tokens": msgspec.Raw(b"1"),
        "stream": msgspec.Raw(b"false"),
        "kv_transfer_params": ASKS_REMOTE_WRITER,
    }
    return msgspec.json.encode(said)


def write_body(query: dict[str, msgspec.Raw], state: dict[str, msgspec.Raw] | None) -> bytes:
    """The body of a shot that answers, always streamed; `state` is what the reader handed back."""
    said = dict(query)
    said |= {"stream": msgspec.Raw(b"true"), "stream_options": msgspec.Raw(b'{"include_usage":true}')}
    if state is not None:
        said["kv_transfer_params"] = msgspec.Raw(msgspec.json.encode(state))
    return msgspec.json.encode(said)


def release_body(state: dict[str, msgspec.Raw] | None, request: str) -> bytes:
    """Names the state by its parameters, or by the read's request id where no answer told them."""
    return msgspec.json.encode({"kv_transfer_params": state, "request_id": request})


def answer(raw: bytes) -> Answer:
    """Raises Garbled where the bytes are no answer."""
    try:
        return _answers.decode(raw)
    except JSON_DECODE_ERRORS as fault:
        raise MalformedResponseError(str(fault)) from None


def error_code(raw: bytes) -> str:
    """The code in an error body, empty where it has none."""
    try:
        error = answer(raw).error
    except MalformedResponseError:
        return ""
    return str(error.code or "") if isinstance(error, EngineError) else ""


def load_report(header: str | None) -> LoadReport | None:
    """The figures of a load report, or None where there is none or it does not read."""
    if header is None or not header.startswith("JSON"):
        return None
    try:
        named = _reports.decode(header[4:].strip().encode())
    except JSON_DECODE_ERRORS:
        return None
    figures = named.get("named_metrics", {})
    return LoadReport(
        requests_in_flight=figures.get("num_requests_running"),
        slot_utilization=figures.get("slots_usage_perc"),
        memory_utilization=figures.get("kv_cache_usage_perc"),
        queued_prompt_tokens=figures.get("prompt_tokens_waiting"),
    )


@dataclass(slots=True)
class Events:
    """Splits server-sent events out of a byte stream, however it was cut; raises Garbled past `cap` bytes."""

    cap: int
    _rest: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[bytes]:
        """The data of each event that is now complete."""
        self._rest += data
        if b"\r" in data:
            self._rest = self._rest.replace(b"\r\n", b"\n")
        found = []
        while (end := self._rest.find(b"\n\n")) >= 0:
            lines = bytes(self._rest[:end]).split(b"\n")
            del self._rest[: end + 2]
            said = [line[5:].removeprefix(b" ") for line in lines if line.startswith(b"data:")]
            if said:
                found.append(b"\n".join(said))
        if len(self._rest) > self.cap:
            raise MalformedResponseError(f"an event of over {self.cap} bytes")
        return found
