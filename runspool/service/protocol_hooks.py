"""What each protocol adds to the request executor: how its exchanges run and its states are released."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any, Generic

from runspool.engines.attempt_result import AttemptResult
from runspool.engines.send_permit import SendPermit
from runspool.service.cell_scheduler import CellScheduler
from runspool.service.pending_request import Endpoint, RequestT


class ProtocolHooks(ABC, Generic[RequestT]):
    """The methods by which an executor's subclass speaks its protocol; the others have a default."""

    @abstractmethod
    def scheduler_named(self, name: str) -> CellScheduler | None:
        """The scheduler of the cell with this name, or None if it is closed."""

    @abstractmethod
    def scheduler_for(self, pending: RequestT) -> CellScheduler | None:
        """The scheduler to which the request was submitted, or None if it is closed."""

    @abstractmethod
    def request_class_of(self, pending: RequestT) -> int:
        """The index of the request's class in the routing settings."""

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
        """Carries out one attempt, with `limit` as its time to the first token.

        On cancellation its connection is closed and nothing is reported.
        """

    @abstractmethod
    def release_prefill_state(self, pending: RequestT) -> None:
        """Begins to release the state that waits at `pending.prefill_endpoint`, if one does."""

    async def before_attempt(self, pending: RequestT, endpoint: Endpoint) -> None:
        """Does, or waits for, what must be over before an attempt begins."""

    def release_unclaimed_state(self, pending: RequestT) -> bool:
        """Has engines release the state that no attempt is known to use, while an attempt may be in progress.

        False where the protocol has no such call, or nothing is there to release.
        """
        return False

    @abstractmethod
    def after_attempt(
        self, pending: RequestT, endpoint: Endpoint, attempt: int, result: AttemptResult
    ) -> None:
        """Cleans up after an attempt, once the scheduler knows how it ended."""

    @abstractmethod
    def publish_engines(self) -> None:
        """Gives every scheduler the engines that are now its own."""

    def is_guarded(self, pending: RequestT) -> bool:
        """Whether the deadline guard still has to answer this request."""
        return not pending.stream_started

    def set_prefill_endpoint(
        self,
        pending: RequestT,
        endpoint: Endpoint | None,
        state: Any,  # noqa: ANN401 - each protocol names a state in its own form
    ) -> None:
        """Records the engine where the request's prefill state waits; None where none does."""
        pending.prefill_endpoint = endpoint

    def after_request(self, pending: RequestT) -> None:
        """Cleans up after a request that the scheduler has forgotten."""
