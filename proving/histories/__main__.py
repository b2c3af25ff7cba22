"""Record histories of operators' and clients' calls under faults, and check each of them.

Prints the runs, operations, time and violations; a failing seed prints its replay command and
leaves its history as JSON. Exit code 1: a violation; 2: wrong arguments.
"""

import contextlib
import gc
import multiprocessing
import pathlib
import sys
import time
import traceback

import click

from proving.histories.bugs import find_all_bugs
from proving.histories.operations import BadHistory, load_history, save_history
from proving.histories.run import FAULTS, Finding, Result, judge, run_seed

SHOWN_FINDINGS, SHOWN_TEXT = 6, 1200
MOST_SEEDS, MOST_JOBS, MOST_FAULTS = 1_000_000, 64, 60
RUNS_A_PROCESS = 50


def run_one(job):
    """Run one seed in a worker; a failure of the program itself is a finding."""
    seed, fault_count, loud_cuts, folder = job
    gc.disable()
    start_time = time.perf_counter()
    try:
        result = run_seed(seed, fault_count, loud_cuts=loud_cuts)
    except Exception:
        place = traceback.format_exc()[-SHOWN_TEXT:]
        seconds = time.perf_counter() - start_time
        result = Result(seed, 0, (Finding("failure", place),), (), 0, {}, seconds, None)
    if result.findings and result.history is not None:
        save_history(result.history, pathlib.Path(folder) / f"history-{seed}.json")
    gc.enable()
    gc.collect()
    return result._replace(history=None)


def tell_findings(findings):
    """Print what is wrong with a run."""
    for finding in findings[:SHOWN_FINDINGS]:
        click.echo(f"  {finding.target}: {finding.text[:SHOWN_TEXT]}")


def tell_result(result, fault_count, loud_cuts, folder):
    """Print a run that failed or whose search was given up."""
    if result.undecided:
        click.echo(f"seed {result.seed}: undecided: {', '.join(result.undecided)}")
    if not result.findings:
        return
    click.echo(f"seed {result.seed} failed:")
    tell_findings(result.findings)
    click.echo(
        f"  replay: python -m proving.histories --replay {result.seed} --faults {fault_count}"
        f" --loud-cuts {loud_cuts}"
    )
    click.echo(f"  history: {pathlib.Path(folder) / f'history-{result.seed}.json'}")


def run_many(first, seeds, jobs, fault_count, loud_cuts, folder):
    """Run many seeds; return whether any failed."""
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    start_time, failed, undecided, totals = time.perf_counter(), [], 0, {}
    operations = configurations = done = 0
    work = [(seed, fault_count, loud_cuts, folder) for seed in range(first, first + seeds)]
    with contextlib.ExitStack() as stack:
        results = map(run_one, work)
        if jobs > 1:
            pool = multiprocessing.Pool(min(jobs, seeds), maxtasksperchild=RUNS_A_PROCESS)
            results = stack.enter_context(pool).imap_unordered(run_one, work)
        for result in results:
            done += 1
            operations += result.operations
            configurations += result.configurations
            undecided += bool(result.undecided)
            failed.extend([result.seed] if result.findings else [])
            for name, number in result.counts.items():
                totals[name] = totals.get(name, 0) + number
            tell_result(result, fault_count, loud_cuts, folder)
            if done % 100 == 0:
                seconds = time.perf_counter() - start_time
                click.echo(f"{done} runs, {operations} operations, {seconds:.0f} s")
    seconds = time.perf_counter() - start_time
    for name, number in sorted(totals.items()):
        click.echo(f"  {name}: {number}")
    click.echo(
        f"{done} runs from seed {first}, {operations} operations, {configurations} configurations "
        f"searched, {seconds:.0f} s with {jobs} jobs, {undecided} undecided, "
        f"{len(failed)} with violations{': ' + str(sorted(failed)) if failed else ''}"
    )
    return bool(failed)


def replay(what, fault_count, loud_cuts):
    """Judge a saved history again, or play a seed again; return whether it failed."""
    if what.isdigit():
        result = run_seed(int(what), fault_count, loud_cuts=loud_cuts)
        history, findings, undecided = result.history, result.findings, result.undecided
    else:
        history = load_history(what)
        findings, undecided, _ = judge(history)
    click.echo("\n".join(history.steps))
    tell_findings(findings)
    click.echo(
        f"seed {history.seed}: {len(history.operations)} operations, {len(findings)} violations, "
        f"{len(undecided)} objects undecided"
    )
    return bool(findings)


def check_arguments(replay_what, shows_bugs, seeds_given):
    """Refuse arguments that go against each other."""
    given = sum((bool(replay_what), shows_bugs, seeds_given))
    if given > 1:
        raise click.UsageError("--replay, --bugs and --seeds exclude each other")


@click.command()
@click.option("--seeds", type=click.IntRange(1, MOST_SEEDS), help="How many seeds. [default: 20]")
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="First seed.")
@click.option("--jobs", type=click.IntRange(1, MOST_JOBS), default=1, show_default=True)
@click.option(
    "--faults",
    "fault_count",
    type=click.IntRange(0, MOST_FAULTS),
    default=FAULTS,
    show_default=True,
    help="Faults a run.",
)
@click.option(
    "--loud-cuts",
    type=click.IntRange(0, MOST_FAULTS),
    default=0,
    show_default=True,
    help="Resetting or refusing cuts a run.",
)
@click.option("--replay", "replay_what", help="A seed to play again or a saved history to judge.")
@click.option("--bugs", "shows_bugs", is_flag=True, help="Take guards out: is each one missed?")
@click.option("--output", default="run/histories", show_default=True, help="Folder of failures.")
def main(seeds, first, jobs, fault_count, loud_cuts, replay_what, shows_bugs, output):
    """Record runs under faults and check them for linearizability; exit 1 on a violation."""
    check_arguments(replay_what, shows_bugs, seeds is not None)
    try:
        if replay_what is not None:
            is_failed = replay(replay_what, fault_count, loud_cuts)
        elif shows_bugs:
            is_failed = find_all_bugs(first, jobs, click.echo)
        else:
            is_failed = run_many(first, seeds or 20, jobs, fault_count, loud_cuts, output)
    except BadHistory as error:
        raise click.ClickException(str(error)) from error
    except OSError as error:
        raise click.ClickException(f"{output}: {error}") from error
    sys.exit(1 if is_failed else 0)


if __name__ == "__main__":
    main()
