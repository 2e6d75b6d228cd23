"""The methods that each protocol implements for the request executor, such as exchanges and releases."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any, Generic

from runspool.engines.attempt_result import AttemptResult
from runspool.engines.send_permit import SendPermit
from runspool.service.cell_scheduler import CellScheduler
from runspool.service.pending_request import Endpoint, RequestT


class ProtocolHooks(ABC, Generic[RequestT]):
    """The protocol-specific methods of an executor; those that are not abstract have a default."""

    @abstractmethod
    def scheduler_named(self, name: str) -> CellScheduler | None:
        """Return the scheduler of the cell with this name, or None if it is closed."""

    @abstractmethod
    def scheduler_for(self, pending: RequestT) -> CellScheduler | None:
        """Return the scheduler to which the request was submitted, or None if it is closed."""

    @abstractmethod
    def request_class_of(self, pending: RequestT) -> int:
        """Return the index of the request's class in the routing settings."""

    @abstractmethod
    async def run_exchange(
        self,
        pending: RequestT,
        endpoint: Endpoint,
        attempt: int,
        sent_at: int,
        limit: int,
        permit: SendPermit,
    ) -> AttemptResult:
        """Run one attempt and return its result.

        `limit` is the maximum time until the first token and `sent_at` the start of the attempt, both in
        tenths of a millisecond. If the call is cancelled, its connection is closed and nothing is reported.
        """

    @abstractmethod
    def release_prefill_state(self, pending: RequestT) -> None:
        """Start the release of the state that is kept at `pending.prefill_endpoint`, if there is one."""

    async def before_attempt(self, pending: RequestT, endpoint: Endpoint) -> None:
        """Perform, or wait for, whatever must be complete before an attempt starts."""

    def release_even_if_in_use(self, pending: RequestT) -> bool:
        """Start the release of the request's state, even if an attempt in progress may use it.

        Return False if the protocol has no such call or if there is no state to release.
        """
        return False

    @abstractmethod
    def after_attempt(
        self, pending: RequestT, endpoint: Endpoint, attempt: int, result: AttemptResult
    ) -> None:
        """Clean up after an attempt whose outcome has been reported to the scheduler."""

    @abstractmethod
    def publish_engines(self) -> None:
        """Send every scheduler its current engines."""

    def deadline_guard_applies(self, pending: RequestT) -> bool:
        """Return whether the deadline guard still has to answer this request if it fires."""
        return not pending.stream_started

    def set_prefill_endpoint(
        self,
        pending: RequestT,
        endpoint: Endpoint | None,
        state: Any,  # noqa: ANN401 - each protocol has its own representation of a state
    ) -> None:
        """Record the engine that keeps the request's prefill state; None if there is no state."""
        pending.prefill_endpoint = endpoint

    def submission_expired(self, request: int) -> None:
        """End a request that has not been submitted to its scheduler yet; `request` is its index."""

    def after_request(self, pending: RequestT) -> None:
        """Clean up after a request that the scheduler has forgotten."""
