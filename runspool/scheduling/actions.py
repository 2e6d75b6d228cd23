"""What the scheduler asks of the driver that runs its generators.

A generator yields one of these and is resumed with its result; where none is named it is resumed at once with
None. Times are tenths of a millisecond on the clock that the driver sets before each step.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Send the request to an engine.

    Resumed with the attempt's `AttemptOutcome`; where a stream starts, first with status STREAM_STARTED.
    `timeout` runs to the end of a prefill or to the first token; 0 sets none but the client's deadline.
    """

    engine: int
    timeout: int


@dataclass(slots=True)
class AwaitCompletion:
    """Wait for the end of a stream that has started; resumed with its `AttemptOutcome`."""


@dataclass(slots=True)
class Sleep:
    """Resumed at the time named, sooner if the client disconnects."""

    until: int


@dataclass(slots=True)
class Reject:
    """The final response: not executed, a retry is harmless.

    `retry_after` is how long the client is told to wait first; 0 says nothing.
    """

    retry_after: int = 0


@dataclass(slots=True)
class FailIndeterminate:
    """The final response: failed, and the request may or may not have been executed."""


@dataclass(slots=True)
class ReleaseState:
    """Have the engines release all that is reserved for the request and that no attempt waits for."""


@dataclass(slots=True)
class MigrateStream:
    """Stop another request's stream, so that its client continues it at another engine."""

    request: int


@dataclass(slots=True)
class SubscribeToEndpoints:
    """Ask for the endpoint list and its changes, where discovery does not send them by itself."""


@dataclass(slots=True)
class LogMessage:
    """A line for the log."""

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
