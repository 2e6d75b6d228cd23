"""`runspool lab`: plays scenarios with stand-in engines, audits recordings, replays recorded events."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated, NoReturn

import anyio
import anyio.to_thread
import msgspec
import typer
from rich.console import Console
from rich.progress import Progress

from runspool.lab import audit as auditing
from runspool.lab import recording, report
from runspool.lab import replay as event_replay
from runspool.lab.cell_plans import SCENARIOS
from runspool.lab.engine import StandInEngine
from runspool.lab.errors import ScenarioFailedError
from runspool.lab.plan import EnginePlan, ScenarioPlan
from runspool.lab.scenario_runner import ScenarioRunner
from runspool.lab.simulator_days import UnplayableDayError, from_simulator_day

EXIT_BROKEN = 1  # a rule is broken, was never at stake where all must be, or a replay differs
EXIT_INVALID = 2  # an argument or a file that cannot be used
EXIT_NOT_PLAYED = 3

# The only scenario that puts every rule at stake.
SCENARIO_WITH_ALL_RULES = "bad-night"

SEEDS_PER_PLAN = 1_000  # seeds of engines that one seed of a plan stands for
SEEDS_PER_ENGINE = 10

HOST = "127.0.0.1"

app = typer.Typer(no_args_is_help=True, help="The laboratory: stand-ins on loopback, scripted days, audits.")

OutputFolder = Annotated[Path, typer.Option("--out", help="Folder for recording, verdict and report.")]
RecordEvents = Annotated[
    bool, typer.Option("--tapes/--no-tapes", help="Also record what each front's decisions heard and asked.")
]


def _run_scenario_epilog(command: str) -> str:
    return (
        f"Example: runspool lab {command} bad-night --seed 3 --out /tmp/night   "
        "(exit 0: every rule kept and at stake, 1: not so, 2: bad input, 3: not played)"
    )


def _replay_events_epilog(command: str) -> str:
    return f"Example: runspool lab {command} /tmp/night/front-0.1.tape   (exit 0: the same, 1: not)"


@app.command("run-scenario", epilog=_run_scenario_epilog("run-scenario"))
@app.command("day", hidden=True, epilog=_run_scenario_epilog("day"))
def run_scenario(
    name: Annotated[str, typer.Argument(help=f"One of {', '.join(SCENARIOS)}.")],
    seed: Annotated[int, typer.Option(min=0)] = 1,
    output_folder: OutputFolder = Path("runspool-day"),
    record_events: RecordEvents = False,
) -> None:
    """Play a scripted day through real fronts and judge it from what passed on the sockets."""
    if name not in SCENARIOS:
        _fail(f"no day {name!r}; there are {', '.join(SCENARIOS)}")
    _play(SCENARIOS[name](seed), output_folder, record_events, all_rules=name == SCENARIO_WITH_ALL_RULES)


@app.command(epilog="Example: runspool lab replay day.json --fronts 3 --engines 12 --out /tmp/replay")
def replay(
    file: Annotated[Path, typer.Argument(help="What the bench's draw printed.")],
    fronts: Annotated[int, typer.Option(min=1, max=32)] = 3,
    engines: Annotated[int, typer.Option(min=3, max=64)] = 12,
    scale: Annotated[float, typer.Option(help="Multiple of the load that fits the size.")] = 1.0,
    output_folder: OutputFolder = Path("runspool-replay"),
    record_events: RecordEvents = False,
) -> None:
    """Play a bench day's kinds of trouble, at their times and sizes, through real fronts."""
    try:
        plan = from_simulator_day(json.loads(file.read_text()), fronts, engines, scale)
    except (OSError, ValueError, UnplayableDayError) as error:
        _fail(f"{file}: {error}")
    _play(plan, output_folder, record_events, all_rules=False)


@app.command(epilog="Example: runspool lab audit /tmp/night   (exit 0: kept, 1: broken, 2: unreadable)")
def audit(folder: Annotated[Path, typer.Argument(help="A folder with wire.jsonl, or that file.")]) -> None:
    """Check the five rules from a recording alone."""
    file = folder / "wire.jsonl" if folder.is_dir() else folder
    try:
        verdicts = auditing.audit(recording.read_recording(file))
    except recording.UnreadableRecordingError as error:
        _fail(str(error))
    for name, verdict in verdicts.items():
        typer.echo(f"{name}: {verdict.cases} cases, {verdict.broken} broken")
        for example in verdict.examples:
            typer.echo(f"  {example}")
    is_broken = any(verdict.broken for verdict in verdicts.values())
    raise typer.Exit(EXIT_BROKEN if is_broken else 0)


