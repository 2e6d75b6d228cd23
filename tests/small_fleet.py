"""A small fleet in one event loop on loopback: stand-in engines, an endpoint list and a real front."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import anyio
import h11
import msgspec
from anyio.abc import TaskStatus

from runspool.cells import cell_store
from runspool.cells.cell_map import CellMap
from runspool.config import parse_config
from runspool.lab import recording
from runspool.lab.endpoint_list_service import EndpointListService
from runspool.lab.engine import StandInEngine
from runspool.lab.engine_model import EngineSpec
from runspool.lab.front_configuration import front_configuration
from runspool.lab.plan import ClientsPlan, FrontPlan, RequestClassPlan, ScenarioPlan, TenantPlan
from runspool.lab.recording import Event, Recorder
from runspool.lab.scripted_scenarios import plan_engine
from runspool.service.front_server import FrontServer
from runspool.wire.endpoint_list import EndpointEntry

REQUEST_CLASSES = [
    RequestClassPlan("ask", 0.5, "rerunnable", 1, 20_000, 0, 60_000, 1_000, 200, 20, 1.0, 0.0, 0),
    RequestClassPlan("book", 0.5, "exclusive", 1, 20_000, 0, 60_000, 1_000, 200, 20, 1.0, 0.0, 0),
    RequestClassPlan("mark", 0.5, "ticketed", 1, 20_000, 0, 60_000, 1_000, 200, 20, 1.0, 0.0, 0, 0.1, "zone"),
]
# The type of stand-in engine by role.
ENGINE_TYPES = {"reader": "prefill", "writer": "decode", "mixed": "mixed"}
WAIT_LIMIT = 20.0  # maximum number of seconds to wait for a recorded event


def small_plan(engine_types: list[str]) -> ScenarioPlan:
    """Return the plan of a fleet with one front and engines of these types, named e0, e1 and so on."""
    rng = Random(1)
    return ScenarioPlan(
        name="small-fleet",
        seed=1,
        duration=1,
        requests_per_second=1,
        zones=["a", "b"],
        request_classes=REQUEST_CLASSES,
        tenants=[TenantPlan("one", 0.5, 100), TenantPlan("two", 0.5, 100)],
        fronts=[FrontPlan("front-0", "a", "127.0.0.11")],
        engines=[
            plan_engine(f"e{index}", engine_type, "a", 0, REQUEST_CLASSES, rng)
            for index, engine_type in enumerate(engine_types)
        ],
        clients=ClientsPlan(),
        faults=[],
    )


def engine_spec(role: str = "writer") -> EngineSpec:
    """Return the specification of an engine of this role."""
    return plan_engine("e", ENGINE_TYPES[role], "a", 0, REQUEST_CLASSES, Random(1)).spec


@dataclass
class ReceivedResponse:
    """A complete response of a front."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict[str, Any]:
        """The error object in the body of a response whose status is not 200."""
        found: dict[str, Any] = msgspec.json.decode(self.body)["error"]
        return found

    @property
    def text(self) -> str:
        """The concatenated text of a streamed response."""
        texts = []
        for event in self.body.split(b"\n\n"):
            if event.startswith(b"data: {"):
                content = msgspec.json.decode(event[6:])
                texts += [choice["text"] for choice in content.get("choices", [])]
        return "".join(texts)


