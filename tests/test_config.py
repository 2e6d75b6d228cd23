"""Terms: what a template may say, and how its faults are told."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from runspool.config import InvalidConfigError, load_config, parse_config
from runspool.scheduling.types import Idempotency, Role

HOUSE = Path(__file__).parents[1] / "examples" / "house.jsonnet"


def said() -> dict[str, Any]:
    return load_config(HOUSE).model_dump()


def test_a_template_becomes_house_terms_in_tenths_of_a_millisecond() -> None:
    terms = load_config(HOUSE)
    house = terms.routing_settings()
    names = list(terms.house.tariffs)
    row = house.request_classes[names.index("payout-close")]
    assert (
        row.first_token_objective,
        row.first_token_objective_per_1000_tokens,
        row.time_per_output_token,
        row.idempotency,
    ) == (30_000, 1_200, 800, Idempotency.AT_MOST_ONCE)
    assert house.state_release_timeout == 3_000
    assert {kind.role for kind in house.engine_types} == set(Role)
    assert not house.streams_can_resume


def test_every_fault_is_told_at_once_with_path_value_and_what_is_allowed() -> None:
    found = said()
    found["house"]["tariffs"]["staff-ask"]["due_ms"] = -1
    found["house"]["tariffs"]["payout-close"]["effect"] = "sometimes"
    found["house"]["kinds"] = {}
    found["front"]["listen"]["port"] = "80"
    found["front"]["bounds"]["querries"] = 5
    del found["front"]["list"]["quiet_ms"]
    with pytest.raises(InvalidConfigError) as told:
        parse_config(found)
    paths = {fault.path: fault for fault in told.value.faults}
    assert set(paths) == {
        "house.tariffs.staff-ask.due_ms",
        "house.tariffs.payout-close.effect",
        "house.kinds",
        "front.listen.port",
        "front.bounds.querries",
        "front.list.quiet_ms",
    }
    assert paths["front.bounds.querries"].allowed == "no such field"
    assert paths["house.tariffs.staff-ask.due_ms"].value == "-1"
    assert "'ticketed'" in paths["house.tariffs.payout-close.effect"].allowed


@pytest.mark.parametrize(
    ("change", "named"),
    [
        ({"zone": "nowhere"}, "front.zone"),
        ({"number": 5}, "front.number"),
        ({"default_tariff": "none"}, "front.default_tariff"),
    ],
)
def test_a_front_must_fit_its_house(change: dict[str, Any], named: str) -> None:
    found = said()
    found["front"] |= change
    with pytest.raises(InvalidConfigError, match=named):
        parse_config(found)


def test_a_template_that_does_not_evaluate_names_file_and_line(tmp_path: Path) -> None:
    broken = tmp_path / "broken.jsonnet"
    broken.write_text("local a = 1;\n{ house: a + nothing }\n")
    with pytest.raises(InvalidConfigError, match=r"broken\.jsonnet:2"):
        load_config(broken)
    with pytest.raises(InvalidConfigError):
        load_config(tmp_path / "absent.jsonnet")


def test_external_variables_reach_the_template(tmp_path: Path) -> None:
    file = tmp_path / "port.jsonnet"
    file.write_text(f"(import '{HOUSE}') + {{ front+: {{ number: 0, name: std.extVar('name') }} }}")
    assert load_config(file, {"name": "front-z"}).front.name == "front-z"
