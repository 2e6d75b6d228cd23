"""The fake scheduler host under its earlier names, for tests/test_engines.py alone."""

from __future__ import annotations

from runspool.runtime.scheduler_driver import SchedulerDriver
from runspool.scheduling.types import AttemptStatus
from tests.fake_scheduler_host import (
    DECODE,
    FIRST_TOKEN_DURATION,
    MIXED,
    PREFILL,
    PREFILL_DURATION,
    FakeSchedulerHost,
    routing_settings,
)

READER, WRITER = PREFILL, DECODE
terms = routing_settings
__all__ = ["MIXED", "READER", "WRITER", "FakeHost", "terms"]

EARLIER_ACTION_NAMES = {"start_attempt": "send", "reject": "dismiss"}


class FakeHost(FakeSchedulerHost):
    """A fake scheduler host with the methods' earlier names."""

    ask = FakeSchedulerHost.submit
    at = FakeSchedulerHost.engine_of

    @property
    def desk(self) -> SchedulerDriver:
        """The driver."""
        return self.driver

    @property
    def luck(self) -> float:
        """What each of the scheduler's draws gives."""
        return self.random_draw

    @luck.setter
    def luck(self, draw: float) -> None:
        self.random_draw = draw

    def begin(self, request: int, took: int = FIRST_TOKEN_DURATION) -> None:
        """Start a stream."""
        self.start_stream(request, duration=took)

    def end(
        self,
        request: int,
        status: AttemptStatus,
        over: bool = False,
        took: int = PREFILL_DURATION,
        kept: int = 0,
    ) -> None:
        """End an attempt."""
        self.end_attempt(request, status, over, duration=took, cached_tokens=kept)

    def of(self, request: int) -> list[str]:
        """The earlier names of the actions for the request."""
        return [EARLIER_ACTION_NAMES.get(action, action) for action in self.actions_of(request)]
