"""Configuration from Jsonnet templates: permitted contents, and how errors are reported."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from runspool.config import InvalidConfigError, load_config, parse_config
from runspool.scheduling.types import Idempotency, Role

EXAMPLE = Path(__file__).parents[1] / "examples" / "house.jsonnet"


def example_config() -> dict[str, Any]:
    """Return the example configuration as the evaluated template yields it."""
    return load_config(EXAMPLE).model_dump()


def test_a_template_becomes_routing_settings_in_tenths_of_a_millisecond() -> None:
    config = load_config(EXAMPLE)
    settings = config.routing_settings()
    names = list(config.house.tariffs)
    request_class = settings.request_classes[names.index("payout-close")]
    assert (
        request_class.first_token_objective,
        request_class.first_token_objective_per_1000_tokens,
        request_class.time_per_output_token,
        request_class.idempotency,
    ) == (30_000, 1_200, 800, Idempotency.AT_MOST_ONCE)
    assert settings.state_release_timeout == 3_000
    assert {engine_type.role for engine_type in settings.engine_types} == set(Role)
    assert not settings.streams_can_resume


def test_all_errors_are_reported_at_once_with_path_value_and_permitted_values() -> None:
    config = example_config()
    config["house"]["tariffs"]["staff-ask"]["due_ms"] = -1
    config["house"]["tariffs"]["payout-close"]["effect"] = "sometimes"
    config["house"]["kinds"] = {}
    config["front"]["listen"]["port"] = "80"
    config["front"]["bounds"]["querries"] = 5
    del config["front"]["list"]["quiet_ms"]
    with pytest.raises(InvalidConfigError) as error:
        parse_config(config)
    errors = {field_error.path: field_error for field_error in error.value.errors}
    assert set(errors) == {
        "house.tariffs.staff-ask.due_ms",
        "house.tariffs.payout-close.effect",
        "house.kinds",
        "front.listen.port",
        "front.bounds.querries",
        "front.list.quiet_ms",
    }
    assert errors["front.bounds.querries"].message == "no such field"
    assert errors["house.tariffs.staff-ask.due_ms"].value == "-1"
    assert "'ticketed'" in errors["house.tariffs.payout-close.effect"].message


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"zone": "nowhere"}, "front.zone"),
        ({"number": 5}, "front.number"),
        ({"default_tariff": "none"}, "front.default_tariff"),
    ],
)
def test_front_settings_that_contradict_the_shared_settings_are_rejected(
    change: dict[str, Any], path: str
) -> None:
    config = example_config()
    config["front"] |= change
    with pytest.raises(InvalidConfigError, match=path):
        parse_config(config)


def test_error_in_a_template_names_file_and_line(tmp_path: Path) -> None:
    broken = tmp_path / "broken.jsonnet"
    broken.write_text("local a = 1;\n{ house: a + nothing }\n")
    with pytest.raises(InvalidConfigError, match=r"broken\.jsonnet:2"):
        load_config(broken)
    with pytest.raises(InvalidConfigError):
        load_config(tmp_path / "absent.jsonnet")


def test_external_variables_reach_the_template(tmp_path: Path) -> None:
    file = tmp_path / "port.jsonnet"
    file.write_text(f"(import '{EXAMPLE}') + {{ front+: {{ number: 0, name: std.extVar('name') }} }}")
    assert load_config(file, {"name": "front-z"}).front.name == "front-z"
