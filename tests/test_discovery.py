"""Following the list: whatever order its news come in, and whatever the disk did to the last one."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from runspool.discovery.endpoint_tracker import GAP_TIMEOUT, EndpointTracker
from runspool.discovery.snapshot import CorruptFileError, load_snapshot, save_snapshot
from runspool.wire import endpoint_list as listing
from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage, decode_message, encode_message

STATES = ["on", "draining", "gone"]


def entry(name: str, state: str) -> EndpointEntry:
    return EndpointEntry(name, "127.0.0.1:1", "prefill", "a", 0, state)  # type: ignore[arg-type]


changes = st.lists(st.tuples(st.sampled_from("pqr"), st.sampled_from(STATES)), min_size=1, max_size=12)


@settings(max_examples=300, deadline=None)
@given(changes, st.randoms(use_true_random=False))
def test_news_in_any_order_and_any_number_of_times_end_in_the_same_list(
    said: list[tuple[str, str]], rng: object
) -> None:
    news = [
        EndpointListMessage(at + 1, "e", engines=[entry(name, state)])
        for at, (name, state) in enumerate(said)
    ]
    mixed = [*news, *news[::2]]
    rng.shuffle(mixed)  # type: ignore[attr-defined]
    following = EndpointTracker()
    following.apply(0, EndpointListMessage(0, "e", is_snapshot=True))
    drained: dict[str, int] = {}
    for line in mixed:
        for changed in following.apply(1, line):
            # Never back to an older word than the one already taken.
            assert line.version >= drained.get(changed.engine, -1)
            drained[changed.engine] = line.version
    last = {name: state for name, state in said}
    assert {one.engine: one.state for one in following.active_entries()} == {
        name: state for name, state in last.items() if state != "gone"
    }
    assert (following.version, following.versions_ahead, following.gap_since) == (len(said), set(), None)


def test_a_drain_out_of_order_counts_at_once() -> None:
    following = EndpointTracker()
    following.apply(0, EndpointListMessage(1, "e", is_snapshot=True, engines=[entry("p", "on")]))
    assert (
        following.apply(5, EndpointListMessage(3, "e", engines=[entry("p", "draining")]))[0].state
        == "draining"
    )
    assert following.apply(6, EndpointListMessage(2, "e", engines=[entry("p", "on")])) == []


def test_a_gap_that_does_not_close_asks_for_the_whole_list() -> None:
    following = EndpointTracker()
    following.apply(0, EndpointListMessage(1, "e", is_snapshot=True))
    following.apply(10, EndpointListMessage(3, "e", engines=[entry("p", "on")]))
    assert not following.needs_snapshot(10 + GAP_TIMEOUT - 1)
    assert following.needs_snapshot(10 + GAP_TIMEOUT)
    following.apply(
        10 + GAP_TIMEOUT, EndpointListMessage(3, "e", is_snapshot=True, engines=[entry("p", "on")])
    )
    assert not following.needs_snapshot(10 + 3 * GAP_TIMEOUT)


def test_a_beat_shows_what_was_missed() -> None:
    following = EndpointTracker()
    following.apply(0, EndpointListMessage(1, "e", is_snapshot=True))
    following.apply(5, EndpointListMessage(1, "e", is_heartbeat=True))
    assert following.gap_since is None
    following.apply(6, EndpointListMessage(2, "e", is_heartbeat=True))
    assert following.needs_snapshot(6 + GAP_TIMEOUT)


def test_a_whole_list_lets_go_of_those_it_does_not_name() -> None:
    following = EndpointTracker()
    following.restore([entry("old", "on"), entry("p", "on")])
    changed = following.apply(0, EndpointListMessage(4, "e", is_snapshot=True, engines=[entry("p", "on")]))
    assert [(one.engine, one.state) for one in changed] == [("old", "gone")]
    assert (
        following.apply(1, EndpointListMessage(3, "e", is_snapshot=True)) == []
    )  # an older list says nothing


def test_a_service_that_lost_its_numbers_is_believed_only_with_a_whole_list() -> None:
    following = EndpointTracker()
    following.apply(0, EndpointListMessage(90, "e", is_snapshot=True, engines=[entry("p", "on")]))
    assert following.apply(1, EndpointListMessage(2, "f", engines=[entry("p", "draining")])) == []
    assert following.apply(2, EndpointListMessage(2, "f", is_snapshot=True, engines=[entry("p", "draining")]))
    assert following.version == 2


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
def test_a_torn_line_is_no_news(line: bytes) -> None:
    with pytest.raises(listing.MalformedListLineError):
        decode_message(line)


def test_a_last_list_is_whole_or_nothing(tmp_path: Path) -> None:
    file = tmp_path / "last"
    assert load_snapshot(file) is None
    save_snapshot(file, 5, [entry("p", "draining")])
    found = load_snapshot(file)
    assert found is not None
    assert (found.version, found.engines) == (5, [entry("p", "draining")])
    raw = file.read_bytes()
    for length in range(len(raw)):
        file.write_bytes(raw[:length])
        with pytest.raises(CorruptFileError):
            load_snapshot(file)
    for at in range(len(raw)):
        file.write_bytes(raw[:at] + bytes([raw[at] ^ 1]) + raw[at + 1 :])
        with pytest.raises(CorruptFileError):
            load_snapshot(file)
