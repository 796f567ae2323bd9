"""The soak test: many runs, each of a schedule drawn from a seed.

    python -m puffindeck_faults.soak --seeds 1..50 --seconds 60 --jobs 4

A run with violations saves its schedule, the nodes' logs and the timelines of the affected requests in a folder, and
`--replay FOLDER` runs that schedule again. The exit code is 1 if a rule was violated or a run failed, otherwise 0.
"""

from __future__ import annotations

import shutil
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path
from typing import NamedTuple

import click
import msgspec

from puffindeck_faults.checker import Violation
from puffindeck_faults.scenario_runner import ScenarioRunner, run_schedule
from puffindeck_faults.schedule import FaultKind, Schedule, draw_schedule

SCHEDULE = "schedule.json"


class RunResult(NamedTuple):
    """The result of a run."""

    seed: int
    requests: int
    answered: Counter[str]  # number of requests by the first word of their answer, or `none`
    violations: list[Violation]
    error: str = ""  # why the run failed, or empty


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of a text such as `3` or `1..50`. Raises click.BadParameter with the text."""
    first, dots, last = text.partition("..")
    try:
        return list(range(int(first), int(last if dots else first) + 1))
    except ValueError:
        raise click.BadParameter(f"{text!r} is not a seed or FIRST..LAST") from None


def run(schedule: Schedule, output: Path | None) -> RunResult:
    """Run one schedule, and save the data of violations to a folder in `output`; None saves nothing."""
    folder = Path(tempfile.mkdtemp(prefix="puffindeck-soak-"))
    try:
        violations, runner = run_schedule(schedule, folder)
        records = runner.world.records
        answered = Counter((client.answer or "none").partition(" ")[0] for client in records.clients)
        if violations and output is not None:
            save_violations(schedule, violations, runner, folder, output / f"seed-{schedule.seed}")
        return RunResult(schedule.seed, len(records.clients), answered, violations)
    except Exception as error:  # reported as a failed run
        return RunResult(schedule.seed, 0, Counter(), [], f"{type(error).__name__}: {error}")
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def save_violations(
    schedule: Schedule, violations: list[Violation], runner: ScenarioRunner, folder: Path, output: Path
) -> None:
    """Write the schedule, the logs, and the timelines of the requests that the violations concern."""
    output.mkdir(parents=True, exist_ok=True)
    (output / SCHEDULE).write_bytes(msgspec.json.format(msgspec.json.encode(schedule)))
    for log in folder.glob("*/log.*"):
        shutil.copy(log, output / f"{log.parent.name}.{log.name}")
    records = runner.world.records
    began = min(process.started for process in records.processes)
    lines = [
        f"{violation.at - began:8.3f} {violation.rule}: {violation.description} {violation.request}"
        for violation in violations
    ]
    affected = {violation.request for violation in violations if violation.request}
    lines += [str(client) for client in records.clients if client.request in affected]
    lines += [str(attempt) for attempt in records.attempts if attempt.request in affected]
    lines += [str(process) for process in records.processes]
    lines += [f"times are relative to {began}"]
    (output / "timeline.txt").write_text("\n".join(lines) + "\n")


def summary_line(result: RunResult) -> str:
    """Return the result as one line of text."""
    if result.error:
        return f"seed {result.seed}: not run: {result.error}"
    answers = ", ".join(f"{count} {answer}" for answer, count in sorted(result.answered.items()))
    rules = ", ".join(f"{rule} {n}" for rule, n in sorted(Counter(one.rule for one in result.violations).items()))
    first = f"; first: {result.violations[0].description}" if result.violations else ""
    return f"seed {result.seed}: {result.requests} requests ({answers}); violations: {rules or 'none'}{first}"


@click.command()
@click.option("--seeds", default="1..5", help="A seed, or FIRST..LAST.")
@click.option("--seconds", default=30.0, help="Duration of each run until SIGTERM to its nodes.")
@click.option(
    "--only",
    multiple=True,
    type=click.Choice([kind.value for kind in FaultKind]),
    help="Inject only these kinds of fault.",
)
@click.option("--jobs", default=2, help="Number of concurrent runs.")
@click.option(
    "--keep",
    "output",
    default="found/soak",
    type=click.Path(path_type=Path),
    help="Folder for the data of runs with violations.",
)
@click.option("--replay", type=click.Path(exists=True, path_type=Path), help="Replay the schedule in this folder.")
def main(seeds: str, seconds: float, only: tuple[str, ...], jobs: int, output: Path, replay: Path | None) -> None:
    """Run schedules, and print a line for each run."""
    if replay is not None:
        schedules = [msgspec.json.decode((replay / SCHEDULE).read_bytes(), type=Schedule)]
    else:
        kinds = tuple(FaultKind(value) for value in only)
        schedules = [draw_schedule(seed, seconds, kinds) for seed in parse_seeds(seeds)]
    results = []
    with ProcessPoolExecutor(jobs) as pool, click.progressbar(length=len(schedules), file=sys.stderr) as bar:
        for future in as_completed(pool.submit(run, schedule, output) for schedule in schedules):
            results.append(future.result())
            bar.update(1)
            click.echo(summary_line(results[-1]))
    violations = Counter(one.rule for result in results for one in result.violations)
    failed = sum(bool(result.violations or result.error) for result in results)
    click.echo(f"{len(results)} runs, {failed} with violations or not run: {dict(violations)}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
