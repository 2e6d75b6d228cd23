"""How much of a client's time budget remains for the first token."""

from __future__ import annotations

from runspool.scheduling.settings import RequestClassSettings
from runspool.scheduling.types import DeduplicationScope, Idempotency
from runspool.service.deadlines import first_token_budget

REQUEST_CLASS = RequestClassSettings(
    10_000, 0, 600, 1.0, 0.1, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0
)


def test_unstreamed_response_reserves_time_for_its_generation() -> None:
    assert first_token_budget(60_000, False, 50, REQUEST_CLASS) == 60_000
    assert first_token_budget(60_000, True, 50, REQUEST_CLASS) == 30_000
    assert first_token_budget(60_000, True, 0, REQUEST_CLASS) == 60_000
    # An expected length that exceeds the budget still leaves a quarter of it for the first token.
    assert first_token_budget(60_000, True, 10_000, REQUEST_CLASS) == 15_000
    assert first_token_budget(-5, True, 50, REQUEST_CLASS) == 0
    assert first_token_budget(-5, False, 0, REQUEST_CLASS) == 0
