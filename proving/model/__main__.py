"""Command line: explores worlds, walks at random, finds seeded bugs, replays traces."""

import multiprocessing
import os
import re
import sys
from contextlib import nullcontext

import click

from proving.model.bugs import BUGS, find_bug
from proving.model.errors import ModelError
from proving.model.explore import Budget, Explorer, walk
from proving.model.scopes import WORLDS, Bounds, find_world, with_bounds
from proving.model.trace import load_trace, replay_trace, save_trace, shorten

BUDGET = re.compile(r"([0-9]{1,12})(s?)")
WALK_DEPTH = 120
BUG_BUDGET = Budget(states=400_000)


class BudgetType(click.ParamType):
    """Click type for a budget: a number of states, or a number of seconds with the suffix `s`."""

    name = "states or seconds"

    def convert(self, value, param, context):
        """Parse the text into a budget."""
        match = BUDGET.fullmatch(value)
        if match is None or not int(match[1]):
            self.fail(f"{value!r} is neither a number of states (5000) nor of seconds (90s)")
        number = int(match[1])
        return Budget(seconds=number) if match[2] else Budget(states=number)


class BoundType(click.ParamType):
    """Click type for `NAME=NUMBER`, one bound of a world."""

    name = "name=number"

    def convert(self, value, param, context):
        """Parse the text into (name, number)."""
        name, _, number = value.partition("=")
        if name not in Bounds._fields:
            self.fail(f"unknown bound {name!r}; the bounds are {', '.join(Bounds._fields)}")
        if not number.isascii() or not number.isdigit() or len(number) > 6:
            self.fail(f"{number!r} is not an integer from 0 to 999999")
        return name, int(number)


def format_outcome(outcome):
    """Return a one-line summary of an exploration."""
    extent = "all states" if outcome.is_complete else f"to depth {outcome.depth}"
    verdict = "clean" if outcome.finding is None else f"BROKEN: {outcome.finding.invariant}"
    return (
        f"{outcome.world:10} {outcome.states:>9} states {outcome.steps:>9} steps  {extent:14} "
        f"{outcome.seconds:7.1f} s  {verdict}"
    )


def explore_task(task):
    """Explore or randomly walk one world in a worker process; return (outcome, world, bug)."""
    world, bug, depth, budget, seed = task
    with find_bug(bug).patch() if bug else nullcontext():
        if seed is None:
            outcome = Explorer(world, budget).run(world.depth if depth is None else depth)
        else:
            outcome = walk(world, WALK_DEPTH if depth is None else depth, seed, budget)
            if outcome.finding is not None:
                outcome = outcome._replace(finding=shorten(world, outcome.finding))
    return outcome, world, bug


def run_all(tasks, jobs):
    """Yield the results of all tasks in the order of the tasks."""
    if jobs == 1:
        yield from map(explore_task, tasks)
        return
    with multiprocessing.Pool(jobs) as pool:
        yield from pool.imap(explore_task, tasks)


def report_finding(outcome, world, bug, folder):
    """Print the trace that breaks an invariant and, if a folder is given, save it there."""
    finding = outcome.finding
    click.echo(f"  {finding.invariant}: {finding.detail}")
    for number, choice in enumerate(finding.choices, 1):
        click.echo(f"  {number:3} {' '.join(choice)}")
    if folder is not None:
        path = os.path.join(folder, f"model-{bug or world.name}.json")
        save_trace(path, world, bug, finding)
        click.echo(f"  replay: python -m proving.model --trace {path}")


def find_seeded_bugs(names, jobs, folder):
    """Look for each seeded bug, print a table of results; return whether all were found."""
    tasks = []
    for name in names:
        bug = find_bug(name)
        world = with_bounds(find_world(bug.world), bug.bounds)
        tasks.append((world, name, 60, BUG_BUDGET, None))
    click.echo(f"{'bug':24} {'world':10} {'states':>8} {'depth':>5} {'seconds':>7}  broken rule")
    all_found = True
    for outcome, world, name in run_all(tasks, jobs):
        finding = outcome.finding
        all_found = all_found and finding is not None
        click.echo(
            f"{name:24} {world.name:10} {outcome.states:>8} {outcome.depth:>5} "
            f"{outcome.seconds:7.1f}  {finding.invariant if finding else 'NOT FOUND'}"
        )
        if finding is not None and folder is not None:
            save_trace(os.path.join(folder, f"model-{name}.json"), world, name, finding)
    return all_found


def replay_file(path):
    """Replay a trace file with and without its seeded bug.

    Returns whether the unmodified product breaks no invariant.
    """
    trace = load_trace(path)
    if trace["bug"]:
        seeded = replay_trace(trace)
        click.echo(f"with {trace['bug']}: {seeded.invariant or 'nothing broken'}")
    result = replay_trace(trace, with_bug=False)
    taken, skipped = len(result.taken), len(result.skipped)
    click.echo(
        f"product: {result.invariant or 'nothing broken'} ({taken} taken, {skipped} skipped)"
    )
    return result.invariant is None


@click.command()
@click.option("--world", "names", multiple=True, type=click.Choice(sorted(WORLDS)))
@click.option(
    "--depth", type=click.IntRange(1, 10_000), help="Maximum number of choices on a path."
)
@click.option(
    "--budget", type=BudgetType(), help="Limit per world: a number of states, or seconds as in 90s."
)
@click.option(
    "--bound", "bounds", multiple=True, type=BoundType(), help="Override one bound of the worlds."
)
@click.option(
    "--seed", type=click.IntRange(0), help="Walk at random with this seed instead of exploring."
)
@click.option("--bugs", is_flag=True, help="Check that all seeded bugs are found.")
@click.option("--bug", "bug_names", multiple=True, type=click.Choice(sorted(BUGS)))
@click.option("--trace", type=click.Path(dir_okay=False), help="Replay a trace file.")
@click.option("--save", "folder", type=click.Path(exists=True, file_okay=False, writable=True))
@click.option("--jobs", type=click.IntRange(1, 2), default=1, show_default=True)
def main(names, depth, budget, bounds, seed, bugs, bug_names, trace, folder, jobs):
    """Explore the quorum's state machines.

    Exits with status 1 when an invariant is broken or a seeded bug isn't found.
    """
    try:
        if trace is not None:
            sys.exit(0 if replay_file(trace) else 1)
        if bugs or bug_names:
            sys.exit(0 if find_seeded_bugs(bug_names or BUGS, jobs, folder) else 1)
    except ModelError as error:
        raise click.ClickException(str(error)) from error
    if budget is None:
        budget = Budget(states=1_000_000) if seed is None else Budget(seconds=60)
    worlds = [with_bounds(find_world(name), dict(bounds)) for name in names or WORLDS]
    is_clean = True
    for outcome, world, bug in run_all([(w, None, depth, budget, seed) for w in worlds], jobs):
        click.echo(format_outcome(outcome))
        if outcome.finding is not None:
            is_clean = False
            report_finding(outcome, world, bug, folder)
    sys.exit(0 if is_clean else 1)


if __name__ == "__main__":
    main()
