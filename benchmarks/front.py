"""Measures the cost of a front, compared with direct requests to engines in the same run on real sockets.

    python benchmarks/front.py added   --rate 60 --seconds 30   # time added to the first token
    python benchmarks/front.py most    --rates 60,100,150       # load that one front process can serve
    python benchmarks/front.py memory  --queries 400            # KiB per waiting request and per open stream
    python benchmarks/front.py soak    --rate 40 --minutes 30   # memory over time

The added time of a request is the time spent outside engines until the first token, computed from the
recordings of clients and engines: from the client to the prefill engine, from the end of the prefill to the
decode engine, and from the decode engine's first token to the client. Some requests bypass the front: their
client calls a prefill and a decode engine itself. Requests on both paths therefore find the engines under the
same load, and both reuse connections. The figures are printed as a short table and as a line of JSON.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import anyio
import msgspec
from hdrh.histogram import HdrHistogram

from runspool.config import EngineClientConfig
from runspool.engines.completions_client import CompletionsEngineClient
from runspool.engines.send_permit import UNRESTRICTED
from runspool.lab import recording
from runspool.lab.client_messages import request_body, request_headers
from runspool.lab.clients import WorkloadClients
from runspool.lab.load_balancer import LoadBalancer
from runspool.lab.plan import SECOND, ClientsPlan, FrontPlan, RequestClassPlan, ScenarioPlan, TenantPlan
from runspool.lab.recording import Recorder
from runspool.lab.response_reader import ClientOutcome
from runspool.lab.scenario_runner import ScenarioRunner
from runspool.lab.scripted_scenarios import plan_engine
from runspool.lab.workload import PlannedRequest, draw_workload
from runspool.scheduling.types import AttemptStatus
from runspool.service.clock import now

SAMPLE_INTERVAL = 1  # seconds between two samples of the front's processor time and memory
WARM_UP = 5.0  # seconds at the start of a run that are not counted
ENGINE_TYPES = ("prefill", "decode", "prefill", "mixed")  # the types of successive engines, repeated
MAX_OUTPUT_TOKENS = 2_000  # limit of output tokens in the requests of this benchmark's clients
# Time limit of the requests of the memory benchmark, in tenths of a millisecond; longer than the benchmark
# takes.
HELD_TIME_LIMIT = 600_000


def build_plan(engines: int, rate: float, seconds: float, output_tokens: int, seed: int = 1) -> ScenarioPlan:
    """Return a plan without faults, with one front and `rate` requests per second for `seconds`."""
    request_classes = [
        RequestClassPlan(
            "ask", 1.0, "rerunnable", 1, 30_000, 0, 200_000, 2_000, 200, output_tokens, 2.0, 0.8, 800
        )
    ]
    random = Random(seed)
    engine_plans = [
        plan_engine(
            f"engine-{index}",
            ENGINE_TYPES[index % len(ENGINE_TYPES)],
            "a",
            index // len(ENGINE_TYPES),
            request_classes,
            random,
        )
        for index in range(engines)
    ]
    return ScenarioPlan(
        name="bench",
        seed=seed,
        duration=int(seconds * SECOND),
        requests_per_second=rate,
        zones=["a"],
        request_classes=request_classes,
        tenants=[TenantPlan("all", 1.0, 1e6)],
        fronts=[FrontPlan("front-0", "a", "127.0.0.11")],
        engines=engine_plans,
        clients=ClientsPlan(retries=0, disconnecting_share=0.0, slow_reading_share=0.0),
        faults=[],
    )


class ComparingClients(WorkloadClients):
    """Clients that send some requests to the front and others directly to engines, with the same code.

    Attributes:
        direct_every: every request whose number is a multiple of this bypasses the front; 0 means none.
    """

    def __init__(
        self, plan: ScenarioPlan, load_balancer: LoadBalancer, recorder: Recorder, direct_every: int
    ) -> None:
        super().__init__(plan, load_balancer, recorder)
        settings = EngineClientConfig(
            connect_ms=1000,
            idle_ms=15000,
            connections_each=2000,
            idle_each=200,
            read_answer_bytes=1 << 20,
            line_bytes=65536,
            source_address="127.0.0.12",
        )
        self.client = CompletionsEngineClient(settings, now, 10_000)
        self.direct_every = direct_every
        self.prefill_engines = [("127.0.0.1", e.port) for e in plan.engines if e.spec.role == "reader"]
        self.decode_engines = [("127.0.0.1", e.port) for e in plan.engines if e.spec.role != "reader"]
        self.request_count = 0

    async def send_attempt(self, request: PlannedRequest, number: int, time_limit: int) -> ClientOutcome:
        """Send a request to the front, or first to a prefill engine and then to a decode engine."""
        self.request_count += 1
        name = f"{request.id}.{number}"
        is_direct = bool(self.direct_every) and self.request_count % self.direct_every == 0
        self.recorder.record_event(
            "asked",
            item=request.id,
            front="direct" if is_direct else "front-0",
            limit=time_limit,
            **{"try": name},
        )
        body: dict[str, msgspec.Raw] = msgspec.json.decode(
            request_body(request, name), type=dict[str, msgspec.Raw]
        )
        address, state = self.load_balancer.addresses[0], None
        if is_direct:
            index = self.request_count // 2
            prefill_engine = self.prefill_engines[index % len(self.prefill_engines)]
            prefill = await self.client.prefill(
                prefill_engine, body, {"X-Request-Id": name}, time_limit, UNRESTRICTED
            )
            state = prefill.state
            headers = {"X-Request-Id": name + "w"}
            address = self.decode_engines[index % len(self.decode_engines)]
        else:
            all_headers = request_headers(self.plan, request, name, time_limit, 0)
            headers = {key: value for key, value in all_headers if key.startswith("Runspool-")}
        listener = FirstTokenRecorder(self.recorder, name)
        result = await self.client.decode(
            address, body, state, headers, time_limit, UNRESTRICTED, MAX_OUTPUT_TOKENS, listener
        )
        succeeded = result.status is AttemptStatus.SUCCEEDED
        kind = "succeeded" if succeeded else result.status.name.lower()
        self.recorder.record_event("answer", kind=kind, **{"try": name})
        return ClientOutcome(kind)


class FirstTokenRecorder:
    """Records when the first token of a response arrives."""

    def __init__(self, recorder: Recorder, name: str) -> None:
        self.recorder = recorder
        self.name = name

    async def stream_started(self) -> None:
        """Record the first token."""
        self.recorder.record_event("first", **{"try": self.name})

    async def data_received(self, text: str) -> None:
        """Ignore the text."""


class BenchmarkRunner(ScenarioRunner):
    """Runs a scenario without faults whose clients run in separate worker processes.

    Attributes:
        workers: the number of worker processes.
        direct_every: as in ComparingClients.
        samples: the front's usage, sampled every SAMPLE_INTERVAL.
    """

    workers = 1
    direct_every = 2
    samples: list[ProcessUsage]

    async def run_workload(self, requests: list[PlannedRequest]) -> None:
        """Let the worker processes send the plan's requests, and sample the front's usage meanwhile."""
        self.samples = []
        start = now() + 2 * SECOND
        self.recorder.record_event("begin", at=start)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sample_usage)
            async with anyio.create_task_group() as workers:
                for index in range(self.workers):
                    workers.start_soon(self._run_worker, index, start)
            tasks.cancel_scope.cancel()

    async def _run_worker(self, index: int, start: int) -> None:
        arguments = (self.folder / "plan.json", index, self.workers, start, self.direct_every)
        recording_file = self.recordings_folder / f"clients-{index}.jsonl"
        command = [sys.executable, __file__, "worker", *map(str, arguments), str(recording_file)]
        await anyio.run_process(command, stderr=None)

    async def _sample_usage(self) -> None:
        while True:
            self.samples.append(process_usage(self.front_pid()))
            await anyio.sleep(SAMPLE_INTERVAL)

    def front_pid(self) -> int:
        """Return the process id of the only front."""
        child = self.fleet.fronts[0].child
        assert child is not None
        return child.pid


class MemoryRunner(BenchmarkRunner):
    """Measures the front's memory with many open requests, first while they wait and then while they stream.

    Attributes:
        request_count: the number of requests.
        figures: the results in KiB, after the run.
    """

    request_count = 400
    figures: dict[str, float]

    async def run_workload(self, requests: list[PlannedRequest]) -> None:
        """Measure the memory while requests wait for hung engines, and again while the engines stream."""
        clients = WorkloadClients(self.plan, self.fleet.load_balancer, Recorder(None))
        before = process_usage(self.front_pid()).resident_bytes
        await self._hang_engines(True)
        async with anyio.create_task_group() as tasks:
            for number in range(self.request_count):
                tasks.start_soon(clients.send_attempt, _held_request(number), 1, HELD_TIME_LIMIT)
            await anyio.sleep(5)
            waiting = process_usage(self.front_pid()).resident_bytes
            await self._hang_engines(False)
            await anyio.sleep(6)
            streaming = process_usage(self.front_pid()).resident_bytes
            tasks.cancel_scope.cancel()
        self.figures = {
            "kib_a_waiting_request": (waiting - before) / self.request_count / 1024,
            "kib_an_open_stream": (streaming - before) / self.request_count / 1024,
        }

    async def _hang_engines(self, on: bool) -> None:
        for index in range(len(self.fleet.engines)):
            await self.fleet.send_fault(index, "hang", on=on)


def _held_request(number: int) -> PlannedRequest:
    return PlannedRequest(
        id=f"m{number}",
        send_at=0,
        zone_index=0,
        request_class_index=0,
        tenant_index=0,
        session=f"s{number}",
        parts=[(f"text{number}", 500)],
        prefix="",
        prefix_tokens=0,
        prompt_tokens=500,
        output_tokens=400,
        stream=True,
        time_limit=HELD_TIME_LIMIT,
        first_token_objective=HELD_TIME_LIMIT,
        retries=0,
        backoff=0,
    )


class ProcessUsage(NamedTuple):
    """The processor time and the memory that a process has used."""

    cpu_seconds: float
    resident_bytes: int

    @property
    def resident_mib(self) -> float:
        """The resident memory in MiB, rounded to one decimal."""
        return round(self.resident_bytes / (1 << 20), 1)


def process_usage(pid: int) -> ProcessUsage:
    """Read from /proc what a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    cpu_ticks = int(fields[11]) + int(fields[12])
    return ProcessUsage(cpu_ticks / os.sysconf("SC_CLK_TCK"), int(fields[21]) * os.sysconf("SC_PAGE_SIZE"))


