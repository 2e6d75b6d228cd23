"""What a stand-in engine receives and sends: completions in the published two-stage form.

In the body's `standin` field the laboratory's clients give what no real engine receives: the name of the
client attempt and the true length of the answer.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
import xxhash

from runspool.lab.http_server import ReceivedRequest
from runspool.lab.model import BLOCK_TOKENS, Job
from runspool.wire.completions import DONE_EVENT, completion_event
from runspool.wire.fields import BYTES_PER_TOKEN

MODEL_NAME = "standin"
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


class StandInOptions(msgspec.Struct):
    """What the laboratory's clients send to a stand-in only.

    Attributes:
        attempt: the client attempt that the request belongs to ("try" in the body).
        output_tokens: the length that the answer will have ("out" in the body).
        poison: the engine crashes when it starts to decode the request.
    """

    attempt: str = msgspec.field(default="", name="try")
    output_tokens: int = msgspec.field(default=64, name="out")
    poison: bool = False


class StateTransferParams(msgspec.Struct):
    """The published `kv_transfer_params`: what to do about the prefill state, and where it is held."""

    do_remote_decode: bool = False
    do_remote_prefill: bool = False
    remote_engine_id: str | None = None
    remote_request_id: str | None = None
    remote_host: str | None = None
    remote_port: int | None = None


class CompletionBody(msgspec.Struct):
    """The body of a completion request, as far as a stand-in reads it."""

    prompt: str | list[int]
    max_tokens: int = 16
    stream: bool = False
    kv_transfer_params: StateTransferParams | None = None
    standin: StandInOptions | None = None


_body_decoder: msgspec.json.Decoder[CompletionBody] = msgspec.json.Decoder(CompletionBody)


@dataclass(slots=True)
class CompletionCall:
    """A completion request at a stand-in, with the response fault to inject, empty for none."""

    received: ReceivedRequest
    body: CompletionBody
    options: StandInOptions
    fault: str

    @property
    def request_id(self) -> str:
        """The front's name of the attempt, under which a prefill's state is held too."""
        return self.received.headers.get("x-request-id", "")

    @property
    def request_class(self) -> str:
        """The name of the request class."""
        return self.received.headers.get("runspool-tariff", "")

    @property
    def tenant(self) -> str:
        """The name of the tenant."""
        return self.received.headers.get("runspool-tenant", "")

    @property
    def idempotency_key(self) -> str:
        """The client's idempotency key, empty where there is none."""
        return self.received.headers.get("runspool-ticket", "")

    @property
    def is_prefill(self) -> bool:
        """Whether only a prefill is wanted, whose state another engine will fetch."""
        params = self.body.kv_transfer_params
        return params is not None and params.do_remote_decode

    @property
    def fetches_state(self) -> bool:
        """Whether a state is to be fetched from the engine that has prefilled the prompt."""
        params = self.body.kv_transfer_params
        return params is not None and params.do_remote_prefill

    @property
    def prompt_tokens(self) -> int:
        """The length of the prompt."""
        prompt = self.body.prompt
        return len(prompt) if isinstance(prompt, list) else len(prompt) // BYTES_PER_TOKEN


def decode_body(raw: bytes) -> tuple[CompletionBody, StandInOptions]:
    """Decode a completion's body; without options the answer has the greatest length allowed."""
    body = _body_decoder.decode(raw)
    return body, body.standin or StandInOptions(output_tokens=body.max_tokens)


def block_hashes(prompt: str | list[int]) -> list[int]:
    """Return the hashes of a prompt's whole blocks, each over all that stands before it too."""
    raw = prompt.encode() if isinstance(prompt, str) else msgspec.json.encode(prompt)
    running, hashes = xxhash.xxh64(), []
    for start in range(0, len(raw) - BLOCK_BYTES + 1, BLOCK_BYTES):
        running.update(raw[start : start + BLOCK_BYTES])
        hashes.append(running.intdigest())
    return hashes


def usage(job: Job) -> dict[str, Any]:
    """Return the counts of tokens that a response ends with."""
    return {
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": job.generated_tokens,
        "total_tokens": job.prompt_tokens + job.generated_tokens,
        "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
    }


def prefill_response(job: Job, engine: str, host: str, port: int) -> dict[str, Any]:
    """Return the response to a prefill: where its state is held, by whom and under which name."""
    return {
        "id": job.request_id,
        "object": "text_completion",
        "model": MODEL_NAME,
        "choices": [{"index": 0, "text": "", "finish_reason": "length"}],
        "usage": usage(job),
        "kv_transfer_params": {
            "do_remote_prefill": True,
            "do_remote_decode": False,
            "remote_engine_id": engine,
            "remote_block_ids": [job.prompt_tokens // BLOCK_TOKENS],
            "remote_request_id": job.request_id,
            "remote_host": host,
            "remote_port": port,
        },
    }


def token_event(job: Job, text: str) -> bytes:
    """Return the event of one token of a stream."""
    return completion_event(job.request_id, MODEL_NAME, 0, text)


def final_events(job: Job, max_tokens: int) -> bytes:
    """Return a stream's last events: the finish reason, the counts of tokens, the end."""
    finish_reason = "length" if job.generated_tokens >= max_tokens else "stop"
    finish = completion_event(job.request_id, MODEL_NAME, 0, "", finish_reason)
    counts = b"data: " + msgspec.json.encode({"choices": [], "usage": usage(job)}) + b"\n\n"
    return finish + counts + DONE_EVENT
