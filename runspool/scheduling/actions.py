"""Actions that the scheduler's generators yield to the driver that runs them.

The driver carries out each action and resumes the generator with its result. An action whose docstring names
no result is carried out at once, and the generator is resumed with None.

All times and durations are tenths of a millisecond; points in time are on the clock that the driver sets
before each step.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Send the request to an engine.

    The generator is resumed with the attempt's `AttemptOutcome`. If a stream starts, it is resumed with
    status STREAM_STARTED and has to yield `AwaitCompletion` to receive the final outcome.

    `timeout` limits the time until the prefill ends or the first token arrives. With 0 only the client's
    deadline applies.
    """

    engine: int
    timeout: int


@dataclass(slots=True)
class AwaitCompletion:
    """Wait until a started stream ends; the generator is resumed with the stream's `AttemptOutcome`."""


@dataclass(slots=True)
class Sleep:
    """Wait until the time `until`, or until the client disconnects if that comes first."""

    until: int


@dataclass(slots=True)
class Reject:
    """Send the final response that the request was not executed and may be retried safely.

    `retry_after` is how long the client is asked to wait before it retries; with 0 the response does not say.
    """

    retry_after: int = 0


@dataclass(slots=True)
class FailIndeterminate:
    """Send the final response that the request failed and may or may not have been executed."""


@dataclass(slots=True)
class ReleaseState:
    """Ask the engines to release the request's reserved state, except where an attempt waits for it."""


@dataclass(slots=True)
class MigrateStream:
    """Interrupt the stream of another request, so that its client resumes it on another engine or front."""

    request: int


@dataclass(slots=True)
class SubscribeToEndpoints:
    """Subscribe to the endpoint list and its changes; needed where discovery does not push them unasked."""


@dataclass(slots=True)
class LogMessage:
    """Write a line to the log."""

    text: str


Action = (
    StartAttempt
    | AwaitCompletion
    | Sleep
    | Reject
    | FailIndeterminate
    | ReleaseState
    | MigrateStream
    | SubscribeToEndpoints
    | LogMessage
)
