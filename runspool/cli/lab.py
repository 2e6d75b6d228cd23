"""The commands `runspool lab`: play scenarios with stand-in engines, audit recordings, replay events."""

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
from runspool.lab.cell_scenarios import SCENARIOS
from runspool.lab.engine import StandInEngine
from runspool.lab.errors import ScenarioFailedError
from runspool.lab.plan import EnginePlan, ScenarioPlan
from runspool.lab.scenario_runner import ScenarioRunner
from runspool.lab.simulator_scenarios import InvalidSimulatorScenarioError, plan_from_simulator_scenario

EXIT_BROKEN = 1  # exit status if a rule was violated, a required rule was not exercised, or a replay differs
EXIT_INVALID = 2  # exit status for an argument or a file that cannot be used
EXIT_NOT_PLAYED = 3  # exit status if a scenario could not be played to its end

# The only scenario that exercises every rule of the audit.
SCENARIO_WITH_ALL_RULES = "bad-night"

# An engine's seed is derived from the seed of the scenario, the engine's index and its number of starts. The
# seeds are distinct for up to 100 engines with fewer than 10 starts each.
SEEDS_PER_PLAN = 1_000
SEEDS_PER_ENGINE = 10

HOST = "127.0.0.1"

app = typer.Typer(
    no_args_is_help=True, help="Test fronts with stand-in engines: scripted scenarios, audits, replays."
)

OutputFolder = Annotated[
    Path, typer.Option("--out", help="Folder for the recording, the verdict and the report.")
]
RecordEvents = Annotated[
    bool,
    typer.Option("--tapes/--no-tapes", help="Also record the events and actions of each front's scheduler."),
]


def _run_scenario_epilog(command: str) -> str:
    return (
        f"Example: runspool lab {command} bad-night --seed 3 --out /tmp/night   "
        "(exit 0: every rule kept and, in bad-night, exercised, 1: not so, 2: invalid input, 3: not played)"
    )


def _replay_events_epilog(command: str) -> str:
    return f"Example: runspool lab {command} /tmp/night/front-0.1.tape   (exit 0: identical, 1: different)"


@app.command("run-scenario", epilog=_run_scenario_epilog("run-scenario"))
@app.command("day", hidden=True, epilog=_run_scenario_epilog("day"))
def run_scenario(
    name: Annotated[str, typer.Argument(help=f"One of {', '.join(SCENARIOS)}.")],
    seed: Annotated[int, typer.Option(min=0)] = 1,
    output_folder: OutputFolder = Path("runspool-day"),
    record_events: RecordEvents = False,
) -> None:
    """Play a scripted scenario with real fronts, and audit it from the recorded socket traffic."""
    if name not in SCENARIOS:
        _fail(f"there is no scenario {name!r}; known are {', '.join(SCENARIOS)}")
    _play(SCENARIOS[name](seed), output_folder, record_events, all_rules=name == SCENARIO_WITH_ALL_RULES)


@app.command(epilog="Example: runspool lab replay day.json --fronts 3 --engines 12 --out /tmp/replay")
def replay(
    file: Annotated[Path, typer.Argument(help="The day that the benchmark's draw printed, as JSON.")],
    fronts: Annotated[int, typer.Option(min=1, max=32)] = 3,
    engines: Annotated[int, typer.Option(min=3, max=64)] = 12,
    scale: Annotated[
        float, typer.Option(help="Load, as a multiple of what suits the number of engines.")
    ] = 1.0,
    output_folder: OutputFolder = Path("runspool-replay"),
    record_events: RecordEvents = False,
) -> None:
    """Play the faults of a benchmark day, at their times and sizes, with real fronts."""
    try:
        plan = plan_from_simulator_scenario(json.loads(file.read_text()), fronts, engines, scale)
    except (OSError, ValueError, InvalidSimulatorScenarioError) as error:
        _fail(f"{file}: {error}")
    _play(plan, output_folder, record_events, all_rules=False)


