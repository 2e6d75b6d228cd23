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
STORED_TYPES = {
    RecordedEvent.STARTED: (1, RoutingSettings),
    RecordedEvent.SUBMITTED: (0, Request),
    RecordedEvent.ATTEMPT_ENDED: (2, AttemptOutcome),
}


@pytest.mark.parametrize("recording", EVENTS, ids=lambda file: str(file.name))
def test_replayed_events_produce_the_recorded_actions(recording: Path, tmp_path: Path) -> None:
    plain = tmp_path / "events"
    plain.write_bytes(lzma.decompress(recording.read_bytes()))
    found = replay(plain)
    assert found.first_difference == ""
    assert found.actions > 400


@pytest.mark.parametrize("recording", EVENTS, ids=lambda file: str(file.name))
def test_events_are_still_recorded_in_the_format_of_old_recordings(recording: Path) -> None:
    seen = set()
    for line in lzma.decompress(recording.read_bytes()).splitlines():
        _, word, *values = msgspec.json.decode(line)
        if word == RecordedEvent.ENDPOINTS_UPDATED:
            assert [to_stored(from_stored(one, EngineRecord)) for one in values[1]] == values[1]
        elif word in STORED_TYPES:
            position, kind = STORED_TYPES[RecordedEvent(word)]
            assert to_stored(from_stored(values[position], kind)) == values[position]
        else:
            continue
        seen.add(word)
    assert seen == {*STORED_TYPES, RecordedEvent.ENDPOINTS_UPDATED}


@pytest.mark.parametrize("kind", STORED_NAMES, ids=lambda kind: str(kind.__name__))
def test_every_stored_name_maps_to_one_field(kind: type) -> None:
    names = {one.name for one in fields(kind)}
    assert set(STORED_NAMES[kind]) <= names
    assert len({STORED_NAMES[kind].get(name, name) for name in names}) == len(names)


def test_an_old_endpoint_snapshot_loads() -> None:
    found = snapshot.load_snapshot(FILES / "endpoints.snapshot")
    assert found is not None and found.version == 7
    assert [(entry.engine, entry.state) for entry in found.engines] == [
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
