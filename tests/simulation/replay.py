"""The replay of a recording made on sockets, on the simulated clock and with the current fronts."""

from __future__ import annotations

import anyio
import msgspec

from runspool.lab.plan import ScenarioPlan
from runspool.lab.recording import Event
from runspool.wire.endpoint_list import EndpointEntry, EndpointListMessage
from tests.simulated_clock import now
from tests.simulation import recorded_values as values
from tests.simulation.clients import ClientAttempt, RequestShape
from tests.simulation.cluster import EPOCH
from tests.simulation.context import TokenCounts, sleep
from tests.simulation.settings import SimulationSettings
from tests.simulation.simulation import Simulation

START_SECONDS = 0.001  # from the start of the fronts to the first recorded event
LAST_STREAM_SECONDS = 10  # added at the end, as recorded streams are longer than those from a seed


class ReplaySimulation(Simulation):
    """A simulation that replays a recording.

    Requests, disconnects, messages of the endpoint list, starts and ends of engines and fronts occur at their
    recorded times. The seed determines the speed of the engines and which attempts fail.
    """

    def __init__(self, seed: int, recording: list[Event]) -> None:
        plan: ScenarioPlan = msgspec.convert(
            next(event["plan"] for event in recording if event["what"] == "day"), ScenarioPlan
        )
        super().__init__(seed, SimulationSettings(), plan)
        self.recording = recording
        self.request_classes = {request_class.name: request_class for request_class in plan.request_classes}
        self.engine_indexes = {planned.spec.name: index for index, planned in enumerate(plan.engines)}
        self.front_indexes = {planned.name: index for index, planned in enumerate(plan.fronts)}
        self.disconnect_times = {
            event["try"]: event["at"]
            for event in recording
            if event["what"] == "answer" and event["kind"] == values.ANSWER_CLIENT_DISCONNECTED
        }

    async def _generate_events(self) -> None:
        start = now()
        recorded_start = next(event["at"] for event in self.recording if event["what"] == "begin")
        self.cluster.start_fronts(with_list=False)
        await anyio.sleep(START_SECONDS)
        for event in self.recording:
            remaining = start + max(0, event["t"] - recorded_start) - now()
            if remaining > 0:
                await sleep(remaining)
            self._replay(event)
        await anyio.sleep(LAST_STREAM_SECONDS)

    def _replay(self, event: Event) -> None:
        match event["what"]:
            case "asked":
                self._replay_request(event)
            case "told":
                self._replay_endpoint_list(event)
            case "engine_up":
                self.cluster.engines[self.engine_indexes[event["engine"]]].start(event["cold"])
            case "killed" if "engine" in event:
                self.cluster.engines[self.engine_indexes[event["engine"]]].crash()
            case "killed" if "front" in event:
                self.cluster.fronts[self.front_indexes[event["front"]]].kill()
            case "front_up" if event["life"] > 1:
                self.cluster.restart_front(self.front_indexes[event["front"]], with_list=False)

    def _replay_request(self, event: Event) -> None:
        name = event["try"]
        disconnects_after = 0
        if name in self.disconnect_times:
            disconnects_after = max(1, self.disconnect_times[name] - event["t"])
        shape = RequestShape(
            TokenCounts(event["prompt"], event["out"]), event["stream"], event["tenant"], disconnects_after
        )
        request_class = self.request_classes[event["tariff"]]
        attempt = ClientAttempt(name, event["item"], request_class, event["limit"], shape)
        front = self.cluster.fronts[self.front_indexes[event["front"]]]
        self.context.spawn(self.clients.send, front, attempt)

    def _replay_endpoint_list(self, event: Event) -> None:
        entries = [self._replayed_entry(*recorded) for recorded in event["engines"]]
        message = EndpointListMessage(event["version"], EPOCH, is_snapshot=event["whole"], engines=entries)
        self.cluster.fronts[self.front_indexes[event["front"]]].receive(message)

    def _replayed_entry(self, name: str, state: str, started: int) -> EndpointEntry:
        index = self.engine_indexes[name]
        self.cluster.listed_states[index] = state
        entry = self.cluster.list_entry(index)
        return entry if started else msgspec.structs.replace(entry, started_unix_ms=0)
