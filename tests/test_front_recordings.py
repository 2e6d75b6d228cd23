"""Recordings of a real front under load: they replay to the same actions and pass the audit."""

from __future__ import annotations

from pathlib import Path

import anyio
import msgspec
import pytest

from runspool.lab.audit import audit
from runspool.lab.replay import replay
from tests.small_fleet import SmallFleet

pytestmark = pytest.mark.anyio
REQUEST_CLASSES = ["ask", "book"]
FOUR_ENGINES = ["prefill", "prefill", "decode", "mixed"]


async def test_a_recording_replays_to_the_same_actions(tmp_path: Path) -> None:
    recording = tmp_path / "front.tape"
    async with SmallFleet(tmp_path, FOUR_ENGINES).open(recording) as fleet:
        fleet.engines[0].set_fault("row", row="failed_500", share=0.3)
        fleet.engines[2].set_fault("row", row="reset_after", share=0.2)
        async with anyio.create_task_group() as tasks:
            for number in range(40):
                tasks.start_soon(
                    lambda index=number: fleet.send_request(  # type: ignore[misc]
                        REQUEST_CLASSES[index % 2],
                        output_tokens=5,
                        runspool_mark=f"m{index}",
                        runspool_session=f"s{index % 7}",
                    )
                )
        fleet.front_server.front.cell_scheduler("whole").recorder.close()
    replayed = replay(recording)
    assert replayed.first_difference == ""
    assert replayed.events > 100
    assert replayed.actions > 100
    # A difference is reported for an altered recording.
    recording.write_bytes(recording.read_bytes().replace(b'"send",5,', b'"send",6,', 1))
    assert "replayed action" in replay(recording).first_difference


async def test_a_fleet_under_load_violates_no_rule(tmp_path: Path) -> None:
    fleet = SmallFleet(tmp_path, FOUR_ENGINES)
    fleet.recorder.record_event("day", plan=msgspec.to_builtins(fleet.plan))
    async with fleet.open():
        async with anyio.create_task_group() as tasks:
            for number in range(30):
                tasks.start_soon(
                    lambda index=number: fleet.send_request(  # type: ignore[misc]
                        "book", output_tokens=5, runspool_mark=f"m{index}"
                    )
                )
        assert len(fleet.recorded_events("ran")) == 30
        events = [msgspec.json.decode(line) for line in fleet.recording_file.read_bytes().splitlines()]
        assert all(rule.violation_count == 0 for rule in audit(events).values())