def times_outside_engines(events: list[dict[str, Any]], begin: int) -> dict[str, list[int]]:
    """Return the time that each request spent outside engines until its first token.

    The times are in tenths of a millisecond, for the paths "front" and "direct". Requests that were sent
    within WARM_UP after `begin`, or whose recording is incomplete, are left out.
    """
    by_attempt: dict[str, dict[str, Any]] = {}
    for event in events:
        if "try" in event:
            name = event["what"] + event.get("stage", "")
            by_attempt.setdefault(event["try"], {}).setdefault(name, event)
    times: dict[str, list[int]] = {"front": [], "direct": []}
    for recorded in by_attempt.values():
        is_complete = {"asked", "arrivedread", "ended", "arrivedwrite", "ran", "first"} <= recorded.keys()
        if not is_complete or recorded["asked"]["t"] < begin + WARM_UP * SECOND:
            continue
        to_prefill = recorded["arrivedread"]["head"] - recorded["asked"]["t"]
        to_decode = recorded["arrivedwrite"]["head"] - recorded["ended"]["t"]
        to_client = recorded["first"]["t"] - recorded["ran"]["t"]
        path = "direct" if recorded["asked"]["front"] == "direct" else "front"
        times[path].append(max(1, to_prefill + to_decode + to_client))
    return times


