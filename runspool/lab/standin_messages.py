"""The requests and responses of a stand-in engine: completions with separate prefill and decode.

The clients of the laboratory send information in the `standin` field of the body that a real engine does not
get: the id of the client attempt and the length that the response will have.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
import xxhash

from runspool.lab.engine_model import BLOCK_TOKENS, Job
from runspool.lab.http_server import ReceivedRequest
from runspool.wire.completions import DONE_EVENT, completion_event
from runspool.wire.fields import BYTES_PER_TOKEN

MODEL_NAME = "standin"
BLOCK_BYTES = BLOCK_TOKENS * BYTES_PER_TOKEN


class StandInOptions(msgspec.Struct):
    """Information that the clients of the laboratory send only to stand-in engines.

    Attributes:
        attempt: the id of the client attempt that the request belongs to ("try" in the body).
        output_tokens: the number of tokens to generate ("out" in the body).
        poison: whether the request crashes an engine that is to decode it.
    """

    attempt: str = msgspec.field(default="", name="try")
    output_tokens: int = msgspec.field(default=64, name="out")
    poison: bool = False


class StateTransferParams(msgspec.Struct):
    """The field `kv_transfer_params` of the published protocol for transferring prefill state.

    It tells an engine whether to produce a state for another engine or to fetch one, and where the state is
    held.
    """

    do_remote_decode: bool = False
    do_remote_prefill: bool = False
    remote_engine_id: str | None = None
    remote_request_id: str | None = None
    remote_host: str | None = None
    remote_port: int | None = None


class CompletionBody(msgspec.Struct):
    """The fields of a completion request's body that a stand-in engine uses."""

    prompt: str | list[int]
    max_tokens: int = 16
    stream: bool = False
    kv_transfer_params: StateTransferParams | None = None
    standin: StandInOptions | None = None


_body_decoder: msgspec.json.Decoder[CompletionBody] = msgspec.json.Decoder(CompletionBody)


@dataclass(slots=True)
class CompletionCall:
    """A received completion request, with the response fault to inject, an empty string for none."""

    received: ReceivedRequest
    body: CompletionBody
    options: StandInOptions
    fault: str

    @property
    def request_id(self) -> str:
        """The id that the front gave this attempt; a prefill state is held under it too."""
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
        """The client's idempotency key, or an empty string if there is none."""
        return self.received.headers.get("runspool-ticket", "")

    @property
    def is_prefill(self) -> bool:
        """Whether only a prefill is requested, whose state another engine will fetch."""
        params = self.body.kv_transfer_params
        return params is not None and params.do_remote_decode

    @property
    def fetches_state(self) -> bool:
        """Whether the prefill state has to be fetched from another engine."""
        params = self.body.kv_transfer_params
        return params is not None and params.do_remote_prefill

    @property
    def prompt_tokens(self) -> int:
        """The length of the prompt in tokens."""
        prompt = self.body.prompt
        return len(prompt) if isinstance(prompt, list) else len(prompt) // BYTES_PER_TOKEN


def decode_body(raw: bytes) -> tuple[CompletionBody, StandInOptions]:
    """Decode a body; without the field `standin`, `max_tokens` is the number of tokens to generate."""
    body = _body_decoder.decode(raw)
    return body, body.standin or StandInOptions(output_tokens=body.max_tokens)


def block_hashes(prompt: str | list[int]) -> list[int]:
    """Return a hash for each complete block of a prompt, computed over the prompt up to the block's end."""
    raw = prompt.encode() if isinstance(prompt, str) else msgspec.json.encode(prompt)
    running, hashes = xxhash.xxh64(), []
    for start in range(0, len(raw) - BLOCK_BYTES + 1, BLOCK_BYTES):
        running.update(raw[start : start + BLOCK_BYTES])
        hashes.append(running.intdigest())
    return hashes


def usage(job: Job) -> dict[str, Any]:
    """Return the token counts for the `usage` field of a response."""
    return {
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": job.generated_tokens,
        "total_tokens": job.prompt_tokens + job.generated_tokens,
        "prompt_tokens_details": {"cached_tokens": job.cached_tokens},
    }


def prefill_response(job: Job, engine: str, host: str, port: int) -> dict[str, Any]:
    """Return the response to a prefill, which states where the prefill state is held and under which id."""
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
    """Return the server-sent event for one generated token."""
    return completion_event(job.request_id, MODEL_NAME, 0, text)


def final_events(job: Job, max_tokens: int) -> bytes:
    """Return the last events of a stream: the finish reason, the token counts and `[DONE]`."""
    finish_reason = "length" if job.generated_tokens >= max_tokens else "stop"
    finish = completion_event(job.request_id, MODEL_NAME, 0, "", finish_reason)
    counts = b"data: " + msgspec.json.encode({"choices": [], "usage": usage(job)}) + b"\n\n"
    return finish + counts + DONE_EVENT