@app.command(epilog="Example: runspool lab audit /tmp/night   (exit 0: rules kept, 1: broken, 2: unreadable)")
def audit(
    folder: Annotated[Path, typer.Argument(help="A recording wire.jsonl, or the folder that contains it.")],
) -> None:
    """Check the five rules of the audit against a recording."""
    file = folder / "wire.jsonl" if folder.is_dir() else folder
    try:
        verdicts = auditing.audit(recording.read_recording(file))
    except recording.UnreadableRecordingError as error:
        _fail(str(error))
    for name, verdict in verdicts.items():
        typer.echo(f"{name}: {verdict.cases} cases, {verdict.violation_count} broken")
        for example in verdict.examples:
            typer.echo(f"  {example}")
    is_broken = any(verdict.violation_count for verdict in verdicts.values())
    raise typer.Exit(EXIT_BROKEN if is_broken else 0)


@app.command("replay-events", epilog=_replay_events_epilog("replay-events"))
@app.command("retrace", hidden=True, epilog=_replay_events_epilog("retrace"))
def replay_events(
    tapes: Annotated[list[Path], typer.Argument(help="Event recordings (tapes) of fronts.")],
) -> None:
    """Replay recorded events with a new scheduler, and compare its actions with the recorded ones."""
    differs = False
    for file in tapes:
        try:
            result = event_replay.replay(file)
        except (OSError, event_replay.UnreadableEventsError) as error:
            _fail(str(error))
        typer.echo(result.first_difference or _describe_match(file, result))
        differs = differs or bool(result.first_difference)
    raise typer.Exit(EXIT_BROKEN if differs else 0)


def _describe_match(file: Path, result: event_replay.ReplayResult) -> str:
    if not result.events:
        return f"{file}: no events, nothing compared"
    return f"{file}: {result.events} events, {result.actions} actions, all identical"


@app.command(epilog="Example: runspool lab engine plan.json --at 0 --out engine.jsonl < /dev/zero")
def engine(
    plan: Annotated[Path, typer.Argument(help="The plan.json of a scenario.")],
    indices: Annotated[
        list[int], typer.Option("--at", min=0, help="Index of an engine in the plan; may be repeated.")
    ],
    recording_file: Annotated[Path | None, typer.Option("--out", help="File to record in.")] = None,
    start_number: Annotated[int, typer.Option("--life")] = 1,
    cold: bool = False,
) -> None:
    """Run stand-in engines until standard input ends. Read faults to inject from it as JSON lines."""
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
    """Run the engines, which are keyed by their index in the plan, and inject faults from standard input."""
    async with anyio.create_task_group() as tasks:
        for index, stand_in in engines.items():
            await tasks.start(stand_in.run, HOST, engine_plans[index].port)
        while line := await anyio.to_thread.run_sync(sys.stdin.buffer.readline, abandon_on_cancel=True):
            try:
                _inject_fault(engines, line)
            except (ValueError, KeyError, TypeError) as error:
                typer.echo(f"fault not injected: {error!r}", err=True)
        tasks.cancel_scope.cancel()


def _inject_fault(engines: dict[int, StandInEngine], line: bytes) -> None:
    """Inject the fault that a JSON line describes into the engine that it names."""
    settings = json.loads(line)
    stand_in = engines[settings.pop("at")]
    name = settings.pop("fault")
    stand_in.set_fault(name, **settings)


def _play(plan: ScenarioPlan, folder: Path, record_events: bool, all_rules: bool) -> NoReturn:
    """Play a scenario, write and print its report, and exit.

    The exit status is 0 if no rule was violated and, with `all_rules`, every rule was exercised.
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

        def show_progress(fraction: float) -> None:
            progress.update(task, completed=min(1.0, fraction))

        runner = ScenarioRunner(plan, folder, record_events, show_progress)
        try:
            return anyio.run(runner.run)
        except ScenarioFailedError as error:
            _fail(str(error), EXIT_NOT_PLAYED)
        except BaseExceptionGroup as group:
            failures = group.subgroup(ScenarioFailedError)
            if failures is None:
                raise
            _fail(str(_first_exception(failures)), EXIT_NOT_PLAYED)


def _first_exception(error: BaseException) -> BaseException:
    """Return the first exception in nested exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _fail(text: str, exit_status: int = EXIT_INVALID) -> NoReturn:
    typer.echo(text, err=True)
    raise typer.Exit(exit_status)
