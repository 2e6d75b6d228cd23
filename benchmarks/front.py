"""What a front costs, against engines asked directly, in one run on real sockets.

    python benchmarks/front.py added   --rate 60 --seconds 30   # time added to the first token
    python benchmarks/front.py most    --rates 60,100,150       # load one front process bears
    python benchmarks/front.py memory  --queries 400            # bytes a waiting query and an open stream
    python benchmarks/front.py soak    --rate 40 --minutes 30   # memory over time

Time added is what passed outside engines until the first token, from the far ends' own records: client to
reader, read's end to writer, writer's first token to client. Some queries go directly, two calls by the
client, so that both ways meet the same engines in the same second; both use kept connections.
Prints a short table and one JSON line.
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
from typing import Any

import anyio
import msgspec
from hdrh.histogram import HdrHistogram

from runspool.config import EngineClientConfig
from runspool.engines.completions_client import CompletionsEngineClient
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

WARM = 5.0  # seconds at the start that are not counted


def plan_of(engines: int, rate: float, seconds: float, out: int, seed: int = 1) -> ScenarioPlan:
    rows = [RequestClassPlan("ask", 1.0, "rerunnable", 1, 30_000, 0, 200_000, 2_000, 200, out, 2.0, 0.8, 800)]
    rng = Random(seed)
    kinds = ["prefill", "decode", "prefill", "mixed"]
    there = [plan_engine(f"engine-{at}", kinds[at % 4], "a", at // 4, rows, rng) for at in range(engines)]
    return ScenarioPlan(
        name="bench",
        seed=seed,
        duration=int(seconds * SECOND),
        requests_per_second=rate,
        zones=["a"],
        request_classes=rows,
        tenants=[TenantPlan("all", 1.0, 1e6)],
        fronts=[FrontPlan("front-0", "a", "127.0.0.11")],
        engines=there,
        clients=ClientsPlan(retries=0, disconnecting_share=0.0, slow_reading_share=0.0),
        faults=[],
    )


class Half(WorkloadClients):
    """Sends one query in `direct` past the front; both ways on kept connections and by the same code."""

    def __init__(
        self, plan: ScenarioPlan, load_balancer: LoadBalancer, record: Recorder, direct: int
    ) -> None:
        super().__init__(plan, load_balancer, record)
        terms = EngineClientConfig(
            connect_ms=1000,
            idle_ms=15000,
            connections_each=2000,
            idle_each=200,
            read_answer_bytes=1 << 20,
            line_bytes=65536,
            source_address="127.0.0.12",
        )
        self.caller = CompletionsEngineClient(terms, now, 10_000)
        self.direct = direct
        self.readers = [("127.0.0.1", one.port) for one in plan.engines if one.spec.role == "reader"]
        self.writers = [("127.0.0.1", one.port) for one in plan.engines if one.spec.role != "reader"]
        self.turn = 0

    async def attempt(self, request: PlannedRequest, number: int, time_limit: int) -> ClientOutcome:
        self.turn += 1
        name = f"{request.id}.{number}"
        directly = self.direct and self.turn % self.direct == 0
        self.record.line(
            "asked",
            item=request.id,
            front="direct" if directly else "front-0",
            limit=time_limit,
            **{"try": name},
        )
        query = msgspec.json.decode(request_body(request, name), type=dict[str, msgspec.Raw])
        headers, address, state = {"X-Request-Id": name}, self.load_balancer.addresses[0], None
        if directly:
            reader = self.readers[self.turn // 2 % len(self.readers)]
            state = (await self.caller.prefill(reader, query, headers, time_limit)).state
            headers, address = {"X-Request-Id": name + "w"}, self.writers[self.turn // 2 % len(self.writers)]
        else:
            headers = {
                key: value
                for key, value in request_headers(self.plan, request, name, time_limit, 0)
                if key.startswith("Runspool-")
            }
        heard = _First(self.record, name)
        ended = await self.caller.decode(address, query, state, headers, time_limit, 2000, heard)
        seen = "succeeded" if ended.status is AttemptStatus.SUCCEEDED else ended.status.name.lower()
        self.record.line("answer", kind=seen, **{"try": name})
        return ClientOutcome(seen)


class _First:
    def __init__(self, record: Recorder, name: str) -> None:
        self.record, self.name = record, name

    async def stream_started(self) -> None:
        self.record.line("first", **{"try": self.name})

    async def data_received(self, text: str) -> None:
        return


class Bench(ScenarioRunner):
    """A day without trouble whose clients run in processes of their own."""

    workers = 1
    direct = 2
    samples: list[tuple[float, int]]

    async def run_workload(self, requests: list[PlannedRequest]) -> None:
        self.samples = []
        start = now() + 2 * SECOND
        self.record.line("begin", at=start)
        commands = [
            [
                sys.executable,
                __file__,
                "worker",
                str(self.folder / "plan.json"),
                str(at),
                str(self.workers),
                str(start),
                str(self.direct),
                str(self.parts / f"clients-{at}.jsonl"),
            ]
            for at in range(self.workers)
        ]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sample)
            async with anyio.create_task_group() as running:
                for command in commands:
                    running.start_soon(self._worker, command)
            tasks.cancel_scope.cancel()

    async def _worker(self, command: list[str]) -> None:
        await anyio.run_process(command, stderr=None)

    async def _sample(self) -> None:
        """CPU seconds and resident bytes of the front, each second."""
        child = self.fleet.fronts[0].child
        assert child is not None
        while True:
            self.samples.append(usage(child.pid))
            await anyio.sleep(1)


def usage(pid: int) -> tuple[float, int]:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = os.sysconf("SC_CLK_TCK")
    return (int(fields[11]) + int(fields[12])) / ticks, int(fields[21]) * os.sysconf("SC_PAGE_SIZE")


def gaps(events: list[dict[str, Any]], begin: int) -> dict[str, list[int]]:
    """Time outside engines until the first token of each query, in tenths of a millisecond, by way."""
    by: dict[str, dict[str, Any]] = {}
    for event in events:
        if "try" in event:
            by.setdefault(event["try"], {}).setdefault(event["what"] + event.get("stage", ""), event)
    found: dict[str, list[int]] = {"front": [], "direct": []}
    for said in by.values():
        if not {"asked", "arrivedread", "ended", "arrivedwrite", "ran", "first"} <= said.keys():
            continue
        if said["asked"]["t"] < begin + WARM * SECOND:
            continue
        added = (
            said["arrivedread"]["head"]
            - said["asked"]["t"]
            + said["arrivedwrite"]["head"]
            - said["ended"]["t"]
            + said["first"]["t"]
            - said["ran"]["t"]
        )
        found["direct" if said["asked"]["front"] == "direct" else "front"].append(max(1, added))
    return found


def quantiles(times: list[int]) -> dict[str, float]:
    seen = HdrHistogram(1, 10_000_000, 3)
    for time_ in times:
        seen.record_value(time_)
    return {f"p{part:g}": seen.get_value_at_percentile(part) / 10 for part in (50, 99, 99.9)}


def measure(engines: int, rate: float, seconds: float, out: int, workers: int, direct: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as folder:
        bench = Bench(plan_of(engines, rate, seconds, out), Path(folder), engines_per_process=4)
        bench.workers, bench.direct = workers, direct
        file = anyio.run(bench.play)
        events = recording.read_recording(file)
        begin = next(event["at"] for event in events if event["what"] == "begin")
        found = gaps(events, begin)
        middle = bench.samples[int(WARM) :]
        cpu = (middle[-1][0] - middle[0][0]) / max(1, len(middle) - 1)
        kinds = [event["kind"] for event in events if event["what"] == "answer"]
        return {
            "engines": engines,
            "rate": round(rate - rate / direct if direct else rate, 1),
            "seconds": seconds,
            "answer_tokens": out,
            "through_front": len(found["front"]),
            "succeeded": kinds.count("succeeded"),
            "asked": len(kinds),
            "front_ms": quantiles(found["front"]),
            "direct_ms": quantiles(found["direct"]) if found["direct"] else {},
            "cpu_share": round(cpu, 3),
            "rss_mib": round(middle[-1][1] / (1 << 20), 1),
            "rss_start_mib": round(middle[0][1] / (1 << 20), 1),
        }


def show(said: dict[str, Any]) -> None:
    print(
        f"{said['rate']:g}/s through the front, {said['engines']} engines, "
        f"{said['answer_tokens']} tokens each: {said['succeeded']} of {said['asked']} succeeded, "
        f"front CPU {said['cpu_share']:.0%}, {said['rss_mib']} MiB"
    )
    for way in ("front", "direct"):
        times = said[f"{way}_ms"]
        if times:
            print(f"  {way:7}" + "".join(f"{name} {value:7.1f} ms  " for name, value in times.items()))


async def worker(plan_file: str, at: int, of: int, start: int, direct: int, out: str) -> None:
    plan = msgspec.json.decode(Path(plan_file).read_bytes(), type=ScenarioPlan)
    requests = [request for number, request in enumerate(draw_workload(plan)) if number % of == at]
    load_balancer = LoadBalancer([("127.0.0.1", plan.fronts[0].port)], ["a"], [True])
    clients = Half(plan, load_balancer, Recorder(Path(out)), direct)
    await clients.run(requests, start)


class Crowded(Bench):
    """Holds many queries at once: first waiting for their first token, then as open streams."""

    queries = 400
    found: dict[str, float]

    async def run_workload(self, requests: list[PlannedRequest]) -> None:
        child = self.fleet.fronts[0].child
        assert child is not None
        clients = WorkloadClients(self.plan, self.fleet.load_balancer, Recorder(None))
        before = usage(child.pid)[1]
        for at in range(len(self.fleet.engines)):
            await self.fleet.send_fault(at, "hang", on=True)
        async with anyio.create_task_group() as tasks:
            for number in range(self.queries):
                request = PlannedRequest(
                    f"m{number}",
                    0,
                    0,
                    0,
                    0,
                    f"s{number}",
                    [(f"text{number}", 500)],
                    "",
                    0,
                    500,
                    400,
                    True,
                    600_000,
                    600_000,
                    0,
                    0,
                )
                tasks.start_soon(clients.attempt, request, 1, 600_000)
            await anyio.sleep(5)
            waiting = usage(child.pid)[1]
            for at in range(len(self.fleet.engines)):
                await self.fleet.send_fault(at, "hang", on=False)
            await anyio.sleep(6)
            streaming = usage(child.pid)[1]
            tasks.cancel_scope.cancel()
        self.found = {
            "kib_a_waiting_query": (waiting - before) / self.queries / 1024,
            "kib_an_open_stream": (streaming - before) / self.queries / 1024,
        }


def main() -> None:
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
    said = parser.parse_args()
    if said.what == "worker":
        file, at, of, start, direct, out = said.rest
        anyio.run(worker, file, int(at), int(of), int(start), int(direct), out)
        return
    result: Any
    if said.what == "added":
        result = measure(said.engines, 2 * said.rate, said.seconds, said.tokens, said.workers, 2)
        show(result)
    elif said.what == "most":
        result = []
        for rate in said.rates.split(","):
            # One query in eight goes directly, so that both ways are seen in one run.
            result.append(
                measure(said.engines, float(rate) * 8 / 7, said.seconds, said.tokens, said.workers, 8)
            )
            show(result[-1])
    elif said.what == "memory":
        with tempfile.TemporaryDirectory() as folder:
            crowded = Crowded(plan_of(said.engines, 1, 1, said.tokens), Path(folder))
            crowded.queries = said.queries
            anyio.run(crowded.play)
            result = {"queries": said.queries, **crowded.found}
            print("\n".join(f"{name}: {value:.1f}" for name, value in crowded.found.items()))
    else:
        with tempfile.TemporaryDirectory() as folder:
            bench = Bench(plan_of(said.engines, said.rate, said.minutes * 60, said.tokens), Path(folder))
            bench.workers, bench.direct = said.workers, 0
            begun = time.time()
            anyio.run(bench.play)
            sizes = [size / (1 << 20) for _, size in bench.samples]
            tenth = max(1, len(sizes) // 10)
            parts = [round(statistics.mean(sizes[at : at + tenth]), 1) for at in range(0, len(sizes), tenth)]
            result = {"minutes": round((time.time() - begun) / 60, 1), "rate": said.rate, "rss_mib": parts}
            print("resident MiB over time, ten parts:", parts)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
