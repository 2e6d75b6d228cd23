"""`runspool lab`: stand-ins, days, audits."""

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
from runspool.lab import recording
from runspool.lab import replay as retracing
from runspool.lab import report as verdict
from runspool.lab.cell_plans import DAYS
from runspool.lab.engine import Engine
from runspool.lab.plan import Plan, UnplayableDayError, from_bench
from runspool.lab.scenario_runner import ScenarioFailedError, ScenarioRunner

app = typer.Typer(no_args_is_help=True, help="The laboratory: stand-ins on loopback, scripted days, audits.")

Out = Annotated[Path, typer.Option(help="Folder for recording, verdict and report.")]
Tapes = Annotated[bool, typer.Option(help="Also record what each front's decisions heard and asked.")]

BROKEN, BAD_INPUT, NOT_PLAYED = 1, 2, 3


@app.command(
    epilog="Example: runspool lab day bad-night --seed 3 --out /tmp/night   "
    "(exit 0: every rule kept and at stake, 1: not so, 2: bad input, 3: not played)"
)
def day(
    name: Annotated[str, typer.Argument(help=f"One of {', '.join(DAYS)}.")],
    seed: Annotated[int, typer.Option(min=0)] = 1,
    out: Out = Path("runspool-day"),
    tapes: Tapes = False,
) -> None:
    """Play a scripted day through real fronts and judge it from what passed on the sockets."""
    if name not in DAYS:
        _fail(f"no day {name!r}; there are {', '.join(DAYS)}")
    # Only the bad night puts every rule at stake.
    _play(DAYS[name](seed), out, tapes, all_rules=name == "bad-night")


@app.command(epilog="Example: runspool lab replay day.json --fronts 3 --engines 12 --out /tmp/replay")
def replay(
    file: Annotated[Path, typer.Argument(help="What the bench's draw printed.")],
    fronts: Annotated[int, typer.Option(min=1, max=32)] = 3,
    engines: Annotated[int, typer.Option(min=3, max=64)] = 12,
    scale: Annotated[float, typer.Option(help="Multiple of the load that fits the size.")] = 1.0,
    out: Out = Path("runspool-replay"),
    tapes: Tapes = False,
) -> None:
    """Play a bench day's kinds of trouble, at their times and sizes, through real fronts."""
    try:
        plan = from_bench(json.loads(file.read_text()), fronts, engines, scale)
    except (OSError, ValueError) as fault:
        _fail(f"{file}: {fault}")
    except UnplayableDayError as fault:
        _fail(f"{file}: {fault}")
    _play(plan, out, tapes, all_rules=False)


@app.command(epilog="Example: runspool lab audit /tmp/night   (exit 0: kept, 1: broken, 2: unreadable)")
def audit(folder: Annotated[Path, typer.Argument(help="A folder with wire.jsonl, or that file.")]) -> None:
    """Check the five rules from a recording alone."""
    file = folder / "wire.jsonl" if folder.is_dir() else folder
    try:
        rules = auditing.audit(recording.read_recording(file))
    except recording.UnreadableRecordingError as fault:
        _fail(str(fault))
    for name, rule in rules.items():
        typer.echo(f"{name}: {rule.cases} cases, {rule.broken} broken")
        for example in rule.examples:
            typer.echo(f"  {example}")
    raise typer.Exit(BROKEN if any(rule.broken for rule in rules.values()) else 0)


@app.command(epilog="Example: runspool lab retrace /tmp/night/front-0.1.tape   (exit 0: the same, 1: not)")
def retrace(tapes: Annotated[list[Path], typer.Argument(help="Tapes that fronts recorded.")]) -> None:
    """Play fronts' tapes through fresh decisions: same news, same asks."""
    differs = False
    for tape in tapes:
        try:
            found = retracing.replay(tape)
        except (OSError, retracing.UnreadableEventsError) as fault:
            _fail(str(fault))
        same = f"{tape}: {found.events} news, {found.actions} asks, all the same"
        typer.echo(found.differs or (same if found.events else f"{tape}: nothing on it, nothing shown"))
        differs = differs or bool(found.differs)
    raise typer.Exit(BROKEN if differs else 0)


@app.command(epilog="Example: runspool lab engine plan.json --at 0 --out engine.jsonl < /dev/zero")
def engine(
    plan: Annotated[Path, typer.Argument(help="A day's plan.json.")],
    at: Annotated[list[int], typer.Option(min=0, help="Which of its engines; may be repeated.")],
    out: Annotated[Path | None, typer.Option(help="Where to record.")] = None,
    life: int = 1,
    cold: bool = False,
) -> None:
    """Run one stand-in engine until standard input ends; faults come there as JSON lines."""
    try:
        whole: Plan = msgspec.json.decode(plan.read_bytes(), type=Plan)
        ones = [whole.engines[number] for number in at]
    except (OSError, msgspec.DecodeError, IndexError) as fault:
        _fail(f"{plan}: {fault}")
    record = recording.Recorder(out)
    anyio.run(
        _engines,
        {
            number: (Engine(one.make, record, cold, whole.seed * 1000 + number * 10 + life), one.port)
            for number, one in zip(at, ones, strict=True)
        },
        backend_options={"use_uvloop": True},
    )


async def _engines(ones: dict[int, tuple[Engine, int]]) -> None:
    async with anyio.create_task_group() as tasks:
        for one, port in ones.values():
            await tasks.start(one.run, "127.0.0.1", port)
        while line := await anyio.to_thread.run_sync(sys.stdin.buffer.readline, abandon_on_cancel=True):
            try:
                said = json.loads(line)
                ones[said.pop("at")][0].fault(said.pop("fault"), **said)
            except (ValueError, KeyError, TypeError) as fault:
                typer.echo(f"fault not played: {fault!r}", err=True)
        tasks.cancel_scope.cancel()


def _play(plan: Plan, out: Path, tapes: bool, all_rules: bool) -> None:
    out.mkdir(parents=True, exist_ok=True)
    console = Console(stderr=True)
    with Progress(console=console, transient=True) as progress:
        task = progress.add_task(f"{plan.name} {plan.seed}", total=1.0)
        director = ScenarioRunner(
            plan, out, tapes, lambda part: progress.update(task, completed=min(1.0, part))
        )
        try:
            file = anyio.run(director.play)
        except ScenarioFailedError as fault:
            _fail(str(fault), NOT_PLAYED)
        except BaseExceptionGroup as group:
            failed = group.subgroup(ScenarioFailedError)
            if failed is None:
                raise
            leaf: BaseException = failed
            while isinstance(leaf, BaseExceptionGroup):
                leaf = leaf.exceptions[0]
            _fail(str(leaf), NOT_PLAYED)
    said = verdict.verdict(recording.read_recording(file))
    verdict.write(said, out)
    typer.echo(verdict.page(said))
    raise typer.Exit(0 if said["kept"] and not (all_rules and said["unjudged"]) else BROKEN)


def _fail(text: str, code: int = BAD_INPUT) -> NoReturn:
    typer.echo(text, err=True)
    raise typer.Exit(code)
