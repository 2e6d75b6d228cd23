"""A node's configuration and settings: errors name the key, and a malformed file changes nothing."""

from __future__ import annotations

import asyncio
import copy
import os
import signal
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import pytest
from structlog.testing import capture_logs

from runspool.node.config import InvalidNodeConfigError
from tests.node_platform.client import post
from tests.node_platform.inspection import wait_until
from tests.node_platform.platform import Platform
from tests.node_platform.settings import SETTINGS

pytestmark = pytest.mark.anyio
PAIR = {"r": "prefill", "w": "decode"}


async def test_sighup_changes_the_agent_and_a_malformed_file_changes_nothing(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        (tmp_path / "config.json").write_text("{oops")
        platform.signal(signal.SIGHUP)
        await platform.wait_for_log_event("config_unusable")
        assert (await platform.send_request(post("q1"))).complete
        second = Platform(tmp_path, {"x": "mixed"})
        async with second.run_agent() as port:
            await second.engines["x"].start()
            platform.write_config(discovery=f"127.0.0.1:{port}")
            platform.signal(signal.SIGHUP)
            await second.wait_until(lambda: any("after=" in target for target in second.list_requests))
            assert (await platform.send_request(post("q2"))).complete
            assert [attempt.engine for attempt in second.attempts("q2")] == ["x"]
            second.engines["x"].server.close()


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"discovery": "nowhere"}, "discovery"),
        ({"settings": {"classes": [{"effect": "odd"}]}}, "settings.classes[0].effect"),
        ({"limits": {"sockets": "many"}}, "limits.sockets"),
        ({"seed": "xyz"}, "seed"),
        ({"known": {"index": 1}}, "known"),
        ({"settings": None}, "settings.classes"),
        ({"listen": "10.255.255.1:80"}, "listen"),
    ],
)
async def test_an_invalid_configuration_names_its_key_and_exits_2(
    change: dict[str, Any], key: str, tmp_path: Path
) -> None:
    platform = Platform(tmp_path, {})
    platform.port, platform.agent_port = 1, 1
    file = platform.write_config(**change)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "runspool.node",
        stderr=asyncio.subprocess.PIPE,
        env=os.environ | {"BALANCER_CONFIG": str(file)},
    )
    _, stderr = await process.communicate()
    assert (process.returncode, stderr.decode().startswith(f"runspool.node: {key}")) == (2, True), stderr


async def test_a_half_written_configuration_is_read_again(tmp_path: Path) -> None:
    async with Platform(tmp_path, PAIR).open() as platform:
        second = Platform(tmp_path, {})
        async with second.run_agent() as port:
            file = platform.write_config(discovery=f"127.0.0.1:{port}")
            written = file.read_bytes()
            file.write_bytes(written[:100])
            platform.signal(signal.SIGHUP)
            await platform.wait_for_log_event("config_unusable")
            file.write_bytes(written)
            await second.wait_until(lambda: bool(second.list_requests))


def setting_paths(value: Any, prefix: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path of each value in the settings, including objects and lists."""
    children: Iterable[tuple[Any, Any]] = ()
    if isinstance(value, dict):
        children = value.items()
    elif isinstance(value, list):
        children = enumerate(value)
    paths = [prefix] if prefix else []
    for key, child in children:
        paths += setting_paths(child, (*prefix, key))
    return paths


ABSENT = object()
SETTING_VALUES: tuple[Any, ...] = (ABSENT, None, 0, 1, -1, 10**14, "odd", [], {})


def with_setting(settings: Any, path: tuple[Any, ...], value: Any) -> Any:
    """Return a copy of the settings in which the value at a path is replaced, or removed if it is ABSENT."""
    settings = copy.deepcopy(settings)
    parent = settings
    for key in path[:-1]:
        parent = parent[key]
    if value is ABSENT:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return settings


@pytest.mark.parametrize("path", setting_paths(SETTINGS), ids=lambda path: ".".join(map(str, path)))
async def test_every_setting_with_an_unusual_value_works_or_is_named_in_the_error(
    path: tuple[Any, ...], tmp_path: Path
) -> None:
    for value in SETTING_VALUES:
        platform = Platform(tmp_path, PAIR)
        platform.settings = with_setting(SETTINGS, path, value)
        with capture_logs() as log:
            try:
                async with platform.open_in_process() as server:
                    response = await platform.send_request(post("q1", req_deadline="700m"))
                    assert response.status in (200, 400, 500, 503) and response.complete
                    server.stop()
                    await wait_until(lambda: server.executor.shutdown_deadline)
                    assert not platform.node_task.done(), value
            except InvalidNodeConfigError as error:
                path_names = [str(key) for key in path if isinstance(key, str)]
                assert any(name in str(error) for name in path_names), (value, str(error))
        failed = [line["event"] for line in log if line["event"].endswith(("_failed", "_by_guard"))]
        assert not failed, (value, failed)
