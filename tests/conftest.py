from __future__ import annotations

from collections import Counter

import pytest

JUDGED: Counter[str] = Counter()  # rule: cases judged in histories, said at the end of a run


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for rule, cases in JUDGED.items():
        terminalreporter.write_line(f"{rule}: {cases} cases judged in histories")
