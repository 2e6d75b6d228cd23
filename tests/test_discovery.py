"""The endpoint list: messages in any order, and saved snapshots that may be damaged."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from runspool.discovery.endpoint_tracker import GAP_TIMEOUT, EndpointTracker
from runspool.discovery.snapshot import CorruptFileError, load_snapshot, save_snapshot
from runspool.wire.endpoint_list import (
    EndpointEntry,
    EndpointListMessage,
    MalformedListLineError,
    decode_message,
    encode_message,
)

STATES = ["on", "draining", "gone"]


def entry(name: str, state: str) -> EndpointEntry:
    return EndpointEntry(name, "127.0.0.1:1", "prefill", "a", 0, state)  # type: ignore[arg-type]


STATE_CHANGES = st.lists(st.tuples(st.sampled_from("pqr"), st.sampled_from(STATES)), min_size=1, max_size=12)


@settings(max_examples=300, deadline=None)
@given(STATE_CHANGES, st.randoms(use_true_random=False))
def test_reordered_and_duplicated_messages_yield_the_same_list(
    states: list[tuple[str, str]], rng: object
) -> None:
    messages = [
        EndpointListMessage(index + 1, "e", engines=[entry(name, state)])
        for index, (name, state) in enumerate(states)
    ]
    shuffled = [*messages, *messages[::2]]
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    tracker = EndpointTracker()
    tracker.apply(0, EndpointListMessage(0, "e", is_snapshot=True))
    last_versions: dict[str, int] = {}
    for message in shuffled:
        for changed in tracker.apply(1, message):
            # A change never restores a state older than the one already applied.
            assert message.version >= last_versions.get(changed.engine, -1)
            last_versions[changed.engine] = message.version
    last_states = dict(states)
    assert {active.engine: active.state for active in tracker.listed_entries()} == {
        name: state for name, state in last_states.items() if state != "gone"
    }
    assert (tracker.version, tracker.versions_ahead, tracker.gap_since) == (len(states), set(), None)


def test_a_drain_received_out_of_order_is_applied_at_once() -> None:
    tracker = EndpointTracker()
    tracker.apply(0, EndpointListMessage(1, "e", is_snapshot=True, engines=[entry("p", "on")]))
    assert (
        tracker.apply(5, EndpointListMessage(3, "e", engines=[entry("p", "draining")]))[0].state == "draining"
    )
    assert tracker.apply(6, EndpointListMessage(2, "e", engines=[entry("p", "on")])) == []


def test_a_version_gap_that_stays_open_requires_a_snapshot() -> None:
    tracker = EndpointTracker()
    tracker.apply(0, EndpointListMessage(1, "e", is_snapshot=True))
    tracker.apply(10, EndpointListMessage(3, "e", engines=[entry("p", "on")]))
    assert not tracker.needs_snapshot(10 + GAP_TIMEOUT - 1)
    assert tracker.needs_snapshot(10 + GAP_TIMEOUT)
    tracker.apply(10 + GAP_TIMEOUT, EndpointListMessage(3, "e", is_snapshot=True, engines=[entry("p", "on")]))
    assert not tracker.needs_snapshot(10 + 3 * GAP_TIMEOUT)


def test_a_heartbeat_reveals_a_missed_message() -> None:
    tracker = EndpointTracker()
    tracker.apply(0, EndpointListMessage(1, "e", is_snapshot=True))
    tracker.apply(5, EndpointListMessage(1, "e", is_heartbeat=True))
    assert tracker.gap_since is None
    tracker.apply(6, EndpointListMessage(2, "e", is_heartbeat=True))
    assert tracker.needs_snapshot(6 + GAP_TIMEOUT)


def test_a_snapshot_removes_engines_that_it_does_not_name() -> None:
    tracker = EndpointTracker()
    tracker.restore([entry("old", "on"), entry("p", "on")])
    changed = tracker.apply(0, EndpointListMessage(4, "e", is_snapshot=True, engines=[entry("p", "on")]))
    assert [(change.engine, change.state) for change in changed] == [("old", "gone")]
    older_snapshot = EndpointListMessage(3, "e", is_snapshot=True)
    assert tracker.apply(1, older_snapshot) == []


def test_versions_of_a_new_epoch_are_accepted_only_with_a_snapshot() -> None:
    tracker = EndpointTracker()
    tracker.apply(0, EndpointListMessage(90, "e", is_snapshot=True, engines=[entry("p", "on")]))
    assert tracker.apply(1, EndpointListMessage(2, "f", engines=[entry("p", "draining")])) == []
    assert tracker.apply(2, EndpointListMessage(2, "f", is_snapshot=True, engines=[entry("p", "draining")]))
    assert tracker.version == 2


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"{",
        b'{"version": -1}',
        b'{"version": 1, "engines": [{"engine": "p"}]}',
        b"\xff\xfe",
        encode_message(EndpointListMessage(1, engines=[entry("p", "on")]))[:-20],
        encode_message(
            EndpointListMessage(1, engines=[EndpointEntry("p", "nowhere", "prefill", "a", 0, "on")])
        ),
    ],
)
def test_a_damaged_line_raises_a_malformed_line_error(line: bytes) -> None:
    with pytest.raises(MalformedListLineError):
        decode_message(line)


def test_a_truncated_or_altered_snapshot_is_rejected(tmp_path: Path) -> None:
    file = tmp_path / "last"
    assert load_snapshot(file) is None
    save_snapshot(file, 5, [entry("p", "draining")])
    snapshot = load_snapshot(file)
    assert snapshot is not None
    assert (snapshot.version, snapshot.engines) == (5, [entry("p", "draining")])
    raw = file.read_bytes()
    for length in range(len(raw)):
        file.write_bytes(raw[:length])
        with pytest.raises(CorruptFileError):
            load_snapshot(file)
    for index in range(len(raw)):
        file.write_bytes(raw[:index] + bytes([raw[index] ^ 1]) + raw[index + 1 :])
        with pytest.raises(CorruptFileError):
            load_snapshot(file)
