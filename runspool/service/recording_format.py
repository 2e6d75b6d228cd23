"""The file format of event recordings: one JSON array per line, `[time, name, *values]`.

The stored names of events, actions and fields are those of the first recordings, so that old recordings can
still be replayed. This module contains the only mapping between them and the names in the code.
"""

from __future__ import annotations

from dataclasses import fields, is_dataclass
from enum import Enum, StrEnum
from typing import TypeVar

import msgspec

from runspool.scheduling.settings import (
    EngineTypeSettings,
    RequestClassSettings,
    RoutingSettings,
    TenantSettings,
)
from runspool.scheduling.types import AttemptOutcome, EngineRecord, LoadReport, Request

T = TypeVar("T")


class RecordedEvent(StrEnum):
    """An event that was passed to a scheduler driver."""

    STARTED = "start"
    SUBMITTED = "arrive"
    STREAM_STARTED = "begun"
    ATTEMPT_ENDED = "closed"
    CLIENT_DISCONNECTED = "left"
    TIMER_FIRED = "rang"
    ENDPOINTS_UPDATED = "roster"
    SUBSCRIPTION_LOST = "list_failed"
    ABANDONED = "drop"
    SHUTDOWN_BEGUN = "leave"


class RecordedAction(StrEnum):
    """An action that a scheduler driver requested."""

    START_ATTEMPT = "send"
    REJECT = "dismiss"
    FAIL_INDETERMINATE = "scrap"
    RELEASE_STATE = "release"
    MIGRATE_STREAM = "move"
    SUBSCRIBE = "subscribe"
    SET_TIMER = "wake"
    LOG_MESSAGE = "note"
    FORGET_REQUEST = "forget"


# For each stored type, the stored names of the fields that are named differently in the code.
STORED_NAMES: dict[type, dict[str, str]] = {
    RequestClassSettings: {
        "first_token_objective": "due",
        "first_token_objective_per_1000_tokens": "due_per_1000",
        "time_per_output_token": "pace",
        "priority_weight": "gain",
        "late_value": "late_share",
        "idempotency": "effect",
        "deduplication_scope": "group",
        "deduplication_window": "window",
    },
    TenantSettings: {"requests_per_second": "per_second"},
    EngineTypeSettings: {"memory_tokens": "memory"},
    RoutingSettings: {
        "front_index": "me",
        "front_count": "fronts",
        "request_classes": "tariffs",
        "engine_types": "kinds",
        "over_quota_value": "over_share",
        "response_slack": "answer_slack",
        "slow_start_initial_fraction": "cold_from",
        "slow_start_duration": "cold_time",
        "slow_start_overload_multiple": "fall_multiple",
        "slow_start_overload_window": "fall_time",
        "state_release_timeout": "release_within",
        "max_attempts": "max_shots",
        "may_hedge": "second_copies",
        "may_cancel": "may_recall",
        "may_reserve": "may_hold",
        "may_send_retry_after": "may_say_when",
        "max_retry_after": "longest_wait_told",
        "streams_can_resume": "resumes",
        "decode_engines_prefill": "writers_read",
        "must_subscribe": "must_ask",
        "subscribe_interval": "ask_within",
        "cross_rack_price": "far_price",
        "cross_zone_price": "zone_price",
        "late_failure_price": "late_price",
        "wasted_work_price": "waste_price",
    },
    EngineRecord: {"engine_type": "kind", "started_at": "started", "stable_hash": "mark"},
    Request: {
        "request_class": "tariff",
        "prefix": "beginning",
        "prompt_tokens": "prompt",
        "prefix_tokens": "beginning_length",
        "max_output_tokens": "most_out",
        "expected_output_tokens": "likely_out",
        "time_budget": "budget",
        "is_client_retry": "resent",
        "is_continuation": "again",
        "finished": "over",
        "request_draw": "luck",
        "affinity_candidates": "homes",
        "session_hash": "session_mark",
        "prefix_hash": "beginning_mark",
    },
    LoadReport: {
        "requests_in_flight": "in_flight",
        "slot_utilization": "slots",
        "memory_utilization": "memory",
        "queued_prompt_tokens": "to_read",
    },
    AttemptOutcome: {
        "status": "ending",
        "duration": "took",
        "cached_tokens": "kept",
        "load_report": "report",
        "reached_engine": "arrived",
        "state_released": "released",
    },
}

_NESTED_TYPES: dict[type, dict[str, type]] = {
    RoutingSettings: {
        "request_classes": RequestClassSettings,
        "tenants": TenantSettings,
        "engine_types": EngineTypeSettings,
    },
    AttemptOutcome: {"load_report": LoadReport},
}


def to_stored(value: object) -> object:
    """Return a value of an event as JSON-compatible objects with the stored field names."""
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, list):
        return [to_stored(item) for item in value]
    if not is_dataclass(value):
        return value
    names = STORED_NAMES[type(value)]
    return {
        names.get(field.name, field.name): to_stored(getattr(value, field.name)) for field in fields(value)
    }


def from_stored(raw: object, kind: type[T]) -> T:
    """Convert a stored value back to type `kind`. Raises `msgspec.ValidationError` if it is invalid."""
    return msgspec.convert(_with_current_names(raw, kind), kind)


def _with_current_names(raw: object, kind: type) -> object:
    if isinstance(raw, list):
        return [_with_current_names(item, kind) for item in raw]
    if not isinstance(raw, dict):
        return raw
    current = {stored: name for name, stored in STORED_NAMES[kind].items()}
    nested = _NESTED_TYPES.get(kind, {})
    renamed = {current.get(key, key): value for key, value in raw.items()}
    return {
        key: _with_current_names(value, nested[key]) if key in nested else value
        for key, value in renamed.items()
    }