def percentiles(times: list[int]) -> dict[str, float]:
    """Return percentiles in milliseconds of times in tenths of a millisecond."""
    histogram = HdrHistogram(1, 10_000_000, 3)
    for duration in times:
        histogram.record_value(duration)
    return {f"p{part:g}": histogram.get_value_at_percentile(part) / 10 for part in (50, 99, 99.9)}


def measure(
    engines: int, rate: float, seconds: float, output_tokens: int, workers: int, direct_every: int
) -> dict[str, Any]:
    """Run a workload and return its figures.

    Args:
        engines: The number of engines.
        rate: Requests per second on both paths together.
        seconds: The duration of the workload.
        output_tokens: The number of tokens of an answer.
        workers: The number of worker processes that send requests.
        direct_every: As in ComparingClients.
    """
    with tempfile.TemporaryDirectory() as folder:
        plan = build_plan(engines, rate, seconds, output_tokens)
        runner = BenchmarkRunner(plan, Path(folder), engines_per_process=4)
        runner.workers, runner.direct_every = workers, direct_every
        events = list(recording.read_recording(anyio.run(runner.run)))
    begin = next(event["at"] for event in events if event["what"] == "begin")
    times = times_outside_engines(events, begin)
    samples = runner.samples[int(WARM_UP) :]
    cpu_seconds = samples[-1].cpu_seconds - samples[0].cpu_seconds
    kinds = [event["kind"] for event in events if event["what"] == "answer"]
    return {
        "engines": engines,
        "rate": round(rate - rate / direct_every if direct_every else rate, 1),
        "seconds": seconds,
        "answer_tokens": output_tokens,
        "through_front": len(times["front"]),
        "succeeded": kinds.count("succeeded"),
        "asked": len(kinds),
        "front_ms": percentiles(times["front"]),
        "direct_ms": percentiles(times["direct"]) if times["direct"] else {},
        "cpu_share": round(cpu_seconds / max(1, len(samples) - 1), 3),
        "rss_mib": samples[-1].resident_mib,
        "rss_start_mib": samples[0].resident_mib,
    }