@app.command("replay-events", epilog=_replay_events_epilog("replay-events"))
@app.command("retrace", hidden=True, epilog=_replay_events_epilog("retrace"))
def replay_events(tapes: Annotated[list[Path], typer.Argument(help="Tapes that fronts recorded.")]) -> None:
    """Play fronts' tapes through fresh decisions: same news, same asks."""
    differs = False
    for file in tapes:
        try:
            result = event_replay.replay(file)
        except (OSError, event_replay.UnreadableEventsError) as error:
            _fail(str(error))
        typer.echo(result.differs or _describe_match(file, result))
        differs = differs or bool(result.differs)
    raise typer.Exit(EXIT_BROKEN if differs else 0)


def _describe_match(file: Path, result: event_replay.ReplayResult) -> str:
    if not result.events:
        return f"{file}: nothing on it, nothing shown"
    return f"{file}: {result.events} news, {result.actions} asks, all the same"


@app.command(epilog="Example: runspool lab engine plan.json --at 0 --out engine.jsonl < /dev/zero")
def engine(
    plan: Annotated[Path, typer.Argument(help="A day's plan.json.")],
    indices: Annotated[list[int], typer.Option("--at", min=0, help="Which of its engines; may be repeated.")],
    recording_file: Annotated[Path | None, typer.Option("--out", help="Where to record.")] = None,
    start_number: Annotated[int, typer.Option("--life")] = 1,
    cold: bool = False,
) -> None:
    """Run one stand-in engine until standard input ends; faults come there as JSON lines."""
    try:
        scenario: ScenarioPlan = msgspec.json.decode(plan.read_bytes(), type=ScenarioPlan)
        engine_plans = {index: scenario.engines[index] for index in indices}
    except (OSError, msgspec.DecodeError, IndexError) as error:
        _fail(f"{plan}: {error}")
    recorder = recording.Recorder(recording_file)
    engines = {
        index: StandInEngine(
            engine_plan.spec,
            recorder,
            cold,
            scenario.seed * SEEDS_PER_PLAN + index * SEEDS_PER_ENGINE + start_number,
        )
        for index, engine_plan in engine_plans.items()
    }
    anyio.run(_run_engines, engines, engine_plans, backend_options={"use_uvloop": True})


async def _run_engines(engines: dict[int, StandInEngine], engine_plans: dict[int, EnginePlan]) -> None:
    """Serve with the engines, by their index in the plan, and pass them faults from standard input."""
    async with anyio.create_task_group() as tasks:
        for index, stand_in in engines.items():
            await tasks.start(stand_in.run, HOST, engine_plans[index].port)
        while line := await anyio.to_thread.run_sync(sys.stdin.buffer.readline, abandon_on_cancel=True):
            try:
                _switch_fault(engines, line)
            except (ValueError, KeyError, TypeError) as error:
                typer.echo(f"fault not played: {error!r}", err=True)
        tasks.cancel_scope.cancel()


def _switch_fault(engines: dict[int, StandInEngine], line: bytes) -> None:
    settings = json.loads(line)
    stand_in = engines[settings.pop("at")]
    name = settings.pop("fault")
    stand_in.fault(name, **settings)


def _play(plan: ScenarioPlan, folder: Path, record_events: bool, all_rules: bool) -> NoReturn:
    """Play a scenario, write and print its report, and exit.

    The exit status is 0 where every rule is kept and, with `all_rules`, none was never at stake.
    """
    folder.mkdir(parents=True, exist_ok=True)
    file = _play_with_progress(plan, folder, record_events)
    verdict = report.scenario_verdict(recording.read_recording(file))
    report.write_report(verdict, folder)
    typer.echo(report.render_report(verdict))
    is_kept = verdict["kept"] and not (all_rules and verdict["unjudged"])
    raise typer.Exit(0 if is_kept else EXIT_BROKEN)


def _play_with_progress(plan: ScenarioPlan, folder: Path, record_events: bool) -> Path:
    """Play a scenario with a progress bar on standard error and return the recording's path."""
    with Progress(console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task(f"{plan.name} {plan.seed}", total=1.0)

        def show(part: float) -> None:
            progress.update(task, completed=min(1.0, part))

        runner = ScenarioRunner(plan, folder, record_events, show)
        try:
            return anyio.run(runner.play)
        except ScenarioFailedError as error:
            _fail(str(error), EXIT_NOT_PLAYED)
        except BaseExceptionGroup as group:
            failures = group.subgroup(ScenarioFailedError)
            if failures is None:
                raise
            _fail(str(_first_leaf(failures)), EXIT_NOT_PLAYED)


def _first_leaf(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _fail(text: str, exit_status: int = EXIT_INVALID) -> NoReturn:
    typer.echo(text, err=True)
    raise typer.Exit(exit_status)
