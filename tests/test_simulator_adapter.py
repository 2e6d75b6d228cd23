"""The adapter that runs the scheduler behind the simulator's line protocol."""

from __future__ import annotations

import io

import pytest

from runspool.simulator_adapter.host import FrontHost
from runspool.simulator_adapter.line_protocol import MalformedLineError

ATTACH = 'attach front=front/0 random-seed=1 profile-data={"classes":[{"name":"a"}]}'


def output_for(*lines: str) -> str:
    """Return what the adapter writes in response to input lines."""
    output = io.BytesIO()
    FrontHost(io.BytesIO("".join(line + "\n" for line in lines).encode()), output).serve()
    return output.getvalue().decode()


def test_batch_is_answered_and_unknown_commands_are_ignored() -> None:
    output = output_for(
        "tick time-us=100 seq=4",
        ATTACH,
        "novelty front=front/0 x=1",
        "inbound front=front/0 req=r qos=c time-budget-us=50000 new=1",
        "eof_batch",
    )
    assert "finish_error front=front/0 req=r\n" in output
    assert output.endswith("done seq=4\n")


def test_malformed_line_raises() -> None:
    with pytest.raises(MalformedLineError):
        output_for("tick time-us=100 seq=4", "inbound front", "eof_batch")


def test_exception_in_the_scheduler_is_reported_to_the_simulator() -> None:
    output = output_for("tick time-us=100 seq=4", ATTACH, "bell front=front/0 token=x.1", "eof_batch")
    assert "bail_out front=front/0 reason-text=ValueError" in output