def print_figures(figures: dict[str, Any]) -> None:
    """Print the figures of one run as a short table."""
    print(
        f"{figures['rate']:g}/s through the front, {figures['engines']} engines, "
        f"{figures['answer_tokens']} tokens each: {figures['succeeded']} of {figures['asked']} succeeded, "
        f"front CPU {figures['cpu_share']:.0%}, {figures['rss_mib']} MiB"
    )
    for path in ("front", "direct"):
        times = figures[f"{path}_ms"]
        if times:
            print(f"  {path:7}" + "".join(f"{name} {value:7.1f} ms  " for name, value in times.items()))


async def run_worker(
    plan_file: str, index: int, workers: int, start: int, direct_every: int, recording_file: str
) -> None:
    """Send this worker's requests of a plan, which are every `workers`-th one from number `index` on."""
    plan: ScenarioPlan = msgspec.json.decode(Path(plan_file).read_bytes(), type=ScenarioPlan)
    requests = [request for number, request in enumerate(draw_workload(plan)) if number % workers == index]
    load_balancer = LoadBalancer([("127.0.0.1", plan.fronts[0].port)], ["a"], [True])
    clients = ComparingClients(plan, load_balancer, Recorder(Path(recording_file)), direct_every)
    await clients.run(requests, start)


def measure_rates(options: argparse.Namespace) -> list[dict[str, Any]]:
    """Run each rate once; one request in eight bypasses the front, so that both paths are measured."""
    runs = []
    for rate in options.rates.split(","):
        figures = measure(
            options.engines, float(rate) * 8 / 7, options.seconds, options.tokens, options.workers, 8
        )
        print_figures(figures)
        runs.append(figures)
    return runs


def measure_memory(options: argparse.Namespace) -> dict[str, Any]:
    """Measure the front's memory with many open requests."""
    with tempfile.TemporaryDirectory() as folder:
        runner = MemoryRunner(build_plan(options.engines, 1, 1, options.tokens), Path(folder))
        runner.request_count = options.queries
        anyio.run(runner.run)
    print("\n".join(f"{name}: {value:.1f}" for name, value in runner.figures.items()))
    return {"requests": options.queries, **runner.figures}


def measure_soak(options: argparse.Namespace) -> dict[str, Any]:
    """Measure the front's memory over a long run, as means of ten parts of the run."""
    with tempfile.TemporaryDirectory() as folder:
        plan = build_plan(options.engines, options.rate, options.minutes * 60, options.tokens)
        runner = BenchmarkRunner(plan, Path(folder))
        runner.workers, runner.direct_every = options.workers, 0
        started_at = time.time()
        anyio.run(runner.run)
    sizes = [sample.resident_bytes / (1 << 20) for sample in runner.samples]
    tenth = max(1, len(sizes) // 10)
    parts = [round(statistics.mean(sizes[at : at + tenth]), 1) for at in range(0, len(sizes), tenth)]
    print("mean resident memory in MiB of each tenth of the run:", parts)
    minutes = round((time.time() - started_at) / 60, 1)
    return {"minutes": minutes, "rate": options.rate, "rss_mib": parts}


def main() -> None:
    """Run the benchmark that the command line names."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["added", "most", "memory", "soak", "worker"])
    parser.add_argument("rest", nargs="*")
    parser.add_argument("--rate", type=float, default=60)
    parser.add_argument("--rates", default="60,100,150")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--minutes", type=float, default=30)
    parser.add_argument("--engines", type=int, default=24)
    parser.add_argument("--tokens", type=int, default=40)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--queries", type=int, default=400)
    options = parser.parse_args()
    if options.what == "worker":
        plan_file, index, workers, start, direct_every, recording_file = options.rest
        anyio.run(
            run_worker, plan_file, int(index), int(workers), int(start), int(direct_every), recording_file
        )
        return
    result: Any
    match options.what:
        case "added":
            result = measure(
                options.engines, 2 * options.rate, options.seconds, options.tokens, options.workers, 2
            )
            print_figures(result)
        case "most":
            result = measure_rates(options)
        case "memory":
            result = measure_memory(options)
        case _:
            result = measure_soak(options)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
