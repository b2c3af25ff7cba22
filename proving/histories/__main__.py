"""Record histories of operators' and clients' calls under faults, and check each of them.

Prints the number of runs and operations, the time taken and the violations. For each failing seed,
prints the command that replays it and writes its history as JSON. Exit codes: 1 for a violation
or an unreadable file, 2 for invalid arguments.
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
from proving.histories.run import DEFAULT_FAULT_COUNT, Finding, Result, check_history, run_seed

MAX_SHOWN_FINDINGS, MAX_SHOWN_CHARACTERS = 6, 1200
MAX_SEEDS, MAX_JOBS, MAX_FAULTS = 1_000_000, 64, 60
RUNS_PER_PROCESS = 50


def run_one_seed(task):
    """Run one seed in a worker process; an exception is reported as a finding.

    Saves the history if there are findings, and returns the result without the history.
    """
    seed, fault_count, loud_cuts, folder = task
    gc.disable()
    start_time = time.perf_counter()
    try:
        result = run_seed(seed, fault_count, loud_cuts=loud_cuts)
    except Exception:
        trace = traceback.format_exc()[-MAX_SHOWN_CHARACTERS:]
        seconds = time.perf_counter() - start_time
        result = Result(seed, 0, (Finding("failure", trace),), (), 0, {}, seconds, None)
    if result.findings and result.history is not None:
        save_history(result.history, pathlib.Path(folder) / f"history-{seed}.json")
    gc.enable()
    gc.collect()
    return result._replace(history=None)


def print_findings(findings):
    """Print the first findings of a run, each shortened to MAX_SHOWN_CHARACTERS."""
    for finding in findings[:MAX_SHOWN_FINDINGS]:
        click.echo(f"  {finding.target}: {finding.text[:MAX_SHOWN_CHARACTERS]}")


def print_result(result, fault_count, loud_cuts, folder):
    """Print the run if it failed or if the checker gave up on one of its objects."""
    if result.undecided:
        click.echo(f"seed {result.seed}: undecided: {', '.join(result.undecided)}")
    if not result.findings:
        return
    click.echo(f"seed {result.seed} failed:")
    print_findings(result.findings)
    click.echo(
        f"  replay: python -m proving.histories --replay {result.seed} --faults {fault_count}"
        f" --loud-cuts {loud_cuts}"
    )
    click.echo(f"  history: {pathlib.Path(folder) / f'history-{result.seed}.json'}")


def run_seeds(first_seed, seed_count, jobs, fault_count, loud_cuts, folder):
    """Run `seed_count` seeds in `jobs` processes, print a summary; return whether any failed."""
    pathlib.Path(folder).mkdir(parents=True, exist_ok=True)
    start_time, failed_seeds, undecided, totals = time.perf_counter(), [], 0, {}
    operations = configurations = completed_runs = 0
    tasks = [
        (seed, fault_count, loud_cuts, folder)
        for seed in range(first_seed, first_seed + seed_count)
    ]
    with contextlib.ExitStack() as stack:
        results = map(run_one_seed, tasks)
        if jobs > 1:
            pool = multiprocessing.Pool(min(jobs, seed_count), maxtasksperchild=RUNS_PER_PROCESS)
            results = stack.enter_context(pool).imap_unordered(run_one_seed, tasks)
        for result in results:
            completed_runs += 1
            operations += result.operations
            configurations += result.configurations
            undecided += bool(result.undecided)
            failed_seeds.extend([result.seed] if result.findings else [])
            for name, number in result.counts.items():
                totals[name] = totals.get(name, 0) + number
            print_result(result, fault_count, loud_cuts, folder)
            if completed_runs % 100 == 0:
                seconds = time.perf_counter() - start_time
                click.echo(f"{completed_runs} runs, {operations} operations, {seconds:.0f} s")
    seconds = time.perf_counter() - start_time
    for name, number in sorted(totals.items()):
        click.echo(f"  {name}: {number}")
    click.echo(
        f"{completed_runs} runs from seed {first_seed}, {operations} operations, "
        f"{configurations} configurations "
        f"searched, {seconds:.0f} s with {jobs} jobs, {undecided} undecided, "
        f"{len(failed_seeds)} with violations"
        f"{': ' + str(sorted(failed_seeds)) if failed_seeds else ''}"
    )
    return bool(failed_seeds)


def replay(seed_or_path, fault_count, loud_cuts):
    """Run a seed again, or check a saved history again; return whether it failed.

    Raises BadHistory if the file cannot be read as a history.
    """
    if seed_or_path.isdigit():
        result = run_seed(int(seed_or_path), fault_count, loud_cuts=loud_cuts)
        history, findings, undecided = result.history, result.findings, result.undecided
    else:
        history = load_history(seed_or_path)
        findings, undecided, _ = check_history(history)
    click.echo("\n".join(history.steps))
    print_findings(findings)
    click.echo(
        f"seed {history.seed}: {len(history.operations)} operations, {len(findings)} violations, "
        f"{len(undecided)} objects undecided"
    )
    return bool(findings)


def check_arguments(replay_what, shows_bugs, has_seeds):
    """Raise UsageError if more than one of --replay, --bugs and --seeds is given."""
    given = sum((bool(replay_what), shows_bugs, has_seeds))
    if given > 1:
        raise click.UsageError("--replay, --bugs and --seeds are mutually exclusive")


@click.command()
@click.option("--seeds", type=click.IntRange(1, MAX_SEEDS), help="Number of seeds. [default: 20]")
@click.option("--first", type=click.IntRange(0), default=1, show_default=True, help="First seed.")
@click.option("--jobs", type=click.IntRange(1, MAX_JOBS), default=1, show_default=True)
@click.option(
    "--faults",
    "fault_count",
    type=click.IntRange(0, MAX_FAULTS),
    default=DEFAULT_FAULT_COUNT,
    show_default=True,
    help="Number of faults per run.",
)
@click.option(
    "--loud-cuts",
    type=click.IntRange(0, MAX_FAULTS),
    default=0,
    show_default=True,
    help="Number of partitions per run that reset or refuse connections.",
)
@click.option("--replay", "replay_what", help="Seed to run again, or saved history to check.")
@click.option(
    "--bugs", "shows_bugs", is_flag=True, help="Run the seeded bugs and report which are found."
)
@click.option(
    "--output", default="run/histories", show_default=True, help="Folder for failing histories."
)
def main(seeds, first, jobs, fault_count, loud_cuts, replay_what, shows_bugs, output):
    """Record runs under faults and check them for linearizability; exit 1 on a violation."""
    check_arguments(replay_what, shows_bugs, seeds is not None)
    try:
        if replay_what is not None:
            is_failed = replay(replay_what, fault_count, loud_cuts)
        elif shows_bugs:
            is_failed = find_all_bugs(first, jobs, click.echo)
        else:
            is_failed = run_seeds(first, seeds or 20, jobs, fault_count, loud_cuts, output)
    except BadHistory as error:
        raise click.ClickException(str(error)) from error
    except OSError as error:
        raise click.ClickException(f"{output}: {error}") from error
    sys.exit(1 if is_failed else 0)


if __name__ == "__main__":
    main()
