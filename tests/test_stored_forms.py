"""Files written by earlier versions still load, and replayed recorded events produce the same actions."""

from __future__ import annotations

import lzma
from dataclasses import fields
from pathlib import Path

import msgspec
import pytest

from runspool.cells import cell_store
from runspool.discovery import snapshot
from runspool.lab.replay import replay
from runspool.scheduling.settings import RoutingSettings
from runspool.scheduling.types import AttemptOutcome, EngineRecord, Request
from runspool.service.recording_format import STORED_NAMES, RecordedEvent, from_stored, to_stored

RECORDED = Path(__file__).parent / "recorded"
FILES = RECORDED / "files"
EVENTS = sorted((RECORDED / "events").glob("*.xz"))
# The position of the stored object among the values of an event, and its type, by kind of event.
STORED_TYPES = {
    RecordedEvent.STARTED: (1, RoutingSettings),
    RecordedEvent.SUBMITTED: (0, Request),
    RecordedEvent.ATTEMPT_ENDED: (2, AttemptOutcome),
}


@pytest.mark.parametrize("recording", EVENTS, ids=lambda file: str(file.name))
def test_replayed_events_produce_the_recorded_actions(recording: Path, tmp_path: Path) -> None:
    uncompressed = tmp_path / "events"
    uncompressed.write_bytes(lzma.decompress(recording.read_bytes()))
    result = replay(uncompressed)
    assert result.first_difference == ""
    assert result.actions > 400


@pytest.mark.parametrize("recording", EVENTS, ids=lambda file: str(file.name))
def test_events_are_still_recorded_in_the_format_of_old_recordings(recording: Path) -> None:
    checked = set()
    for line in lzma.decompress(recording.read_bytes()).splitlines():
        _, event_name, *values = msgspec.json.decode(line)
        if event_name == RecordedEvent.ENDPOINTS_UPDATED:
            assert [to_stored(from_stored(record, EngineRecord)) for record in values[1]] == values[1]
        elif event_name in STORED_TYPES:
            position, stored_type = STORED_TYPES[RecordedEvent(event_name)]
            assert to_stored(from_stored(values[position], stored_type)) == values[position]
        else:
            continue
        checked.add(event_name)
    assert checked == {*STORED_TYPES, RecordedEvent.ENDPOINTS_UPDATED}


@pytest.mark.parametrize("stored_type", STORED_NAMES, ids=lambda stored_type: str(stored_type.__name__))
def test_every_stored_name_maps_to_one_field(stored_type: type) -> None:
    names = {field.name for field in fields(stored_type)}
    assert set(STORED_NAMES[stored_type]) <= names
    assert len({STORED_NAMES[stored_type].get(name, name) for name in names}) == len(names)


def test_an_old_endpoint_snapshot_loads() -> None:
    loaded = snapshot.load_snapshot(FILES / "endpoints.snapshot")
    assert loaded is not None and loaded.version == 7
    assert [(entry.engine, entry.state) for entry in loaded.engines] == [
        ("waw-1-prefill-0", "on"),
        ("waw-2-decode-0", "draining"),
    ]


def test_an_old_cell_map_its_change_log_and_an_adopted_map_load() -> None:
    stored = cell_store.load_map(FILES / "cells.map")
    adopted = cell_store.load_adopted_map(FILES / "cells-adopted.map")
    logged = cell_store.read_change_log(FILES / "cells.map")
    assert stored is not None and stored.tenants == {"stol-razem": "a", "pod-lipami": "b"}
    assert adopted == (stored, 1_700_000_000_123)
    assert [(change.description, change.version) for change in logged] == [("adopt", 1)]