class SmallFleet:
    """Stand-in engines, an endpoint list service and one front.

    `bounds_overrides` replace entries of the front's `bounds` configuration. `cells` is the cell map that the
    front loads when it starts, if any.
    """

    def __init__(
        self, folder: Path, engine_types: list[str], cells: CellMap | None = None, **bounds_overrides: Any
    ) -> None:
        self.folder = folder
        self.plan = small_plan(engine_types)
        if cells is not None:
            self.plan.cells = cells.model_dump()
            self.map_file = folder / "front-0.map"
            cell_store.write_with_checksum(self.map_file, cell_store.encode_map(cells))
        self.recording_file = folder / "small-fleet.jsonl"
        self.recorder = Recorder(self.recording_file)
        self.endpoint_list = EndpointListService(self.recorder, 0)
        self.engines = [
            StandInEngine(planned.spec, self.recorder, False, index)
            for index, planned in enumerate(self.plan.engines)
        ]
        self.start_times = [0] * len(self.engines)  # in Unix milliseconds; 0: started long ago
        self.engine_scopes: dict[int, anyio.CancelScope] = {}
        self.bounds_overrides = bounds_overrides
        self.front_server: FrontServer
        self.port = 0

    @asynccontextmanager
    async def open(self, event_recording: Path | None = None) -> AsyncIterator[SmallFleet]:
        """Run the whole fleet; on exit, stop the front and cancel everything that still runs."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.endpoint_list.run, "127.0.0.1", 0)
            for index in range(len(self.engines)):
                self.plan.engines[index].port = await tasks.start(self._run_engine, index)
                self.publish_state(index, "on")
            configuration = front_configuration(self.plan, 0, self.endpoint_list.port, self.folder)
            configuration["front"]["bounds"] |= self.bounds_overrides
            self.front_server = FrontServer(parse_config(configuration), event_recording)
            self.port = await tasks.start(self.front_server.run)
            while len(self.front_server.front.endpoints) < len(self.engines):
                await anyio.sleep(0.005)
            yield self
            self.front_server.stop()
            tasks.cancel_scope.cancel()

    async def _run_engine(self, index: int, *, task_status: TaskStatus[int]) -> None:
        with anyio.CancelScope() as self.engine_scopes[index]:
            await self.engines[index].run("127.0.0.1", 0, task_status=task_status)

    def kill(self, index: int) -> None:
        """Kill an engine, with all its connections and states."""
        self.recorder.record_event("killed", process=f"e{index}", engine=f"e{index}")
        self.engines[index].model.held_states.clear()
        self.engine_scopes[index].cancel()

    def publish_state(self, index: int, state: str) -> None:
        """Publish an engine's state in the endpoint list without delay."""
        planned = self.plan.engines[index]
        self.endpoint_list.update(
            msgspec.convert(
                {
                    "engine": planned.spec.name,
                    "address": planned.address,
                    "kind": planned.engine_type,
                    "zone": planned.spec.zone,
                    "rack": planned.spec.rack,
                    "state": state,
                    "started_unix_ms": self.start_times[index],
                },
                EndpointEntry,
            ),
            at_once=True,
        )

    async def send_request(
        self,
        request_class: str = "ask",
        prompt_tokens: int = 50,
        output_tokens: int = 10,
        stream: bool = True,
        body: bytes | None = None,
        poison: bool = False,
        **headers: str,
    ) -> ReceivedResponse:
        """Send one completion request on a new connection and return the response."""
        raw = (
            body
            if body is not None
            else msgspec.json.encode(
                {
                    "prompt": "abcd" * prompt_tokens,
                    "max_tokens": 500,
                    "stream": stream,
                    "standin": {
                        "try": headers.get("runspool_mark", "t"),
                        "out": output_tokens,
                        "poison": poison,
                    },
                }
            )
        )
        fields = {
            "Runspool-Tariff": request_class,
            "Content-Length": str(len(raw)),
            "Host": "x",
            "Connection": "close",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
        return await self.send_raw(f"POST /v1/completions HTTP/1.1\r\n{lines}\r\n".encode() + raw)

    async def send_raw(self, raw: bytes) -> ReceivedResponse:
        """Send raw bytes on a new connection and return the response."""
        async with await anyio.connect_tcp("127.0.0.1", self.port) as stream:
            await stream.send(raw)
            return await receive_response(stream)

    def recorded_events(self, what: str, **fields: Any) -> list[Event]:
        """Return the recorded events of a kind whose fields have the given values."""
        return [
            event
            for event in recording.read_recording(self.recording_file)
            if event["what"] == what and all(event.get(name) == value for name, value in fields.items())
        ]

    async def wait_for_events(self, what: str, count: Any = 1, **fields: Any) -> None:
        """Wait until at least `count` matching events are recorded; raise TimeoutError after WAIT_LIMIT."""
        with anyio.fail_after(WAIT_LIMIT):
            while len(self.recorded_events(what, **fields)) < count:
                await anyio.sleep(0.01)


async def receive_response(stream: anyio.abc.SocketStream) -> ReceivedResponse:
    """Receive one response; raise an error where the connection ends before the response is complete."""
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    protocol.send(h11.EndOfMessage())
    head: h11.Response | None = None
    body = bytearray()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            try:
                protocol.receive_data(await stream.receive())
            except anyio.EndOfStream:
                protocol.receive_data(b"")
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            assert head is not None
            headers = {key.decode(): value.decode() for key, value in head.headers}
            return ReceivedResponse(head.status_code, headers, bytes(body))
        elif not isinstance(event, h11.InformationalResponse):
            raise AssertionError(f"expected a response, received {event}")
