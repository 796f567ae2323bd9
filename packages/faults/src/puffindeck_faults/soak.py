"""Many runs, each drawn from a seed: `python -m puffindeck_faults.soak --seeds 1..50 --seconds 60 --jobs 4`.

A run that breaks a rule leaves its schedule, the nodes' logs and the timeline of each request concerned in a folder;
`--replay FOLDER` plays that schedule again. The exit code is 0 if no rule was broken, 1 if one was.
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

from puffindeck_faults.checker import Break
from puffindeck_faults.player import Player, play
from puffindeck_faults.schedule import Kind, Schedule, draw

SCHEDULE = "schedule.json"


class Result(NamedTuple):
    """What a run came to."""

    seed: int
    requests: int
    answered: Counter[str]
    broken: list[Break]
    error: str = ""


def seeds_of(text: str) -> list[int]:
    """`3` or `1..50`. Raises click.BadParameter, naming the text."""
    first, dots, last = text.partition("..")
    try:
        return list(range(int(first), int(last if dots else first) + 1))
    except ValueError:
        raise click.BadParameter(f"{text!r} is not a seed or FIRST..LAST") from None


def run(schedule: Schedule, kept: Path | None) -> Result:
    """Play one schedule; keep what is needed to understand a break."""
    folder = Path(tempfile.mkdtemp(prefix="puffindeck-soak-"))
    try:
        broken, player = play(schedule, folder)
        records = player.world.records
        answered = Counter((client.answer or "none").partition(" ")[0] for client in records.clients)
        if broken and kept is not None:
            keep(schedule, broken, player, folder, kept / f"seed-{schedule.seed}")
        return Result(schedule.seed, len(records.clients), answered, broken)
    except Exception as error:  # a run that can't be played is told, and is no success
        return Result(schedule.seed, 0, Counter(), [], f"{type(error).__name__}: {error}")
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def keep(schedule: Schedule, broken: list[Break], player: Player, folder: Path, kept: Path) -> None:
    """The schedule, the logs, and the timelines of the requests concerned."""
    kept.mkdir(parents=True, exist_ok=True)
    (kept / SCHEDULE).write_bytes(msgspec.json.format(msgspec.json.encode(schedule)))
    for log in folder.glob("*/log.*"):
        shutil.copy(log, kept / f"{log.parent.name}.{log.name}")
    records = player.world.records
    began = min(life.started for life in records.lives)
    lines = [f"{one.at - began:8.3f} {one.rule}: {one.what} {one.request}" for one in broken]
    concerned = {one.request for one in broken if one.request}
    lines += [str(client) for client in records.clients if client.request in concerned]
    lines += [str(attempt) for attempt in records.attempts if attempt.request in concerned]
    lines += [str(life) for life in records.lives]
    lines += [f"times count from {began}"]
    (kept / "timeline.txt").write_text("\n".join(lines) + "\n")


def line_of(result: Result) -> str:
    """A run in one line."""
    if result.error:
        return f"seed {result.seed}: not played: {result.error}"
    answers = ", ".join(f"{count} {answer}" for answer, count in sorted(result.answered.items()))
    rules = ", ".join(f"{rule} {n}" for rule, n in sorted(Counter(one.rule for one in result.broken).items()))
    first = f"; first: {result.broken[0].what}" if result.broken else ""
    return f"seed {result.seed}: {result.requests} requests ({answers}); broken: {rules or 'none'}{first}"


@click.command()
@click.option("--seeds", default="1..5", help="A seed, or FIRST..LAST.")
@click.option("--seconds", default=30.0, help="How long each run lasts, before its nodes are told to stop.")
@click.option("--only", multiple=True, type=click.Choice([kind.value for kind in Kind]), help="No other faults.")
@click.option("--jobs", default=2, help="Runs at a time.")
@click.option("--keep", "kept", default="found/soak", type=click.Path(path_type=Path), help="For runs that broke.")
@click.option("--replay", type=click.Path(exists=True, path_type=Path), help="A folder of such a run.")
def main(seeds: str, seconds: float, only: tuple[str, ...], jobs: int, kept: Path, replay: Path | None) -> None:
    """Play runs, a line each."""
    if replay is not None:
        schedules = [msgspec.json.decode((replay / SCHEDULE).read_bytes(), type=Schedule)]
    else:
        kinds = tuple(Kind(word) for word in only)
        schedules = [draw(seed, seconds, kinds) for seed in seeds_of(seeds)]
    results = []
    with ProcessPoolExecutor(jobs) as pool, click.progressbar(length=len(schedules), file=sys.stderr) as bar:
        for done in as_completed(pool.submit(run, schedule, kept) for schedule in schedules):
            results.append(done.result())
            bar.update(1)
            click.echo(line_of(results[-1]))
    broken = Counter(one.rule for result in results for one in result.broken)
    failed = sum(bool(result.broken or result.error) for result in results)
    click.echo(f"{len(results)} runs, {failed} with a broken rule or not played: {dict(broken)}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
